#include <Edge/StoreFeed.h>

#include <LibCore/Log.h>
#include <LibPlatform/JsonFields.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Edge {

using namespace std::chrono_literals;
namespace json = boost::json;

// Longer waits cost fewer calls; a watch that went silent is noticed after this time. The time varies, so that the watches of
// the nodes end at different moments and the first node that reads a change tells the others.
static constexpr Core::Duration shortestWatch = 1500ms;
static constexpr std::uint64_t watchSpreadMilliseconds = 1500;
static constexpr Core::Duration callTimeout = 1000ms;

// Each call to the store is charged, and a watch returns with the first of several changes that come together.
static constexpr Core::Duration pauseAfterNews = 250ms;

StoreFeed::StoreFeed(Core::Runtime& runtime, Platform::ObjectStore& store, HTTP::Client& peerClient, Forward::PlatformCodec const& codec, EdgeTables& tables, EdgeSettings const& settings, Core::Random& random, Core::Metrics& metrics)
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

void StoreFeed::start()
{
    m_runtime.spawn(follow(Subject::Configuration));
    m_runtime.spawn(follow(Subject::Servers));
}

std::string StoreFeed::kindOf(Subject subject) const
{
    return subject == Subject::Configuration ? m_codec.configurationKey().kind : m_codec.serverKind();
}

Core::Awaitable<bool> StoreFeed::list(Subject subject, std::uint64_t& version, Core::Error& reason)
{
    auto const list = co_await m_store.list(kindOf(subject), m_runtime.now() + callTimeout, reason);
    if (!list)
        co_return false;
    version = list->resourceVersion;
    recordSuccess(subject);
    if (subject == Subject::Servers) {
        replaceServers(list->objects);
        m_tables.serversRevision = std::max(m_tables.serversRevision, version);
    } else {
        for (auto const& object : list->objects) {
            if (object.key == m_codec.configurationKey())
                offerConfiguration(object.value, "store");
        }
    }
    co_return true;
}

Core::Awaitable<void> StoreFeed::follow(Subject subject)
{
    std::optional<std::uint64_t> version;
    while (true) {
        Core::Error reason;
        if (m_tables.isUsable() && !m_isFollower) {
            co_await waitForTurn();
            version.reset();
        }
        if (!version) {
            std::uint64_t listed = 0;
            bool const isListed = co_await list(subject, listed, reason);
            if (!isListed) {
                co_await m_runtime.sleepFor(recordFailure(subject, reason));
                continue;
            }
            version = listed;
        }
        auto const watchTime = shortestWatch + std::chrono::milliseconds(m_random.below(watchSpreadMilliseconds));
        auto const changes = co_await m_store.waitForChanges(kindOf(subject), *version, m_runtime.now() + watchTime, reason);
        if (!changes) {
            auto const pause = recordFailure(subject, reason);
            if (reason.kind == Core::ErrorKind::StoreVersionExpired)
                version.reset();
            co_await m_runtime.sleepFor(pause);
            continue;
        }
        recordSuccess(subject);
        version = changes->resourceVersion;
        for (auto const& event : changes->events) {
            bool const isRemoved = event.kind == Platform::ObjectEventKind::Removed;
            if (subject == Subject::Servers && isRemoved)
                Forward::unregisterServer(m_tables.directory, event.object.key.name, m_runtime.now());
            else if (subject == Subject::Servers)
                offerServer(event.object);
            else if (!isRemoved && event.object.key == m_codec.configurationKey())
                offerConfiguration(event.object.value, "store");
        }
        if (subject == Subject::Servers && !changes->events.empty()) {
            m_tables.serversRevision = std::max(m_tables.serversRevision, *version);
            applyServers();
            announceNews();
            co_await m_runtime.sleepFor(pauseAfterNews);
        }
    }
}

Core::Awaitable<void> StoreFeed::waitForTurn()
{
    static constexpr Core::Duration checkInterval = 250ms;
    while (!m_isFollower)
        co_await m_runtime.sleepFor(checkInterval);
}

bool StoreFeed::followsStore() const
{
    // Two watches of the longest time.
    static constexpr Core::Duration recent = 6s;
    auto const now = m_runtime.now();
    auto const isSound = [&](Contact const& contact) { return !contact.isLost && contact.succeededAt != Core::MonotonicTime {} && now - contact.succeededAt < recent; };
    return m_isFollower && isSound(m_configurationContact) && isSound(m_serversContact);
}

