#include <Edge/EdgeService.h>

#include <Edge/AdaptivePlacement.h>
#include <Edge/OverloadControl.h>
#include <Edge/PlacementExplanation.h>
#include <Edge/RolloutState.h>
#include <LibCore/Log.h>
#include <LibHTTP/Problem.h>
#include <LibHTTP/SocketBuffers.h>
#include <algorithm>
#include <array>
#include <unistd.h>

namespace Edge {

using namespace std::chrono_literals;

static constexpr Core::Duration tickInterval = 250ms;

// The listening addresses, each with a budget of its own: the readiness check is answered whatever comes at the others.
static constexpr std::array<char const*, 4> addressNames { "clients", "readiness", "nodes", "metrics" };
static constexpr std::size_t clientsAddress = 0;
static constexpr std::size_t readinessAddress = 1;
static constexpr std::size_t nodesAddress = 2;
static constexpr std::size_t metricsAddress = 3;

static HTTP::ClientLimits backendClientLimits(HTTP::ProcessLimits const& processLimits)
{
    HTTP::ClientLimits limits;
    limits.connectTimeout = 400ms;
    limits.idleConnectionsPerEndpoint = 16;
    limits.idleTimeout = 10s;
    // After a network partition a server acknowledges nothing; a short timeout leaves time to try another server.
    limits.unacknowledgedTimeout = 1500ms;
    limits.receiveQueueBytes = HTTP::serverReceiveQueueBytes;
    limits.maximumConnections = processLimits.serverConnections;
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

// The part of the grace period of a planned stop that is reserved for the last responses and the exit.
static constexpr Core::Duration exitMargin = 500ms;

static std::uint64_t startUnixMilliseconds(Core::Runtime const& runtime)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(runtime.wallNow().time_since_epoch()).count());
}

// For the addresses that take no bodies.
static HTTP::BodyDecision discardBody(HTTP::Request const&)
{
    return HTTP::BodyDecision::Discard;
}

// Microseconds of a core for a response of the process itself: its short answer to a readiness check; the servers or the configuration of a
// large deployment; all metrics, or the servers by their costs.
static constexpr double readyRequestWork = 10;
static constexpr double peerRequestWork = 500;
static constexpr double metricsRequestWork = 2000;

static HTTP::Response refusalUnderLoad()
{
    Core::Error error;
    Core::fail(error, Core::ErrorKind::Overloaded, "too many requests at this address");
    error.retryAfter = 1s;
    return HTTP::problemResponse(error);
}

EdgeService::EdgeService(Core::Runtime& runtime, EdgeSettings settings, PlatformInterfaces platform)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_incarnation(startUnixMilliseconds(runtime))
    , m_random(m_incarnation ^ Forward::hashId(m_settings.nodeId) ^ static_cast<std::uint64_t>(getpid()))
    , m_tables(runtime)
    , m_backendClient(runtime, backendClientLimits(HTTP::processLimitsOnHost(m_settings.memoryMegabytes, addressNames.size())))
    , m_peerClient(runtime, peerClientLimits())
    , m_forwarder({ runtime, m_backendClient, m_platform.requestCodec, m_tables, m_settings, m_random, m_metrics, m_incarnation, runtime.now() })
    , m_storeWatcher(runtime, m_platform.store, m_peerClient, m_platform.objectCodec, m_tables, m_settings, m_random, m_metrics)
    , m_peerExchange(runtime, m_tables, m_settings, [this] { return buildReport(); })
    , m_clientBudgets(runtime, m_metrics, { addressNames.begin(), addressNames.end() }, HTTP::processLimitsOnHost(m_settings.memoryMegabytes, addressNames.size()))
    , m_clientServer(
          runtime, {}, [this](auto const& request, auto& writer) { return m_forwarder.handle(request, writer); },
          { m_clientBudgets.of(clientsAddress), [this](auto const& head) { return m_forwarder.decideBody(head); } })
    , m_readyServer(
          runtime, {}, [this](auto const& request, auto& writer) { return handleReadyRequest(request, writer); }, { m_clientBudgets.of(readinessAddress), discardBody, readyRequestWork })
    , m_peerServer(
          runtime, {}, [this](auto const& request, auto& writer) { return handlePeerRequest(request, writer); }, { m_clientBudgets.of(nodesAddress), discardBody, peerRequestWork })
    , m_metricsServer(
          runtime, {}, [this](auto const& request, auto& writer) { return handleMetricsRequest(request, writer); }, { m_clientBudgets.of(metricsAddress), discardBody, metricsRequestWork })
{
    m_tables.quotas.initialQuota = m_settings.isFirstStart ? Forward::InitialQuota::Full : Forward::InitialQuota::Empty;
    m_tables.quotas.startedAt = runtime.now();
    if (!m_platform.rolloutCodec)
        m_settings.rolloutShare = 0;
    bool const hasRollouts = m_settings.rolloutShare > 0;
    if (m_platform.dutyApi || hasRollouts)
        m_dutyRunner = std::make_unique<DutyRunner>(runtime, m_platform.store, m_platform.dutyApi, m_tables, m_settings, m_random, m_metrics);
    if (hasRollouts)
        m_rolloutRunner = std::make_unique<RolloutRunner>(RolloutRunner::Dependencies { runtime, m_platform.store, *m_platform.rolloutCodec, m_tables, m_settings, *m_dutyRunner, m_random, m_metrics });
}

