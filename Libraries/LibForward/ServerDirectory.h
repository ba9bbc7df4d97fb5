#pragma once

#include <LibCore/Runtime.h>
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
    struct Entry {
        Routing::ListedServer server;
        /// When the removal of the entry was read; empty while it is registered.
        std::optional<Core::MonotonicTime> removedAt;

        bool operator==(Entry const&) const = default;
    };
    std::map<std::string, Entry> entries;
    struct Departure {
        /// The entry's last revision before it was removed.
        std::uint64_t revision { 0 };
        Core::MonotonicTime at;

        bool operator==(Departure const&) const = default;
    };
    /// Servers whose entries were removed some seconds ago, by id.
    std::map<std::string, Departure> departures;
    /// When the store last failed, or responded again after a failure.
    std::optional<Core::MonotonicTime> lastStoreOutageAt;
    /// When that outage was first detected.
    Core::MonotonicTime storeOutageStartedAt {};

    bool operator==(ServerDirectory const&) const = default;
};

/// Records that the store failed, or responded again after a failure.
void recordStoreOutage(ServerDirectory&, Core::MonotonicTime now);

/// Adds or updates a registered entry.
void registerServer(ServerDirectory&, Routing::ListedServer);

/// Marks an entry as removed.
void unregisterServer(ServerDirectory&, std::string const& id, Core::MonotonicTime now);

/// Replaces the registered entries by a list; entries not in it are marked as removed at this time.
void replaceServers(ServerDirectory&, std::vector<Routing::ListedServer> const&, Core::MonotonicTime now);

/// Merges the list of a peer, which claims to reflect a store revision but may lack changes that the peer's watch missed. Entries that this
/// node knows in a later revision, or removed in that revision, are not taken over; entries that the list lacks are removed unless they
/// changed after it.
void mergePeerServers(ServerDirectory&, std::vector<Routing::ListedServer> const&, std::uint64_t listRevision, Core::MonotonicTime now);

/// Returns the servers to use. A removed entry is normally left out at once. After a store outage, in which the entries of
/// running servers expire, or when most entries are removed at the same time, entries removed since then stay in use until the servers
/// have had time to register again. Drops entries that are no longer needed.
[[nodiscard]] std::vector<Routing::ListedServer> serversInUse(ServerDirectory&, Core::MonotonicTime now);

}
