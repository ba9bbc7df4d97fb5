#pragma once

#include <LibCore/Random.h>
#include <LibRouting/EngineSpeed.h>
#include <LibRouting/PrefixResidency.h>
#include <LibRouting/ServerTable.h>

namespace Routing {

struct PlacementRequest;
struct PlacementCosts;

/// What adaptive placement knows of a service. The references outlive it.
struct AdaptiveInputs {
    EngineSpeedTable const& speeds;
    PrefixResidency const& residency;
    CacheConditions conditions;
};

/// The expected delay of a request to its first event at one server, and what it consists of, in seconds.
struct CostEstimate {
    /// Until a slot and room in the memory are free.
    double waitSeconds { 0 };
    /// While the prompts of the requests in progress are read.
    double aheadSeconds { 0 };
    /// While this request's prompt is read.
    double readSeconds { 0 };
    /// The way between data centres, or the time-out of a suspected partition.
    double waySeconds { 0 };
    /// The factor by which the server is slower than usual.
    double slowness { 1 };
    std::uint32_t heldTokens { 0 };
    std::uint32_t readTokens { 0 };
    /// Of the delay, without the random part.
    double expectedSeconds { 0 };
    /// What the servers are compared by.
    double cost { 0 };

    bool operator==(CostEstimate const&) const = default;
};

/// The same for all servers of one choice.
struct AdaptiveTerms {
    EngineSpeed const* speed { nullptr };
    double secondsPerToken { 0 };
    /// Mean number of tokens that a request in progress has yet to read.
    double unreadTokensPerRequest { 0 };
    /// Requests that arrive at an average server in a second.
    double arrivalsPerServer { 0 };
    /// The largest usual number of requests that generate at an average server.
    double usualLoad { 0 };
    std::uint32_t homes { 1 };
};

/// Returns the terms for a request, or an empty optional while the speed of the service's engines is unknown.
[[nodiscard]] std::optional<AdaptiveTerms> adaptiveTerms(AdaptiveInputs const&, PlacementRequest const&, Core::MonotonicTime now);

/// Estimates the cost of one server. Answers prompts with long shared prefixes on engines with slow prefill: the prompt tokens that are
/// read, not the number of requests, keep such an engine occupied, and reading a prefix again also delays the requests that come after.
[[nodiscard]] CostEstimate estimateCost(AdaptiveInputs const&, AdaptiveTerms const&, ServerRow const&, PlacementRequest const&, PlacementCosts const&, std::uint32_t homeRank, Core::Random&, Core::MonotonicTime now);

}
