#include <LibRouting/ServerChoice.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdio>
#include <span>
#include <xxhash.h>

namespace Routing {

using namespace std::chrono_literals;

static constexpr double assumedSecondsPerUnit = 0.02;
// Data centres of a region are about 1 ms apart. A larger penalty overloads the servers of a data centre that has few of them.
static constexpr double otherDataCentrePenaltySeconds = 0.02;
// An ordinary request may wait this long for the prefill of a long one.
static constexpr double ordinaryMismatchPenaltySeconds = 0.5;
// A long request delays the server's whole batch. With 0.5 s, a load difference of a fifth of a batch sent long requests to servers
// for ordinary ones.
static constexpr double longMismatchPenaltySeconds = 4;
static constexpr auto probeInterval = 1s;

static double secondsPerUnit(ServerRow const& row)
{
    return row.serviceTime.samples > 0 ? row.serviceTime.secondsPerUnit : assumedSecondsPerUnit;
}

static double prefillSeconds(ServerTable const& table, RoutingRequest const& request, std::size_t cachedTokens)
{
    auto const uncached = static_cast<double>(request.promptTokens + request.generatedTokens) - static_cast<double>(cachedTokens);
    return std::max(uncached, 0.0) * prefillSecondsPerToken(table, request.service);
}

static double predictedWait(ServerTable const& table, ServerRow const& row, RoutingRequest const& request, std::size_t cachedTokens, Core::MonotonicTime now)
{
    double const load = estimatedLoad(row, now);
    double const slots = slotsOf(row);
    double const secondsPerRequest = secondsPerUnit(row) * std::max(request.expectedTokens, 1U);
    // Without a queue, a larger batch only slows down its requests; predictedTotal() adds that.
    double const queue = std::max(0.0, load + 1 - slots) * secondsPerRequest / slots;
    return queue + prefillSeconds(table, request, cachedTokens);
}

static double predictedTotal(ServerTable const& table, ServerRow const& row, RoutingRequest const& request, std::size_t cachedTokens, double wait, Core::MonotonicTime now)
{
    double const occupancy = std::min(1.0, estimatedLoad(row, now) / static_cast<double>(slotsOf(row)));
    double const decode = secondsPerUnit(row) * request.expectedTokens * (1 + occupancy);
    double const distance = row.dataCentre == request.dataCentre ? 0 : otherDataCentrePenaltySeconds;
    // The other requests of the batch are stalled while a prompt is prefilled.
    double const others = std::min<double>(estimatedLoad(row, now), slotsOf(row)) * prefillSeconds(table, request, cachedTokens);
    return wait + decode + distance + others;
}

static bool isUsable(ServerRow const& row, RoutingRequest const& request, Core::MonotonicTime now)
{
    if (row.service != request.service || row.lifecycle == Lifecycle::Leaving || row.backoffUntil > now)
        return false;
    if (!request.version.empty() && !row.version.empty() && row.version != request.version)
        return false;
    return std::find(request.excludedServers.begin(), request.excludedServers.end(), row.id) == request.excludedServers.end();
}

static bool isDueProbe(ServerRow const& row, Core::MonotonicTime now)
{
    return row.stragglerState == StragglerState::Straggler && now >= row.nextProbeAt && row.outstanding == 0;
}

struct Candidate {
    ServerRow* row;
    std::size_t cachedTokens;
    double wait;
    double score;
};

static std::vector<ServerRow*> usableRows(ServerTable& table, RoutingRequest const& request, Core::MonotonicTime now)
{
    std::vector<ServerRow*> normal;
    std::vector<ServerRow*> stragglers;
    for (auto& row : table.rows) {
        if (!isUsable(row, request, now))
            continue;
        bool const isAvoided = row.stragglerState == StragglerState::Straggler && request.policy == RoutingPolicy::PredictedTime;
        (isAvoided ? stragglers : normal).push_back(&row);
    }
    return normal.empty() ? stragglers : normal;
}

static ServerRow* findProbe(ServerTable& table, RoutingRequest const& request, Core::MonotonicTime now)
{
    // Long requests are not used as probes, so that a straggler does not slow them down.
    static constexpr std::uint32_t maximumProbeTokens = 64;
    if (request.policy != RoutingPolicy::PredictedTime || request.expectedTokens > maximumProbeTokens)
        return nullptr;
    for (auto& row : table.rows) {
        if (isUsable(row, request, now) && isDueProbe(row, now))
            return &row;
    }
    return nullptr;
}

enum class PrefixHome {
    Yes,
    No,
};

static Candidate scoreCandidate(ServerTable const& table, ServerRow* row, PrefixIndex const& prefixes, RoutingRequest const& request, Core::MonotonicTime now, PrefixHome home = PrefixHome::No)
{
    Candidate candidate { row, prefixes.cachedTokens(row->id, request.prefixHashes), 0, 0 };
    // A home has probably cached a part of the prompt for other nodes; this node learns of that late or never.
    std::size_t const expected = home == PrefixHome::Yes ? request.promptTokens / 2 : 0;
    auto const cached = std::max(candidate.cachedTokens, expected);
    candidate.wait = predictedWait(table, *row, request, cached, now);
    candidate.score = predictedTotal(table, *row, request, cached, candidate.wait, now);
    return candidate;
}

/// The homes of a prefix: the servers that all nodes choose for it by rendezvous hashing of its first blocks. There are two, so that
/// a popular prefix does not overload a single server.
using PrefixHomes = std::array<ServerRow const*, 2>;

// Chooses among the servers preferred for the request's length.
static PrefixHomes prefixHomes(std::span<ServerRow* const> rows, RoutingRequest const& request)
{
    // The length of the shared part is unknown. Requests that share a prefix at all mostly share a short one.
    static constexpr std::size_t maximumBlocks = 8;
    PrefixHomes homes {};
    auto const blocks = std::min(std::bit_floor(request.prefixHashes.size() / 2), maximumBlocks);
    if (blocks == 0)
        return homes;
    std::array<std::uint64_t, 2> weights {};
    for (auto const* row : rows) {
        auto const weight = XXH3_64bits_withSeed(row->id.data(), row->id.size(), request.prefixHashes[blocks - 1]);
        if (!homes[0] || weight > weights[0]) {
            homes = { row, homes[0] };
            weights = { weight, weights[0] };
        } else if (!homes[1] || weight > weights[1]) {
            homes[1] = row;
            weights[1] = weight;
        }
    }
    return homes;
}

// A long prompt delays the whole batch while it is prefilled, so long and ordinary requests prefer different servers. Moves the
// preferred servers to the front and returns their number.
static std::size_t preferByLength(ServerTable const& table, std::vector<ServerRow*>& rows, RoutingRequest const& request)
{
    auto const reserved = serversForLongWork(table, request.service, request.longShare);
    if (reserved.empty())
        return rows.size();
    auto const others = std::stable_partition(rows.begin(), rows.end(), [&](auto const* row) {
        bool const isReserved = std::find(reserved.begin(), reserved.end(), row->id) != reserved.end();
        return isReserved == (request.length == WorkLength::Long);
    });
    return static_cast<std::size_t>(others - rows.begin());
}

static std::vector<Candidate> sampleCandidates(ServerTable const& table, std::vector<ServerRow*> rows, PrefixIndex const& prefixes, RoutingRequest const& request, Core::MonotonicTime now, Core::Random& random)
{
    static constexpr std::size_t randomChoices = 2;
    std::shuffle(rows.begin(), rows.end(), random.engine());
    // In a large data centre only a sample of the servers is polled for load, so servers with a known load go first.
    std::stable_partition(rows.begin(), rows.end(), [&](auto const* row) { return hasRecentReport(*row, now); });
    auto const preferred = preferByLength(table, rows, request);
    double const mismatchPenaltySeconds = request.length == WorkLength::Long ? longMismatchPenaltySeconds : ordinaryMismatchPenaltySeconds;
    auto const homes = prefixHomes({ rows.data(), preferred }, request);
    std::vector<Candidate> candidates;
    // The best of the servers that have a part of the prompt cached and are not sampled.
    std::optional<Candidate> bestCached;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        bool const isPreferred = index < preferred;
        // One server that is not preferred is a candidate too, in case the preferred ones are full.
        bool const isSampled = isPreferred ? index < randomChoices : index == preferred;
        bool const isHome = rows[index] == homes[0] || rows[index] == homes[1];
        bool const hasPrefix = isHome || prefixes.cachedTokens(rows[index]->id, request.prefixHashes) > 0;
        if (!isSampled && !hasPrefix)
            continue;
        auto candidate = scoreCandidate(table, rows[index], prefixes, request, now, isHome ? PrefixHome::Yes : PrefixHome::No);
        candidate.score += isPreferred ? 0 : mismatchPenaltySeconds;
        if (isSampled)
            candidates.push_back(candidate);
        else if (!bestCached || candidate.score < bestCached->score)
            bestCached = candidate;
    }
    if (bestCached)
        candidates.push_back(*bestCached);
    return candidates;
}

