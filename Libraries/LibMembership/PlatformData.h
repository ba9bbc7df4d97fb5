#pragma once

#include <LibCore/Runtime.h>
#include <LibPeer/PeerMessages.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// A copy of the platform's list of backend servers and of its reclaim notices, as a relay serves it to other nodes.
///
/// The copy always equals one reading of the platform's list, the newest known: a list is adopted only if it was read later
/// than the one held, so a relay that lags cannot bring a removed server back. Whether a server is leaving for good is not
/// decided here; Routing::mergeHostList() keeps that mark one-way.
struct PlatformData {
    struct Row {
        Peer::ServerEntry entry;
        /// The version that added, changed or removed the row.
        std::uint64_t changedVersion { 0 };
        /// Kept after the removal, so that a caller with an older version learns of it.
        bool removed { false };

        bool operator==(Row const&) const = default;
    };

    /// Identifies the process whose versions these are; random.
    std::uint64_t epoch { 0 };
    /// Grows with each change of a row.
    std::uint64_t version { 0 };
    /// Removals up to this version are no longer recorded.
    std::uint64_t prunedVersion { 0 };
    std::map<std::string, Row> rows;
    /// All rows that are not removed, combined; equal for equal lists.
    std::uint64_t contentHash { 0 };
    /// When the platform was asked for the list held; empty before the first one.
    std::optional<Core::MonotonicTime> readAt;
    /// By the platform's sequence.
    std::map<std::uint64_t, Peer::ReclaimNotice> notices;
    std::uint64_t noticeSequence { 0 };

    bool operator==(PlatformData const&) const = default;
};

/// What a node last received from one peer.
struct PlatformDataCursor {
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };

    bool operator==(PlatformDataCursor const&) const = default;
};

/// Replaces the list if the given one was read later than the one held. Returns whether it was adopted, changed or not.
bool applyServerList(PlatformData&, std::vector<Peer::ServerEntry> const&, Core::MonotonicTime readAt);

/// Adds notices and advances the sequence. Returns those that are new.
std::vector<Peer::ReclaimNotice> addNotices(PlatformData&, std::vector<Peer::ReclaimNotice> const&, std::uint64_t sequence);

/// Drops the notices whose time passed long ago; their hosts are no longer listed.
void expireNotices(PlatformData&, std::int64_t wallMilliseconds);

[[nodiscard]] std::vector<Peer::ServerEntry> listedServers(PlatformData const&);

/// Whether a caller that waits gets its reply now: it has no version of this process, an older version, or misses a notice.
[[nodiscard]] bool hasUpdateFor(PlatformData const&, Peer::FetchPlatformDataRequest const&);

[[nodiscard]] Peer::FetchPlatformDataRequest createFetchRequest(PlatformData const&, PlatformDataCursor const&);

/// Answers with the changes since the caller's version, with no rows if its list is the same, or else with all rows.
[[nodiscard]] Peer::FetchPlatformDataReply createFetchReply(PlatformData const&, Peer::FetchPlatformDataRequest const&, Core::MonotonicTime now);

/// What a merged reply changed.
struct PlatformDataUpdate {
    bool listApplied { false };
    std::vector<Peer::ReclaimNotice> notices;

    bool operator==(PlatformDataUpdate const&) const = default;
};

/// Merges a peer's reply. The cursor is reset, so that the next reply holds all rows, if the list held then differs from the
/// peer's: the changes led to another one, or the peer's was read earlier and its next one may be the right one.
PlatformDataUpdate mergeReply(PlatformData&, PlatformDataCursor&, Peer::FetchPlatformDataReply const&, Core::MonotonicTime now);

/// Where a node gets the platform's data from.
enum class PlatformDataSource {
    Platform,
    /// The relays of the own data centre, other than this node.
    LocalRelays,
    /// A relay of another data centre.
    RemoteRelay,
};

enum class RelayRole {
    Relay,
    Member,
};

/// The sources to use now. Relays ask the platform and follow each other, also across data centres, so that one that cannot
/// reach the platform has the data too, and each list read serves all. A member asks its relays; without a list, or with one
/// that is older than `staleAfter`, it also asks the platform (the caller limits the rate).
[[nodiscard]] std::vector<PlatformDataSource> choosePlatformDataSources(RelayRole, std::optional<Core::Duration> listAge, Core::Duration staleAfter);

/// The data centre whose relay a relay follows: the next one in the order of names, so that all are connected in a ring.
/// Empty if there is no other.
[[nodiscard]] std::string nextDataCentre(std::set<std::string> const& dataCentres, std::string const& own);

/// The time until the platform's list is read again: at least `minimum`, and so long that the reading takes at most
/// `bytesPerSecond` on average.
[[nodiscard]] Core::Duration hostListPollInterval(std::size_t listBytes, std::size_t bytesPerSecond, Core::Duration minimum);

}
