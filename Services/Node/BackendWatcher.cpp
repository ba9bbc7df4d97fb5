#include <Node/BackendWatcher.h>

#include <LibCore/Log.h>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Node {

namespace json = boost::json;
using namespace std::chrono_literals;

BackendWatcher::BackendWatcher(Core::Runtime& runtime, Platform::Cloud& cloud, HTTP::Client& client, NodeTables& tables, Core::Random& random, BackendWatcherSettings settings)
    : m_runtime(runtime)
    , m_cloud(cloud)
    , m_client(client)
    , m_tables(tables)
    , m_random(random)
    , m_settings(std::move(settings))
{
}

void BackendWatcher::start()
{
    m_running = true;
    m_runtime.spawn(watchHostList());
    m_runtime.spawn(watchNotices());
}

// Spreads the calls of many nodes over the interval.
Core::Duration BackendWatcher::jittered(Core::Duration duration)
{
    return std::chrono::duration_cast<Core::Duration>(duration * (0.75 + 0.5 * m_random.unit()));
}

static std::vector<Routing::ListedServer> listedServers(std::vector<Platform::Host> const& hosts)
{
    std::vector<Routing::ListedServer> servers;
    for (auto const& host : hosts) {
        if (host.role != Platform::HostRole::Backend)
            continue;
        auto const lifecycle = host.state == Platform::HostState::Leaving ? Routing::Lifecycle::Leaving : Routing::Lifecycle::Live;
        servers.push_back({ host.id, host.endpoint, host.service, host.version, host.dataCentre, host.zone, host.incarnation, lifecycle });
    }
    return servers;
}

Core::Awaitable<void> BackendWatcher::watchHostList()
{
    while (m_running) {
        Core::LastReason reason;
        auto const hosts = co_await m_cloud.hosts(m_runtime.now() + m_settings.callTimeout, reason);
        // Without the platform the servers known so far stay in use.
        if (hosts) {
            Routing::mergeHostList(m_tables.servers, listedServers(*hosts), m_runtime.now());
            startWatches();
        }
        co_await m_runtime.sleepFor(jittered(m_settings.hostListInterval));
    }
}

Core::Awaitable<void> BackendWatcher::watchNotices()
{
    std::uint64_t sequence = 0;
    while (m_running) {
        Core::LastReason reason;
        auto const list = co_await m_cloud.waitForNotices(sequence, m_runtime.now() + m_settings.noticeTimeout, reason);
        if (!list) {
            co_await m_runtime.sleepFor(jittered(m_settings.hostListInterval));
            continue;
        }
        sequence = list->sequence;
        std::map<std::int64_t, std::set<std::string>> hostsByTime;
        for (auto const& notice : list->notices) {
            hostsByTime[notice.reclaimAtMilliseconds].insert(notice.hostId);
            if (auto const* row = Routing::findServer(m_tables.servers, notice.hostId))
                noteLeaving(notice.hostId, row->incarnation);
        }
        for (auto const& [milliseconds, hostIds] : hostsByTime) {
            auto const remaining = Core::WallTime(std::chrono::milliseconds(milliseconds)) - m_runtime.wallNow();
            if (m_onReclaim)
                m_onReclaim(hostIds, m_runtime.now() + std::chrono::duration_cast<Core::Duration>(remaining));
        }
    }
}

void BackendWatcher::noteLeaving(std::string const& serverId, std::uint64_t incarnation)
{
    if (!Routing::markLeaving(m_tables.servers, serverId, incarnation))
        return;
    Core::logEvent(Core::LogLevel::Info, "server_leaving", { { "server", serverId }, { "incarnation", incarnation } });
    if (m_onServerLeaving)
        m_onServerLeaving(serverId, incarnation);
}

void BackendWatcher::startWatches()
{
    for (auto const& row : m_tables.servers.rows) {
        if (m_watched.emplace(row.id, row.incarnation).second)
            m_runtime.spawn(watchServer(row.id, row.incarnation));
    }
}

Routing::ServerRow* BackendWatcher::findIncarnation(std::string const& serverId, std::uint64_t incarnation)
{
    auto* row = Routing::findServer(m_tables.servers, serverId);
    return row && row->incarnation == incarnation ? row : nullptr;
}

bool BackendWatcher::isModel(Routing::ServerRow const& row) const
{
    auto const* service = Configuration::findService(m_tables.configuration.desired, row.service);
    return service && service->kind == Configuration::ServiceKind::Model;
}

