#include <Node/BackendWatcher.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Node {

namespace json = boost::json;
using namespace std::chrono_literals;

// Request, status line and headers (220 bytes with the stand-ins), and 52 bytes of TCP/IP headers for each of four packets:
// request and response on an open connection, and their acknowledgements.
static constexpr std::size_t callOverheadBytes = 220 + 4 * 52;

BackendWatcher::BackendWatcher(Core::Runtime& runtime, HTTP::Client& client, NodeTables& tables, Core::Random& random, BackendWatcherSettings settings, std::function<std::size_t()> nodesInDataCentre)
    : m_runtime(runtime)
    , m_client(client)
    , m_tables(tables)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_nodesInDataCentre(std::move(nodesInDataCentre))
{
    setBytesPerSecond(Routing::reportBytesPerSecond(0));
}

void BackendWatcher::setBytesPerSecond(double bytesPerSecond)
{
    auto const set = [](Routing::ByteBudget& budget, double rate) { budget.bytesPerSecond = budget.burstBytes = rate; };
    set(m_reportBudget, bytesPerSecond * (1 - m_settings.cacheEventShare));
    set(m_cacheEventBudget, bytesPerSecond * m_settings.cacheEventShare);
}

void BackendWatcher::start()
{
    m_running = true;
    m_runtime.spawn(runReports());
}

static std::vector<Routing::ListedServer> toListedServers(std::vector<Peer::ServerEntry> const& entries)
{
    std::vector<Routing::ListedServer> servers;
    for (auto const& entry : entries) {
        Core::Error error;
        auto const endpoint = Core::parseEndpoint(entry.endpoint, error);
        if (!endpoint)
            continue;
        auto const lifecycle = entry.leaving ? Routing::Lifecycle::Leaving : Routing::Lifecycle::Live;
        servers.push_back({ entry.id, *endpoint, entry.service, entry.version, entry.dataCentre, entry.zone, entry.incarnation, lifecycle });
    }
    return servers;
}

void BackendWatcher::mergeServers(std::vector<Peer::ServerEntry> const& entries)
{
    std::set<std::string> before;
    for (auto const& row : m_tables.servers.rows)
        before.insert(row.id);
    Routing::mergeHostList(m_tables.servers, toListedServers(entries), m_runtime.now());
    markReclaimedServersLeaving();
    for (auto const& row : m_tables.servers.rows)
        before.erase(row.id);
    for (auto const& id : before)
        m_tables.prefixes.removeServer(id);
    std::erase_if(m_cacheSequences, [&](auto const& entry) { return !findIncarnation(entry.first.first, entry.first.second); });
}

void BackendWatcher::addNotices(std::vector<Peer::ReclaimNotice> const& notices)
{
    std::map<std::int64_t, std::set<std::string>> hostsByTime;
    for (auto const& notice : notices) {
        hostsByTime[notice.reclaimAtMilliseconds].insert(notice.hostId);
        m_reclaimedHosts.insert(notice.hostId);
    }
    markReclaimedServersLeaving();
    for (auto const& [milliseconds, hostIds] : hostsByTime) {
        auto const remaining = Core::WallTime(std::chrono::milliseconds(milliseconds)) - m_runtime.wallNow();
        if (m_onReclaim)
            m_onReclaim(hostIds, m_runtime.now() + std::chrono::duration_cast<Core::Duration>(remaining));
    }
}

// Runs after each merge as well, since a notice may arrive before the host list names the server. A reclaimed host never comes back.
void BackendWatcher::markReclaimedServersLeaving()
{
    for (auto const& hostId : m_reclaimedHosts) {
        if (auto const* row = Routing::findServer(m_tables.servers, hostId))
            markServerLeaving(hostId, row->incarnation);
    }
}

