#include <Edge/PlacementExplanation.h>

#include <Edge/AdaptivePlacement.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Edge {

// Returns an empty optional if a part has no number of tokens.
static std::optional<std::vector<Forward::PromptPart>> parsePrompt(std::string_view list)
{
    std::vector<Forward::PromptPart> parts;
    while (!list.empty()) {
        auto const part = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), part.size() + 1));
        auto const colon = part.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        std::uint32_t tokens = 0;
        auto const* end = part.data() + part.size();
        if (auto const parsed = std::from_chars(part.data() + colon + 1, end, tokens); parsed.ec != std::errc {} || parsed.ptr != end)
            return std::nullopt;
        parts.push_back({ std::string(part.substr(0, colon)), tokens });
    }
    return parts;
}

static boost::json::object describeServer(Routing::Placement const& placement)
{
    boost::json::object server { { "server", placement.serverId }, { "cost", placement.cost }, { "home_rank", placement.homeRank }, { "requests_in_progress", placement.requestsInProgress } };
    if (placement.cacheSource)
        server["cache_source"] = placement.cacheSource->toString();
    if (auto const& estimate = placement.estimate) {
        server["held_tokens"] = estimate->heldTokens;
        server["read_tokens"] = estimate->readTokens;
        server["wait_seconds"] = estimate->waitSeconds;
        server["ahead_seconds"] = estimate->aheadSeconds;
        server["read_seconds"] = estimate->readSeconds;
        server["way_seconds"] = estimate->waySeconds;
        server["slowness"] = estimate->slowness;
        server["expected_seconds"] = estimate->expectedSeconds;
    }
    return server;
}

std::optional<std::string> explainPlacement(EdgeTables const& tables, EdgeSettings const& settings, HTTP::Request const& query, Core::MonotonicTime now, Core::Error& error)
{
    if (!tables.routes)
        return Core::fail(error, Core::ErrorKind::NotReady, "no configuration has been received yet");
    auto const* route = Forward::findRoute(*tables.routes, query.queryParameter("host").value_or(""), query.queryParameter("path").value_or(""));
    if (!route)
        return Core::fail(error, Core::ErrorKind::NotFound, "no route of configuration version " + std::to_string(tables.routes->version) + " matches the host and path");
    auto const prompt = parsePrompt(query.queryParameter("prompt").value_or(""));
    if (!prompt)
        return Core::fail(error, Core::ErrorKind::InvalidRequest, "expected prompt=ID:TOKENS,ID:TOKENS");
    boost::json::array services;
    for (auto const& weighted : route->services) {
        Routing::PlacementRequest request { .service = weighted.service, .dataCentre = settings.dataCentre, .excludedServers = {}, .work = route->kind == Forward::RequestKind::Stream ? Routing::WorkKind::Generation : Routing::WorkKind::Call };
        auto const adaptive = prepareAdaptivePlacement(tables, *prompt, request);
        boost::json::array servers;
        for (auto const& placement : Routing::rankServers(tables.servers, request, tables.placementCosts, now, adaptive ? &*adaptive : nullptr))
            servers.push_back(describeServer(placement));
        boost::json::object service { { "service", weighted.service }, { "weight", weighted.weight }, { "is_adaptive", adaptive && Routing::adaptiveTerms(*adaptive, request, now) } };
        if (adaptive)
            service["tokens_per_second"] = Routing::tokensPerSecond(tables.engineSpeeds, weighted.service);
        service["servers"] = std::move(servers);
        services.push_back(std::move(service));
    }
    return boost::json::serialize(boost::json::object { { "route", route->name }, { "services", std::move(services) } });
}

}
