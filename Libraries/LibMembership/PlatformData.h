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
/// The copy is always the newest known snapshot of the platform's list: a list is applied only if it was read later than the
/// current one, so a lagging relay cannot restore a removed server. The leaving flag of a server may be reset by a later list;
/// Routing::mergeHostList() makes it irreversible.
struct PlatformData {
    struct Row {
        Peer::ServerEntry entry;
        /// The version that added, changed or removed the row.
        std::uint64_t changedVersion { 0 };
        /// Removed rows are kept so that callers with an older version receive the removal.
        bool removed { false };

        bool operator==(Row const&) const = default;
    };

    /// Random identifier of the process that counts the versions.
    std::uint64_t epoch { 0 };
    /// Incremented by each list that changes a row.
    std::uint64_t version { 0 };
    /// Removals up to this version have been pruned.
    std::uint64_t prunedVersion { 0 };
    std::map<std::string, Row> rows;
    /// Combined hash of all rows that are not removed; equal for equal lists.
    std::uint64_t contentHash { 0 };
    /// When the current list was requested from the platform; empty before the first list.
    std::optional<Core::MonotonicTime> readAt;
    /// By the platform's sequence number.
    std::map<std::uint64_t, Peer::ReclaimNotice> notices;
    std::uint64_t noticeSequence { 0 };

    bool operator==(PlatformData const&) const = default;
};

/// The epoch and version that a node last received from one peer.
struct PlatformDataCursor {
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };

    bool operator==(PlatformDataCursor const&) const = default;
};

/// Replaces the list if the given one was read later than the current one. Returns whether it was applied, even if no row
/// changed.
bool applyServerList(PlatformData&, std::vector<Peer::ServerEntry> const&, Core::MonotonicTime readAt);

/// Adds notices and advances the sequence. Returns those that are new.
std::vector<Peer::ReclaimNotice> addNotices(PlatformData&, std::vector<Peer::ReclaimNotice> const&, std::uint64_t sequence);

/// Drops notices some time after the reclaim, when their hosts are no longer listed.
void expireNotices(PlatformData&, std::int64_t wallMilliseconds);

[[nodiscard]] std::vector<Peer::ServerEntry> listedServers(PlatformData const&);

/// Whether a waiting request can be replied to: the caller has no version of this epoch, an older version, or lacks a notice.
[[nodiscard]] bool hasUpdateFor(PlatformData const&, Peer::FetchPlatformDataRequest const&);

[[nodiscard]] Peer::FetchPlatformDataRequest createFetchRequest(PlatformData const&, PlatformDataCursor const&);

/// The reply contains the changes since the caller's version, no rows if its list is the same, or otherwise all rows.
[[nodiscard]] Peer::FetchPlatformDataReply createFetchReply(PlatformData const&, Peer::FetchPlatformDataRequest const&, Core::MonotonicTime now);

/// The changes made by merging a reply.
struct PlatformDataUpdate {
    bool listApplied { false };
    std::vector<Peer::ReclaimNotice> notices;

    bool operator==(PlatformDataUpdate const&) const = default;
};

/// Merges a peer's reply. If the resulting list differs from the peer's, the cursor is reset so that the next reply contains
/// all rows. The lists differ if the changes were applied to another base, or if the peer's list was read earlier.
PlatformDataUpdate mergeReply(PlatformData&, PlatformDataCursor&, Peer::FetchPlatformDataReply const&, Core::MonotonicTime now);

/// Where a node gets the platform's data from.
enum class PlatformDataSource {
    Platform,
    /// The relays of this node's data centre, other than this node.
    LocalRelays,
    /// A relay of another data centre.
    RemoteRelay,
};

enum class RelayRole {
    Relay,
    Member,
};

/// The sources to use now. Relays poll the platform and fetch from each other, also across data centres, so that a relay that
/// cannot reach the platform gets the data too, and each list read is shared by all. A member fetches from its relays; without
/// a list, or with one that is older than `staleAfter`, it also polls the platform (the caller limits the rate).
[[nodiscard]] std::vector<PlatformDataSource> choosePlatformDataSources(RelayRole, std::optional<Core::Duration> listAge, Core::Duration staleAfter);

/// The data centre from whose relay a relay fetches: the next one in the order of names, so that all are connected in a ring.
/// Empty if there is no other.
[[nodiscard]] std::string nextDataCentre(std::set<std::string> const& dataCentres, std::string const& own);

/// The interval between reads of the platform's list: at least `minimum`, and long enough that the reads take at most
/// `bytesPerSecond` on average.
[[nodiscard]] Core::Duration hostListPollInterval(std::size_t listBytes, std::size_t bytesPerSecond, Core::Duration minimum);

}
