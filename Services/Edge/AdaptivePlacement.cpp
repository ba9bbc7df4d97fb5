#include <Edge/AdaptivePlacement.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Edge {

static bool usesAdaptivePlacement(EdgeTables const& tables, EdgeSettings const& settings, Forward::Service const& service)
{
    if (!service.engine || settings.adaptivePlacement == FeatureMode::Off)
        return false;
    return settings.adaptivePlacement == FeatureMode::On || Forward::toleratesQueueing(*tables.routes, service.name);
}

void updateAdaptiveServices(EdgeTables& tables, EdgeSettings const& settings, Core::MonotonicTime now)
{
    std::set<std::string> used;
    for (auto const& service : tables.routes ? tables.routes->services : std::vector<Forward::Service>()) {
        if (!usesAdaptivePlacement(tables, settings, service))
            continue;
        used.insert(service.name);
        auto const isLive = [&](auto const& row) { return row.service == service.name && row.lifecycle == Routing::Lifecycle::Live; };
        auto& adaptive = tables.adaptiveServices[service.name];
        adaptive.conditions = {
            .cacheTokens = service.engine->cacheTokens,
            .nodes = std::max<std::size_t>(Forward::countNodes(tables.peers), 1),
            .servers = static_cast<std::size_t>(std::count_if(tables.servers.rows.begin(), tables.servers.rows.end(), isLive)),
        };
        Routing::expire(adaptive.residency, adaptive.conditions, now);
    }
    std::erase_if(tables.adaptiveServices, [&](auto const& item) { return !used.contains(item.first); });
    std::erase_if(tables.engineSpeeds.services, [&](auto const& item) { return !used.contains(item.first); });
    Routing::expire(tables.engineSpeeds, now);
}

// Hashed as the whole shared prefix is at admission, so that the last depth has its hash. The depths in the middle of a prompt of very many parts
// are left out: each one is looked up at each server.
static std::vector<Routing::PrefixDepth> prefixesOf(std::vector<Forward::PromptPart> const& prompt)
{
    static constexpr std::size_t maximumDepths = 64;
    std::vector<Routing::PrefixDepth> prefixes;
    Routing::PrefixDepth depth;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        depth.hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), depth.hash);
        depth.tokens += prompt[i].tokens;
        if (prefixes.size() < maximumDepths)
            prefixes.push_back(depth);
        else
            prefixes.back() = depth;
    }
    return prefixes;
}

static std::uint32_t ownTokensOf(RequestContext const& context)
{
    auto const& prompt = context.attributes.prompt;
    std::uint64_t const listed = prompt.empty() ? 0 : prompt.back().tokens;
    auto const all = context.attributes.tokens ? context.attributes.tokens->promptTokens : 0;
    auto const unlisted = all > context.sharedTokens ? all - context.sharedTokens : 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(std::max(listed, unlisted), UINT32_MAX));
}

std::optional<Routing::AdaptiveInputs> prepareAdaptivePlacement(EdgeTables const& tables, RequestContext const& context, Routing::PlacementRequest& request)
{
    auto const found = tables.adaptiveServices.find(context.service);
    if (found == tables.adaptiveServices.end())
        return std::nullopt;
    request.prefixes = prefixesOf(context.attributes.prompt);
    request.ownTokens = ownTokensOf(context);
    return Routing::AdaptiveInputs { tables.engineSpeeds, found->second.residency, found->second.conditions };
}

void recordAdaptivePlacement(EdgeTables& tables, RequestContext const& context, Core::MonotonicTime now)
{
    auto const found = tables.adaptiveServices.find(context.service);
    if (found == tables.adaptiveServices.end() || !context.attributes.tokens)
        return;
    Routing::countPlacement(tables.engineSpeeds, context.service, now);
    if (context.sharedPrefixHash != 0)
        Routing::countRequest(found->second.residency, context.sharedPrefixHash, now);
}