void StoreFeed::announceNews()
{
    if (m_newsListener)
        m_newsListener();
}

Core::Duration StoreFeed::recordFailure(Subject subject, Core::Error const& reason)
{
    static constexpr Core::Duration firstPause = 100ms;
    auto& contact = contactOf(subject);
    m_metrics.counter("hyssopstep_store_failures_total", { { "kind", kindOf(subject) } }).add();
    if (reason.kind == Core::ErrorKind::StoreVersionExpired) {
        Core::logEvent(Core::LogLevel::Info, "store_history_gone", { { "kind", kindOf(subject) } });
        return firstPause;
    }
    Forward::recordStoreOutage(m_tables.directory, m_runtime.now());
    if (!std::exchange(contact.isLost, true))
        Core::logEvent(Core::LogLevel::Warning, "dependency_lost", { { "dependency", "store" }, { "kind", kindOf(subject) }, { "reason", reason.message } });
    auto const pause = std::min<Core::Duration>(firstPause * (1 << std::min(contact.failures, 3U)), longestStorePause);
    ++contact.failures;
    return pause;
}

void StoreFeed::recordSuccess(Subject subject)
{
    auto& contact = contactOf(subject);
    contact.failures = 0;
    contact.succeededAt = m_runtime.now();
    if (!std::exchange(contact.isLost, false))
        return;
    Forward::recordStoreOutage(m_tables.directory, m_runtime.now());
    Core::logEvent(Core::LogLevel::Info, "dependency_regained", { { "dependency", "store" }, { "kind", kindOf(subject) } });
}

void StoreFeed::offerConfiguration(std::string const& value, std::string_view source)
{
    Core::Error reason;
    auto table = m_codec.decodeConfiguration(value, reason);
    if (!table) {
        Core::logEvent(Core::LogLevel::Error, "configuration_refused", { { "source", source }, { "reason", reason.message } });
        return;
    }
    if (m_tables.routes && table->version <= m_tables.routes->version)
        return;
    Core::logEvent(Core::LogLevel::Info, "configuration_changed", { { "version", std::uint64_t(table->version) }, { "previous", std::uint64_t(m_tables.routes ? m_tables.routes->version : 0) }, { "source", source }, { "routes", std::uint64_t(table->routes.size()) } });
    m_tables.routes = std::make_shared<Forward::RouteTable const>(std::move(*table));
    m_tables.routesValue = value;
    m_tables.becameUsable.notifyAll();
    announceNews();
}

void StoreFeed::offerServer(Platform::StoredObject const& object)
{
    Core::Error reason;
    auto server = m_codec.decodeServer(object, reason);
    if (server) {
        Forward::registerServer(m_tables.directory, std::move(*server));
        return;
    }
    Core::logEvent(Core::LogLevel::Warning, "server_entry_refused", { { "entry", object.key.name }, { "reason", reason.message } });
    Forward::unregisterServer(m_tables.directory, object.key.name, m_runtime.now());
}

void StoreFeed::replaceServers(std::vector<Platform::StoredObject> const& objects)
{
    std::vector<Routing::ListedServer> servers;
    for (auto const& object : objects) {
        Core::Error reason;
        if (auto server = m_codec.decodeServer(object, reason))
            servers.push_back(std::move(*server));
    }
    Forward::replaceServers(m_tables.directory, servers, m_runtime.now());
    applyServers();
}

void StoreFeed::applyServers()
{
    auto const now = m_runtime.now();
    auto const before = m_tables.servers.rows.size();
    Routing::mergeHostList(m_tables.servers, Forward::serversInUse(m_tables.directory, now), now);
    if (before == 0 && !m_tables.servers.rows.empty())
        m_tables.becameUsable.notifyAll();
    if (m_tables.servers.rows.size() != before)
        Core::logEvent(Core::LogLevel::Info, "servers_changed", { { "servers", std::uint64_t(m_tables.servers.rows.size()) }, { "revision", std::uint64_t(m_tables.serversRevision) } });
}

void StoreFeed::tick()
{
    applyServers();
    bool const isFollower = Forward::shouldFollowStore(m_tables.peers, m_settings.nodeId, m_settings.dataCentre, m_runtime.now());
    if (isFollower != std::exchange(m_isFollower, isFollower))
        Core::logEvent(Core::LogLevel::Info, isFollower ? "store_followed" : "store_left_to_peers", { { "peers", std::uint64_t(m_tables.peers.rows.size()) } });
    askPeers();
}