EdgeService::~EdgeService() = default;

bool EdgeService::start(Core::Error& error)
{
    if (!m_peerExchange.start(error))
        return false;
    std::pair<HTTP::Server*, Core::Endpoint*> const servers[] {
        { &m_clientServer, &m_settings.clientListen },
        { &m_readyServer, &m_settings.readyListen },
        { &m_peerServer, &m_settings.peerHttpListen },
        { &m_metricsServer, &m_settings.metricsListen },
    };
    for (auto const& [server, endpoint] : servers) {
        auto const bound = server->listen(*endpoint, error);
        if (!bound)
            return false;
        *endpoint = *bound;
    }
    m_peerExchange.onReport([this] { m_storeWatcher.fetchNewerFromPeers(); });
    m_storeWatcher.onChange([this] { m_peerExchange.broadcastReport(); });
    m_storeWatcher.start();
    if (m_dutyRunner)
        m_dutyRunner->start();
    if (m_rolloutRunner) {
        m_rolloutRunner->onChange([this] { m_peerExchange.broadcastReport(); });
        m_rolloutRunner->start();
    }
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
    settings.peerHttpListen = m_settings.peerHttpListen;
    settings.metricsListen = m_settings.metricsListen;
    settings.nodeId = m_settings.nodeId;
    // What a node must know before it may evaluate a version is only read from its start on.
    if (!m_rolloutRunner)
        settings.rolloutShare = 0;
    m_settings = std::move(settings);
    m_clientBudgets.setLimits(HTTP::processLimitsOnHost(m_settings.memoryMegabytes, addressNames.size()));
}

bool EdgeService::isReady() const
{
    return m_tables.isUsable() && !m_tables.isDraining();
}

Core::Awaitable<void> EdgeService::handleReadyRequest(HTTP::Request const& request, HTTP::ResponseWriter& writer)
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

// Sends a response of the process itself, of any length, or a refusal if it cannot be held. Further ones are asked for at once by a crowd that
// does not read them.
static Core::Awaitable<void> sendWithinBudget(HTTP::ResponseWriter& writer, HTTP::Response response)
{
    if (!writer.reserve(response.body.size()))
        response = refusalUnderLoad();
    (void)co_await writer.send(std::move(response));
}

