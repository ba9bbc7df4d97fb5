#include <LibForward/TeamQuota.h>

#include <algorithm>
#include <cmath>

namespace Forward {

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
    using namespace std::chrono_literals;
    // Upper end of the range in deployments.
    static constexpr double nodesPerServer = 1.5;
    // Slightly longer than the interval between two reports.
    static constexpr Core::Duration settlingTime = 300ms;
    static constexpr Core::Duration discoveryTime = 1500ms;
    bool const isNew = table.initialQuota == InitialQuota::Empty && now - table.startedAt < discoveryTime;
    bool const hasDiscoveredPeers = peers.knownNodes > 1 && now - peers.lastNewPeerAt > settlingTime;
    if (isNew && !hasDiscoveredPeers)
        return 1 / std::max(nodesPerServer * static_cast<double>(servers), static_cast<double>(peers.knownNodes));
    return demandBasedShare(peers, team);
}

void chargeQuota(QuotaTable& table, std::string_view team, double admittedElsewhere)
{
    auto const found = table.rows.find(team);
    if (found != table.rows.end() && found->second.deploymentBucket.initialized)
        found->second.deploymentBucket.level -= admittedElsewhere;
}

// The factor on the rate while an excess is repaid, which is the lower the larger the excess: with many nodes more is admitted before all
// of them know that the burst is used up.
static double repaymentFactor(double level, double capacity)
{
    static constexpr double highestFactor = 0.95;
    static constexpr double lowestFactor = 0.6;
    if (level >= 0)
        return 1;
    return std::max(highestFactor + level / capacity * (highestFactor - lowestFactor), lowestFactor);
}

// The rest of the slack covers what the nodes admit before they receive each other's reports.
static constexpr double usableSlackFraction = 0.4;
// Fraction of the burst that a node's share may accumulate.
static constexpr double nodeBurstFraction = 0.25;

static double bucketCapacity(Team const& team, QuotaTolerance const& tolerance)
{
    return std::max(team.burst + usableSlackFraction * tolerance.slack, 1.0);
}

static QuotaTable::Row& rowOf(QuotaTable& table, Team const& team, QuotaTolerance const& tolerance)
{
    auto [position, isNew] = table.rows.try_emplace(team.name);
    // What the nodes admit from their shares of the burst after a restart is repaid later.
    if (isNew && table.initialQuota == InitialQuota::Empty)
        position->second.deploymentBucket = { .level = -nodeBurstFraction * bucketCapacity(team, tolerance), .refilledAt = table.startedAt, .initialized = true };
    return position->second;
}

void prepareQuota(QuotaTable& table, Team const& team, QuotaTolerance const& tolerance)
{
    if (team.ratePerSecond > 0 && table.initialQuota == InitialQuota::Empty)
        (void)rowOf(table, team, tolerance);
}

std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable& table, Team const& team, double cost, double share, QuotaTolerance const& tolerance, Core::MonotonicTime now)
{
    // A team whose traffic multiplies uses up this fraction of the burst within about the delay of the reports.
    static constexpr double reservedFraction = 0.5;
    auto& row = rowOf(table, team, tolerance);
    // No window has room for it, and its costs would displace the team's other requests for long.
    double const mostOfAWindow = std::max(team.ratePerSecond * static_cast<double>(tolerance.window.count()) + team.burst + tolerance.slack, 1.0);
    if (team.ratePerSecond > 0 && cost > mostOfAWindow)
        return tolerance.window;
    row.demand = decayedDemand(row, now) + cost * arrivalWeight;
    row.demandUpdatedAt = now;
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    double const capacity = bucketCapacity(team, tolerance);
    // Refill the bucket without taking anything.
    (void)Limits::takeFromBucket(row.deploymentBucket, 0, team.ratePerSecond * (1 - tolerance.silentShare), capacity, now);
    // With many nodes the reports arrive too late to show when the burst is used up.
    static constexpr std::chrono::milliseconds maximumReportInterval { 500 };
    bool const hasHeadroom = tolerance.reportInterval <= maximumReportInterval && row.deploymentBucket.level >= reservedFraction * capacity;
    if (!hasHeadroom) {
        double const rate = team.ratePerSecond * share * repaymentFactor(row.deploymentBucket.level, capacity);
        auto const wait = Limits::takeFromBucket(row.nodeBucket, cost, rate, std::max(capacity * nodeBurstFraction * share, 1.0), now);
        if (wait)
            return std::chrono::ceil<std::chrono::milliseconds>(*wait);
    }
    row.deploymentBucket.level -= cost;
    row.admitted += cost;
    return std::nullopt;
}

}