Core::Awaitable<void> BackendWatcher::watchServer(std::string serverId, std::uint64_t incarnation)
{
    std::uint64_t cacheSequence = 0;
    auto nextCacheEvents = m_runtime.now();
    while (m_running) {
        auto const* row = findIncarnation(serverId, incarnation);
        if (!row)
            break;
        bool const isLocal = row->dataCentre == m_settings.dataCentre;
        bool const isConfigured = Configuration::findService(m_tables.configuration.desired, row->service) != nullptr;
        if (isConfigured)
            co_await readLoad(serverId, incarnation);
        row = findIncarnation(serverId, incarnation);
        if (row && isModel(*row) && isLocal && m_runtime.now() >= nextCacheEvents) {
            cacheSequence = co_await readCacheEvents(serverId, cacheSequence);
            nextCacheEvents = m_runtime.now() + m_settings.cacheEventInterval;
        }
        co_await m_runtime.sleepFor(jittered(m_settings.loadInterval * (isLocal ? 1 : 4)));
    }
    m_watched.erase({ serverId, incarnation });
    m_tables.prefixes.forgetServer(serverId);
}

static std::uint64_t numberOr(json::object const& object, std::string_view name, std::uint64_t fallback)
{
    auto const* value = object.if_contains(name);
    json::error_code error;
    auto const number = value && value->is_number() ? value->to_number<std::uint64_t>(error) : fallback;
    return error ? fallback : number;
}

static bool isTrue(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

static std::optional<json::object> objectBody(std::optional<HTTP::Response> const& response)
{
    static constexpr unsigned ok = 200;
    if (!response || response->status != ok)
        return std::nullopt;
    json::error_code error;
    auto value = json::parse(response->body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

Core::Awaitable<void> BackendWatcher::readLoad(std::string serverId, std::uint64_t incarnation)
{
    auto const* before = findIncarnation(serverId, incarnation);
    HTTP::Request request;
    request.method = "GET";
    request.target = isModel(*before) ? "/engine/load" : "/service/load";
    Core::LastReason reason;
    auto const response = co_await m_client.send(before->endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + m_settings.callTimeout, reason);
    auto const body = objectBody(response);
    auto* row = findIncarnation(serverId, incarnation);
    if (!row)
        co_return;
    if (!body) {
        if (!response && reason.kind == Core::ErrorKind::BackendUnreachable)
            Routing::recordFailure(*row, m_runtime.now());
        co_return;
    }
    Routing::LoadReport report;
    report.running = static_cast<std::uint32_t>(numberOr(*body, "running", 0));
    report.waiting = static_cast<std::uint32_t>(numberOr(*body, "waiting", 0));
    report.freeSlots = static_cast<std::uint32_t>(numberOr(*body, "freeSlots", 0));
    report.receivedAt = m_runtime.now();
    if (isModel(*row))
        Routing::recordReport(*row, report);
    if (row->consecutiveFailures > 0 && row->outstanding == 0)
        Routing::recordSuccess(*row);
    if (isTrue(*body, "leaving"))
        noteLeaving(serverId, incarnation);
}

Core::Awaitable<std::uint64_t> BackendWatcher::readCacheEvents(std::string serverId, std::uint64_t after)
{
    auto const* row = Routing::findServer(m_tables.servers, serverId);
    HTTP::Request request;
    request.method = "GET";
    request.target = "/engine/cache-events?after=" + std::to_string(after);
    Core::LastReason reason;
    auto const response = co_await m_client.send(row->endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + m_settings.callTimeout, reason);
    auto const body = objectBody(response);
    if (!body)
        co_return after;
    auto const* events = body->if_contains("events");
    if (!events || !events->is_array())
        co_return after;
    for (auto const& event : events->get_array()) {
        if (!event.is_object())
            continue;
        auto const& fields = event.get_object();
        auto const* hashText = fields.if_contains("prefixHash");
        auto const* type = fields.if_contains("type");
        if (!hashText || !hashText->is_string() || !type || !type->is_string())
            continue;
        std::uint64_t hash = 0;
        std::string_view const text = hashText->get_string();
        static constexpr int hexadecimal = 16;
        std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
        if (type->get_string() == "stored")
            m_tables.prefixes.recordStored(serverId, hash);
        else
            m_tables.prefixes.recordEvicted(serverId, hash);
    }
    co_return numberOr(*body, "next", after);
}

}
