#include <Node/NodeService.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Log.h>
#include <Node/FleetController.h>
#include <Node/IntentPeers.h>
#include <Node/NodeStatus.h>
#include <random>

namespace Node {

using namespace std::chrono_literals;

static constexpr auto tickInterval = 100ms;
static constexpr std::size_t maximumStreams = 20'000;
static constexpr auto streamRetention = 10min;
static constexpr std::size_t explainedRequests = 5'000;

static std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

static Membership::MembershipSettings membershipSettings(NodeSettings const& settings, std::uint64_t incarnation)
{
    Membership::MembershipSettings membership;
    membership.self.id = settings.nodeId;
    membership.self.peerEndpoint = settings.peerListen;
    membership.self.clientEndpoint = settings.clientListen;
    membership.self.dataCentre = settings.dataCentre;
    membership.self.region = settings.region;
    membership.self.incarnation = incarnation;
    membership.seeds = settings.seeds;
    return membership;
}

static HTTP::ServerLimits clientServerLimits()
{
    return {};
}

/// Everything a node consists of, in the order of dependence. Built once the ports are known.
struct NodeService::Parts {
    Parts(Core::Runtime& runtime, NodeService& service, NodeSettings const& settings)
        : runtime(runtime)
        , clientServer(runtime, clientServerLimits(), [this](auto const& request, auto& writer) { return gateway->handle(request, writer); })
        , operatorServer(runtime, {}, [this](auto const& request, auto& writer) { return operatorEndpoint->handle(request, writer); })
        , peerServer(runtime, service)
        , peerClient(runtime, settings.peerRoutes)
    {
    }

    Core::Runtime& runtime;
    Core::Random random { randomSeed() };
    Core::Metrics metrics;
    NodeTables tables;
    DecisionLog decisions { explainedRequests };
    HTTP::Server clientServer;
    HTTP::Server operatorServer;
    Peer::PeerServer peerServer;
    Peer::PeerClient peerClient;
    HTTP::Client platformHTTP { runtime, {} };
    HTTP::Client backendHTTP { runtime, {} };
    // For load reports and cache events, so that they are counted apart from the requests served.
    HTTP::Client reportHTTP { runtime, {} };
    EngineClient engines { backendHTTP };
    Stream::StreamTable streams { runtime, maximumStreams, streamRetention };
    Membership::PeerClientCalls membershipCalls { peerClient };

    // Built in connectParts(), since they need the bound ports.
    std::unique_ptr<Platform::ObjectClient> objects;
    std::unique_ptr<Platform::CloudClient> cloud;
    std::unique_ptr<Configuration::ConfigurationStore> configurationStore;
    std::unique_ptr<Membership::MembershipService> membership;
    std::unique_ptr<Intent::IntentJournal> journal;
    std::unique_ptr<IntentPeers> intentPeers;
    std::unique_ptr<IntentForwarder> intents;
    std::unique_ptr<StreamPeers> streamPeers;
    std::unique_ptr<Stream::StreamReplicator> replicator;
    std::unique_ptr<ModelRunner> runner;
    std::unique_ptr<StreamTakeOver> takeOver;
    std::unique_ptr<ServiceProxy> services;
    std::unique_ptr<PlatformFeed> platformFeed;
    std::unique_ptr<BackendWatcher> watcher;
    std::unique_ptr<FleetController> fleet;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<OperatorEndpoint> operatorEndpoint;
};

NodeService::NodeService(Core::Runtime& runtime, NodeSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_parts(std::make_unique<Parts>(runtime, *this, m_settings))
{
}

NodeService::~NodeService() = default;

bool NodeService::start(Core::Error& reason)
{
    auto const client = m_parts->clientServer.listen(m_settings.clientListen, reason);
    if (!client)
        return false;
    auto const operators = m_parts->operatorServer.listen(m_settings.operatorListen, reason);
    if (!operators)
        return false;
    if (!m_parts->peerServer.listen(m_settings.peerListen, reason))
        return false;
    m_settings.clientListen = *client;
    m_settings.operatorListen = *operators;
    m_settings.peerListen.port = m_parts->peerServer.port();
    connectParts();
    m_parts->membership->start();
    m_parts->platformFeed->start();
    m_parts->watcher->start();
    if (m_parts->fleet)
        m_parts->fleet->start();
    m_runtime.spawn(runTicks());
    m_runtime.spawn(runGarbageCollection());
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "operator" }, { "endpoint", operators->toString() } });
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "peer" }, { "endpoint", m_settings.peerListen.toString() } });
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "client" }, { "endpoint", client->toString() } });
    return true;
}