void BackendWatcher::markServerLeaving(std::string const& serverId, std::uint64_t incarnation)
{
    if (!Routing::markLeaving(m_tables.servers, serverId, incarnation))
        return;
    Core::logEvent(Core::LogLevel::Info, "server_leaving", { { "server", serverId }, { "incarnation", incarnation } });
    if (m_onServerLeaving)
        m_onServerLeaving(serverId, incarnation);
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

bool BackendWatcher::isConfigured(Routing::ServerRow const& row) const
{
    return Configuration::findService(m_tables.configuration.desired, row.service) != nullptr;
}

Core::Awaitable<void> BackendWatcher::runReports()
{
    static constexpr auto step = 50ms;
    // Updating the sample in every step took most of the CPU time of the control tasks with 670 servers.
    static constexpr auto sampleInterval = 1s;
    auto nextSample = m_runtime.now();
    while (m_running) {
        if (m_runtime.now() >= nextSample) {
            Routing::updateSample(m_schedule, m_tables.servers, m_settings.reports, std::max<std::size_t>(m_nodesInDataCentre(), 1), m_runtime.now(), m_random);
            nextSample = m_runtime.now() + sampleInterval;
        }
        startReports();
        startCacheEvents();
        co_await m_runtime.sleepFor(step);
    }
}

void BackendWatcher::startReports()
{
    while (Routing::maySpend(m_reportBudget, m_runtime.now())) {
        auto const* due = Routing::takeDueReport(m_schedule, m_settings.reports, m_runtime.now());
        if (!due)
            return;
        auto const* row = findIncarnation(due->id, due->incarnation);
        if (!row || !isConfigured(*row))
            continue;
        Routing::spend(m_reportBudget, callOverheadBytes);
        m_runtime.spawn(readLoad(due->id, due->incarnation));
    }
}

void BackendWatcher::startCacheEvents()
{
    if (!Routing::maySpend(m_cacheEventBudget, m_runtime.now()))
        return;
    std::vector<std::string> engines;
    for (auto const& member : m_schedule.sample) {
        auto const* row = findIncarnation(member.id, member.incarnation);
        if (row && row->dataCentre == m_settings.reports.dataCentre && isModel(*row))
            engines.push_back(member.id);
    }
    auto const* due = Routing::takeDueCacheEvents(m_schedule, engines, m_settings.cacheEventInterval, m_runtime.now());
    if (!due)
        return;
    Routing::spend(m_cacheEventBudget, callOverheadBytes);
    m_runtime.spawn(readCacheEvents(due->id, due->incarnation));
}

static std::uint64_t unsignedOr(json::object const& object, std::string_view name, std::uint64_t fallback)
{
    auto const* value = object.if_contains(name);
    json::error_code errorCode;
    auto const number = value && value->is_number() ? value->to_number<std::uint64_t>(errorCode) : fallback;
    return errorCode ? fallback : number;
}

static bool booleanOrFalse(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

static std::optional<json::object> objectBody(std::optional<HTTP::Response> const& response)
{
    static constexpr unsigned ok = 200;
    if (!response || response->status != ok)
        return std::nullopt;
    json::error_code errorCode;
    auto value = json::parse(response->body, errorCode);
    if (errorCode || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

Core::Awaitable<void> BackendWatcher::readLoad(std::string serverId, std::uint64_t incarnation)
{
    auto const* before = findIncarnation(serverId, incarnation);
    if (!before)
        co_return;
    HTTP::Request request;
    request.method = "GET";
    request.target = isModel(*before) ? "/engine/load" : "/service/load";
    Core::Error error;
    auto const response = co_await m_client.send(before->endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + m_settings.callTimeout, error);
    if (response)
        Routing::spend(m_reportBudget, response->body.size());
    auto const body = objectBody(response);
    auto* row = findIncarnation(serverId, incarnation);
    if (!row)
        co_return;
    if (!body) {
        if (!response && error.kind == Core::ErrorKind::BackendUnreachable)
            Routing::recordFailure(*row, m_runtime.now());
        co_return;
    }
    Routing::LoadReport report;
    report.running = static_cast<std::uint32_t>(unsignedOr(*body, "running", 0));
    report.waiting = static_cast<std::uint32_t>(unsignedOr(*body, "waiting", 0));
    report.freeSlots = static_cast<std::uint32_t>(unsignedOr(*body, "freeSlots", 0));
    report.processIncarnation = unsignedOr(*body, "incarnation", 0);
    report.receivedAt = m_runtime.now();
    if (isModel(*row))
        Routing::recordReport(*row, report);
    if (row->consecutiveFailures > 0 && row->outstanding == 0)
        Routing::recordSuccess(*row);
    if (booleanOrFalse(*body, "leaving"))
        markServerLeaving(serverId, incarnation);
}

Core::Awaitable<void> BackendWatcher::readCacheEvents(std::string serverId, std::uint64_t incarnation)
{
    auto const* row = findIncarnation(serverId, incarnation);
    if (!row)
        co_return;
    auto const found = m_cacheSequences.find({ serverId, incarnation });
    auto const after = found == m_cacheSequences.end() ? 0 : found->second;
    HTTP::Request request;
    request.method = "GET";
    request.target = "/engine/cache-events?after=" + std::to_string(after);
    Core::Error error;
    auto const response = co_await m_client.send(row->endpoint, std::move(request), HTTP::ConnectionUse::Pooled, m_runtime.now() + m_settings.callTimeout, error);
    if (response)
        Routing::spend(m_cacheEventBudget, response->body.size());
    auto const body = objectBody(response);
    if (!body || !findIncarnation(serverId, incarnation))
        co_return;
    auto const* events = body->if_contains("events");
    if (!events || !events->is_array())
        co_return;
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
    m_cacheSequences[{ serverId, incarnation }] = unsignedOr(*body, "next", after);
}

}
