#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Routing {

/// What is known of a request's answer length before it runs.
struct LengthHint {
    std::string team;
    std::string service;
    std::uint32_t promptTokens { 0 };
    std::uint32_t maximumTokens { 0 };

    bool operator==(LengthHint const&) const = default;
};

/// Estimates answer lengths from the finished requests of the same team, service and size class. The sizes are powers of
/// two of the prompt's tokens and of max_tokens, because a tag and a report of one team differ in both. Not thread safe.
class LengthEstimator {
public:
    /// The expected number of tokens of the answer, at least 1 and at most hint.maximumTokens.
    [[nodiscard]] std::uint32_t estimate(LengthHint const&) const;

    void recordFinished(LengthHint const&, std::uint32_t tokens);

private:
    struct History {
        double mean { 0 };
        /// The mean absolute deviation.
        double deviation { 0 };
        std::uint32_t samples { 0 };
    };
    using Key = std::pair<std::string, std::uint32_t>;

    static Key keyFor(LengthHint const&);

    std::map<Key, History> m_histories;
};

/// Corrects an estimate while the request runs: one that has been reached is doubled, up to the maximum. Thread safe.
[[nodiscard]] std::uint32_t correctedEstimate(std::uint32_t estimate, std::uint32_t generatedTokens, std::uint32_t maximumTokens);

/// In which order the engines should start requests.
enum class Scheduling {
    /// Those with the fewest tokens still to come first.
    ShortestFirst,
    /// First come, first served: all have one priority; the baseline of the measurements.
    ArrivalOrder,
};

/// The engine priority (0 most urgent, 9 least) for a request with this many tokens still to come. Thread safe.
[[nodiscard]] std::uint32_t priorityForRemaining(std::uint32_t remainingTokens);

}