static Intent::WriterState writerState(Membership::NodeTable const& nodes, std::string const& writer)
{
    if (isClaimantGone(nodes, writer))
        return Intent::WriterState::Dead;
    return nodes.find(nodeIdOf(writer)) ? Intent::WriterState::Live : Intent::WriterState::Unknown;
}

void NodeService::connectParts()
{
    auto& parts = *m_parts;
    auto const incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count());
    parts.objects = std::make_unique<Platform::ObjectClient>(m_runtime, parts.platformHTTP, m_settings.platform);
    parts.cloud = std::make_unique<Platform::CloudClient>(m_runtime, parts.platformHTTP, m_settings.platform);
    parts.configurationStore = std::make_unique<Configuration::ConfigurationStore>(m_runtime, *parts.objects);
    parts.membership = std::make_unique<Membership::MembershipService>(m_runtime, *parts.objects, parts.membershipCalls, parts.random, membershipSettings(m_settings, incarnation));
    parts.membership->configuration().onChange([this] { adoptConfiguration(); });

    Intent::IntentSettings intentSettings;
    intentSettings.writerState = [this](std::string const& writer) { return writerState(m_parts->membership->nodes(), writer); };
    parts.journal = std::make_unique<Intent::IntentJournal>(m_runtime, *parts.objects, parts.random, parts.metrics, claimantName(m_settings.nodeId, incarnation), intentSettings);
    parts.intentPeers = std::make_unique<IntentPeers>(*parts.membership, parts.peerClient);
    IntentForwarderSettings forwarding;
    forwarding.nodeId = m_settings.nodeId;
    forwarding.claimant = claimantName(m_settings.nodeId, incarnation);
    forwarding.journal = std::move(intentSettings);
    parts.intents = std::make_unique<IntentForwarder>(m_runtime, *parts.journal, *parts.intentPeers, parts.random, parts.metrics, std::move(forwarding));

    parts.streamPeers = std::make_unique<StreamPeers>(*parts.membership, parts.peerClient);
    Stream::ReplicationSettings replication;
    replication.ownNodeId = m_settings.nodeId;
    parts.replicator = std::make_unique<Stream::StreamReplicator>(m_runtime, parts.streams, *parts.streamPeers, parts.metrics, std::move(replication));
    ModelRunnerSettings runnerSettings;
    runnerSettings.nodeId = m_settings.nodeId;
    runnerSettings.dataCentre = m_settings.dataCentre;
    runnerSettings.policy = m_settings.routingPolicy;
    runnerSettings.scheduling = m_settings.scheduling;
    runnerSettings.attentionState = m_settings.attentionState;
    parts.runner = std::make_unique<ModelRunner>(m_runtime, parts.engines, parts.tables, parts.streams, *parts.replicator, parts.decisions, parts.random, parts.metrics, std::move(runnerSettings));
    parts.runner->consultPeers([this](Limits::RequestFingerprint fingerprint) { return m_parts->membership->isQuarantined(std::to_string(fingerprint)); });
    parts.runner->onQuarantined([this](Limits::RequestFingerprint fingerprint) { m_parts->membership->quarantine(std::to_string(fingerprint), 1h); });
    parts.takeOver = std::make_unique<StreamTakeOver>(m_runtime, parts.streams, *parts.replicator, *parts.runner, *parts.streamPeers, parts.decisions, m_settings.nodeId);
    parts.services = std::make_unique<ServiceProxy>(m_runtime, parts.backendHTTP, *parts.intents, parts.tables, parts.decisions, parts.random, parts.metrics, m_settings.nodeId, m_settings.dataCentre);

    BackendWatcherSettings watcherSettings;
    watcherSettings.reports.dataCentre = m_settings.dataCentre;
    auto const nodesInDataCentre = [this] {
        auto const& nodes = m_parts->membership->nodes();
        return Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size();
    };
    parts.watcher = std::make_unique<BackendWatcher>(m_runtime, parts.reportHTTP, parts.tables, parts.random, std::move(watcherSettings), nodesInDataCentre);
    parts.platformFeed = std::make_unique<PlatformFeed>(m_runtime, *parts.cloud, parts.peerClient, *parts.membership, parts.random, PlatformFeedSettings {});
    parts.platformFeed->onServers([this](std::vector<Peer::ServerEntry> const& servers) { mergeServers(servers); });
    parts.platformFeed->onNotices([this](std::vector<Peer::ReclaimNotice> const& notices) { m_parts->watcher->addNotices(notices); });
    parts.watcher->onServerLeaving([this](std::string const& id, std::uint64_t serverIncarnation) { m_parts->membership->markServerLeaving(id, serverIncarnation); });
    parts.watcher->onReclaim([this](auto const& hostIds, auto reclaimAt) { handleReclaim(hostIds, reclaimAt); });
    parts.membership->onServerLeaving([this](std::string const& id, std::uint64_t serverIncarnation) { Routing::markLeaving(m_parts->tables.servers, id, serverIncarnation); });

    if (m_settings.controlsFleet)
        connectFleetController();

    Gateway::Dependencies gateway {
        m_runtime, parts.tables, parts.streams, *parts.replicator, *parts.takeOver, *parts.runner, *parts.services, parts.decisions, parts.random, parts.metrics,
        [this](std::string const& team) { return shareOf(team); },
        [this](Limits::RequestFingerprint fingerprint) { return m_parts->membership->isQuarantined(std::to_string(fingerprint)); },
        m_settings.nodeId, m_settings.dataCentre, m_settings.shedding
    };
    parts.gateway = std::make_unique<Gateway>(std::move(gateway));
    parts.operatorEndpoint = std::make_unique<OperatorEndpoint>(operatorDependencies());
}

