#pragma once

#include <LibCore/Runtime.h>
#include <LibRouting/ServerTable.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// Whether a request takes several times the mean engine time.
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

/// The engine time of a request in seconds: its prefill and its share of the decode steps.
[[nodiscard]] double workSeconds(ServerTable const&, std::string_view service, std::uint32_t promptTokens, std::uint32_t expectedTokens);

/// Adds a request and returns whether it is long compared with the mean of the recent ones.
WorkLength recordWork(WorkMix&, double seconds, Core::MonotonicTime now);

/// The share of long requests in the recent work, from 0 to 1.
[[nodiscard]] double longShare(WorkMix const&);

/// Whether a request of this many engine seconds is long compared with the mean of the recent ones.
[[nodiscard]] WorkLength classifyWorkLength(WorkMix const&, double seconds);

/// The mean engine time of the recent requests of a length class, in seconds.
[[nodiscard]] double meanSeconds(WorkMix const&, WorkLength);

/// The seconds that a request would wait for a slot, averaged over the servers preferred for its length.
[[nodiscard]] double queueSeconds(ServerTable const&, WorkMix const&, std::string_view service, WorkLength, Core::MonotonicTime now);

/// The ids of the servers reserved for the long requests of a service, so that ordinary ones do not queue behind them: a fraction
/// `share` of the live servers, chosen equally by all nodes. Empty if the share or the number of servers is too small to separate
/// them. Thread safe.
[[nodiscard]] std::vector<std::string_view> serversForLongWork(ServerTable const&, std::string_view service, double share);

}
