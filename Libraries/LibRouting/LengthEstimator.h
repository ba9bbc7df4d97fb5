#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Routing {

/// The properties of a request from which its output length is estimated.
struct LengthHint {
    std::string team;
    std::string service;
    std::uint32_t promptTokens { 0 };
    std::uint32_t maximumTokens { 0 };

    bool operator==(LengthHint const&) const = default;
};

/// Estimates output lengths from the finished requests of the same team, service and size class. Size classes are powers of two
/// of the prompt's tokens and of max_tokens, because short and long requests of one team differ in both. Not thread safe.
class LengthEstimator {
public:
    /// The expected number of output tokens, at least 1 and at most hint.maximumTokens, or 1024 if that is 0.
    [[nodiscard]] std::uint32_t estimate(LengthHint const&) const;

    void recordFinished(LengthHint const&, std::uint32_t tokens);

private:
    struct History {
        double mean { 0 };
        /// Mean absolute deviation.
        double deviation { 0 };
        std::uint32_t samples { 0 };
    };
    using Key = std::pair<std::string, std::uint32_t>;

    static Key keyFor(LengthHint const&);

    std::map<Key, History> m_histories;
};

/// Corrects an estimate while the request runs: once reached, it becomes twice the generated tokens, up to the maximum. Thread safe.
[[nodiscard]] std::uint32_t correctedEstimate(std::uint32_t estimate, std::uint32_t generatedTokens, std::uint32_t maximumTokens);

/// The order in which the engines start requests.
enum class Scheduling {
    /// Requests with the fewest remaining tokens first.
    ShortestFirst,
    /// First come, first served: all requests have the same priority; a baseline for measurements.
    ArrivalOrder,
};

/// The engine priority (0 most urgent, 9 least) for a request with this many remaining tokens. Thread safe.
[[nodiscard]] std::uint32_t priorityForRemaining(std::uint32_t remainingTokens);

}