void NodeService::connectFleetController()
{
    auto& parts = *m_parts;
    FleetControllerSettings settings;
    settings.lease.duration = m_settings.fleetLease;
    settings.lease.interval = m_settings.fleetLease * 3 / 10;
    settings.lease.storeCallTimeout = m_settings.fleetLease / 5;
    settings.planInterval = m_settings.fleetInterval;
    settings.effectTimeout = std::min<Core::Duration>(1s, m_settings.fleetLease / 10);
    settings.commandRetryInterval = m_settings.fleetLease / 2;
    settings.fencing = m_settings.engineFencing;
    settings.demand.peakWindow = m_settings.fleetPeakWindow;
    FleetDependencies dependencies {
        m_runtime, *parts.objects, *parts.cloud, parts.backendHTTP, parts.tables, parts.decisions, parts.random, parts.metrics,
        // Usage is known per team and within the data centre; the others are taken to be alike.
        [this](std::string const& team) {
            auto const& nodes = m_parts->membership->nodes();
            auto const local = Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size();
            auto const own = Limits::demandOf(m_parts->tables.teamLimits, team, m_runtime.now());
            auto const sum = own + m_parts->membership->usageOfOthers(team).requestsPerSecond;
            return sum * static_cast<double>(nodes.rows.size()) / static_cast<double>(std::max<std::size_t>(1, local));
        },
        [this](std::string const& id, std::uint64_t incarnation) {
            Routing::markLeaving(m_parts->tables.servers, id, incarnation);
            m_parts->membership->markServerLeaving(id, incarnation);
        },
        m_settings.nodeId
    };
    parts.fleet = std::make_unique<FleetController>(std::move(dependencies), settings);
}

OperatorDependencies NodeService::operatorDependencies()
{
    auto& parts = *m_parts;
    return {
        m_runtime,
        parts.metrics,
        *parts.configurationStore,
        [this]() -> Configuration::AppliedState const* { return m_parts->tables.phase == NodePhase::Starting ? nullptr : &m_parts->tables.configuration; },
        [this](Configuration::AppliedState const& state) { m_parts->membership->configuration().offer(state.generation, Configuration::toJsonText(state)); },
        [this] { return status(); },
        [this](std::string const& requestId) { return explanation(m_parts->decisions, requestId); },
        [this] {
            drain(m_runtime.now() + m_settings.drainTimeout);
            return status();
        },
        [this] { return readiness(m_parts->tables); },
        m_settings.operatorKeyDigest,
    };
}

