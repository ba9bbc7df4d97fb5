#include <Edge/EdgeService.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <unistd.h>

namespace Edge {

using namespace std::chrono_literals;

static constexpr Core::Duration tickInterval = 250ms;

static HTTP::ClientLimits serverClientLimits()
{
    HTTP::ClientLimits limits;
    limits.connectTimeout = 400ms;
    limits.idleConnectionsPerEndpoint = 16;
    limits.idleTimeout = 10s;
    // A server behind a new partition acknowledges nothing, and the request may still go elsewhere.
    limits.unacknowledgedTimeout = 1500ms;
    return limits;
}

static HTTP::ClientLimits peerClientLimits()
{
    HTTP::ClientLimits limits;
    limits.connectTimeout = 400ms;
    limits.idleConnectionsPerEndpoint = 1;
    limits.idleTimeout = 5s;
    return limits;
}

// The platform gives a process 4,100 descriptors, 200 of them for files; the rest is for servers, peers and the store.
static constexpr std::size_t maximumClientConnections = 3000;

static std::uint64_t startTime(Core::Runtime const& runtime)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(runtime.wallNow().time_since_epoch()).count());
}

EdgeService::EdgeService(Core::Runtime& runtime, EdgeSettings settings, PlatformParts platform)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_incarnation(startTime(runtime))
    , m_random(m_incarnation ^ Forward::hashId(m_settings.nodeId) ^ static_cast<std::uint64_t>(getpid()))
    , m_tables(runtime)
    , m_serverClient(runtime, serverClientLimits())
    , m_peerClient(runtime, peerClientLimits())
    , m_forwarder({ runtime, m_serverClient, m_platform.requests, m_tables, m_settings, m_random, m_metrics, m_incarnation, runtime.now() })
    , m_feed(runtime, m_platform.store, m_peerClient, m_platform.objects, m_tables, m_settings, m_random, m_metrics)
    , m_exchange(runtime, m_tables, m_settings, [this] { return ownReport(); })
    , m_clientServer(runtime, { .maximumConnections = maximumClientConnections }, [this](auto const& request, auto& writer) { return m_forwarder.handle(request, writer); })
    , m_readyServer(runtime, {}, [this](auto const& request, auto& writer) { return answerReady(request, writer); })
    , m_relayServer(runtime, {}, [this](auto const& request, auto& writer) { return answerPeer(request, writer); })
    , m_metricsServer(runtime, {}, [this](auto const& request, auto& writer) { return answerMetrics(request, writer); })
{
    m_tables.quotas.initialQuota = m_settings.isFirstStart ? Forward::InitialQuota::Full : Forward::InitialQuota::Empty;
    m_tables.quotas.startedAt = runtime.now();
    if (m_platform.duties)
        m_duties = std::make_unique<DutyRunner>(runtime, m_platform.store, *m_platform.duties, m_tables, m_settings, m_random, m_metrics);
}

EdgeService::~EdgeService() = default;

bool EdgeService::start(Core::Error& reason)
{
    if (!m_exchange.start(reason))
        return false;
    std::pair<HTTP::Server*, Core::Endpoint*> const servers[] {
        { &m_clientServer, &m_settings.clientListen },
        { &m_readyServer, &m_settings.readyListen },
        { &m_relayServer, &m_settings.relayListen },
        { &m_metricsServer, &m_settings.metricsListen },
    };
    for (auto const& [server, endpoint] : servers) {
        auto const bound = server->listen(*endpoint, reason);
        if (!bound)
            return false;
        *endpoint = *bound;
    }
    m_exchange.onReport([this] { m_feed.askPeers(); });
    m_feed.onNews([this] { m_exchange.announce(); });
    m_feed.start();
    if (m_duties)
        m_duties->start();
    m_runtime.spawn(runTicks());
    Core::logEvent(Core::LogLevel::Info, "started", { { "data_centre", m_settings.dataCentre }, { "clients", m_settings.clientListen.toString() }, { "incarnation", std::uint64_t(m_incarnation) } });
    return true;
}