Core::Awaitable<void> EdgeService::handlePeerRequest(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    static constexpr unsigned notFound = 404;
    if (request.bodyState == HTTP::BodyState::Refused) {
        auto refusal = refusalUnderLoad();
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    HTTP::Response response;
    if (request.path() == "/configuration") {
        if (auto configuration = m_storeWatcher.configurationForPeers())
            response.body = std::move(*configuration);
        else
            response.status = notFound;
    } else if (request.path() == "/servers") {
        response.body = m_storeWatcher.serversForPeers();
    } else {
        response.status = notFound;
    }
    co_await sendWithinBudget(writer, std::move(response));
}

Core::Awaitable<void> EdgeService::handleMetricsRequest(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    if (request.bodyState == HTTP::BodyState::Refused) {
        auto refusal = refusalUnderLoad();
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    if (request.path() == "/placement") {
        Core::Error error;
        auto explanation = explainPlacement(m_tables, m_settings, request, m_runtime.now(), error);
        HTTP::Response response;
        if (explanation) {
            response.headers.add("Content-Type", "application/json");
            response.body = std::move(*explanation);
        } else {
            response = HTTP::problemResponse(error);
        }
        co_await sendWithinBudget(writer, std::move(response));
        co_return;
    }
    if (request.path() == rolloutsPath) {
        HTTP::Response response;
        response.headers.add("Content-Type", "application/json");
        response.body = describeRollouts(m_tables, m_runtime.now());
        co_await sendWithinBudget(writer, std::move(response));
        co_return;
    }
    auto const traffic = m_backendClient.traffic();
    m_metrics.gauge("hyssopstep_requests_in_progress").set(static_cast<double>(m_forwarder.requestsInProgress()));
    m_clientBudgets.updateMetrics();
    m_metrics.gauge("hyssopstep_server_requests").set(static_cast<double>(traffic.requests));
    m_metrics.gauge("hyssopstep_server_connections_opened").set(static_cast<double>(traffic.newConnections));
    m_metrics.gauge("hyssopstep_servers").set(static_cast<double>(m_tables.servers.rows.size()));
    m_metrics.gauge("hyssopstep_peers").set(static_cast<double>(Forward::countLivePeers(m_tables.peers, m_runtime.now())));
    m_metrics.gauge("hyssopstep_exchange_aggregated").set(m_tables.peers.isAggregated ? 1 : 0);
    m_metrics.gauge("hyssopstep_configuration_version").set(static_cast<double>(m_tables.routes ? m_tables.routes->version : 0));
    HTTP::Response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics.renderText();
    co_await sendWithinBudget(writer, std::move(response));
}

static std::vector<Forward::SuspectPartReport> reportSuspects(Limits::CrashSuspectTable const& table, Core::MonotonicTime now)
{
    auto const ageOf = [now](Core::MonotonicTime at) { return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - at, Core::Duration(0))); };
    std::vector<Forward::SuspectPartReport> suspects;
    for (auto const& [part, evidence] : Limits::suspectsToReport(table, now)) {
        auto& suspect = suspects.emplace_back();
        suspect.part = part;
        suspect.isPrefix = evidence.isPrefix;
        for (auto const& [id, crash] : evidence.crashes)
            suspect.crashes[id] = { ageOf(crash.at), crash.server };
        for (auto const& [id, crash] : evidence.otherCrashes)
            suspect.otherCrashes[id] = { ageOf(crash.at), crash.server };
        if (evidence.soundAt)
            suspect.soundAge = ageOf(*evidence.soundAt);
    }
    return suspects;
}

Forward::NodeReport EdgeService::buildReport()
{
    // Windows that the holder of the duties may not have reported yet.
    static constexpr std::size_t maximumReportedWindows = 3;
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
            report.loads[Forward::serverKey(row.id)] = static_cast<std::uint16_t>(std::min<std::uint32_t>(row.outstanding, UINT16_MAX));
    }
    for (auto const& [team, row] : m_tables.quotas.rows) {
        if (row.demand > 0)
            report.demands[team] = { static_cast<float>(Forward::quotaDemand(m_tables.quotas, team, now)), row.admitted };
    }
    auto const usage = m_tables.usage.nodes.find({ m_settings.nodeId, m_incarnation });
    if (usage != m_tables.usage.nodes.end()) {
        for (auto entry = usage->second.rbegin(); entry != usage->second.rend() && report.usage.size() < maximumReportedWindows; ++entry)
            report.usage.insert(*entry);
    }
    // Enough for a newly started node to learn all peers from a few reports.
    static constexpr std::size_t maximumReportedPeers = 16;
    for (auto const& [node, row] : m_tables.peers.rows)
        report.peers.push_back(row.report.endpoint);
    std::shuffle(report.peers.begin(), report.peers.end(), m_random.engine());
    report.peers.resize(std::min(report.peers.size(), maximumReportedPeers));
    for (auto const& [fingerprint, remaining] : Limits::quarantinesToReport(m_tables.quarantine, now))
        report.quarantined[fingerprint] = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    report.suspectParts = reportSuspects(m_tables.crashSuspects, now);
    report.suspectRequests = reportSuspects(m_tables.requestSuspects, now);
    report.leavingServers = Forward::leavingServersToReport(m_tables.directory);
    report.isLeaving = m_tables.isDraining();
    report.watchesStore = m_storeWatcher.isWatchingStore();
    report.interval = Forward::spreadInterval(m_tables.peers);
    report.processorShare = static_cast<float>(m_settings.processorShare);
    if (m_rolloutRunner)
        reportRollouts(m_tables, report);
    report.holdsDuties = m_dutyRunner && m_dutyRunner->holdsDuties();
    return report;
}

