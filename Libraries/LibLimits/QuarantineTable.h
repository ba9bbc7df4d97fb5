#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Limits {

/// Hash of a request's body and service; a repeated request has the same fingerprint.
using RequestFingerprint = std::uint64_t;

/// How long crashes are evidence against a request, and how long it is refused.
constexpr Core::Duration quarantineDuration = std::chrono::hours(1);

/// A crash of a backend server as observed by this node: the server's connections ended in the middle of responses.
struct ServerCrash {
    Core::MonotonicTime at;
    std::string serverId;
    /// This node's requests in the server's batch.
    std::vector<RequestFingerprint> batch;
    /// The requests of the batch that had generated tokens, that is, had run at the server for a while without a crash.
    std::set<RequestFingerprint> progressed;

    bool operator==(ServerCrash const&) const = default;
};

/// Requests that crash backend servers, and the recent crashes as evidence. Not thread safe.
struct QuarantineTable {
    std::vector<ServerCrash> crashes;
    /// Quarantined requests and when their quarantine ends.
    std::map<RequestFingerprint, Core::MonotonicTime> quarantined;

    bool operator==(QuarantineTable const&) const = default;
};

/// Records a crash and quarantines the requests of its batch that are its likely cause. Such a request was part of at least three
/// crashes within the hour (six if it had generated tokens before them, since requests of other nodes in the batch may be the
/// cause), and of more than twice as many as happened without it in the last half minute, which suggest a loss of many hosts.
/// Failures at one server within a second count as one crash. Returns the requests quarantined by this crash.
std::vector<RequestFingerprint> recordCrash(QuarantineTable&, ServerCrash);

/// Removes a finished request from the crashes that it was part of, since it did not cause them.
void recordFinished(QuarantineTable&, RequestFingerprint);

/// Adds a quarantine announced by another node. A known one keeps its end, so that nodes do not renew it for each other.
void mergeQuarantined(QuarantineTable&, RequestFingerprint, Core::MonotonicTime until);

/// Returns the quarantines that other nodes need to know, and how long they last; not those that end before a report of them may arrive.
[[nodiscard]] std::vector<std::pair<RequestFingerprint, Core::Duration>> quarantinesToReport(QuarantineTable const&, Core::MonotonicTime now);

[[nodiscard]] bool isQuarantined(QuarantineTable const&, RequestFingerprint, Core::MonotonicTime now);

/// Whether the request was part of a crash. Retries of a suspect are not sent to servers that run other suspects.
[[nodiscard]] bool isSuspect(QuarantineTable const&, RequestFingerprint);

/// Removes crashes older than an hour and quarantines that have ended.
void expire(QuarantineTable&, Core::MonotonicTime now);

}
