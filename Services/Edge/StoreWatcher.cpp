#include <Edge/StoreWatcher.h>

#include <LibCore/Log.h>
#include <LibPlatform/JsonFields.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace Edge {

using namespace std::chrono_literals;
namespace json = boost::json;

static constexpr Core::Duration callTimeout = 1000ms;

StoreWatcher::StoreWatcher(Core::Runtime& runtime, Platform::ObjectStore& store, HTTP::Client& peerClient, Forward::PlatformCodec const& codec, EdgeTables& tables, EdgeSettings const& settings, Core::Random& random, Core::Metrics& metrics)
    : m_runtime(runtime)
    , m_store(store)
    , m_peerClient(peerClient)
    , m_codec(codec)
    , m_tables(tables)
    , m_settings(settings)
    , m_random(random)
    , m_metrics(metrics)
{
}

void StoreWatcher::start()
{
    m_runtime.spawn(watch(Resource::Configuration));
    m_runtime.spawn(watch(Resource::Servers));
}

std::string StoreWatcher::objectKind(Resource resource) const
{
    return resource == Resource::Configuration ? m_codec.configurationKey().kind : m_codec.serverKind();
}

Core::Awaitable<bool> StoreWatcher::list(Resource resource, Core::StoreRevision& version, Core::Error& error)
{
    auto const list = co_await m_store.list(objectKind(resource), m_runtime.now() + callTimeout, error);
    if (!list)
        co_return false;
    // A peer may have read the restored store before this response of the earlier era arrived.
    if (list->resourceVersion.era < m_tables.serversRevision.era)
        co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, "the list is of the store's revision " + list->resourceVersion.toString() + ", before era " + std::to_string(m_tables.serversRevision.era)), false;
    version = list->resourceVersion;
    recordSuccess(resource);
    Core::logEvent(Core::LogLevel::Info, "store_listed", { { "kind", objectKind(resource) }, { "objects", std::uint64_t(list->objects.size()) }, { "revision", version.toString() } });
    if (resource == Resource::Servers) {
        m_tables.serversRevision = std::max(m_tables.serversRevision, version);
        mergeServers(*list);
    } else {
        for (auto const& object : list->objects) {
            if (object.key == m_codec.configurationKey())
                applyConfiguration(object.value, "store");
        }
    }
    co_return true;
}

Core::Awaitable<void> StoreWatcher::watch(Resource resource)
{
    // The revision from which the next watch starts, and the last one that the store returned.
    std::optional<Core::StoreRevision> version;
    Core::StoreRevision returnedVersion;
    while (true) {
        Core::Error error;
        if (m_tables.isUsable() && !m_shouldWatch) {
            co_await waitUntilWatching();
            version.reset();
        }
        if (!version) {
            Core::StoreRevision listed;
            bool const isListed = co_await list(resource, listed, error);
            if (!isListed) {
                co_await m_runtime.sleepFor(recordFailure(resource, error));
                continue;
            }
            version = listed;
            returnedVersion = listed;
        }
        auto const watchDuration = minimumWatchDuration + std::chrono::milliseconds(m_random.below((maximumWatchDuration - minimumWatchDuration).count()));
        auto const changes = co_await m_store.waitForChanges(objectKind(resource), *version, m_runtime.now() + watchDuration, error);
        if (!changes) {
            // Earlier watches may have missed changes while the store delivered none.
            version.reset();
            co_await m_runtime.sleepFor(recordWatchFailure(resource, error));
            continue;
        }
        recordSuccess(resource);
        // A peer has read the restored store already.
        if (changes->resourceVersion.era < m_tables.serversRevision.era) {
            version.reset();
            continue;
        }
        // A watch that ended while the store delivered no changes may have missed some, so that the next one covers its time as well.
        version = changes->events.empty() ? returnedVersion : changes->resourceVersion;
        returnedVersion = changes->resourceVersion;
        for (auto const& event : changes->events) {
            bool const isRemoved = event.kind == Platform::ObjectEventKind::Removed;
            if (resource == Resource::Servers && isRemoved)
                Forward::unregisterServer(m_tables.directory, event.object.key.name, m_runtime.now());
            else if (resource == Resource::Servers)
                applyServerEntry(event.object);
            else if (!isRemoved && event.object.key == m_codec.configurationKey())
                applyConfiguration(event.object.value, "store");
        }
        if (resource == Resource::Servers && !changes->events.empty()) {
            m_tables.serversRevision = std::max(m_tables.serversRevision, changes->resourceVersion);
            updateServerTable("store");
            notifyChange();
            co_await m_runtime.sleepFor(changeBatchingDelay);
        }
    }
}