void EdgeService::tick()
{
    auto const now = m_runtime.now();
    m_clientBudgets.tick();
    m_peerExchange.tick();
    m_storeWatcher.tick();
    if (m_rolloutRunner)
        m_rolloutRunner->tick();
    std::map<std::string, bool> suspected;
    for (auto& row : m_tables.servers.rows) {
        row.peerOutstanding = Forward::peerLoad(m_tables.peers, Forward::serverKey(row.id), now);
        auto const [found, isNew] = suspected.try_emplace(row.dataCentre);
        if (isNew)
            found->second = row.dataCentre != m_settings.dataCentre && Forward::isPartitionSuspected(m_tables.peers, row.dataCentre, now);
        row.isPartitionSuspected = found->second;
    }
    // The fraction of the requests that a peer places between two reports which goes to servers of the same placement cost here.
    static constexpr double unreportedRequestsPerPeer = 0.25;
    m_tables.placementCosts.unreportedRequests = unreportedRequestsPerPeer * static_cast<double>(Forward::countLivePeers(m_tables.peers, now));
    Routing::updateStragglerStates(m_tables.servers, now);
    updateAdaptiveServices(m_tables, m_settings, now);
    updateAdmission(m_tables, m_settings, m_metrics, now);
    Limits::expire(m_tables.quarantine, now);
    logRefusedParts(Limits::expire(m_tables.crashSuspects, now), "own");
    logRefusedRequests(Limits::expire(m_tables.requestSuspects, now), "own");
    // Older windows have been reported or can no longer be reported.
    static constexpr std::int64_t retainedWindows = 6;
    auto const unixTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
    auto const window = Forward::usageWindow(unixTime, m_settings.usageWindow.count());
    // This node's clock may have been set back, but not by a day.
    auto const windowsOfADay = std::chrono::milliseconds(24h) / m_settings.usageWindow;
    Forward::dropWindowsOutside(m_tables.usage, window - retainedWindows, window + windowsOfADay);
    m_tables.usage.dataCentres[m_settings.nodeId] = m_settings.dataCentre;
    if (m_tables.routes && m_tables.routes->version != m_limitsVersion) {
        m_limitsVersion = m_tables.routes->version;
        auto const& limits = m_tables.routes->limits;
        HTTP::ServerLimits serverLimits;
        serverLimits.maximumHeaderBytes = limits.maximumHeaderBytes;
        serverLimits.maximumBodyBytes = limits.maximumBodyBytes;
        serverLimits.headerTimeout = limits.headerTimeout;
        serverLimits.idleTimeout = limits.idleTimeout;
        m_clientServer.setLimits(serverLimits);
        for (auto const& team : m_tables.routes->teams)
            Forward::prepareQuota(m_tables.quotas, team, { .window = m_settings.quotaWindow, .slack = m_settings.quotaSlack });
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
    if (m_tables.isDraining())
        return;
    // The platform takes a node out of rotation after two failed checks, at one check per second.
    static constexpr Core::Duration readinessPropagationTime = 2500ms;
    auto const startedAt = m_runtime.now();
    // With a short grace period, half of it is left for requests that arrive during the intake period.
    m_tables.drain = { .intakeEnd = startedAt + std::min<Core::Duration>(readinessPropagationTime, m_settings.gracePeriod / 2), .end = startedAt + m_settings.gracePeriod - exitMargin };
    Core::logEvent(Core::LogLevel::Info, "draining", { { "requests", std::uint64_t(m_forwarder.requestsInProgress()) } });
    m_runtime.spawn(runDrain(*m_tables.drain));
}

Core::Awaitable<void> EdgeService::runDrain(Forward::DrainSchedule schedule)
{
    m_clientServer.closeAfterResponses();
    m_peerExchange.broadcastReport();
    if (m_rolloutRunner)
        co_await m_rolloutRunner->stop();
    if (m_dutyRunner)
        co_await m_dutyRunner->stop();
    co_await m_runtime.sleepUntil(schedule.intakeEnd);
    m_clientServer.stopAccepting();
    bool const isDrained = co_await m_clientServer.waitUntilDrained(schedule.end);
    if (!isDrained) {
        m_forwarder.cancelAll();
        bool const hasEnded = co_await m_clientServer.waitUntilDrained(schedule.end + exitMargin / 2);
        if (!hasEnded) {
            // Ends writes to clients that do not read. No handler may outlive what it uses.
            Core::logEvent(Core::LogLevel::Warning, "client_connections_closed", { { "requests", std::uint64_t(m_clientServer.requestsInProgress()) } });
            m_clientServer.closeAllConnections();
            (void)co_await m_clientServer.waitUntilDrained(schedule.end + exitMargin);
        }
    }
    Core::logEvent(Core::LogLevel::Info, "stopped", { { "unfinished", isDrained ? "no" : "yes" } });
    m_runtime.context().stop();
}

}
