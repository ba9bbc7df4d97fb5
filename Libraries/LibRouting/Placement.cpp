#include <LibRouting/Placement.h>

#include <algorithm>
#include <limits>
#include <tuple>
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
    /// The rank by which adaptive placement expects the prefix to be cached; see rankByExpectedCache().
    std::uint32_t cacheRank { 0 };
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
        candidate.cacheRank = candidate.homeRank = homeRank++;
    return candidates;
}

// Whether a server joined after the others, so recently that the prefixes whose first home it became are still at their previous ones.
// Each prefix moves at a time of its own, the same at all nodes, since those that move together are read again together.
static bool isJoining(Candidate const& candidate, Core::MonotonicTime oldestListedAt, Core::MonotonicTime now)
{
    static constexpr Core::Duration shortest = std::chrono::seconds(2);
    static constexpr std::chrono::duration<double> spread { 20 };
    // The servers that a node learns of at its start are listed one after the other.
    static constexpr Core::Duration startTolerance = std::chrono::seconds(3);
    // Bits of the weight that are independent of the rank.
    static constexpr std::uint64_t randomBits = 0xffff;
    auto const fraction = static_cast<double>(candidate.homeWeight & randomBits) / static_cast<double>(randomBits);
    auto const& row = *candidate.row;
    return row.firstListedAt > oldestListedAt + startTolerance && now - row.firstListedAt < shortest + std::chrono::duration_cast<Core::Duration>(fraction * spread);
}

// Load pattern: many servers join at once after others were lost, and half of the prefixes would be read again. A server that is joining
// ranks behind the previous homes, and is the next to get the prefix when those are loaded.
static void rankByExpectedCache(std::vector<Candidate>& candidates, Core::MonotonicTime now)
{
    // With more servers joining than there are, the load has to move at once.
    static constexpr std::size_t smallestFraction = 3;
    Core::MonotonicTime oldestListedAt = Core::MonotonicTime::max();
    for (auto const& candidate : candidates)
        oldestListedAt = std::min(oldestListedAt, candidate.row->firstListedAt);
    auto const joining = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](auto const& candidate) { return isJoining(candidate, oldestListedAt, now); }));
    if (joining == 0 || (candidates.size() - joining) * smallestFraction < candidates.size())
        return;
    std::uint32_t cacheRank = 0;
    for (auto& candidate : candidates)
        candidate.cacheRank = isJoining(candidate, oldestListedAt, now) ? cacheRank + 1 : cacheRank++;
}

// With adaptive placement, the server by whose cache the others are ranked.
static std::optional<Core::Endpoint> adaptiveCacheSourceFor(std::vector<Candidate> const& candidates, Candidate const& chosen, PlacementRequest const& request, PlacementCosts const& costs)
{
    if (request.sharedPrefixHash == 0 || request.sharedTokens < costs.minimumCopiedTokens)
        return std::nullopt;
    auto const source = std::find_if(candidates.begin(), candidates.end(), [](auto const& candidate) { return candidate.cacheRank == 0; });
    if (source == candidates.end() || &*source == &chosen)
        return std::nullopt;
    return source->row->endpoint;
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

static Placement placementAt(std::vector<Candidate> const& candidates, Candidate const& chosen, PlacementRequest const& request, PlacementCosts const& costs, Core::MonotonicTime now, double cost, std::optional<CostEstimate> const& estimate)
{
    auto const& row = *chosen.row;
    auto cacheSource = estimate && chosen.homeRank > 0 ? adaptiveCacheSourceFor(candidates, chosen, request, costs) : cacheSourceFor(candidates, chosen, request, costs, now);
    return { row.id, row.incarnation, row.revision, row.endpoint, chosen.homeRank, std::move(cacheSource), requestsInProgress(row), cost, estimate };
}

std::vector<Placement> rankServers(ServerTable const& table, PlacementRequest const& request, PlacementCosts costs, Core::MonotonicTime now, AdaptiveInputs const* adaptive)
{
    costs.unreportedRequests = 0;
    Core::Random unused(0);
    auto candidates = candidatesFor(table, request, now);
    auto const terms = adaptive ? adaptiveTerms(*adaptive, request, now) : std::nullopt;
    if (terms && request.sharedPrefixHash != 0)
        rankByExpectedCache(candidates, now);
    std::vector<std::pair<bool, Placement>> placements;
    for (auto const& candidate : candidates) {
        std::optional<CostEstimate> estimate;
        if (terms)
            estimate = estimateCost(*adaptive, *terms, *candidate.row, request, costs, candidate.cacheRank, unused, now);
        auto const cost = estimate ? estimate->cost : costOf(*candidate.row, request, costs, candidate.homeRank, unused);
        placements.emplace_back(candidate.row->backoffUntil > now, placementAt(candidates, candidate, request, costs, now, cost, estimate));
    }
    std::stable_sort(placements.begin(), placements.end(), [](auto const& left, auto const& right) { return std::tie(left.first, left.second.cost) < std::tie(right.first, right.second.cost); });
    std::vector<Placement> ranked;
    ranked.reserve(placements.size());
    for (auto& [isBackingOff, placement] : placements)
        ranked.push_back(std::move(placement));
    return ranked;
}

std::optional<Placement> placeRequest(ServerTable const& table, PlacementRequest const& request, PlacementCosts const& costs, Core::Random& random, Core::MonotonicTime now, Core::Error& error, AdaptiveInputs const* adaptive)
{
    auto candidates = candidatesFor(table, request, now);
    auto const terms = adaptive ? adaptiveTerms(*adaptive, request, now) : std::nullopt;
    if (terms && request.sharedPrefixHash != 0)
        rankByExpectedCache(candidates, now);
    std::optional<CostEstimate> lowestEstimate;
    // Servers in backoff are used only if there is no other.
    bool const anyNotBackingOff = std::any_of(candidates.begin(), candidates.end(), [&](auto const& candidate) { return candidate.row->backoffUntil <= now; });
    Candidate const* best = nullptr;
    double lowestCost = 0;
    for (auto const& candidate : candidates) {
        if (anyNotBackingOff && candidate.row->backoffUntil > now)
            continue;
        std::optional<CostEstimate> estimate;
        if (terms)
            estimate = estimateCost(*adaptive, *terms, *candidate.row, request, costs, candidate.cacheRank, random, now);
        auto const cost = estimate ? estimate->cost : costOf(*candidate.row, request, costs, candidate.homeRank, random);
        bool const isBetter = !best || cost < lowestCost || (cost == lowestCost && candidate.homeWeight > best->homeWeight);
        if (!isBetter)
            continue;
        best = &candidate;
        lowestCost = cost;
        lowestEstimate = estimate;
    }
    if (!best)
        return Core::fail(error, Core::ErrorKind::NoServerAvailable, "no backend server of service " + request.service + " accepts new requests");
    return placementAt(candidates, *best, request, costs, now, lowestCost, lowestEstimate);
}

}
