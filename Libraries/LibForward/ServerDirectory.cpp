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

void registerServer(ServerDirectory& directory, Routing::ListedServer server)
{
    auto id = server.id;
    directory.departures.erase(id);
    directory.entries[std::move(id)] = { std::move(server), std::nullopt };
}

void unregisterServer(ServerDirectory& directory, std::string const& id, Core::MonotonicTime now)
{
    auto const found = directory.entries.find(id);
    if (found == directory.entries.end() || found->second.removedAt)
        return;
    found->second.removedAt = now;
    directory.departures[id] = { found->second.server.revision, now };
}

static bool isOutdated(ServerDirectory const& directory, Routing::ListedServer const& server)
{
    auto const departure = directory.departures.find(server.id);
    if (departure != directory.departures.end())
        return server.revision <= departure->second.revision;
    auto const known = directory.entries.find(server.id);
    return known != directory.entries.end() && server.revision < known->second.server.revision;
}

void mergePeerServers(ServerDirectory& directory, std::vector<Routing::ListedServer> const& servers, std::uint64_t listRevision, Core::MonotonicTime now)
{
    std::set<std::string> listed;
    for (auto const& server : servers) {
        listed.insert(server.id);
        if (!isOutdated(directory, server))
            registerServer(directory, server);
    }
    for (auto const& [id, entry] : directory.entries) {
        if (!listed.contains(id) && entry.server.revision <= listRevision)
            unregisterServer(directory, id, now);
    }
}

void replaceServers(ServerDirectory& directory, std::vector<Routing::ListedServer> const& servers, Core::MonotonicTime now)
{
    std::set<std::string> listed;
    for (auto const& server : servers) {
        listed.insert(server.id);
        registerServer(directory, server);
    }
    for (auto const& [id, entry] : directory.entries) {
        if (!listed.contains(id))
            unregisterServer(directory, id, now);
    }
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

std::vector<Routing::ListedServer> serversInUse(ServerDirectory& directory, Core::MonotonicTime now)
{
    bool const storeWasUnavailable = directory.lastStoreOutageAt && now - *directory.lastStoreOutageAt < removalGracePeriod;
    bool const manyWereRemoved = isMassRemoval(directory, now);
    // Entries removed before the outage were removed by a working store.
    auto const mayHaveExpired = [&](ServerDirectory::Entry const& entry) { return storeWasUnavailable && *entry.removedAt >= directory.storeOutageStartedAt; };
    std::erase_if(directory.entries, [&](auto const& item) {
        auto const& entry = item.second;
        return entry.removedAt && now - *entry.removedAt >= removalGracePeriod && !mayHaveExpired(entry);
    });
    // Longer than a peer's list can be out of date.
    static constexpr Core::Duration departureRetention = 30s;
    std::erase_if(directory.departures, [&](auto const& item) { return now - item.second.at > departureRetention; });
    std::vector<Routing::ListedServer> servers;
    for (auto const& [id, entry] : directory.entries) {
        if (!entry.removedAt || ((manyWereRemoved || mayHaveExpired(entry)) && entry.server.lifecycle == Routing::Lifecycle::Live))
            servers.push_back(entry.server);
    }
    return servers;
}

}
