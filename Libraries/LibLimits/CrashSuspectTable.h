#pragma once

#include <LibCore/Runtime.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Limits {

/// Hash of the id of a prompt part that several requests share.
using PromptPartHash = std::uint64_t;

/// Random number of a crash as observed by one node, so that repeated reports of it count once.
using CrashId = std::uint32_t;

/// Hash of the id of a backend server; 0 if the node that observed the crash did not say which it was.
using ServerHash = std::uint32_t;

/// A crash of a server at which a request had not yet got far into its answer.
struct SuspectCrash {
    ServerHash server { 0 };
    Core::MonotonicTime at;

    bool operator==(SuspectCrash const&) const = default;
};

/// The evidence on one prompt part. Times are of this node's clock.
struct SuspectPart {
    /// Crashes that count against the part.
    std::map<CrashId, SuspectCrash> crashes;
    /// Further crashes, which only explain those of other parts: at the time of one that counts, or while nothing of the service succeeded.
    std::map<CrashId, SuspectCrash> otherCrashes;
    /// When a request with this part last got that far.
    std::optional<Core::MonotonicTime> soundAt;
    /// When another node reported crashes that happened before then, so that it needs to know.
    std::optional<Core::MonotonicTime> contradictedAt;
    /// Whether another shared part followed it in one of the requests, which may be the cause instead.
    bool isPrefix { false };

    bool operator==(SuspectPart const&) const = default;
};

/// Prompt parts that may crash every server which begins an answer to a request with them, whatever else the request holds. Such
/// requests have no fingerprint in common, arrive at any node, and never succeed, while a request with a sound part does. Not thread
/// safe.
struct CrashSuspectTable {
    std::map<PromptPartHash, SuspectPart> parts;
    /// Parts whose requests are refused.
    std::set<PromptPartHash> refused;
    /// When any request of a service last got beyond its first events, by service.
    std::map<std::string, Core::MonotonicTime> soundServices;
    /// How long a crash is evidence, and a part is refused after its last one.
    Core::Duration evidenceDuration { std::chrono::minutes(10) };

    bool operator==(CrashSuspectTable const&) const = default;
};

/// Records that a request with these parts, in the order of its prompt, was at a server of the service when it crashed. Returns the parts
/// that are refused from now on. Repeated crashes are evidence only if other requests of the service succeed in between.
std::vector<PromptPartHash> recordCrash(CrashSuspectTable&, std::string const& service, std::vector<PromptPartHash> const&, CrashId, SuspectCrash const&);

/// Records that a request with these parts got beyond its first events, which clears them. Returns the parts that are refused from now on
/// because one that is cleared explained their crashes.
std::vector<PromptPartHash> recordSound(CrashSuspectTable&, std::string const& service, std::vector<PromptPartHash> const&, Core::MonotonicTime now);

/// Adds the evidence of another node. Returns the parts that are refused from now on.
std::vector<PromptPartHash> mergeSuspect(CrashSuspectTable&, PromptPartHash, SuspectPart const&, Core::MonotonicTime now);

/// Whether requests with the part are refused: servers crashed under it at three or more times half a second apart, and no request with
/// it succeeded since. Many servers may be lost at once for another reason, which counts as one time. A part that is followed by
/// another shared one needs one time more, so that the later one is refused alone if it explains all crashes. A part is not refused
/// if refused parts explain each of its crashes: such a part was in at least twice as many, and at the same server when it crashed. For a
/// part that is followed by another shared one, one that is not may also have been in half as many.
[[nodiscard]] bool crashesServers(CrashSuspectTable const&, PromptPartHash, Core::MonotonicTime now);

/// Returns the evidence that other nodes need, the strongest first, bounded in size: what is new or contradicts theirs, and parts that are
/// refused.
[[nodiscard]] std::vector<std::pair<PromptPartHash, SuspectPart>> suspectsToReport(CrashSuspectTable const&, Core::MonotonicTime now);

/// Removes evidence that is out of date. Returns the parts that are refused from now on because it explained their crashes.
std::vector<PromptPartHash> expire(CrashSuspectTable&, Core::MonotonicTime now);

}
