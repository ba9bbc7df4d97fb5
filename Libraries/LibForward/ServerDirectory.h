#pragma once

#include <LibCore/Runtime.h>
#include <LibForward/NodeReport.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Forward {

/// How long removed entries stay in use after a store outage. Servers whose entries expired in the outage register again within
/// about two seconds of the store's return, which this node detects slightly later.
inline constexpr Core::Duration removalGracePeriod = std::chrono::milliseconds(1600);

/// The servers registered in the platform's store, as read by this node. Entries that expired because of a store outage are kept
/// for a short time. Not thread safe.
struct ServerDirectory {
    /// The era of the store that the entries reflect.
    std::uint64_t era { 0 };
    struct Entry {
        Routing::ListedServer server;
        /// When the removal of the entry was read; empty while it is registered.
        std::optional<Core::MonotonicTime> removedAt;

        bool operator==(Entry const&) const = default;
    };
    std::map<std::string, Entry> entries;
    struct Departure {
        /// The entry before it was removed.
        Routing::ListedServer server;
        Core::MonotonicTime at;
        /// Whether the entry did not expire in an outage of the store, so that the server does not register again.
        bool isFinal { false };
        /// An entry from before the removal that a restored store has, and when this node first read it.
        std::optional<Routing::ListedServer> restored;
        Core::MonotonicTime restoredAt {};

        bool operator==(Departure const&) const = default;
    };
    /// Servers whose entries were removed some seconds ago, by id.
    std::map<std::string, Departure> departures;
    /// The incarnations of the servers that stated that they are leaving, by id, while their entries do not say so.
    std::map<std::string, std::uint64_t> statements;
    /// When the store last failed, or responded again after a failure.
    std::optional<Core::MonotonicTime> lastStoreOutageAt;
    /// When that outage was first detected.
    Core::MonotonicTime storeOutageStartedAt {};

    bool operator==(ServerDirectory const&) const = default;
};

/// Records that the store failed, or responded again after a failure.
void recordStoreOutage(ServerDirectory&, Core::MonotonicTime now);

/// How long an entry that a restored store has from before its removal is ignored: the three heartbeat intervals after which the entry of a
/// server that has left expires, with a margin. A server that is still registered then is running.
inline constexpr Core::Duration restoredEntryTimeout = std::chrono::seconds(6);

/// Adds or updates a registered entry, unless this node knows of a later change. A server that is leaving stays so, and an entry that a
/// restored store has from before its removal is ignored for restoredEntryTimeout.
void registerServer(ServerDirectory&, Routing::ListedServer, Core::MonotonicTime now);

/// Marks an entry as removed.
void unregisterServer(ServerDirectory&, std::string const& id, Core::MonotonicTime now);

/// Records that a server itself stated that it is leaving, which may be known before its entry says so. Its incarnation stays so, also if its
/// entry is removed and read again. Has no effect on another incarnation. Returns whether it was not known to be leaving.
bool recordLeaving(ServerDirectory&, std::string const& id, std::uint64_t incarnation);

/// Returns the servers that stated that they are leaving while their entries do not say so, at most as many as a report may hold.
[[nodiscard]] std::vector<LeavingServer> leavingServersToReport(ServerDirectory const&);

/// Records the statements that another node reports. Returns the ids of the servers that were not known to be leaving.
std::vector<std::string> mergeLeavingServers(ServerDirectory&, std::vector<LeavingServer> const&);

/// Merges a list of the registered entries as of a revision: registers them, and marks entries that it lacks as removed at this time unless
/// they changed after it. The list of a peer may also lack changes that the peer's watch missed. A list of a later era follows an outage of
/// the store. Precondition: the list is not of an earlier era.
void mergeServers(ServerDirectory&, std::vector<Routing::ListedServer> const&, Core::StoreRevision listRevision, Core::MonotonicTime now);

/// Returns the servers to use. A removed entry is normally left out at once. After a store outage, in which the entries of
/// running servers expire, or when most entries are removed at the same time, entries removed since then stay in use until the servers
/// have had time to register again. Drops entries that are no longer needed.
[[nodiscard]] std::vector<Routing::ListedServer> serversInUse(ServerDirectory&, Core::MonotonicTime now);

}
