#include <LibForward/TeamQuota.h>

#include <algorithm>
#include <cmath>

namespace Forward {

// Short enough to follow a team that multiplies its traffic within a second.
static constexpr double demandHalfLifeSeconds = 2.0;

double quotaCost(Team const& team, std::optional<TokenCounts> const& tokens)
{
    if (team.unit == LimitUnit::Requests)
        return 1;
    return static_cast<double>(tokens ? tokens->promptTokens + tokens->maximumOutputTokens : team.plainRequestTokens);
}

static double decayedDemand(QuotaTable::Row const& row, Core::MonotonicTime now)
{
    return row.demand * std::exp2(-std::chrono::duration<double>(now - row.demandAt).count() / demandHalfLifeSeconds);
}

double quotaDemand(QuotaTable const& table, std::string_view team, Core::MonotonicTime now)
{
    auto const found = table.rows.find(team);
    return found == table.rows.end() ? 0 : decayedDemand(found->second, now);
}

std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable& table, Team const& team, double cost, double share, QuotaTolerance const& tolerance, Core::MonotonicTime now)
{
    // The rest of the slack is left for shares that the nodes see at slightly different times.
    static constexpr double usedSlack = 0.4;
    static double const arrivalWeight = std::log(2.0) / demandHalfLifeSeconds;
    auto& row = table.rows[team.name];
    row.demand = decayedDemand(row, now) + cost * arrivalWeight;
    row.demandAt = now;
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    double const rate = team.ratePerSecond * share;
    double const capacity = std::max((team.burst + usedSlack * tolerance.slack) * share, 1.0);
    auto const wait = Limits::takeFromBucket(row.bucket, cost, rate, capacity, now);
    if (!wait)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(*wait);
}

}
