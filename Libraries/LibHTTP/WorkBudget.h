#pragma once

#include <LibCore/Runtime.h>
#include <cstddef>
#include <optional>

namespace HTTP {

/// Limits the thread's time for requests that cost a client little and the process much. One unit is about a microsecond of a core.
struct WorkLimits {
    double unitsPerSecond { 100'000 };
    /// Units that may be used at once after a time without such work.
    double burst { 25'000 };
    /// Work that would have to wait for longer is refused.
    Core::Duration maximumWait { std::chrono::milliseconds(250) };

    bool operator==(WorkLimits const&) const = default;
};

/// The work that was granted and not yet repaid by the passing of time.
struct WorkState {
    double debt { 0 };
    Core::MonotonicTime updatedAt {};

    bool operator==(WorkState const&) const = default;
};

/// What makes a request costly beside its bytes.
struct RequestShape {
    std::size_t fields { 0 };
    /// Elements of comma-separated lists, over all fields.
    std::size_t listElements { 0 };
    /// Whether the client has sent it before the response to the request before it.
    bool isSentAhead { false };

    bool operator==(RequestShape const&) const = default;
};

/// Returns the units that a request takes beyond an ordinary one; 0 for any request of up to 128 fields and list elements that was not sent ahead.
/// Thread safe.
[[nodiscard]] double workOf(RequestShape const&);

/// Returns the units for the chunks of a body that are shorter than those of ordinary clients. Thread safe.
[[nodiscard]] double workOfChunks(std::size_t chunks, std::size_t bytes);

/// Takes units. Returns how long the work has to wait, or nothing, without an effect, if that is too long. Answers crowds that each ask for a
/// little of what is costly: the thread stays free for ordinary requests. Not thread safe.
[[nodiscard]] std::optional<Core::Duration> takeWork(WorkState&, WorkLimits const&, double units, Core::MonotonicTime now);

}
