#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Random.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/ServerTable.h>
#include <LibRouting/WorkMix.h>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// How the server for a request is chosen.
enum class RoutingPolicy {
    /// The better of two random candidates by predicted time, with the best prefix match as a third.
    PredictedTime,
    /// The server with the fewest requests of this node in progress, at random among equals; a baseline of the measurements.
    LeastOutstanding,
    /// The server with the least reported load, at random among equals; a baseline of the measurements.
    ReportedLoad,
};

struct RoutingRequest {
    std::string service;
    /// Empty if any version will do.
    std::string version;
    std::string dataCentre;
    std::uint32_t promptTokens { 0 };
    /// Tokens that must be computed besides the prompt, because an earlier attempt generated them.
    std::uint32_t generatedTokens { 0 };
    std::uint32_t expectedTokens { 1 };
    std::vector<std::uint64_t> prefixHashes;
    /// Servers that must not be chosen, for example those of failed attempts.
    std::vector<std::string> excludedServers;
    RoutingPolicy policy { RoutingPolicy::PredictedTime };
    WorkLength length { WorkLength::Ordinary };
    /// The share of long requests in the service's work; 0 to treat all servers alike.
    double longShare { 0 };

    bool operator==(RoutingRequest const&) const = default;
};

struct ServerChoice {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    Core::Endpoint endpoint;
    /// Seconds until the first token, as predicted.
    double predictedWaitSeconds { 0 };
    std::size_t cachedTokens { 0 };
    /// For `explain`: the candidates with their scores.
    std::string explanation;

    bool operator==(ServerChoice const&) const = default;
};

/// Chooses the server for a request, or fails with NoServerAvailable (RunState::NotRun). A straggler is chosen only as a
/// probe, which moves its next probe time. Not thread safe.
[[nodiscard]] std::optional<ServerChoice> chooseServer(ServerTable&, PrefixIndex const&, RoutingRequest const&, Core::MonotonicTime now, Core::Random&, Core::Error&);

/// The shortest predicted wait for a first token over all usable servers of a service, in seconds; for early refusal.
[[nodiscard]] std::optional<double> shortestPredictedWait(ServerTable const&, RoutingRequest const&, Core::MonotonicTime now);

}