Core::Awaitable<void> StoreWatcher::waitUntilWatching()
{
    static constexpr Core::Duration checkInterval = 250ms;
    while (!m_shouldWatch)
        co_await m_runtime.sleepFor(checkInterval);
}

bool StoreWatcher::isWatchingStore() const
{
    // Twice the maximum duration of a watch.
    static constexpr Core::Duration recent = 6s;
    auto const now = m_runtime.now();
    auto const isHealthy = [&](CallStatus const& status) { return !status.isUnavailable && status.succeededAt != Core::MonotonicTime {} && now - status.succeededAt < recent; };
    return m_shouldWatch && isHealthy(m_configurationStatus) && isHealthy(m_serversStatus);
}

void StoreWatcher::notifyChange()
{
    if (m_changeListener)
        m_changeListener();
}

// A watch that fails says nothing about the store, since its connection may have gone silent or been reset on the way. The list that
// follows on a new connection tells.
Core::Duration StoreWatcher::recordWatchFailure(Resource resource, Core::Error const& error)
{
    m_metrics.counter("hyssopstep_store_failures_total", { { "kind", objectKind(resource) } }).add();
    bool const isHistoryGone = error.kind == Core::ErrorKind::StoreVersionExpired;
    Core::logEvent(Core::LogLevel::Info, isHistoryGone ? "store_history_gone" : "store_watch_failed", { { "kind", objectKind(resource) }, { "reason", error.message } });
    return initialStoreRetryDelay;
}

Core::Duration StoreWatcher::recordFailure(Resource resource, Core::Error const& error)
{
    auto& status = callStatus(resource);
    m_metrics.counter("hyssopstep_store_failures_total", { { "kind", objectKind(resource) } }).add();
    Forward::recordStoreOutage(m_tables.directory, m_runtime.now());
    if (!std::exchange(status.isUnavailable, true))
        Core::logEvent(Core::LogLevel::Warning, "dependency_lost", { { "dependency", "store" }, { "kind", objectKind(resource) }, { "reason", error.message } });
    auto const retryDelay = std::min<Core::Duration>(initialStoreRetryDelay * (1 << std::min(status.failures, 3U)), maximumStoreRetryDelay);
    ++status.failures;
    return retryDelay;
}

void StoreWatcher::recordSuccess(Resource resource)
{
    auto& status = callStatus(resource);
    status.failures = 0;
    status.succeededAt = m_runtime.now();
    if (!std::exchange(status.isUnavailable, false))
        return;
    Forward::recordStoreOutage(m_tables.directory, m_runtime.now());
    Core::logEvent(Core::LogLevel::Info, "dependency_regained", { { "dependency", "store" }, { "kind", objectKind(resource) } });
}

void StoreWatcher::applyConfiguration(std::string const& value, std::string_view source)
{
    Core::Error error;
    auto table = m_codec.decodeConfiguration(value, error);
    if (!table) {
        Core::logEvent(Core::LogLevel::Error, "configuration_refused", { { "source", source }, { "reason", error.message } });
        return;
    }
    if (m_tables.routes && table->version <= m_tables.routes->version)
        return;
    Core::logEvent(Core::LogLevel::Info, "configuration_changed", { { "version", std::uint64_t(table->version) }, { "previous", std::uint64_t(m_tables.routes ? m_tables.routes->version : 0) }, { "source", source }, { "routes", std::uint64_t(table->routes.size()) } });
    m_tables.routes = std::make_shared<Forward::RouteTable const>(std::move(*table));
    m_tables.configurationJson = value;
    m_tables.becameUsable.notifyAll();
    notifyChange();
}

