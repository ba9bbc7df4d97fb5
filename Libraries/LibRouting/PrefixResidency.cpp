#include <LibRouting/PrefixResidency.h>

#include <algorithm>
#include <cmath>

namespace Routing {

// The remainder holds requests in progress and prefixes that were used again in the meantime.
static constexpr double usableCacheFraction = 0.5;
static constexpr double popularityLifetime = 10;
// A quarter of a request in the lifetime of the counts; less is dropped.
static constexpr double minimumPopularity = 0.25;

static double lifetimeInTokens(CacheConditions const& conditions)
{
    return usableCacheFraction * static_cast<double>(conditions.cacheTokens);
}

// Clients may state prompts without tokens, with which no time passes for the caches.
static void forgetLeastRecentlyUsed(PrefixResidency::Server& server, std::size_t maximum)
{
    if (server.lastUse.size() <= maximum)
        return;
    std::vector<std::pair<double, std::uint64_t>> uses;
    uses.reserve(server.lastUse.size());
    for (auto const& [hash, use] : server.lastUse)
        uses.emplace_back(use, hash);
    auto const middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    for (auto use = uses.begin(); use != middle; ++use)
        server.lastUse.erase(use->second);
}

void recordPlacement(PrefixResidency& residency, std::string_view serverId, std::uint64_t incarnation, std::vector<PrefixDepth> const& prefixes, std::uint32_t readTokens, CacheConditions const& conditions)
{
    auto const nodesPerServer = static_cast<double>(conditions.nodes) / static_cast<double>(std::max<std::size_t>(conditions.servers, 1));
    residency.tokensReadPerServer += readTokens * nodesPerServer;
    if (prefixes.empty())
        return;
    auto found = residency.servers.find(serverId);
    if (found == residency.servers.end())
        found = residency.servers.emplace(serverId, PrefixResidency::Server {}).first;
    auto& server = found->second;
    if (server.incarnation != incarnation)
        server = { .incarnation = incarnation };
    for (auto const& prefix : prefixes)
        server.lastUse[prefix.hash] = residency.tokensReadPerServer;
    forgetLeastRecentlyUsed(server, std::max(maximumPrefixes / std::max<std::size_t>(conditions.servers, 1), minimumPrefixesOfAServer));
}

std::uint32_t expectedTokens(PrefixResidency const& residency, std::string_view serverId, std::uint64_t incarnation, std::vector<PrefixDepth> const& prefixes, CacheConditions const& conditions)
{
    auto const server = residency.servers.find(serverId);
    if (server == residency.servers.end() || server->second.incarnation != incarnation)
        return 0;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        auto const entry = server->second.lastUse.find(prefix->hash);
        if (entry != server->second.lastUse.end() && residency.tokensReadPerServer - entry->second < lifetimeInTokens(conditions))
            return prefix->tokens;
    }
    return 0;
}

static double decayedPopularity(PrefixResidency::Popularity const& popularity, Core::MonotonicTime now)
{
    auto const age = std::max(0.0, std::chrono::duration<double>(now - popularity.at).count());
    return popularity.recent * std::exp(-age / popularityLifetime);
}

void countRequest(PrefixResidency& residency, std::uint64_t prefixHash, Core::MonotonicTime now)
{
    if (residency.popularity.size() >= maximumPrefixes && !residency.popularity.contains(prefixHash))
        return;
    auto& popularity = residency.popularity[prefixHash];
    popularity = { decayedPopularity(popularity, now) + 1, now };
}

std::uint32_t homesNeeded(PrefixResidency const& residency, std::uint64_t prefixHash, double secondsPerRequest, CacheConditions const& conditions, Core::MonotonicTime now)
{
    // The fraction of a server's time that the requests of one prefix may take.
    static constexpr double targetUtilisation = 0.5;
    static constexpr double serversPerHome = 4;
    auto const found = residency.popularity.find(prefixHash);
    if (found == residency.popularity.end())
        return 1;
    // One request of a node says nothing yet about the rate at all nodes.
    auto const counted = std::max(0.0, decayedPopularity(found->second, now) - 1);
    auto const rate = counted / popularityLifetime * static_cast<double>(conditions.nodes);
    auto const homes = 1 + rate * secondsPerRequest / targetUtilisation;
    return static_cast<std::uint32_t>(std::min(homes, std::max(1.0, static_cast<double>(conditions.servers) / serversPerHome)));
}

void forgetServer(PrefixResidency& residency, std::string_view serverId)
{
    auto const found = residency.servers.find(serverId);
    if (found != residency.servers.end())
        residency.servers.erase(found);
}

void expire(PrefixResidency& residency, CacheConditions const& conditions, Core::MonotonicTime now)
{
    auto const oldest = residency.tokensReadPerServer - lifetimeInTokens(conditions);
    for (auto& [id, server] : residency.servers)
        std::erase_if(server.lastUse, [oldest](auto const& item) { return item.second <= oldest; });
    std::erase_if(residency.servers, [](auto const& item) { return item.second.lastUse.empty(); });
    std::erase_if(residency.popularity, [now](auto const& item) { return decayedPopularity(item.second, now) < minimumPopularity; });
}

}