void StoreFeed::askPeers()
{
    // The own watch usually brings a change as soon as the peers' watches.
    static constexpr Core::Duration patience = 250ms;
    static constexpr Core::Duration serversInterval = 500ms;
    auto const now = m_runtime.now();
    auto const ownVersion = m_tables.routes ? m_tables.routes->version : 0;
    auto const* newest = Forward::choosePeerToFetchFrom(m_tables.peers, Forward::PeerDataKind::Configuration, ownVersion, m_settings.dataCentre, now);
    if (!newest)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = now;
    if (m_fetching)
        return;
    if (newest && (!m_isFollower || now - *m_behindSince >= patience)) {
        beginFetch(Subject::Configuration, newest->report);
        return;
    }
    if (m_isFollower && (!m_serversContact.isLost || now - m_fetchedServersAt < serversInterval))
        return;
    if (auto const* servers = Forward::choosePeerToFetchFrom(m_tables.peers, Forward::PeerDataKind::Servers, m_tables.serversRevision, m_settings.dataCentre, now)) {
        m_fetchedServersAt = now;
        beginFetch(Subject::Servers, servers->report);
    }
}

void StoreFeed::beginFetch(Subject subject, Forward::NodeReport const& peer)
{
    Core::Error reason;
    auto const endpoint = Core::parseEndpoint(peer.endpoint, reason);
    if (!endpoint) {
        Core::logEvent(Core::LogLevel::Warning, "peer_fetch_failed", { { "peer", peer.node }, { "reason", reason.message } });
        return;
    }
    m_fetching = true;
    m_runtime.spawn(fetchFromPeer(subject, peer.node, *endpoint));
}

std::optional<std::string> StoreFeed::configurationForPeers() const
{
    if (!m_tables.routes)
        return std::nullopt;
    return m_tables.routesValue;
}

// The entries are passed on as this node uses them, so that a peer does not decode them again.
std::string StoreFeed::serversForPeers() const
{
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
        });
    }
    return json::serialize(json::object { { "revision", m_tables.serversRevision }, { "servers", std::move(servers) } });
}

static std::optional<Routing::ListedServer> serverFromPeer(json::value const& value)
{
    Platform::JsonFields fields(value);
    Core::Error reason;
    auto const endpoint = Core::parseEndpoint(fields.text("address"), reason);
    Routing::ListedServer server;
    server.id = fields.text("id");
    server.service = fields.text("service");
    server.version = fields.text("version");
    server.dataCentre = fields.text("dataCentre");
    server.zone = server.dataCentre;
    server.incarnation = fields.number("incarnation");
    server.lifecycle = fields.flag("leaving") ? Routing::Lifecycle::Leaving : Routing::Lifecycle::Live;
    server.slots = static_cast<std::uint32_t>(fields.number("slots"));
    server.reclaimable = fields.flag("reclaimable");
    if (!endpoint || !fields.areValid())
        return std::nullopt;
    server.endpoint = *endpoint;
    return server;
}

Core::Awaitable<void> StoreFeed::fetchFromPeer(Subject subject, std::string peer, Core::Endpoint endpoint)
{
    // Each node takes calls on the port after that for datagrams.
    ++endpoint.port;
    Core::Error reason;
    HTTP::Request request { "GET", subject == Subject::Configuration ? "/configuration" : "/servers", {}, {} };
    auto const answer = co_await m_peerClient.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + callTimeout, reason);
    m_fetching = false;
    static constexpr unsigned ok = 200;
    if (!answer || answer->status != ok) {
        Core::logEvent(Core::LogLevel::Warning, "peer_fetch_failed", { { "peer", peer }, { "reason", answer ? "status " + std::to_string(answer->status) : reason.message } });
        co_return;
    }
    if (subject == Subject::Configuration) {
        offerConfiguration(answer->body, peer);
        co_return;
    }
    json::error_code error;
    auto const value = json::parse(answer->body, error);
    if (error || (m_isFollower && !m_serversContact.isLost))
        co_return;
    Platform::JsonFields fields(value);
    auto const revision = fields.number("revision");
    std::vector<Routing::ListedServer> servers;
    for (auto const& entry : fields.elements("servers")) {
        if (auto server = serverFromPeer(entry))
            servers.push_back(std::move(*server));
    }
    if (!fields.areValid() || revision <= m_tables.serversRevision)
        co_return;
    Forward::replaceServers(m_tables.directory, servers, m_runtime.now());
    m_tables.serversRevision = revision;
    applyServers();
}

}