void StoreWatcher::applyServerEntry(Platform::StoredObject const& object)
{
    Core::Error error;
    auto server = m_codec.decodeServer(object, error);
    if (server) {
        Forward::registerServer(m_tables.directory, std::move(*server), m_runtime.now());
        return;
    }
    logRefusedEntry(object, error);
    Forward::unregisterServer(m_tables.directory, object.key.name, m_runtime.now());
}

// An entry is in each list until it changes, and in those that follow a failed watch.
void StoreWatcher::logRefusedEntry(Platform::StoredObject const& object, Core::Error const& error)
{
    auto const [found, isNew] = m_refusedEntries.try_emplace(object.key.name, object.resourceVersion);
    if (!isNew && std::exchange(found->second, object.resourceVersion) == object.resourceVersion)
        return;
    m_metrics.counter("hyssopstep_server_entries_refused_total").add();
    Core::logEvent(Core::LogLevel::Warning, "server_entry_refused", { { "entry", object.key.name }, { "revision", object.resourceVersion.toString() }, { "reason", error.message } });
}

void StoreWatcher::mergeServers(Platform::ObjectList const& list)
{
    std::vector<Routing::ListedServer> servers;
    std::set<std::string_view> refused;
    for (auto const& object : list.objects) {
        Core::Error error;
        if (auto server = m_codec.decodeServer(object, error)) {
            servers.push_back(std::move(*server));
            continue;
        }
        logRefusedEntry(object, error);
        refused.insert(object.key.name);
    }
    std::erase_if(m_refusedEntries, [&](auto const& item) { return !refused.contains(item.first); });
    Forward::mergeServers(m_tables.directory, servers, list.resourceVersion, m_runtime.now());
    updateServerTable("store");
}

// Appends an id to a list in a log line, up to a bound.
static void appendId(std::string& ids, std::size_t count, std::string const& id)
{
    static constexpr std::size_t maximumIds = 24;
    if (count < maximumIds)
        ids += (ids.empty() ? "" : ",") + id;
}

// One line for all servers that get no new requests from now on, and one for those that do although their entries were removed.
void StoreWatcher::logServersLeftOut(std::vector<Routing::ListedServer> const& used, std::string_view source) const
{
    std::map<std::string_view, Routing::Lifecycle> lifecycles;
    for (auto const& server : used)
        lifecycles[server.id] = server.lifecycle;
    std::size_t left = 0;
    std::size_t kept = 0;
    std::string leftIds;
    std::string keptIds;
    for (auto const& row : m_tables.servers.rows) {
        if (row.lifecycle != Routing::Lifecycle::Live)
            continue;
        auto const found = lifecycles.find(row.id);
        auto const entry = m_tables.directory.entries.find(row.id);
        if (found == lifecycles.end() || found->second == Routing::Lifecycle::Leaving)
            appendId(leftIds, left++, row.id);
        else if (entry != m_tables.directory.entries.end() && entry->second.removedAt > m_serversUpdatedAt)
            appendId(keptIds, kept++, row.id);
    }
    if (left > 0)
        Core::logEvent(Core::LogLevel::Info, "servers_left", { { "count", std::uint64_t(left) }, { "servers", leftIds }, { "source", source }, { "revision", m_tables.serversRevision.toString() } });
    if (kept > 0)
        Core::logEvent(Core::LogLevel::Info, "removed_servers_kept", { { "count", std::uint64_t(kept) }, { "servers", keptIds }, { "source", source }, { "revision", m_tables.serversRevision.toString() } });
}

