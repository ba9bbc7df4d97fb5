#include <LibForward/ServerDirectory.h>

#include <algorithm>
#include <set>

namespace Forward {

using namespace std::chrono_literals;

void recordStoreOutage(ServerDirectory& directory, Core::MonotonicTime now)
{
    if (!directory.lastStoreOutageAt || now - *directory.lastStoreOutageAt >= removalGracePeriod)
        directory.storeOutageStartedAt = now;
    directory.lastStoreOutageAt = now;
}

static bool isStoreOutageRecent(ServerDirectory const& directory, Core::MonotonicTime now)
{
    return directory.lastStoreOutageAt && now - *directory.lastStoreOutageAt < removalGracePeriod;
}

static bool isMassRemoval(ServerDirectory const& directory, Core::MonotonicTime now)
{
    static constexpr std::size_t minimumRemovals = 3;
    std::size_t removed = 0;
    for (auto const& [id, entry] : directory.entries) {
        if (entry.removedAt && now - *entry.removedAt < removalGracePeriod && entry.server.lifecycle == Routing::Lifecycle::Live)
            ++removed;
    }
    return removed >= minimumRemovals && removed * 2 >= directory.entries.size();
}

// Whether this node knows a later change of the entry.
static bool isOutdated(ServerDirectory const& directory, Routing::ListedServer const& server)
{
    auto const departure = directory.departures.find(server.id);
    if (departure == directory.departures.end()) {
        auto const found = directory.entries.find(server.id);
        if (found == directory.entries.end())
            return false;
        auto const& known = found->second.server;
        bool const isRestored = server.revision.era > known.revision.era && server.revision.number <= known.revision.number;
        return server.revision < known.revision || (isRestored && server.incarnation < known.incarnation);
    }
    auto const& departed = departure->second.server;
    if (server.revision.era <= departed.revision.era) {
        bool const isSameChange = server.revision == departed.revision && server.revision.number != 0;
        return server.revision < departed.revision || isSameChange;
    }
    // A restored store has entries from before their removal, with the revision numbers that they had.
    return departure->second.isFinal && server.incarnation <= departed.incarnation && server.revision.number <= departed.revision.number;
}

static bool isLeaving(ServerDirectory const& directory, std::string const& id, std::uint64_t incarnation)
{
    auto const known = directory.entries.find(id);
    auto const departure = directory.departures.find(id);
    auto const says = [&](Routing::ListedServer const& server) { return incarnation != 0 && server.incarnation == incarnation && server.lifecycle == Routing::Lifecycle::Leaving; };
    return (known != directory.entries.end() && says(known->second.server)) || (departure != directory.departures.end() && says(departure->second.server));
}

static void addEntry(ServerDirectory& directory, Routing::ListedServer server)
{
    auto const statement = directory.statements.find(server.id);
    if (statement != directory.statements.end() && (server.lifecycle == Routing::Lifecycle::Leaving || statement->second != server.incarnation))
        directory.statements.erase(statement);
    if (isLeaving(directory, server.id, server.incarnation))
        server.lifecycle = Routing::Lifecycle::Leaving;
    auto id = server.id;
    directory.departures.erase(id);
    directory.entries[std::move(id)] = { std::move(server), std::nullopt };
}

void registerServer(ServerDirectory& directory, Routing::ListedServer server, Core::MonotonicTime now)
{
    if (!isOutdated(directory, server)) {
        addEntry(directory, std::move(server));
        return;
    }
    auto const departure = directory.departures.find(server.id);
    if (departure == directory.departures.end() || server.revision.era <= departure->second.server.revision.era)
        return;
    if (!departure->second.restored)
        departure->second.restoredAt = now;
    departure->second.restored = std::move(server);
}

void unregisterServer(ServerDirectory& directory, std::string const& id, Core::MonotonicTime now)
{
    auto const departure = directory.departures.find(id);
    if (departure != directory.departures.end())
        departure->second.restored.reset();
    auto const found = directory.entries.find(id);
    if (found == directory.entries.end() || found->second.removedAt)
        return;
    found->second.removedAt = now;
    directory.departures[id] = { found->second.server, now, !isStoreOutageRecent(directory, now), std::nullopt };
    if (!isMassRemoval(directory, now))
        return;
    for (auto& [other, recent] : directory.departures) {
        if (now - recent.at < removalGracePeriod)
            recent.isFinal = false;
    }
}

bool recordLeaving(ServerDirectory& directory, std::string const& id, std::uint64_t incarnation)
{
    bool isNew = false;
    auto const record = [&](Routing::ListedServer& server) {
        if (server.incarnation != incarnation)
            return;
        isNew = isNew || server.lifecycle != Routing::Lifecycle::Leaving;
        server.lifecycle = Routing::Lifecycle::Leaving;
    };
    if (auto const entry = directory.entries.find(id); entry != directory.entries.end())
        record(entry->second.server);
    if (auto const departure = directory.departures.find(id); departure != directory.departures.end())
        record(departure->second.server);
    if (isNew)
        directory.statements[id] = incarnation;
    return isNew;
}

std::vector<LeavingServer> leavingServersToReport(ServerDirectory const& directory)
{
    // A datagram also holds the loads and demands.
    static constexpr std::size_t maximumReportedServers = 32;
    std::vector<LeavingServer> servers;
    for (auto const& [id, incarnation] : directory.statements) {
        // Without a time of birth, another node may know a later incarnation by the same entry.
        if (incarnation != 0 && servers.size() < maximumReportedServers)
            servers.push_back({ hashId(id), incarnation });
    }
    return servers;
}

std::vector<std::string> mergeLeavingServers(ServerDirectory& directory, std::vector<LeavingServer> const& servers)
{
    std::vector<std::string> recorded;
    if (servers.empty())
        return recorded;
    for (auto const& [id, entry] : directory.entries) {
        auto const incarnation = entry.server.incarnation;
        bool const isNamed = incarnation != 0 && std::find(servers.begin(), servers.end(), LeavingServer { hashId(id), incarnation }) != servers.end();
        if (isNamed && recordLeaving(directory, id, incarnation))
            recorded.push_back(id);
    }
    return recorded;
}

void mergeServers(ServerDirectory& directory, std::vector<Routing::ListedServer> const& servers, Core::StoreRevision listRevision, Core::MonotonicTime now)
{
    if (directory.era != listRevision.era && !directory.entries.empty())
        recordStoreOutage(directory, now);
    directory.era = listRevision.era;
    std::set<std::string> listed;
    for (auto const& server : servers) {
        listed.insert(server.id);
        registerServer(directory, server, now);
    }
    for (auto& [id, departure] : directory.departures) {
        if (!listed.contains(id))
            departure.restored.reset();
    }
    for (auto const& [id, entry] : directory.entries) {
        if (!listed.contains(id) && entry.server.revision <= listRevision)
            unregisterServer(directory, id, now);
    }
}

// Makes departures final once servers whose entries expired have had time to register again, and takes over the entries of a restored store
// that did not expire.
static void updateDepartures(ServerDirectory& directory, Core::MonotonicTime now)
{
    // Longer than a peer's list can be out of date.
    static constexpr Core::Duration departureRetention = 30s;
    std::vector<Routing::ListedServer> running;
    for (auto& [id, departure] : directory.departures) {
        departure.isFinal = departure.isFinal || now - departure.at >= removalGracePeriod;
        if (departure.restored && now - departure.restoredAt >= restoredEntryTimeout)
            running.push_back(*departure.restored);
    }
    for (auto& server : running)
        addEntry(directory, std::move(server));
    std::erase_if(directory.departures, [&](auto const& item) { return now - item.second.at > departureRetention && !item.second.restored; });
}

std::vector<Routing::ListedServer> serversInUse(ServerDirectory& directory, Core::MonotonicTime now)
{
    updateDepartures(directory, now);
    bool const storeWasUnavailable = isStoreOutageRecent(directory, now);
    bool const manyWereRemoved = isMassRemoval(directory, now);
    // Entries removed before the outage were removed by a working store.
    auto const mayHaveExpired = [&](ServerDirectory::Entry const& entry) { return storeWasUnavailable && *entry.removedAt >= directory.storeOutageStartedAt; };
    std::erase_if(directory.entries, [&](auto const& item) {
        auto const& entry = item.second;
        return entry.removedAt && now - *entry.removedAt >= removalGracePeriod && !mayHaveExpired(entry);
    });
    std::erase_if(directory.statements, [&](auto const& item) { return !directory.entries.contains(item.first); });
    std::vector<Routing::ListedServer> servers;
    for (auto const& [id, entry] : directory.entries) {
        if (!entry.removedAt || ((manyWereRemoved || mayHaveExpired(entry)) && entry.server.lifecycle == Routing::Lifecycle::Live))
            servers.push_back(entry.server);
    }
    return servers;
}

}
