#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Routing {

/// A beginning of a prompt that other requests may share.
struct PrefixDepth {
    /// Hash of the parts up to this depth.
    std::uint64_t hash { 0 };
    /// Tokens up to this depth.
    std::uint32_t tokens { 0 };

    bool operator==(PrefixDepth const&) const = default;
};

/// What determines how long a server keeps a prefix.
struct CacheConditions {
    /// Capacity of a server's cache; 0 if unknown.
    std::uint64_t cacheTokens { 0 };
    /// Nodes that place at the servers, and servers of the service.
    std::size_t nodes { 1 };
    std::size_t servers { 1 };

    bool operator==(CacheConditions const&) const = default;
};

/// Which servers of a service hold which prefixes, by this node's own placements. Servers evict what was least recently used. The other
/// nodes fill the caches as fast as this one on average, so an entry counts until the tokens read at each server since, estimated from this
/// node's placements, exceed the cache. Not thread safe.
struct PrefixResidency {
    struct Server {
        std::uint64_t incarnation { 0 };
        /// By prefix hash, the value of `tokensReadPerServer` at the last use.
        std::unordered_map<std::uint64_t, double> lastUse {};

        bool operator==(Server const&) const = default;
    };
    struct Popularity {
        /// Decaying number of requests.
        double recent { 0 };
        Core::MonotonicTime at;

        bool operator==(Popularity const&) const = default;
    };

    std::map<std::string, Server, std::less<>> servers;
    /// This node's requests by the hash of their whole shared prefix.
    std::unordered_map<std::uint64_t, Popularity> popularity;
    /// Estimate of the tokens that all nodes made an average server read.
    double tokensReadPerServer { 0 };

    bool operator==(PrefixResidency const&) const = default;
};

/// Bounds the memory for prefixes, which clients name: more than the servers of a service hold, of which each has its part, but at least some.
inline constexpr std::size_t maximumPrefixes = 65'536;
inline constexpr std::size_t minimumPrefixesOfAServer = 256;

/// Records that a server has read a prompt: it holds all depths of its prefix. Takes the tokens that it had to read. If these are more prefixes
/// than the server's part of maximumPrefixes, the half that was not used for longest is forgotten.
void recordPlacement(PrefixResidency&, std::string_view serverId, std::uint64_t incarnation, std::vector<PrefixDepth> const&, std::uint32_t readTokens, CacheConditions const&);

/// Returns the tokens of the deepest prefix that a server holds as far as this node knows.
[[nodiscard]] std::uint32_t expectedTokens(PrefixResidency const&, std::string_view serverId, std::uint64_t incarnation, std::vector<PrefixDepth> const&, CacheConditions const&);

/// Counts a request with a prefix, unless there are maximumPrefixes others.
void countRequest(PrefixResidency&, std::uint64_t prefixHash, Core::MonotonicTime now);

/// Returns on how many servers a prefix has to be held so that none of them is mostly occupied by its requests. Answers a hot prefix, of
/// which one server can't serve all requests; nodes that see about as many requests agree on the number.
[[nodiscard]] std::uint32_t homesNeeded(PrefixResidency const&, std::uint64_t prefixHash, double secondsPerRequest, CacheConditions const&, Core::MonotonicTime now);

void forgetServer(PrefixResidency&, std::string_view serverId);

/// Drops entries that no longer count.
void expire(PrefixResidency&, CacheConditions const&, Core::MonotonicTime now);

}