static std::uint32_t reportedLoad(ServerRow const& row)
{
    return row.report ? row.report->running + row.report->waiting : 0;
}

static Candidate chooseBaseline(ServerTable const& table, std::vector<ServerRow*> rows, PrefixIndex const& prefixes, RoutingRequest const& request, Core::MonotonicTime now, Core::Random& random)
{
    auto const loadOf = [&](ServerRow const* row) { return request.policy == RoutingPolicy::ReportedLoad ? reportedLoad(*row) : row->outstanding; };
    // Breaks ties at random; otherwise all nodes would prefer the servers listed first.
    std::shuffle(rows.begin(), rows.end(), random.engine());
    auto const least = std::min_element(rows.begin(), rows.end(), [&](auto const* left, auto const* right) { return loadOf(left) < loadOf(right); });
    return scoreCandidate(table, *least, prefixes, request, now);
}

static std::string explain(std::vector<Candidate> const& candidates)
{
    std::string text;
    for (auto const& candidate : candidates) {
        char buffer[96];
        std::snprintf(buffer, sizeof(buffer), " score=%.3fs wait=%.3fs cached=%zu outstanding=%u", candidate.score, candidate.wait, candidate.cachedTokens, candidate.row->outstanding);
        text += (text.empty() ? "" : "; ") + candidate.row->id + buffer;
    }
    return text;
}