std::optional<Routing::AdaptiveInputs> prepareAdaptivePlacement(EdgeTables const& tables, std::vector<Forward::PromptPart> const& prompt, Routing::PlacementRequest& request)
{
    auto prefixes = prefixesOf(prompt);
    if (!prefixes.empty()) {
        request.sharedPrefixHash = prefixes.back().hash;
        request.sharedTokens = prefixes.back().tokens;
    }
    auto const found = tables.adaptiveServices.find(request.service);
    if (found == tables.adaptiveServices.end())
        return std::nullopt;
    request.prefixes = std::move(prefixes);
    request.ownTokens = prompt.empty() ? 0 : prompt.back().tokens;
    return Routing::AdaptiveInputs { tables.engineSpeeds, found->second.residency, found->second.conditions };
}

// Without an estimate, a prefix counts as held by its first home only.
static std::uint32_t heldTokensOf(RequestContext const& context, Routing::Placement const& placement)
{
    if (placement.estimate)
        return std::min(placement.estimate->heldTokens, context.sharedTokens);
    return placement.homeRank == 0 ? context.sharedTokens : 0;
}

void recordAdaptiveFirstEvent(ForwarderDependencies const& dependencies, RequestContext const& context, Attempt const& attempt)
{
    auto& tables = dependencies.tables;
    auto const found = tables.adaptiveServices.find(context.service);
    auto const* row = Routing::findServer(tables.servers, attempt.placement.serverId);
    if (found == tables.adaptiveServices.end() || !row || !context.attributes.tokens)
        return;
    auto const& placement = attempt.placement;
    auto const now = dependencies.runtime.now();
    auto const ownTokens = ownTokensOf(context);
    auto const held = heldTokensOf(context, placement);
    Routing::recordPlacement(found->second.residency, placement.serverId, placement.incarnation, prefixesOf(context.attributes.prompt), ownTokens + context.sharedTokens - held, found->second.conditions);
    dependencies.metrics.counter("hyssopstep_prefix_tokens_total", { { "service", context.service }, { "result", "held" } }).add(held);
    dependencies.metrics.counter("hyssopstep_prefix_tokens_total", { { "service", context.service }, { "result", "read" } }).add(context.sharedTokens - held);
    // The server that a request was sent to before may have been slow because of the request, and a resumed stream generates no events again.
    if (context.attempts > 1 || context.attributes.lastEventId)
        return;
    Routing::FirstEvent event {
        .service = context.service,
        .serverId = placement.serverId,
        .incarnation = placement.incarnation,
        .ownTokens = ownTokens,
        .seconds = std::chrono::duration<double>(now - attempt.sentAt).count(),
        .expectedSeconds = placement.estimate ? placement.estimate->expectedSeconds : 0,
        .requestsInProgress = placement.requestsInProgress,
        .slots = row->slots,
        .isInOtherDataCentre = row->dataCentre != dependencies.settings.dataCentre,
    };
    static constexpr double percent = 100;
    if (attempt.attributes.load && attempt.attributes.load->pacePercent)
        event.statedSlowness = *attempt.attributes.load->pacePercent / percent;
    Routing::recordFirstEvent(tables.engineSpeeds, event, now);
    dependencies.metrics.gauge("hyssopstep_engine_tokens_per_second", { { "service", context.service } }).set(Routing::tokensPerSecond(tables.engineSpeeds, context.service));
}

void recordAdaptiveEnd(EdgeTables& tables, RequestContext const& context, Attempt const& attempt, Core::MonotonicTime now)
{
    if (!tables.adaptiveServices.contains(context.service) || !context.attributes.tokens || !context.firstEventAt)
        return;
    auto const secondsSinceSent = [&](Core::MonotonicTime time) { return std::chrono::duration<double>(time - attempt.sentAt).count(); };
    auto const promptTokens = ownTokensOf(context) + context.sharedTokens;
    Routing::recordRequestEnd(tables.engineSpeeds, context.service, { promptTokens, promptTokens - heldTokensOf(context, attempt.placement), secondsSinceSent(*context.firstEventAt), secondsSinceSent(now) });
}

}
