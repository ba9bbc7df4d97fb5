#include <LibRouting/Placement.h>

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace Routing {

std::uint32_t requestsInProgress(ServerRow const& row)
{
    return row.outstanding + row.peerOutstanding;
}

static bool isUsable(ServerRow const& row, PlacementRequest const& request)
{
    return row.service == request.service && row.lifecycle == Lifecycle::Live
        && std::find(request.excludedServers.begin(), request.excludedServers.end(), row.id) == request.excludedServers.end();
}

static std::uint64_t homeWeight(std::uint64_t prefix, std::string const& serverId)
{
    return XXH3_64bits_withSeed(serverId.data(), serverId.size(), prefix);
}

static std::uint32_t homeRank(std::vector<ServerRow const*> const& candidates, ServerRow const& row, std::uint64_t prefix)
{
    auto const weight = homeWeight(prefix, row.id);
    auto const ahead = std::count_if(candidates.begin(), candidates.end(), [&](ServerRow const* other) { return homeWeight(prefix, other->id) > weight; });
    return static_cast<std::uint32_t>(ahead);
}

static double costOf(ServerRow const& row, PlacementRequest const& request, PlacementCosts const& costs, std::uint32_t rank, Core::Random& random)
{
    // A straggler is left to its requests in progress while any other server is near it in cost.
    static constexpr double stragglerFactor = 4;
    auto const load = requestsInProgress(row);
    // Engines run many requests at once; plain services few, and each beyond the slots waits.
    static constexpr std::uint32_t engineSlots = 16;
    double const perRequest = row.slots > engineSlots ? costs.perEngineRequest : costs.perPlainRequest / std::max(row.slots, 1U);
    // More than a part of the slots would hide which servers are full.
    static constexpr double largestPartOfSlots = 0.5;
    double const unseenRequests = std::min(costs.unseenRequests, largestPartOfSlots * std::max(row.slots, 1U)) * random.unit();
    double cost = (load + unseenRequests) * perRequest;
    if (row.slots > engineSlots && load > row.slots)
        cost += (load - row.slots) * costs.perWaitingEngineRequest;
    if (request.sharedPrefix != 0 && rank >= costs.homesPerPrefix)
        cost += request.sharedTokens * costs.perUncachedToken;
    if (row.pace == Pace::Straggler)
        cost = (cost + perRequest) * stragglerFactor + perRequest * engineSlots;
    if (row.dataCentre != request.dataCentre)
        cost += costs.otherDataCentre;
    if (row.isProbablyCutOff)
        cost += costs.probablyCutOff;
    return cost;
}

std::optional<Placement> placeRequest(ServerTable const& table, PlacementRequest const& request, PlacementCosts const& costs, Core::Random& random, Core::MonotonicTime now, Core::LastReason& reason)
{
    std::vector<ServerRow const*> candidates;
    for (auto const& row : table.rows) {
        if (isUsable(row, request))
            candidates.push_back(&row);
    }
    // Servers that just failed are used only if no other is left.
    bool const someAreSound = std::any_of(candidates.begin(), candidates.end(), [&](ServerRow const* row) { return row->avoidUntil <= now; });
    std::optional<Placement> best;
    for (auto const* row : candidates) {
        if (someAreSound && row->avoidUntil > now)
            continue;
        auto const rank = request.sharedPrefix == 0 ? 0 : homeRank(candidates, *row, request.sharedPrefix);
        auto const cost = costOf(*row, request, costs, rank, random);
        bool const isTie = best && cost == best->cost;
        if (best && (cost > best->cost || (isTie && homeWeight(request.sharedPrefix, row->id) < homeWeight(request.sharedPrefix, best->serverId))))
            continue;
        best = Placement { row->id, row->incarnation, row->endpoint, rank, requestsInProgress(*row), cost };
    }
    if (!best)
        return Core::fail(reason, Core::ErrorKind::NoServerAvailable, "no server of " + request.service + " accepts work");
    return best;
}

}