void EdgeService::reload(EdgeSettings settings)
{
    bool const isChanged = settings != m_settings;
    Core::logEvent(Core::LogLevel::Info, "reloaded", { { "changed", isChanged ? "yes" : "no" } });
    settings.clientListen = m_settings.clientListen;
    settings.readyListen = m_settings.readyListen;
    settings.peerListen = m_settings.peerListen;
    settings.relayListen = m_settings.relayListen;
    settings.metricsListen = m_settings.metricsListen;
    settings.nodeId = m_settings.nodeId;
    m_settings = std::move(settings);
    m_tables.retryBudgets.clear();
}

bool EdgeService::isReady() const
{
    return m_tables.isUsable() && !m_tables.isDraining;
}

Core::Awaitable<void> EdgeService::answerReady(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    static constexpr unsigned ok = 200;
    static constexpr unsigned notFound = 404;
    static constexpr unsigned unavailable = 503;
    HTTP::Response response;
    if (request.path() != m_platform.readyPath)
        response.status = notFound;
    else
        response.status = isReady() ? ok : unavailable;
    (void)co_await writer.send(std::move(response));
}

Core::Awaitable<void> EdgeService::answerPeer(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    static constexpr unsigned notFound = 404;
    HTTP::Response response;
    if (request.path() == "/configuration") {
        if (auto configuration = m_feed.configurationForPeers())
            response.body = std::move(*configuration);
        else
            response.status = notFound;
    } else if (request.path() == "/servers") {
        response.body = m_feed.serversForPeers();
    } else {
        response.status = notFound;
    }
    (void)co_await writer.send(std::move(response));
}

Core::Awaitable<void> EdgeService::answerMetrics(HTTP::Request const&, HTTP::ResponseWriter& writer)
{
    auto const traffic = m_serverClient.traffic();
    m_metrics.gauge("hyssopstep_requests_in_progress").set(static_cast<double>(m_forwarder.requestsInProgress()));
    m_metrics.gauge("hyssopstep_server_requests").set(static_cast<double>(traffic.requests));
    m_metrics.gauge("hyssopstep_server_connections_opened").set(static_cast<double>(traffic.newConnections));
    m_metrics.gauge("hyssopstep_servers").set(static_cast<double>(m_tables.servers.rows.size()));
    m_metrics.gauge("hyssopstep_peers").set(static_cast<double>(Forward::countLivePeers(m_tables.peers, m_runtime.now())));
    m_metrics.gauge("hyssopstep_configuration_version").set(static_cast<double>(m_tables.routes ? m_tables.routes->version : 0));
    HTTP::Response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics.renderText();
    (void)co_await writer.send(std::move(response));
}

Forward::NodeReport EdgeService::ownReport()
{
    // Windows that the holder of the duty may still report.
    static constexpr std::size_t reportedWindows = 3;
    auto const now = m_runtime.now();
    Forward::NodeReport report;
    report.node = m_settings.nodeId;
    report.incarnation = m_incarnation;
    report.dataCentre = m_settings.dataCentre;
    report.endpoint = m_settings.peerListen.toString();
    report.sentAtUnixMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
    report.configurationVersion = m_tables.routes ? m_tables.routes->version : 0;
    report.serversRevision = m_tables.serversRevision;
    for (auto const& row : m_tables.servers.rows) {
        if (row.outstanding > 0)
            report.loads[Forward::hashId(row.id)] = static_cast<std::uint16_t>(std::min<std::uint32_t>(row.outstanding, UINT16_MAX));
    }
    for (auto const& [team, row] : m_tables.quotas.rows)
        report.demands[team] = { static_cast<float>(Forward::quotaDemand(m_tables.quotas, team, now)), row.admitted };
    auto const usage = m_tables.usage.nodes.find({ m_settings.nodeId, m_incarnation });
    if (usage != m_tables.usage.nodes.end()) {
        for (auto entry = usage->second.rbegin(); entry != usage->second.rend() && report.usage.size() < reportedWindows; ++entry)
            report.usage.insert(*entry);
    }
    // Enough for a node that has just started to hear of all others from several reports.
    static constexpr std::size_t namedPeers = 16;
    for (auto const& [node, row] : m_tables.peers.rows)
        report.peers.push_back(row.report.endpoint);
    std::shuffle(report.peers.begin(), report.peers.end(), m_random.engine());
    report.peers.resize(std::min(report.peers.size(), namedPeers));
    for (auto const& [fingerprint, until] : m_tables.quarantine.quarantined)
        report.quarantined.push_back(fingerprint);
    report.isLeaving = m_tables.isDraining;
    report.followsStore = m_feed.followsStore();
    report.interval = Forward::reportInterval(m_tables.peers.rows.size());
    report.holdsDuties = m_duties && m_duties->holdsDuties();
    return report;
}

