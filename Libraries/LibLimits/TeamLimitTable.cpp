#include <LibLimits/TeamLimitTable.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Limits {

static constexpr double equalFraction = 0.2;
static constexpr double demandHalfLifeSeconds = 2.0;
static constexpr double burstSeconds = 1.0;

double nodeLimitFraction(DemandSnapshot const& snapshot)
{
    double const nodes = std::max(snapshot.nodesInDataCentre, 1U);
    double const dataCentreFraction = nodes / std::max<double>(snapshot.nodesInDeployment, nodes);
    double const total = snapshot.ownDemand + std::accumulate(snapshot.otherDemands.begin(), snapshot.otherDemands.end(), 0.0);
    double const byDemand = total > 0 ? snapshot.ownDemand / total : 1 / nodes;
    return dataCentreFraction * (equalFraction / nodes + (1 - equalFraction) * byDemand);
}

std::optional<Core::Duration> takeFromBucket(TokenBucket& bucket, double amount, double rate, Core::MonotonicTime now)
{
    return takeFromBucket(bucket, amount, rate, std::max(rate * burstSeconds, 1.0), now);
}

std::optional<Core::Duration> takeFromBucket(TokenBucket& bucket, double amount, double rate, double capacity, Core::MonotonicTime now)
{
    double const elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.level = bucket.initialized ? std::min(capacity, bucket.level + std::max(elapsed, 0.0) * rate) : capacity;
    bucket.refilledAt = now;
    bucket.initialized = true;
    // An amount above the capacity could never be taken, so it is taken from a full bucket and leaves a negative level.
    double const needed = std::min(amount, capacity);
    if (bucket.level >= needed) {
        bucket.level -= amount;
        return std::nullopt;
    }
    // Longer waits need not be in the range of the clock.
    static constexpr std::chrono::duration<double> maximumWait = std::chrono::hours(24);
    std::chrono::duration<double> const wait((needed - bucket.level) / rate);
    return std::chrono::duration_cast<Core::Duration>(std::min(wait, maximumWait));
}

static double decayedDemand(TeamLimitTable::Row const& row, Core::MonotonicTime now)
{
    double const elapsed = std::chrono::duration<double>(now - row.demandUpdatedAt).count();
    return row.demand * std::exp2(-elapsed / demandHalfLifeSeconds);
}

void recordDemand(TeamLimitTable& table, std::string_view team, Core::MonotonicTime now)
{
    // With this weight, the decaying sum of the arrivals converges to the arrival rate.
    static double const arrivalWeight = std::log(2.0) / demandHalfLifeSeconds;
    auto& row = table.rows[std::string(team)];
    row.demand = decayedDemand(row, now) + arrivalWeight;
    row.demandUpdatedAt = now;
}

double demandOf(TeamLimitTable const& table, std::string_view team, Core::MonotonicTime now)
{
    auto const found = table.rows.find(team);
    return found == table.rows.end() ? 0 : decayedDemand(found->second, now);
}

static void rejectOverLimit(Core::Error& error, std::string message, Core::Duration wait)
{
    Core::fail(error, Core::ErrorKind::TeamLimitExceeded, std::move(message));
    error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
}

bool admit(TeamLimitTable& table, std::string_view team, TeamLimit const& limit, double limitFraction, std::uint32_t expectedTokens, Core::MonotonicTime now, Core::Error& error)
{
    auto& row = table.rows[std::string(team)];
    if (limit.concurrentRequests > 0 && row.inProgress >= std::max(std::ceil(limit.concurrentRequests * limitFraction), 1.0)) {
        rejectOverLimit(error, "team " + std::string(team) + " exceeds its limit on concurrent requests", std::chrono::seconds(1));
        return false;
    }
    if (limit.tokensPerSecond > 0) {
        // Taken first and returned below, so that a request refused by one limit does not consume the other.
        if (auto const wait = takeFromBucket(row.tokens, expectedTokens, limit.tokensPerSecond * limitFraction, now)) {
            rejectOverLimit(error, "team " + std::string(team) + " exceeds its limit on tokens per second", *wait);
            return false;
        }
    }
    if (limit.requestsPerSecond > 0) {
        if (auto const wait = takeFromBucket(row.requests, 1, limit.requestsPerSecond * limitFraction, now)) {
            row.tokens.level += limit.tokensPerSecond > 0 ? expectedTokens : 0;
            rejectOverLimit(error, "team " + std::string(team) + " exceeds its limit on requests per second", *wait);
            return false;
        }
    }
    ++row.inProgress;
    return true;
}

void release(TeamLimitTable& table, std::string_view team, std::uint32_t expectedTokens, std::uint32_t usedTokens)
{
    auto const found = table.rows.find(team);
    if (found == table.rows.end())
        return;
    auto& row = found->second;
    if (row.inProgress > 0)
        --row.inProgress;
    row.tokens.level += static_cast<double>(expectedTokens) - static_cast<double>(usedTokens);
}

}