void StoreWatcher::updateServerTable(std::string_view source)
{
    auto const now = m_runtime.now();
    auto const before = m_tables.servers.rows.size();
    m_serversForPeersRevision.reset();
    auto const used = Forward::serversInUse(m_tables.directory, now);
    logServersLeftOut(used, source);
    m_serversUpdatedAt = now;
    Routing::mergeHostList(m_tables.servers, used, now);
    if (before == 0 && !m_tables.servers.rows.empty())
        m_tables.becameUsable.notifyAll();
    if (m_tables.servers.rows.size() != before)
        Core::logEvent(Core::LogLevel::Info, "servers_changed", { { "servers", std::uint64_t(m_tables.servers.rows.size()) }, { "revision", m_tables.serversRevision.toString() } });
}

void StoreWatcher::tick()
{
    updateServerTable("time");
    bool const shouldWatch = Forward::shouldWatchStore(m_tables.peers, m_settings.nodeId, m_settings.dataCentre, m_runtime.now());
    if (shouldWatch != std::exchange(m_shouldWatch, shouldWatch))
        Core::logEvent(Core::LogLevel::Info, shouldWatch ? "store_followed" : "store_left_to_peers", { { "peers", std::uint64_t(m_tables.peers.knownNodes - 1) } });
    fetchNewerFromPeers();
}

void StoreWatcher::fetchNewerFromPeers()
{
    static constexpr Core::Duration serversInterval = 500ms;
    fetchIfOutdated(Resource::Configuration, { 0, m_tables.routes ? m_tables.routes->version : 0 });
    if (m_shouldWatch && (!m_serversStatus.isUnavailable || m_runtime.now() - m_serversFetchedAt < serversInterval))
        return;
    fetchIfOutdated(Resource::Servers, m_tables.serversRevision);
}

void StoreWatcher::fetchIfOutdated(Resource resource, Forward::PeerDataVersion known)
{
    auto const now = m_runtime.now();
    auto& status = callStatus(resource);
    auto const kind = resource == Resource::Configuration ? Forward::PeerDataKind::Configuration : Forward::PeerDataKind::Servers;
    auto const* chosen = Forward::choosePeerToFetchFrom(m_tables.peers, kind, known, m_settings.dataCentre, now);
    if (!chosen || status.outdatedVersion != known)
        status.outdatedSince.reset();
    if (chosen && !status.outdatedSince)
        status.outdatedSince = now;
    status.outdatedVersion = known;
    bool const ownWatchWorks = m_shouldWatch && !status.isUnavailable;
    if (!chosen || status.isFetching || !Forward::shouldFetchNow(m_tables.peers, chosen->report, ownWatchWorks, now - *status.outdatedSince, now))
        return;
    if (resource == Resource::Servers)
        m_serversFetchedAt = now;
    startFetch(resource, chosen->report);
}

void StoreWatcher::startFetch(Resource resource, Forward::NodeReport const& peer)
{
    Core::Error error;
    auto const endpoint = Core::parseEndpoint(peer.endpoint, error);
    if (!endpoint) {
        Core::logEvent(Core::LogLevel::Warning, "peer_fetch_failed", { { "peer", peer.node }, { "reason", error.message } });
        return;
    }
    callStatus(resource).isFetching = true;
    m_runtime.spawn(fetchFromPeer(resource, peer.node, *endpoint));
}

std::optional<std::string> StoreWatcher::configurationForPeers() const
{
    if (!m_tables.routes)
        return std::nullopt;
    return m_tables.configurationJson;
}

// Serializes the decoded entries, so that peers need not decode the platform's format.
std::string const& StoreWatcher::serversForPeers()
{
    if (m_serversForPeersRevision == m_tables.serversRevision)
        return m_serversForPeers;
    json::array servers;
    for (auto const& [id, entry] : m_tables.directory.entries) {
        auto const& server = entry.server;
        if (entry.removedAt)
            continue;
        servers.push_back(json::object {
            { "id", server.id },
            { "address", server.endpoint.toString() },
            { "service", server.service },
            { "version", server.version },
            { "dataCentre", server.dataCentre },
            { "incarnation", server.incarnation },
            { "leaving", server.lifecycle == Routing::Lifecycle::Leaving },
            { "slots", server.slots },
            { "reclaimable", server.reclaimable },
            { "revision", server.revision.number },
        });
    }
    m_serversForPeers = json::serialize(json::object { { "era", m_tables.serversRevision.era }, { "revision", m_tables.serversRevision.number }, { "servers", std::move(servers) } });
    m_serversForPeersRevision = m_tables.serversRevision;
    return m_serversForPeers;
}

