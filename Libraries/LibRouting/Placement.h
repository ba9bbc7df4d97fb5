#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Random.h>
#include <LibRouting/ServerTable.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// A request as the placement sees it.
struct PlacementRequest {
    std::string service;
    std::string dataCentre;
    /// A hash of the shared beginning of the prompt; 0 if nothing is shared.
    std::uint64_t sharedPrefixHash { 0 };
    std::uint32_t sharedTokens { 0 };
    /// Servers that must not be chosen, for example those of failed attempts.
    std::vector<std::string> excludedServers;

    bool operator==(PlacementRequest const&) const = default;
};

/// The costs that the placement adds up, in seconds.
struct PlacementCosts {
    /// Each request in progress delays the first token of a new one.
    double perEngineRequest { 0.002 };
    /// A request that finds no free slot at an engine waits until one of those in progress ends.
    double perWaitingEngineRequest { 0.04 };
    /// The other nodes' requests that may have come since their last reports, for each server: costs vary by so many requests, so that
    /// nodes with the same reports do not choose the same server.
    double unreportedRequests { 0 };
    /// A call of a plain service that finds no free slot waits for about one call's work.
    double perPlainRequest { 0.015 };
    /// Prefill of one token that is not cached.
    double perUncachedToken { 1.0 / 150000.0 };
    /// Bytes between data centres are charged, so that the own data centre goes first among equals.
    double crossDataCentre { 0.006 };
    /// A server behind a partition costs a connection attempt that times out.
    double suspectedPartition { 0.4 };
    /// Servers on which a shared prefix is expected to be cached.
    std::uint32_t homesPerPrefix { 1 };
    /// Shared tokens from which a server copies them from another one's cache; below it reads them as fast.
    std::uint32_t minimumCopiedTokens { 2000 };

    bool operator==(PlacementCosts const&) const = default;
};

struct Placement {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    Core::Endpoint endpoint;
    /// The server's place in the order of the prefix's homes; 0 is the first.
    std::uint32_t homeRank { 0 };
    /// A server that probably keeps the shared prefix while the chosen one may not.
    std::optional<Core::Endpoint> cacheSource;
    /// Of this and other nodes, when the server was chosen.
    std::uint32_t requestsInProgress { 0 };
    double cost { 0 };

    bool operator==(Placement const&) const = default;
};

/// The requests in progress at a server: this node's and those that other nodes reported.
[[nodiscard]] std::uint32_t requestsInProgress(ServerRow const&);

/// Chooses the server with the least predicted delay for a request. Every node ranks the homes of a prefix by the same
/// rendezvous hash, so that requests with a common prefix meet at the same few servers without messages, and leave them once
/// the load there costs more than reading the prefix again. A server that is not the home, or has been it for a short time only,
/// is told where the prefix was kept before, so that it copies what it lacks. Answers many prompts that share long beginnings, from nodes that
/// each see a small part of them, and short requests that many nodes place by the same reports. Fails with NoServerAvailable (RunState::NotRun). Thread safe.
[[nodiscard]] std::optional<Placement> placeRequest(ServerTable const&, PlacementRequest const&, PlacementCosts const&, Core::Random&, Core::MonotonicTime now, Core::Error&);

}
