#include <LibRouting/AdaptiveCost.h>

#include <LibRouting/Placement.h>
#include <algorithm>
#include <cmath>

namespace Routing {

std::optional<AdaptiveTerms> adaptiveTerms(AdaptiveInputs const& inputs, PlacementRequest const& request, Core::MonotonicTime now)
{
    if (request.work != WorkKind::Generation || !isSpeedKnown(inputs.speeds, request.service))
        return std::nullopt;
    AdaptiveTerms terms;
    terms.speed = &inputs.speeds.services.find(request.service)->second;
    terms.secondsPerToken = 1 / terms.speed->tokensPerSecond;
    static constexpr double deviations = 2;
    terms.unreadTokensPerRequest = unreadTokensPerRequest(*terms.speed);
    auto const nodesPerServer = static_cast<double>(inputs.conditions.nodes) / static_cast<double>(std::max<std::size_t>(inputs.conditions.servers, 1));
    terms.arrivalsPerServer = placementRate(*terms.speed, now) * nodesPerServer;
    auto const generating = terms.arrivalsPerServer * std::max(0.0, terms.speed->meanSeconds - terms.speed->meanSecondsToFirstEvent);
    terms.usualLoad = generating + deviations * std::sqrt(generating);
    terms.homes = homesNeeded(inputs.residency, request.sharedPrefixHash, request.ownTokens * terms.secondsPerToken, inputs.conditions, now);
    return terms;
}

// The first homes hold a prefix by agreement. A later one may, since all nodes use them in the same order when those before are loaded.
static double tokensHeldAtHome(PlacementRequest const& request, std::uint32_t homes, std::uint32_t homeRank)
{
    static constexpr std::uint32_t furtherHomes = 3;
    if (request.sharedPrefixHash == 0 || homeRank >= homes + furtherHomes)
        return 0;
    if (homeRank < homes)
        return request.sharedTokens;
    static constexpr double heldFractionByRank = 0.35;
    return request.sharedTokens * std::pow(heldFractionByRank, homeRank - homes + 1);
}

// The number of requests that a server has room for, in its slots and in its memory.
static double placesOf(AdaptiveInputs const& inputs, AdaptiveTerms const& terms, ServerRow const& row)
{
    // Prefixes are shared, so that a request needs room for a part of its prompt only.
    static constexpr double ownFraction = 0.5;
    static constexpr double usableMemory = 0.9;
    double places = row.slots > 0 ? row.slots : 1e9;
    if (inputs.conditions.cacheTokens > 0 && terms.speed->meanPromptTokens > 0)
        places = std::min(places, usableMemory * static_cast<double>(inputs.conditions.cacheTokens) / (ownFraction * terms.speed->meanPromptTokens));
    return std::max(places, 1.0);
}

// Requests in progress that an average server has beyond their mean may have arrived by chance, and the reports are late, so a request up to
// the usual number counts less than its mean. The ones beyond it wait for their prompts to be read.
static double unreadTokensAt(AdaptiveTerms const& terms, double load)
{
    static constexpr double weightOfUsualRequests = 0.3;
    static constexpr double unreadFraction = 0.5;
    return std::min(load, terms.usualLoad) * weightOfUsualRequests * terms.unreadTokensPerRequest + std::max(0.0, load - terms.usualLoad) * unreadFraction * terms.speed->meanReadTokens;
}

CostEstimate estimateCost(AdaptiveInputs const& inputs, AdaptiveTerms const& terms, ServerRow const& row, PlacementRequest const& request, PlacementCosts const& costs, std::uint32_t homeRank, Core::Random& random, Core::MonotonicTime now)
{
    // The most requests that other nodes are assumed to have placed at a server since their reports. More would hide which servers hold the
    // prefix, as one request weighs more with slow engines.
    static constexpr double maximumUnreportedRequests = 6;
    static constexpr double stragglerSlowness = 2;
    CostEstimate estimate;
    auto const held = std::max<double>(expectedTokens(inputs.residency, row.id, row.incarnation, request.prefixes, inputs.conditions), tokensHeldAtHome(request, terms.homes, homeRank));
    auto const load = static_cast<double>(requestsInProgress(row));
    estimate.heldTokens = static_cast<std::uint32_t>(held);
    estimate.readTokens = request.ownTokens + request.sharedTokens - std::min(estimate.heldTokens, request.sharedTokens);
    estimate.slowness = slownessOf(inputs.speeds, row.id, row.incarnation, now);
    if (row.stragglerState == StragglerState::Straggler)
        estimate.slowness = std::max(estimate.slowness, stragglerSlowness);
    estimate.aheadSeconds = (unreadTokensAt(terms, load) * terms.secondsPerToken + load * costs.perEngineRequest) * estimate.slowness;
    estimate.readSeconds = estimate.readTokens * terms.secondsPerToken * estimate.slowness;
    auto const places = placesOf(inputs, terms, row);
    if (load + 1 > places) {
        auto const secondsPerPlace = terms.speed->ends > 0 ? terms.speed->meanSeconds / places : costs.perWaitingEngineRequest;
        estimate.waitSeconds = (load + 1 - places) * secondsPerPlace * estimate.slowness;
    }
    if (row.dataCentre != request.dataCentre)
        estimate.waySeconds += costs.crossDataCentre;
    if (row.isPartitionSuspected)
        estimate.waySeconds += costs.suspectedPartition;
    estimate.expectedSeconds = estimate.waitSeconds + estimate.aheadSeconds + estimate.readSeconds + estimate.waySeconds;
    auto const unreportedSeconds = std::min(costs.unreportedRequests, maximumUnreportedRequests) * random.unit() * (terms.unreadTokensPerRequest * terms.secondsPerToken + costs.perEngineRequest) * estimate.slowness;
    // Until the server has worked off what it has, each further request waits for this one's prompt too. Without this term, a load with
    // which the caches can just cope makes requests leave their homes, and what is read again keeps all servers loaded.
    static constexpr double weightOfLaterRequests = 2;
    auto const delay = estimate.waitSeconds + estimate.aheadSeconds + estimate.readSeconds + unreportedSeconds;
    estimate.cost = delay * (1 + weightOfLaterRequests * terms.arrivalsPerServer * estimate.readSeconds) + estimate.waySeconds;
    return estimate;
}

}