// A field that earlier versions do not send; 0 if it is absent.
static std::uint64_t numberFromPeer(json::value const& value, std::string_view name)
{
    Platform::JsonFields fields(value);
    return fields.has(name) ? fields.number(name) : 0;
}

static std::optional<Routing::ListedServer> serverFromPeer(json::value const& value, std::uint64_t era)
{
    Platform::JsonFields fields(value);
    Core::Error error;
    auto const endpoint = Core::parseEndpoint(fields.text("address"), error);
    Routing::ListedServer server;
    server.id = fields.text("id");
    server.service = fields.text("service");
    server.version = fields.text("version");
    server.dataCentre = fields.text("dataCentre");
    server.zone = server.dataCentre;
    server.incarnation = fields.number("incarnation");
    server.lifecycle = fields.flag("leaving") ? Routing::Lifecycle::Leaving : Routing::Lifecycle::Live;
    auto const slots = fields.number("slots");
    server.reclaimable = fields.flag("reclaimable");
    server.revision = { era, numberFromPeer(value, "revision") };
    if (!endpoint || endpoint->port == 0 || !fields.areValid() || !std::in_range<std::uint32_t>(slots))
        return std::nullopt;
    server.slots = static_cast<std::uint32_t>(slots);
    server.endpoint = *endpoint;
    return server;
}

void StoreWatcher::recordFailedFetch(Resource resource, std::string const& peer, std::string const& reason)
{
    Forward::recordFailedFetch(m_tables.peers, peer, m_runtime.now());
    Core::logEvent(Core::LogLevel::Warning, "peer_fetch_failed", { { "peer", peer }, { "data", resource == Resource::Configuration ? "configuration" : "servers" }, { "reason", reason } });
}

Core::Awaitable<void> StoreWatcher::fetchFromPeer(Resource resource, std::string peer, Core::Endpoint endpoint)
{
    // Each node serves HTTP on the port after its UDP port.
    ++endpoint.port;
    Core::Error error;
    HTTP::Request request { "GET", resource == Resource::Configuration ? "/configuration" : "/servers", {}, {} };
    auto const response = co_await m_peerClient.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + callTimeout, error);
    callStatus(resource).isFetching = false;
    static constexpr unsigned ok = 200;
    if (!response || response->status != ok) {
        recordFailedFetch(resource, peer, response ? "the peer returned status " + std::to_string(response->status) : error.message);
        co_return;
    }
    if (resource == Resource::Configuration) {
        applyConfiguration(response->body, peer);
        co_return;
    }
    if (m_shouldWatch && !m_serversStatus.isUnavailable)
        co_return;
    json::error_code errorCode;
    auto const value = json::parse(response->body, errorCode);
    Platform::JsonFields fields(value);
    Core::StoreRevision const revision { numberFromPeer(value, "era"), fields.number("revision") };
    std::vector<Routing::ListedServer> servers;
    for (auto const& entry : fields.elements("servers")) {
        if (auto server = serverFromPeer(entry, revision.era))
            servers.push_back(std::move(*server));
    }
    if (errorCode || !fields.areValid()) {
        recordFailedFetch(resource, peer, "the peer's list is not valid");
        co_return;
    }
    if (revision <= m_tables.serversRevision)
        co_return;
    Forward::mergeServers(m_tables.directory, servers, revision, m_runtime.now());
    m_tables.serversRevision = revision;
    updateServerTable(peer);
}

}