boost::json::value NodeService::status()
{
    return nodeStatus(m_settings, m_parts->tables, m_parts->streams, *m_parts->membership, m_runtime.now());
}

void NodeService::adoptConfiguration()
{
    Core::Error reason;
    auto state = Configuration::appliedStateFromJsonText(m_parts->membership->configuration().json(), reason);
    if (!state) {
        Core::logEvent(Core::LogLevel::Error, "configuration_unreadable", { { "generation", m_parts->membership->configuration().generation() }, { "reason", reason.message } });
        return;
    }
    if (state->generation <= m_parts->tables.configuration.generation)
        return;
    Core::logEvent(Core::LogLevel::Info, "configuration_in_force", { { "generation", state->generation }, { "previous", m_parts->tables.configuration.generation } });
    m_parts->tables.configuration = std::move(*state);
    m_parts->metrics.gauge("hyssopstep_configuration_generation").set(static_cast<double>(m_parts->tables.configuration.generation));
    if (m_parts->tables.phase == NodePhase::Starting)
        m_parts->tables.phase = NodePhase::Serving;
}

double NodeService::shareOf(std::string const& team) const
{
    auto const& nodes = m_parts->membership->nodes();
    Limits::DemandSnapshot view;
    view.ownDemand = Limits::demandOf(m_parts->tables.teamLimits, team, m_runtime.now());
    view.otherDemands = { m_parts->membership->usageOfOthers(team).requestsPerSecond };
    view.nodesInDataCentre = static_cast<std::uint32_t>(Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size());
    for (auto const& [id, row] : nodes.rows)
        view.nodesInDeployment += row.liveness != Membership::Liveness::Dead ? 1 : 0;
    --view.nodesInDeployment;
    return Limits::nodeShare(view);
}

void NodeService::publishUsage()
{
    for (auto const& team : m_parts->tables.configuration.desired.teams) {
        auto const demand = Limits::demandOf(m_parts->tables.teamLimits, team.name, m_runtime.now());
        m_parts->membership->setOwnUsage(team.name, demand, 0);
    }
}

Core::Awaitable<void> NodeService::runTicks()
{
    while (true) {
        tick();
        co_await m_runtime.sleepFor(tickInterval);
    }
}

void NodeService::tick()
{
    auto const now = m_runtime.now();
    Routing::updateAssumedLoads(m_parts->tables.servers, now);
    Routing::updateStragglerStates(m_parts->tables.servers, now);
    Limits::expire(m_parts->tables.quarantine, now);
    m_parts->streams.expire();
    m_parts->takeOver->adoptOrphans();
    m_parts->intents->expireClaims();
    moveReplicasFromLostNodes();
    m_parts->replicator->assignMissingReplicas();
    publishUsage();
    m_parts->metrics.gauge("hyssopstep_streams").set(static_cast<double>(m_parts->streams.size()));
    m_parts->metrics.gauge("hyssopstep_exchange_bytes").set(static_cast<double>(m_parts->membership->exchangedBytes()));
    publishTraffic();
    adjustReportBudget();
}

void NodeService::mergeServers(std::vector<Peer::ServerEntry> const& servers)
{
    m_parts->watcher->mergeServers(servers);
    // A list read before a server was marked as leaving, by a notice or a peer, does not take the mark back.
    for (auto& row : m_parts->tables.servers.rows) {
        if (m_parts->membership->isServerLeaving(row.id, row.incarnation))
            row.lifecycle = Routing::Lifecycle::Leaving;
    }
}

