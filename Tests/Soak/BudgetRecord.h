#pragma once

#include <LibCore/Runtime.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Soak {

/// A request as its client sent it.
struct SentRequest {
    std::string id;
    Core::MonotonicTime sentAt {};
    std::chrono::milliseconds deadline { 0 };
};

/// A request that reached a server, executed or not.
struct Arrival {
    std::string requestId;
    std::string server;
    std::string path;
    Core::MonotonicTime arrivedAt {};
    /// Value of the deadline header.
    std::optional<std::chrono::milliseconds> deadline;
    /// The server refused the request and asked for a pause of this length.
    std::optional<Core::Duration> retryAfter;
    /// A paused node or a slow link may have kept the request on its way.
    bool isHeldUp { false };
};

/// The settings of the nodes that limit repeats.
struct RetryLimits {
    double ratio { 0 };
    double slack { 0 };
    Core::Duration window {};
};

/// Something that happened to a node from outside: a restart, a pause, a cut link.
struct Disturbance {
    Core::MonotonicTime from {};
    Core::MonotonicTime to {};
};

/// The functions below return one line for each violation and are thread safe. Arrivals are in the order of time.
/// Finds the window with the most repeats beyond the budget.
[[nodiscard]] std::vector<std::string> findRetryViolations(std::vector<SentRequest> const&, std::vector<Arrival> const&, RetryLimits const&);

/// Finds arrivals without a deadline or with a longer one than the client's, and late repeats that end later than the first arrival and the client.
[[nodiscard]] std::vector<std::string> findDeadlineViolations(std::vector<SentRequest> const&, std::vector<Arrival> const&);

/// Finds whether too many requests were executed at more servers than their route allows.
[[nodiscard]] std::vector<std::string> findAttemptViolations(std::map<std::string, std::set<std::string>> const& serversOfRequest, std::size_t maxAttempts);

/// Finds requests to a server during the pause that it asked for. Only for runs with one node, since a server does not see the sender.
[[nodiscard]] std::vector<std::string> findRetryAfterViolations(std::vector<Arrival> const&, std::vector<Disturbance> const&);

}
