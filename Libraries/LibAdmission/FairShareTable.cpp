#include <LibAdmission/FairShareTable.h>

#include <algorithm>
#include <cmath>

namespace Admission {

using namespace std::chrono_literals;

void recordRequest(FairShareTable& table, std::string_view team, double units, double work, Core::MonotonicTime now)
{
    static constexpr double weight = 0.1;
    auto const [found, isNew] = table.rows.try_emplace(std::string(team));
    auto& row = found->second;
    if (isNew)
        row.firstAt = row.updatedAt = now;
    row.unitsPerRequest += (isNew ? 1 : weight) * (std::max(units, 1.0) - row.unitsPerRequest);
    Limits::recordAdmittedWork(table.work, team, work, now);
}

void updateDemand(FairShareTable& table, std::string_view team, double demand, Core::MonotonicTime now)
{
    // A demand that stays is the usual one after about a minute. A flood must not become usual while it lasts.
    static constexpr double initialSeconds = 5;
    static constexpr double riseSeconds = 90;
    static constexpr double fallSeconds = 20;
    auto const [found, isNew] = table.rows.try_emplace(std::string(team));
    auto& row = found->second;
    if (isNew)
        row.firstAt = row.updatedAt = now;
    double const elapsed = std::max(std::chrono::duration<double>(now - row.updatedAt).count(), 0.0);
    double const age = std::chrono::duration<double>(now - row.firstAt).count();
    row.updatedAt = now;
    row.demand = demand;
    // The first measurements rise from zero.
    double const timeConstant = age < initialSeconds ? 1 : demand > row.usualDemand ? riseSeconds
                                                                                    : fallSeconds;
    row.usualDemand += (1 - std::exp(-elapsed / timeConstant)) * (demand - row.usualDemand);
}

// Compared with the usual demand of the team, or with a part of the mean of all teams if that is more.
static double aboveUsual(FairShareTable::Row const& row, double meanUsualDemand, Core::MonotonicTime now)
{
    static constexpr Core::Duration settlingTime = 4s;
    static constexpr double smallTeamShare = 0.5;
    static constexpr double lowestRatio = 1.5;
    static constexpr double highestRatio = 4;
    // The demand is a mean over about three seconds, in which the number of requests has about this deviation.
    static constexpr double deviationFactor = 0.4;
    static constexpr double deviations = 3;
    static constexpr double requestsPerSecond = 1;
    if (now - row.firstAt < settlingTime)
        return 0;
    double const usual = std::max(row.usualDemand, smallTeamShare * meanUsualDemand);
    double const excessRequests = (row.demand - usual) / row.unitsPerRequest;
    if (usual <= 0 || excessRequests < requestsPerSecond + deviations * deviationFactor * std::sqrt(usual / row.unitsPerRequest))
        return 0;
    return std::clamp((row.demand / usual - lowestRatio) / (highestRatio - lowestRatio), 0.0, 1.0);
}

TeamStanding standingOf(FairShareTable const& table, std::string_view team, Core::MonotonicTime now)
{
    // Some teams are always larger than others, which counts less than a change.
    static constexpr double lowestShareRatio = 3;
    static constexpr double highestShareRatio = 8;
    static constexpr double largeTeamWeight = 0.3;
    TeamStanding standing;
    double demand = 0;
    double usualDemand = 0;
    std::map<std::string, double, std::less<>> shares;
    for (auto const& [name, row] : table.rows) {
        demand += row.demand;
        usualDemand += row.usualDemand;
        shares[name] = 1;
    }
    if (demand <= 0 || !table.rows.contains(team))
        return standing;
    double const meanUsualDemand = usualDemand / static_cast<double>(table.rows.size());
    for (auto const& [name, row] : table.rows) {
        double const above = aboveUsual(row, meanUsualDemand, now);
        standing.demandAboveUsual += above * row.demand / demand;
        if (name == team)
            standing.aboveUsual = above;
    }
    auto const share = Limits::teamShare(table.work, shares, team, now);
    double const ratio = share.workShare / std::max(share.fairShare, 1e-6);
    standing.aboveUsual = std::max(standing.aboveUsual, largeTeamWeight * std::clamp((ratio - lowestShareRatio) / (highestShareRatio - lowestShareRatio), 0.0, 1.0));
    return standing;
}

}