static ServerChoice choiceFrom(Candidate const& candidate, std::string explanation)
{
    return { candidate.row->id, candidate.row->incarnation, candidate.row->endpoint, candidate.wait, candidate.cachedTokens, std::move(explanation) };
}

std::optional<ServerChoice> chooseServer(ServerTable& table, PrefixIndex const& prefixes, RoutingRequest const& request, Core::MonotonicTime now, Core::Random& random, Core::Error& error)
{
    if (auto* probe = findProbe(table, request, now)) {
        probe->nextProbeAt = now + probeInterval;
        return choiceFrom(scoreCandidate(table, probe, prefixes, request, now), probe->id + " probe of a straggler");
    }
    auto const rows = usableRows(table, request, now);
    if (rows.empty())
        return Core::fail(error, Core::ErrorKind::NoServerAvailable, "no backend server of service " + request.service + " accepts new requests");
    if (request.policy != RoutingPolicy::PredictedTime) {
        auto const least = chooseBaseline(table, rows, prefixes, request, now, random);
        return choiceFrom(least, explain({ least }));
    }
    auto const candidates = sampleCandidates(table, rows, prefixes, request, now, random);
    auto const best = std::min_element(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) { return left.score < right.score; });
    return choiceFrom(*best, explain(candidates));
}

std::optional<double> shortestPredictedWait(ServerTable const& table, RoutingRequest const& request, Core::MonotonicTime now)
{
    std::optional<double> shortest;
    for (auto const& row : table.rows) {
        if (!isUsable(row, request, now))
            continue;
        auto const wait = predictedWait(table, row, request, 0, now);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

}
