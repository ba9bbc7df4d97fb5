#include <LibForward/TeamQuota.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Forward {

using namespace std::chrono_literals;

// Nodes that start together have heard each other by then.
static constexpr Core::Duration discoveryTime = 1500ms;
// Short enough to follow a team whose traffic multiplies within a second.
static constexpr double demandHalfLifeSeconds = 2.0;

double quotaCost(Team const& team, std::optional<TokenCounts> const& tokens)
{
    if (team.unit == LimitUnit::Requests)
        return 1;
    return static_cast<double>(tokens ? tokens->promptTokens + tokens->maximumOutputTokens : team.defaultRequestTokens);
}

// With this weight, the decaying sum of the costs converges to their rate.
static double const arrivalWeight = std::log(2.0) / demandHalfLifeSeconds;

static double decayedDemand(QuotaTable::Row const& row, Core::MonotonicTime now)
{
    return row.demand * std::exp2(-std::chrono::duration<double>(now - row.demandUpdatedAt).count() / demandHalfLifeSeconds);
}

double quotaDemand(QuotaTable const& table, std::string_view team, Core::MonotonicTime now)
{
    auto const found = table.rows.find(team);
    return found == table.rows.end() ? 0 : decayedDemand(found->second, now);
}

void recordQuotaDemand(QuotaTable& table, std::string_view team, double cost, Core::MonotonicTime now)
{
    auto const found = table.rows.find(team);
    // A team without an admitted request has no row yet.
    if (found == table.rows.end())
        return;
    found->second.demand = decayedDemand(found->second, now) + cost * arrivalWeight;
    found->second.demandUpdatedAt = now;
}

double admissionShare(QuotaTable const& table, PeerTable const& peers, std::size_t servers, std::string const& team, Core::MonotonicTime now)
{
    // Upper end of the range in deployments.
    static constexpr double nodesPerServer = 1.5;
    // Slightly longer than the interval between two reports.
    static constexpr Core::Duration settlingTime = 300ms;
    bool const isNew = table.initialQuota == InitialQuota::Empty && now - table.startedAt < discoveryTime;
    bool const hasDiscoveredPeers = peers.knownNodes > 1 && now - peers.lastNewPeerAt > settlingTime;
    bool const isCutOff = table.initialQuota == InitialQuota::Empty && isUnheardSinceStart(peers, now);
    if ((isNew && !hasDiscoveredPeers) || isCutOff)
        return 1 / std::max(nodesPerServer * static_cast<double>(servers), static_cast<double>(peers.knownNodes));
    return demandBasedShare(peers, team);
}

static void refill(QuotaTable::Row& row, Core::MonotonicTime now)
{
    // The time after which the admissions of a node are known to all others, through two aggregating nodes.
    static constexpr double reportSeconds = 0.75;
    double const elapsed = std::chrono::duration<double>(now - row.deploymentBucket.refilledAt).count();
    double const level = row.deploymentBucket.level + std::max(elapsed, 0.0) * row.refillRate;
    row.overflow = std::min(row.overflow + std::max(level - row.capacity, 0.0), reportSeconds * row.refillRate);
    (void)Limits::takeFromBucket(row.deploymentBucket, 0, row.refillRate, row.capacity, now);
}

void chargeQuota(QuotaTable& table, std::string_view team, double admittedElsewhere, Core::MonotonicTime now)
{
    auto const found = table.rows.find(team);
    if (found == table.rows.end() || !found->second.deploymentBucket.initialized)
        return;
    auto& row = found->second;
    refill(row, now);
    double const fromOverflow = std::clamp(admittedElsewhere, 0.0, row.overflow);
    row.overflow -= fromOverflow;
    row.deploymentBucket.level -= admittedElsewhere - fromOverflow;
}

// The factor on the rate while an excess is repaid, which is the lower the larger the excess: with many nodes more is admitted before all
// of them know that the burst is used up. An excess of several bursts must be repaid before the window that contains it has passed.
static double repaymentFactor(double level, double capacity, double unitsPerWindow)
{
    static constexpr double highestFactor = 0.95;
    static constexpr double lowestFactor = 0.6;
    static constexpr double lowestFactorOfALargeExcess = 0.1;
    if (level >= 0)
        return 1;
    double const factor = std::max(highestFactor + level / capacity * (highestFactor - lowestFactor), lowestFactor);
    // What the tolerance of a window permits, and the part of it that is left when the nodes have heard each other.
    static constexpr double permittedFraction = 0.8;
    static constexpr double remainingFraction = 0.6;
    double const factorOfALargeExcess = 1 + (level + permittedFraction * capacity) / (remainingFraction * unitsPerWindow);
    return std::max(std::min(factor, factorOfALargeExcess), lowestFactorOfALargeExcess);
}

