#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Limits {

/// A hash of a request's body and service; equal requests sent again have the same.
using RequestFingerprint = std::uint64_t;

/// A crash of a backend server as this node saw it: its connections ended in the middle of answers.
struct ServerCrash {
    Core::MonotonicTime at;
    std::string serverId;
    /// This node's requests in the server's batch.
    std::vector<RequestFingerprint> batch;
    /// Those of them that had generated tokens at the server, and so had run there without harm for a while.
    std::set<RequestFingerprint> progressed;

    bool operator==(ServerCrash const&) const = default;
};

/// Requests that crash backend servers, and the crashes that speak for or against it. Not thread safe.
struct QuarantineTable {
    std::vector<ServerCrash> crashes;
    /// Quarantined requests and when they are released.
    std::map<RequestFingerprint, Core::MonotonicTime> quarantined;

    bool operator==(QuarantineTable const&) const = default;
};

/// Records a crash and quarantines the requests of its batch that the evidence is against: at least three crashes within the
/// hour (six if it had generated tokens before them, since requests of other nodes in the batch may be the cause), and more than twice the crashes of the last half minute that happened without it, which suggest a wave of lost hosts.
/// Failures at one server within a second are one crash. Returns the requests quarantined by this crash.
std::vector<RequestFingerprint> recordCrash(QuarantineTable&, ServerCrash);

/// A request that finished is not the cause of the crashes it was part of.
void recordFinished(QuarantineTable&, RequestFingerprint);

/// Adds a quarantine that another node announced. The later expiry wins.
void mergeQuarantined(QuarantineTable&, RequestFingerprint, Core::MonotonicTime until);

[[nodiscard]] bool isQuarantined(QuarantineTable const&, RequestFingerprint, Core::MonotonicTime now);

/// Whether the request was part of a crash; it is then kept apart from other suspects when it is retried.
[[nodiscard]] bool isSuspect(QuarantineTable const&, RequestFingerprint);

/// Drops what is older than an hour.
void expire(QuarantineTable&, Core::MonotonicTime now);

}