void EdgeService::tick()
{
    auto const now = m_runtime.now();
    m_exchange.tick();
    m_feed.tick();
    for (auto& row : m_tables.servers.rows) {
        row.peerOutstanding = Forward::peerLoad(m_tables.peers, Forward::hashId(row.id), now);
        row.isPartitionSuspected = row.dataCentre != m_settings.dataCentre && Forward::isPartitionSuspected(m_tables.peers, row.dataCentre, now);
    }
    // Of the requests that another node places between two of its reports, this part goes to servers that cost the same here.
    static constexpr double unseenRequestsPerPeer = 0.25;
    m_tables.placementCosts.unreportedRequests = unseenRequestsPerPeer * static_cast<double>(Forward::countLivePeers(m_tables.peers, now));
    Routing::updateStragglerStates(m_tables.servers, now);
    Limits::expire(m_tables.quarantine, now);
    // Counts of windows that are reported or too late are of no use.
    static constexpr std::int64_t keptWindows = 6;
    auto const unixTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
    Forward::dropWindowsBefore(m_tables.usage, Forward::usageWindow(unixTime, m_settings.usageWindow.count()) - keptWindows);
    if (m_tables.routes && m_tables.routes->version != m_limitsVersion) {
        m_limitsVersion = m_tables.routes->version;
        auto const& limits = m_tables.routes->limits;
        HTTP::ServerLimits serverLimits;
        serverLimits.maximumHeaderBytes = limits.maximumHeaderBytes;
        serverLimits.maximumBodyBytes = limits.maximumBodyBytes;
        serverLimits.headerTimeout = limits.headerTimeout;
        serverLimits.idleTimeout = limits.idleTimeout;
        serverLimits.maximumConnections = maximumClientConnections;
        m_clientServer.setLimits(serverLimits);
    }
}

Core::Awaitable<void> EdgeService::runTicks()
{
    while (true) {
        tick();
        co_await m_runtime.sleepFor(tickInterval);
    }
}

void EdgeService::drain()
{
    if (std::exchange(m_tables.isDraining, true))
        return;
    Core::logEvent(Core::LogLevel::Info, "draining", { { "requests", std::uint64_t(m_forwarder.requestsInProgress()) } });
    m_runtime.spawn(runDrain());
}

Core::Awaitable<void> EdgeService::runDrain()
{
    // The platform takes a node out of rotation after two failed checks, one a second.
    static constexpr Core::Duration rotationTime = 2500ms;
    // What is left of the grace period for the last answers and the exit.
    static constexpr Core::Duration exitMargin = 500ms;
    auto const startedAt = m_runtime.now();
    auto const end = startedAt + m_settings.gracePeriod - exitMargin;
    m_clientServer.closeAfterResponses();
    m_exchange.announce();
    if (m_duties)
        co_await m_duties->stop();
    // A short grace period must leave time for the requests that come until then.
    co_await m_runtime.sleepUntil(startedAt + std::min<Core::Duration>(rotationTime, m_settings.gracePeriod / 2));
    m_clientServer.stopAccepting();
    bool const isDrained = co_await m_clientServer.waitUntilDrained(end);
    if (!isDrained) {
        m_forwarder.endAll();
        (void)co_await m_clientServer.waitUntilDrained(end + exitMargin / 2);
    }
    Core::logEvent(Core::LogLevel::Info, "stopped", { { "unfinished", isDrained ? "no" : "yes" } });
    m_runtime.context().stop();
}

}
