#pragma once

#include <LibCore/Runtime.h>
#include <LibRouting/ServerTable.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// Whether a request takes many times the engine time of the usual one.
enum class WorkLength {
    Ordinary,
    Long,
};

/// The recent work of one model at this node, in engine seconds, as decaying sums. Not thread safe.
struct WorkMix {
    double requests { 0 };
    double seconds { 0 };
    double longRequests { 0 };
    double longSeconds { 0 };
    Core::MonotonicTime updatedAt;

    bool operator==(WorkMix const&) const = default;
};

/// The engine time of a request in seconds: its prefill, and its part of the steps that generate its answer.
[[nodiscard]] double workSeconds(ServerTable const&, std::string_view service, std::uint32_t promptTokens, std::uint32_t expectedTokens);

/// Adds a request and tells whether it is long compared with the mean of the recent ones.
WorkLength recordWork(WorkMix&, double seconds, Core::MonotonicTime now);

/// The share of long requests in the recent work, from 0 to 1.
[[nodiscard]] double longShare(WorkMix const&);

/// Whether a request of this many engine seconds is long compared with the mean of the recent ones.
[[nodiscard]] WorkLength classifyWorkLength(WorkMix const&, double seconds);

/// The engine time of the usual request of a length, in seconds.
[[nodiscard]] double meanSeconds(WorkMix const&, WorkLength);

/// The seconds that a request would wait for a slot, as the mean over the servers that its length prefers.
[[nodiscard]] double queueSeconds(ServerTable const&, WorkMix const&, std::string_view service, WorkLength, Core::MonotonicTime now);

/// The ids of the servers that take the long requests of a service, so that others do not wait behind these: as many of the
/// live servers as the share says, in an order that is the same at all nodes. Empty if the share or the number of servers is too
/// small to separate. Thread safe.
[[nodiscard]] std::vector<std::string_view> serversForLongWork(ServerTable const&, std::string_view service, double share);

}