// Gauges of values that only grow, since their owners count them.
void NodeService::publishTraffic()
{
    auto& metrics = m_parts->metrics;
    auto const publish = [&metrics](std::string const& channel, std::uint64_t calls, std::uint64_t sent, std::uint64_t received) {
        metrics.gauge("hyssopstep_traffic_calls", { { "channel", channel } }).set(static_cast<double>(calls));
        metrics.gauge("hyssopstep_traffic_bytes", { { "channel", channel }, { "direction", "sent" } }).set(static_cast<double>(sent));
        metrics.gauge("hyssopstep_traffic_bytes", { { "channel", channel }, { "direction", "received" } }).set(static_cast<double>(received));
    };
    auto const publishPeers = [&publish](std::string const& channel, Peer::PeerTraffic const& traffic) { publish(channel, traffic.calls, traffic.sentBytes, traffic.receivedBytes); };
    auto const publishHTTP = [&publish](std::string const& channel, HTTP::ClientTraffic const& traffic) { publish(channel, traffic.requests, traffic.sentBytes, traffic.receivedBytes); };
    publishPeers("peer_control_called", m_parts->peerClient.traffic(Peer::TrafficClass::Control));
    publishPeers("peer_control_answered", m_parts->peerServer.traffic(Peer::TrafficClass::Control));
    publishPeers("peer_requests_called", m_parts->peerClient.traffic(Peer::TrafficClass::Requests));
    publishPeers("peer_requests_answered", m_parts->peerServer.traffic(Peer::TrafficClass::Requests));
    publishHTTP("platform", m_parts->platformHTTP.traffic());
    publishHTTP("reports", m_parts->reportHTTP.traffic());
    publishHTTP("backends", m_parts->backendHTTP.traffic());
}

void NodeService::adjustReportBudget()
{
    static constexpr auto window = 10s;
    // RPC envelope and TCP/IP headers of a peer call, and TCP/IP headers of a platform call.
    static constexpr std::uint64_t peerOverheadBytes = 220 + 6 * 52;
    static constexpr std::uint64_t platformOverheadBytes = 4 * 52;
    auto const now = m_runtime.now();
    if (now - m_trafficReadAt < window)
        return;
    auto const called = m_parts->peerClient.traffic(Peer::TrafficClass::Control);
    auto const answered = m_parts->peerServer.traffic(Peer::TrafficClass::Control);
    auto const platform = m_parts->platformHTTP.traffic();
    auto const total = called.sentBytes + called.receivedBytes + answered.sentBytes + answered.receivedBytes + platform.sentBytes + platform.receivedBytes
        + (called.calls + answered.calls) * peerOverheadBytes + platform.requests * platformOverheadBytes;
    auto const rate = static_cast<double>(total - m_trafficBytes) / std::chrono::duration<double>(now - m_trafficReadAt).count();
    if (m_trafficReadAt != Core::MonotonicTime {}) {
        m_parts->watcher->setBytesPerSecond(Routing::reportBytesPerSecond(rate));
        m_parts->metrics.gauge("hyssopstep_control_bytes_per_second").set(rate);
    }
    m_trafficBytes = total;
    m_trafficReadAt = now;
}

void NodeService::moveReplicasFromLostNodes()
{
    std::set<std::string> lost;
    for (auto const& [id, row] : m_parts->membership->nodes().rows) {
        if (row.liveness == Membership::Liveness::Dead || row.state == Membership::NodeState::Leaving)
            lost.insert(id);
    }
    if (!lost.empty())
        m_parts->replicator->moveReplicasFrom(lost);
}

Core::Awaitable<void> NodeService::runGarbageCollection()
{
    static constexpr auto interval = 10min;
    static constexpr std::size_t bucketsPerRun = 64;
    while (true) {
        // Every node runs it; the random start keeps them apart.
        co_await m_runtime.sleepFor(interval / 2 + std::chrono::seconds(m_parts->random.below(600)));
        Core::Error reason;
        auto const buckets = co_await m_parts->journal->collectGarbage(bucketsPerRun, reason);
        if (!buckets)
            Core::logEvent(Core::LogLevel::Warning, "intents_not_collected", { { "reason", reason.message } });
    }
}

void NodeService::handleReclaim(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt)
{
    m_parts->streamPeers->excludeReclaimed(hostIds);
    m_parts->replicator->moveReplicasFrom(hostIds);
    if (!hostIds.contains(m_settings.nodeId))
        return;
    Core::logEvent(Core::LogLevel::Warning, "reclaim_announced", { { "remaining_ms", std::chrono::duration_cast<std::chrono::milliseconds>(reclaimAt - m_runtime.now()).count() } });
    drain(reclaimAt - m_settings.reclaimMargin);
}