// The rest of the slack covers what the nodes admit before they receive each other's reports.
static constexpr double usableSlackFraction = 0.4;
// Fraction of the burst that a node's share may accumulate.
static constexpr double nodeBurstFraction = 0.25;
// The fraction of the burst that a team may have left when all nodes start again.
static constexpr double initialFractionAfterRestart = 0.4;
// A smaller excess can be due to the different ages of what a node knows.
static constexpr double excessFraction = 0.3;

static double bucketCapacity(Team const& team, QuotaTolerance const& tolerance)
{
    return std::max(team.burst + usableSlackFraction * tolerance.slack, 1.0);
}

static QuotaTable::Row& rowOf(QuotaTable& table, Team const& team, QuotaTolerance const& tolerance)
{
    double const initialFraction = table.initialQuota == InitialQuota::Empty ? initialFractionAfterRestart : 1;
    auto& row = table.rows[team.name];
    row.capacity = bucketCapacity(team, tolerance);
    row.refillRate = team.ratePerSecond * (1 - tolerance.silentShare);
    // Nothing is charged to a team without a limit, which may get one later.
    if (!row.deploymentBucket.initialized && team.ratePerSecond > 0)
        row.deploymentBucket = { .level = initialFraction * row.capacity, .refilledAt = table.startedAt, .initialized = true };
    return row;
}

void prepareQuota(QuotaTable& table, Team const& team, QuotaTolerance const& tolerance)
{
    if (team.ratePerSecond > 0)
        (void)rowOf(table, team, tolerance);
}

std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable& table, Team const& team, double cost, double share, QuotaTolerance const& tolerance, Core::MonotonicTime now)
{
    // A team whose traffic multiplies uses up this fraction of the burst within about the delay of the reports.
    static constexpr double reservedFraction = 0.5;
    // After an excess, the nodes' figures differ by what each has heard, and one that has too high a figure must not begin the next excess.
    static constexpr double reservedFractionWhileRepaying = 0.9;
    auto& row = rowOf(table, team, tolerance);
    // No window has room for it, and its costs would displace the team's other requests for long.
    double const unitsPerWindow = team.ratePerSecond * static_cast<double>(tolerance.window.count());
    double const mostOfAWindow = std::max(unitsPerWindow + team.burst + tolerance.slack, 1.0);
    if (team.ratePerSecond > 0 && cost > mostOfAWindow)
        return tolerance.window;
    row.demand = decayedDemand(row, now) + cost * arrivalWeight;
    row.demandUpdatedAt = now;
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    double const capacity = row.capacity;
    // What the others admit meanwhile is not known, so that none of the time counts as unused quota. Two lost datagrams in a row are usual with
    // many nodes; a team that is over its limit uses each of them. Soon after a restart all teams count as over their limits.
    static constexpr double maximumMissedSums = 3;
    static constexpr double maximumMissedSumsWhileRepaying = 1.4;
    bool const isAfterRestart = table.initialQuota == InitialQuota::Empty && now - table.startedAt < tolerance.window;
    bool const areSumsMissing = tolerance.missedSums > (row.isRepaying && !isAfterRestart ? maximumMissedSumsWhileRepaying : maximumMissedSums);
    if (areSumsMissing)
        row.deploymentBucket.refilledAt = now;
    refill(row, now);
    // With many nodes the reports arrive too late to show when the burst is used up.
    static constexpr std::chrono::milliseconds maximumReportInterval { 500 };
    bool const isFirstStart = table.initialQuota == InitialQuota::Full && now - table.startedAt < discoveryTime;
    bool const hearsOthers = (tolerance.reportInterval <= maximumReportInterval && !areSumsMissing) || isFirstStart;
    bool const hasHeadroom = hearsOthers && row.deploymentBucket.level >= (row.isRepaying ? reservedFractionWhileRepaying : reservedFraction) * capacity;
    if (hasHeadroom) {
        row.isRepaying = false;
    } else {
        double const nodeCapacity = std::max(capacity * nodeBurstFraction * share, 1.0);
        // A full bucket admits one request of any size. The first ones of many nodes together are a large part of a window.
        if (row.deploymentBucket.level < -excessFraction * capacity && !std::exchange(row.isRepaying, true)) {
            (void)Limits::takeFromBucket(row.nodeBucket, 0, team.ratePerSecond * share, nodeCapacity, now);
            row.nodeBucket.level -= cost / 2;
        }
        // A team that has an excess soon after a restart had one before it, too.
        double const unknownExcess = row.isRepaying && isAfterRestart ? capacity : 0;
        double const rate = team.ratePerSecond * share * repaymentFactor(row.deploymentBucket.level - unknownExcess, capacity, unitsPerWindow);
        auto const wait = Limits::takeFromBucket(row.nodeBucket, cost, rate, nodeCapacity, now);
        if (wait)
            return std::chrono::ceil<std::chrono::milliseconds>(*wait);
    }
    row.deploymentBucket.level -= cost;
    row.admitted += cost;
    return std::nullopt;
}

}
