#include <LibRouting/Placement.h>

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace Routing {

std::uint32_t requestsInProgress(ServerRow const& row)
{
    return row.outstanding + row.peerOutstanding;
}

std::optional<Core::Duration> predictedWait(ServerTable const& table, std::string const& service, Core::MonotonicTime now)
{
    std::optional<double> shortest;
    bool areAllPaused = true;
    for (auto const& row : table.rows) {
        if (row.service != service || row.lifecycle != Lifecycle::Live || row.absence || isPaused(table, row, now))
            continue;
        areAllPaused = false;
        if (row.slots == 0 || row.serviceTime.samples == 0)
            continue;
        auto const load = requestsInProgress(row) + 1;
        double const waiting = load > row.slots ? load - row.slots : 0;
        double const seconds = waiting * row.serviceTime.secondsPerUnit / row.slots;
        shortest = std::min(shortest.value_or(seconds), seconds);
    }
    if (auto const endOfPause = firstEndOfPause(table, service, now); endOfPause && areAllPaused)
        return *endOfPause - now;
    if (!shortest)
        return std::nullopt;
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(*shortest));
}

bool isPermitted(ServerFilter const& filter, ServerRow const& row)
{
    auto const contains = [](std::vector<std::string> const& names, std::string const& name) { return std::find(names.begin(), names.end(), name) != names.end(); };
    return filter.servers.empty() ? !contains(filter.excludedVersions, row.version) : contains(filter.servers, row.id);
}

static bool isUsable(ServerTable const& table, ServerRow const& row, PlacementRequest const& request, Core::MonotonicTime now)
{
    return row.service == request.service && row.lifecycle == Lifecycle::Live && !isAbsent(row, now) && !isPaused(table, row, now) && isPermitted(request.filter, row)
        && std::find(request.excludedServers.begin(), request.excludedServers.end(), row.id) == request.excludedServers.end();
}

static std::uint64_t homeWeight(std::uint64_t prefix, std::string const& serverId)
{
    return XXH3_64bits_withSeed(serverId.data(), serverId.size(), prefix);
}

namespace {

// A usable server with its rank among the homes of the request's prefix.
struct Candidate {
    ServerRow const* row;
    std::uint64_t homeWeight;
    std::uint32_t homeRank { 0 };
};

}

// Sorted by home rank if the request has a shared prefix, else in no particular order.
static std::vector<Candidate> candidatesFor(ServerTable const& table, PlacementRequest const& request, Core::MonotonicTime now)
{
    std::vector<Candidate> candidates;
    for (auto const& row : table.rows) {
        if (isUsable(table, row, request, now))
            candidates.push_back({ &row, homeWeight(request.sharedPrefixHash, row.id) });
    }
    if (request.sharedPrefixHash == 0)
        return candidates;
    std::sort(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) { return left.homeWeight > right.homeWeight; });
    std::uint32_t homeRank = 0;
    for (auto& candidate : candidates)
        candidate.homeRank = homeRank++;
    return candidates;
}

// The prefix's first home, or its previous one if the chosen server became the first home only recently.
static std::optional<Core::Endpoint> cacheSourceFor(std::vector<Candidate> const& candidates, Candidate const& chosen, PlacementRequest const& request, PlacementCosts const& costs, Core::MonotonicTime now)
{
    // Most prefixes are requested again within about this time.
    static constexpr Core::Duration cacheWarmUpTime = std::chrono::seconds(12);
    if (request.sharedPrefixHash == 0 || request.sharedTokens < costs.minimumCopiedTokens || candidates.size() < 2)
        return std::nullopt;
    if (chosen.homeRank > 0)
        return candidates.front().row->endpoint;
    if (now - chosen.row->firstListedAt < cacheWarmUpTime)
        return candidates[1].row->endpoint;
    return std::nullopt;
}

static double costOf(ServerRow const& row, PlacementRequest const& request, PlacementCosts const& costs, std::uint32_t homeRank, Core::Random& random)
{
    // A straggler gets no new requests while the cost of any other server is comparable.
    static constexpr double stragglerFactor = 4;
    auto const load = requestsInProgress(row);
    // Requests that a straggler is assumed to have in progress.
    static constexpr std::uint32_t stragglerRequests = 16;
    bool const isGeneration = request.work == WorkKind::Generation;
    double const perRequest = isGeneration ? costs.perEngineRequest : costs.perPlainRequest / std::max(row.slots, 1U);
    // A larger random part would hide which servers are full.
    static constexpr double maximumSlotFraction = 0.5;
    double const unreportedRequests = std::min(costs.unreportedRequests, maximumSlotFraction * std::max(row.slots, 1U)) * random.unit();
    double cost = (load + unreportedRequests) * perRequest;
    if (isGeneration && row.slots > 0 && load >= row.slots)
        cost += (load + 1 - row.slots) * costs.perWaitingEngineRequest;
    if (request.sharedPrefixHash != 0 && homeRank >= costs.homesPerPrefix)
        cost += request.sharedTokens * costs.perUncachedToken;
    if (row.stragglerState == StragglerState::Straggler)
        cost = (cost + perRequest) * stragglerFactor + perRequest * stragglerRequests;
    if (row.dataCentre != request.dataCentre)
        cost += costs.crossDataCentre;
    if (row.isPartitionSuspected)
        cost += costs.suspectedPartition;
    return cost;
}

std::optional<Placement> placeRequest(ServerTable const& table, PlacementRequest const& request, PlacementCosts const& costs, Core::Random& random, Core::MonotonicTime now, Core::Error& error)
{
    auto const candidates = candidatesFor(table, request, now);
    // Servers in backoff are used only if there is no other.
    bool const anyNotBackingOff = std::any_of(candidates.begin(), candidates.end(), [&](auto const& candidate) { return candidate.row->backoffUntil <= now; });
    Candidate const* best = nullptr;
    double lowestCost = 0;
    for (auto const& candidate : candidates) {
        if (anyNotBackingOff && candidate.row->backoffUntil > now)
            continue;
        auto const cost = costOf(*candidate.row, request, costs, candidate.homeRank, random);
        bool const isBetter = !best || cost < lowestCost || (cost == lowestCost && candidate.homeWeight > best->homeWeight);
        if (!isBetter)
            continue;
        best = &candidate;
        lowestCost = cost;
    }
    if (!best)
        return Core::fail(error, Core::ErrorKind::NoServerAvailable, "no backend server of service " + request.service + " accepts new requests");
    auto const& row = *best->row;
    return Placement { row.id, row.incarnation, row.revision, row.endpoint, best->homeRank, cacheSourceFor(candidates, *best, request, costs, now), requestsInProgress(row), lowestCost };
}

}