void NodeService::drain(Core::MonotonicTime deadline)
{
    if (m_draining) {
        m_drainDeadline = std::min(m_drainDeadline, deadline);
        return;
    }
    m_draining = true;
    m_drainDeadline = deadline;
    m_runtime.spawn(runDrain());
}

bool NodeService::isIdle() const
{
    return m_parts->clientServer.requestsInProgress() == 0 && m_parts->intents->openTickets() == 0 && runningStreams(m_parts->streams) == 0;
}

Core::Awaitable<void> NodeService::runDrain()
{
    static constexpr auto pollInterval = 20ms;
    // Lets the other nodes hear of the leaving state before the process ends.
    static constexpr auto announcement = 700ms;
    static constexpr auto handOverTime = 1s;
    m_parts->tables.phase = NodePhase::Draining;
    // The role goes to another node at once.
    if (m_parts->fleet)
        m_runtime.spawn(m_parts->fleet->stop());
    m_parts->membership->setLeaving();
    auto const startedAt = m_runtime.now();
    Core::logEvent(Core::LogLevel::Info, "drain_started", { { "streams", runningStreams(m_parts->streams) }, { "requests", m_parts->clientServer.requestsInProgress() } });
    while (m_runtime.now() < m_drainDeadline && !(isIdle() && m_runtime.now() >= startedAt + announcement))
        co_await m_runtime.sleepFor(pollInterval);
    auto const remaining = co_await m_parts->takeOver->handOverAll(m_runtime.now() + handOverTime);
    m_parts->clientServer.stopAccepting();
    m_parts->operatorServer.stopAccepting();
    bool const drained = co_await m_parts->clientServer.waitUntilDrained(m_runtime.now() + handOverTime / 2);
    Core::logEvent(Core::LogLevel::Info, "drain_finished", { { "streams_left", remaining }, { "requests_cut_off", drained ? 0 : m_parts->clientServer.requestsInProgress() } });
    m_parts->platformFeed->stop();
    m_parts->watcher->stop();
    m_parts->membership->stop();
    m_runtime.context().stop();
}

Core::Awaitable<Peer::ExchangeReply> NodeService::exchange(Peer::ExchangeRequest request)
{
    co_return m_parts->membership->handle(request);
}

Core::Awaitable<Peer::FetchConfigurationReply> NodeService::fetchConfiguration(Peer::FetchConfigurationRequest request)
{
    co_return m_parts->membership->handle(request);
}

Core::Awaitable<Peer::ReplicateReply> NodeService::replicate(Peer::ReplicateRequest request)
{
    Peer::ReplicateReply reply;
    reply.results.reserve(request.records.size());
    for (auto const& record : request.records)
        reply.results.push_back(m_parts->streams.apply(record));
    co_return reply;
}

Core::Awaitable<Peer::HandOverReply> NodeService::handOver(Peer::HandOverRequest request)
{
    if (!m_draining)
        co_return m_parts->takeOver->accept(request);
    Peer::HandOverReply reply;
    for (auto const& record : request.records)
        reply.results.push_back({ record.requestId, Peer::StreamDecision::Refused, 0, 0 });
    co_return reply;
}

Core::Awaitable<Peer::FindStreamReply> NodeService::findStream(Peer::FindStreamRequest request)
{
    Peer::FindStreamReply reply;
    auto const* stream = m_parts->streams.find(request.requestId);
    if (stream && stream->role != Stream::StreamRole::TakenOver)
        reply.record = Stream::fullRecord(*stream);
    co_return reply;
}

Core::Awaitable<Peer::FetchPlatformDataReply> NodeService::fetchPlatformData(Peer::FetchPlatformDataRequest request)
{
    co_return co_await m_parts->platformFeed->handle(request);
}

Core::Awaitable<Peer::BeginIntentReply> NodeService::beginIntent(Peer::BeginIntentRequest request)
{
    return m_parts->intents->answer(std::move(request));
}

Core::Awaitable<Peer::FinishIntentReply> NodeService::finishIntent(Peer::FinishIntentRequest request)
{
    return m_parts->intents->answer(std::move(request));
}

}
