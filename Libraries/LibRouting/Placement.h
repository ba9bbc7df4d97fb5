#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Random.h>
#include <LibRouting/AdaptiveCost.h>
#include <LibRouting/PrefixResidency.h>
#include <LibRouting/ServerTable.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// What a server does for a request.
enum class WorkKind {
    /// An engine generates tokens for many requests in one batch, and each request beyond its slots waits until one ends.
    Generation,
    /// A plain service works on each request by itself.
    Call,
};

/// The servers of a service that a request may be placed at: all by default.
struct ServerFilter {
    std::vector<std::string> excludedVersions;
    /// Ids; if there are any, only these servers.
    std::vector<std::string> servers;

    bool operator==(ServerFilter const&) const = default;
};

/// Whether a filter permits a server. Thread safe.
[[nodiscard]] bool isPermitted(ServerFilter const&, ServerRow const&);

/// The properties of a request that placement depends on.
struct PlacementRequest {
    std::string service;
    std::string dataCentre;
    /// Hash of the shared prefix of the prompt; 0 if there is none.
    std::uint64_t sharedPrefixHash { 0 };
    std::uint32_t sharedTokens { 0 };
    /// Servers that must not be chosen, for example those of failed attempts.
    std::vector<std::string> excludedServers;
    WorkKind work { WorkKind::Generation };
    /// The depths of the shared prefix, the whole prefix last.
    std::vector<PrefixDepth> prefixes {};
    /// Tokens of the prompt after the shared prefix.
    std::uint32_t ownTokens { 0 };
    /// The version group of a rollout.
    ServerFilter filter {};

    bool operator==(PlacementRequest const&) const = default;
};

/// The terms of a server's cost, in seconds.
struct PlacementCosts {
    /// Each request in progress delays the first token of a new one.
    double perEngineRequest { 0.002 };
    /// Each request beyond an engine's slots waits until one in progress ends.
    double perWaitingEngineRequest { 0.04 };
    /// Upper bound of the other nodes' requests at a server since their last reports. A random number of requests up to it is
    /// added to the load, so that nodes with the same reports do not choose the same server.
    double unreportedRequests { 0 };
    /// A call that finds no free slot at a plain service waits for about one call's service time.
    double perPlainRequest { 0.015 };
    /// Prefill of one token that is not cached.
    double perUncachedToken { 1.0 / 150000.0 };
    /// Traffic between data centres is charged, so the node's own data centre is preferred at equal cost.
    double crossDataCentre { 0.006 };
    /// Across a partition, a connection attempt times out.
    double suspectedPartition { 0.4 };
    /// Number of servers, the homes of a shared prefix, on which it is expected to be cached.
    std::uint32_t homesPerPrefix { 1 };
    /// Minimum length of a shared prefix for which a server copies it from another server's cache; shorter ones are prefilled as fast.
    std::uint32_t minimumCopiedTokens { 2000 };

    bool operator==(PlacementCosts const&) const = default;
};

struct Placement {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    /// The revision of the entry by which the server was chosen.
    Core::StoreRevision revision;
    Core::Endpoint endpoint;
    /// The server's rank among the prefix's homes; 0 is the first.
    std::uint32_t homeRank { 0 };
    /// A server that probably has the shared prefix cached when the chosen one may not.
    std::optional<Core::Endpoint> cacheSource;
    /// Requests of this and other nodes at the time of the choice.
    std::uint32_t requestsInProgress { 0 };
    double cost { 0 };
    /// How the cost was estimated, if by adaptive placement.
    std::optional<CostEstimate> estimate {};

    bool operator==(Placement const&) const = default;
};

/// The requests in progress at a server: this node's and the ones reported by other nodes.
[[nodiscard]] std::uint32_t requestsInProgress(ServerRow const&);

/// Returns when a request that all servers refused would find a free slot, at the server where that is soonest: the requests that are in
/// progress beyond its slots, by this node's measured service time. While all servers have asked for a pause, the first end of
/// one. Returns an empty optional if no server was measured. Thread safe.
[[nodiscard]] std::optional<Core::Duration> predictedWait(ServerTable const&, std::string const& service, Core::MonotonicTime now);

/// Returns all usable servers for a request as placements, by rising cost, with the servers in backoff last. Without the random part, so that
/// it shows why a request would go where placeRequest() sends it. Thread safe.
[[nodiscard]] std::vector<Placement> rankServers(ServerTable const&, PlacementRequest const&, PlacementCosts, Core::MonotonicTime now, AdaptiveInputs const*);

/// Chooses the server with the least predicted delay for a request. All nodes rank the homes of a prefix by the same rendezvous
/// hash, so requests with a common prefix go to the same few servers without coordination, and to other servers once the load at
/// the homes costs more than prefilling the prefix again. A server that is not the first home, or became it only recently, gets
/// a cache source to copy the prefix from. Designed for prompts with long shared prefixes, of which each node sees a small part, and for
/// short requests that many nodes place by the same reports. With adaptive inputs, and once the speed of the service's engines is known,
/// the delay is estimated by estimateCost(). Fails with NoServerAvailable (RunState::NotRun). Thread safe.
[[nodiscard]] std::optional<Placement> placeRequest(ServerTable const&, PlacementRequest const&, PlacementCosts const&, Core::Random&, Core::MonotonicTime now, Core::Error&, AdaptiveInputs const* = nullptr);

}
