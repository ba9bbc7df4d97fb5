#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Routing {

/// What this node measured at the engines of one service.
struct EngineSpeed {
    /// Prompt tokens a second of recent first events, the newest last; each is at most the engine's speed.
    std::deque<double> samples;
    /// 0 until there are enough samples.
    double tokensPerSecond { 0 };
    /// Means over the requests that ended, exponentially weighted.
    std::uint32_t ends { 0 };
    double meanPromptTokens { 0 };
    double meanReadTokens { 0 };
    double meanSecondsToFirstEvent { 0 };
    double meanSeconds { 0 };
    /// Integral over a request's time of its tokens that are still to be read.
    double meanUnreadTokenSeconds { 0 };
    /// Placements of this node, decaying, for their rate.
    double recentPlacements { 0 };
    Core::MonotonicTime lastPlacementAt;
    Core::MonotonicTime firstPlacementAt;

    bool operator==(EngineSpeed const&) const = default;
};

/// How much slower than usual a server was when this node last had a response from it.
struct ServerSlowness {
    std::uint64_t incarnation { 0 };
    /// As the server stated it.
    double stated { 1 };
    /// By the time to the first event, relative to the expected one.
    double measured { 1 };
    Core::MonotonicTime at;

    bool operator==(ServerSlowness const&) const = default;
};

/// The prefill speed and present slowness of engines, learnt from the first events of this node's requests. Not thread safe.
struct EngineSpeedTable {
    /// By service.
    std::map<std::string, EngineSpeed, std::less<>> services;
    /// By server id.
    std::map<std::string, ServerSlowness, std::less<>> servers;

    bool operator==(EngineSpeedTable const&) const = default;
};

/// The first event of a request's first attempt.
struct FirstEvent {
    std::string service;
    std::string serverId;
    std::uint64_t incarnation { 0 };
    /// Tokens that no other request shares, so that the engine certainly had to read them.
    std::uint32_t ownTokens { 0 };
    /// From sending the request to the first event.
    double seconds { 0 };
    /// By the estimate at placement; 0 if there was none.
    double expectedSeconds { 0 };
    std::uint32_t requestsInProgress { 0 };
    std::uint32_t slots { 0 };
    bool isInOtherDataCentre { false };
    /// How many times slower than usual the server states to be, if it does.
    std::optional<double> statedSlowness;

    bool operator==(FirstEvent const&) const = default;
};

/// Learns from a first event. Answers engines of unknown speed, at which a node sees about three requests a second: each tokens-to-time
/// ratio is a lower bound of the speed, since waiting, batches and tokens of a prefix that was not cached only add time. So a high
/// quantile of a few samples at servers with little load is near the speed.
void recordFirstEvent(EngineSpeedTable&, FirstEvent const&, Core::MonotonicTime now);

/// The whole exchange of a request that was answered.
struct RequestTimes {
    std::uint32_t promptTokens { 0 };
    /// Of these, the tokens that the server had to read.
    std::uint32_t readTokens { 0 };
    double secondsToFirstEvent { 0 };
    double seconds { 0 };

    bool operator==(RequestTimes const&) const = default;
};

/// Learns how many tokens a request in progress has yet to read, on average over its time.
void recordRequestEnd(EngineSpeedTable&, std::string_view service, RequestTimes const&);

/// Counts a placement of this node.
void countPlacement(EngineSpeedTable&, std::string_view service, Core::MonotonicTime now);

/// The engine's prefill speed in tokens a second; an assumed value until it is learnt.
[[nodiscard]] double tokensPerSecond(EngineSpeedTable const&, std::string_view service);

/// Whether the speed of a service's engines is learnt.
[[nodiscard]] bool isSpeedKnown(EngineSpeedTable const&, std::string_view service);

/// Mean number of tokens that a request in progress has yet to read.
[[nodiscard]] double unreadTokensPerRequest(EngineSpeed const&);

/// Placements of this node in a second.
[[nodiscard]] double placementRate(EngineSpeed const&, Core::MonotonicTime now);

/// How many times slower than usual a server presently is, at least 1. What was observed counts less with each moment, since the speed of
/// shared hosts changes several times a second.
[[nodiscard]] double slownessOf(EngineSpeedTable const&, std::string_view serverId, std::uint64_t incarnation, Core::MonotonicTime now);

/// Drops servers without a response for some seconds.
void expire(EngineSpeedTable&, Core::MonotonicTime now);

}
