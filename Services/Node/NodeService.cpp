#include <Node/NodeService.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Log.h>
#include <LibHTTP/ClientBudgets.h>
#include <LibHTTP/SocketBuffers.h>
#include <Node/FleetController.h>
#include <Node/IntentPeers.h>
#include <Node/NodeStatus.h>
#include <random>

namespace Node {

using namespace std::chrono_literals;

static constexpr auto tickInterval = 100ms;
static constexpr std::size_t maximumStreams = 20'000;
static constexpr auto streamRetention = 10min;
static constexpr std::size_t maximumDecisionSubjects = 5'000;

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

// The listening addresses, each with a budget of its own. Other nodes call the peer address with another protocol.
static constexpr std::size_t clientsAddress = 0;
static constexpr std::size_t operatorsAddress = 1;
static constexpr std::size_t addressCount = 2;

// Microseconds of a core for the status of a deployment, or all metrics.
static constexpr double operatorRequestWork = 100;

static HTTP::ClientLimits backendClientLimits(HTTP::ProcessLimits const& processLimits)
{
    HTTP::ClientLimits limits;
    limits.receiveQueueBytes = HTTP::serverReceiveQueueBytes;
    limits.maximumConnections = processLimits.serverConnections;
    return limits;
}

/// The components of a node; each depends only on those declared before it.
struct NodeService::Components {
    Components(Core::Runtime& runtime, NodeService& service, NodeSettings const& settings)
        : runtime(runtime)
        , processLimits(HTTP::processLimitsOnHost(settings.memoryMegabytes, addressCount))
        , clientServer(
              runtime, {}, [this](auto const& request, auto& writer) { return gateway->handle(request, writer); }, { .budget = clientBudgets.of(clientsAddress) })
        , operatorServer(
              runtime, {}, [this](auto const& request, auto& writer) { return operatorEndpoint->handle(request, writer); }, { .budget = clientBudgets.of(operatorsAddress), .requestWork = operatorRequestWork })
        , peerServer(runtime, service)
        , peerClient(runtime, settings.peerRoutes)
    {
    }

    Core::Runtime& runtime;
    Core::Random random { randomSeed() };
    Core::Metrics metrics;
    HTTP::ProcessLimits processLimits;
    HTTP::ClientBudgets clientBudgets { runtime, metrics, { "clients", "operators" }, processLimits };
    NodeTables tables;
    DecisionLog decisions { maximumDecisionSubjects };
    HTTP::Server clientServer;
    HTTP::Server operatorServer;
    Peer::PeerServer peerServer;
    Peer::PeerClient peerClient;
    HTTP::Client platformHTTP { runtime, {} };
    HTTP::Client backendHTTP { runtime, backendClientLimits(processLimits) };
    // Separate client for load reports and cache events, so that their traffic is counted apart from that of requests.
    HTTP::Client reportHTTP { runtime, {} };
    EngineClient engines { backendHTTP };
    Stream::StreamTable streams { runtime, maximumStreams, streamRetention };
    Membership::PeerClientCalls membershipCalls { peerClient };

    // Created in buildComponents(), since they need the bound ports.
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
    , m_components(std::make_unique<Components>(runtime, *this, m_settings))
{
}

NodeService::~NodeService() = default;

bool NodeService::start(Core::Error& error)
{
    auto const clientEndpoint = m_components->clientServer.listen(m_settings.clientListen, error);
    if (!clientEndpoint)
        return false;
    auto const operatorEndpoint = m_components->operatorServer.listen(m_settings.operatorListen, error);
    if (!operatorEndpoint)
        return false;
    if (!m_components->peerServer.listen(m_settings.peerListen, error))
        return false;
    m_settings.clientListen = *clientEndpoint;
    m_settings.operatorListen = *operatorEndpoint;
    m_settings.peerListen.port = m_components->peerServer.port();
    buildComponents();
    m_components->membership->start();
    m_components->platformFeed->start();
    m_components->watcher->start();
    if (m_components->fleet)
        m_components->fleet->start();
    m_runtime.spawn(runTicks());
    m_runtime.spawn(runGarbageCollection());
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "operator" }, { "endpoint", operatorEndpoint->toString() } });
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "peer" }, { "endpoint", m_settings.peerListen.toString() } });
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", "client" }, { "endpoint", clientEndpoint->toString() } });
    return true;
}

static Intent::WriterState writerState(Membership::NodeTable const& nodes, std::string const& writer)
{
    if (isClaimantGone(nodes, writer))
        return Intent::WriterState::Dead;
    return nodes.find(nodeIdOf(writer)) ? Intent::WriterState::Live : Intent::WriterState::Unknown;
}

void NodeService::buildComponents()
{
    auto& parts = *m_components;
    auto const incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count());
    parts.objects = std::make_unique<Platform::ObjectClient>(m_runtime, parts.platformHTTP, m_settings.platform);
    parts.cloud = std::make_unique<Platform::CloudClient>(m_runtime, parts.platformHTTP, m_settings.platform);
    parts.configurationStore = std::make_unique<Configuration::ConfigurationStore>(m_runtime, *parts.objects);
    parts.membership = std::make_unique<Membership::MembershipService>(m_runtime, *parts.objects, parts.membershipCalls, parts.random, membershipSettings(m_settings, incarnation));
    parts.membership->configuration().onChange([this] { applyConfiguration(); });

    Intent::IntentSettings intentSettings;
    intentSettings.writerState = [this](std::string const& writer) { return writerState(m_components->membership->nodes(), writer); };
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
    parts.runner->setPeerQuarantineCheck([this](Limits::RequestFingerprint fingerprint) { return m_components->membership->isQuarantined(std::to_string(fingerprint)); });
    parts.runner->setQuarantineListener([this](Limits::RequestFingerprint fingerprint) { m_components->membership->quarantine(std::to_string(fingerprint), 1h); });
    parts.takeOver = std::make_unique<StreamTakeOver>(m_runtime, parts.streams, *parts.replicator, *parts.runner, *parts.streamPeers, parts.decisions, m_settings.nodeId);
    parts.services = std::make_unique<ServiceProxy>(m_runtime, parts.backendHTTP, *parts.intents, parts.tables, parts.decisions, parts.random, parts.metrics, m_settings.nodeId, m_settings.dataCentre);

    BackendWatcherSettings watcherSettings;
    watcherSettings.reports.dataCentre = m_settings.dataCentre;
    auto const nodesInDataCentre = [this] {
        auto const& nodes = m_components->membership->nodes();
        return Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size();
    };
    parts.watcher = std::make_unique<BackendWatcher>(m_runtime, parts.reportHTTP, parts.tables, parts.random, std::move(watcherSettings), nodesInDataCentre);
    parts.platformFeed = std::make_unique<PlatformFeed>(m_runtime, *parts.cloud, parts.peerClient, *parts.membership, parts.random, PlatformFeedSettings {});
    parts.platformFeed->onServers([this](std::vector<Peer::ServerEntry> const& servers) { mergeServers(servers); });
    parts.platformFeed->onNotices([this](std::vector<Peer::ReclaimNotice> const& notices) { m_components->watcher->addNotices(notices); });
    parts.watcher->onServerLeaving([this](std::string const& id, std::uint64_t serverIncarnation) { m_components->membership->markServerLeaving(id, serverIncarnation); });
    parts.watcher->onReclaim([this](auto const& hostIds, auto reclaimAt) { handleReclaim(hostIds, reclaimAt); });
    parts.membership->onServerLeaving([this](std::string const& id, std::uint64_t serverIncarnation) { Routing::markLeaving(m_components->tables.servers, id, serverIncarnation); });

    if (m_settings.controlsFleet)
        connectFleetController();

    Gateway::Dependencies gateway {
        m_runtime, parts.tables, parts.streams, *parts.replicator, *parts.takeOver, *parts.runner, *parts.services, parts.decisions, parts.random, parts.metrics,
        [this](std::string const& team) { return limitFraction(team); },
        [this](Limits::RequestFingerprint fingerprint) { return m_components->membership->isQuarantined(std::to_string(fingerprint)); },
        m_settings.nodeId, m_settings.dataCentre, m_settings.shedding
    };
    parts.gateway = std::make_unique<Gateway>(std::move(gateway));
    parts.operatorEndpoint = std::make_unique<OperatorEndpoint>(operatorDependencies());
}

void NodeService::connectFleetController()
{
    auto& parts = *m_components;
    FleetControllerSettings settings;
    settings.lease.duration = m_settings.fleetLease;
    settings.lease.interval = m_settings.fleetLease * 3 / 10;
    settings.lease.storeCallTimeout = m_settings.fleetLease / 5;
    settings.planInterval = m_settings.fleetInterval;
    settings.actionTimeout = std::min<Core::Duration>(1s, m_settings.fleetLease / 10);
    settings.commandRetryInterval = m_settings.fleetLease / 2;
    settings.fencing = m_settings.engineFencing;
    settings.demand.peakWindow = m_settings.fleetPeakWindow;
    FleetDependencies dependencies {
        m_runtime, *parts.objects, *parts.cloud, parts.backendHTTP, parts.tables, parts.decisions, parts.random, parts.metrics,
        // Usage is known only for the nodes of this data centre; extrapolates to all nodes, assuming equal usage.
        [this](std::string const& team) {
            auto const& nodes = m_components->membership->nodes();
            auto const local = Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size();
            auto const own = Limits::demandOf(m_components->tables.teamLimits, team, m_runtime.now());
            auto const sum = own + m_components->membership->usageOfOtherNodes(team).requestsPerSecond;
            return sum * static_cast<double>(nodes.rows.size()) / static_cast<double>(std::max<std::size_t>(1, local));
        },
        [this](std::string const& id, std::uint64_t incarnation) {
            Routing::markLeaving(m_components->tables.servers, id, incarnation);
            m_components->membership->markServerLeaving(id, incarnation);
        },
        m_settings.nodeId
    };
    parts.fleet = std::make_unique<FleetController>(std::move(dependencies), settings);
}

OperatorDependencies NodeService::operatorDependencies()
{
    auto& parts = *m_components;
    return {
        m_runtime,
        parts.metrics,
        *parts.configurationStore,
        [this]() -> Configuration::AppliedState const* { return m_components->tables.phase == NodePhase::Starting ? nullptr : &m_components->tables.configuration; },
        [this](Configuration::AppliedState const& state) { m_components->membership->configuration().applyIfNewer(state.generation, Configuration::toJsonText(state)); },
        [this] { return status(); },
        [this](std::string const& requestId) { return explanation(m_components->decisions, requestId); },
        [this] {
            drain(m_runtime.now() + m_settings.drainTimeout);
            return status();
        },
        [this] { return readiness(m_components->tables); },
        m_settings.operatorKeyDigest,
    };
}

boost::json::value NodeService::status()
{
    return nodeStatus(m_settings, m_components->tables, m_components->streams, *m_components->membership, m_runtime.now());
}

void NodeService::applyConfiguration()
{
    Core::Error error;
    auto state = Configuration::appliedStateFromJsonText(m_components->membership->configuration().json(), error);
    if (!state) {
        Core::logEvent(Core::LogLevel::Error, "configuration_unreadable", { { "generation", m_components->membership->configuration().generation() }, { "reason", error.message } });
        return;
    }
    if (state->generation <= m_components->tables.configuration.generation)
        return;
    Core::logEvent(Core::LogLevel::Info, "configuration_in_force", { { "generation", state->generation }, { "previous", m_components->tables.configuration.generation } });
    m_components->tables.configuration = std::move(*state);
    m_components->metrics.gauge("hyssopstep_configuration_generation").set(static_cast<double>(m_components->tables.configuration.generation));
    if (m_components->tables.phase == NodePhase::Starting)
        m_components->tables.phase = NodePhase::Serving;
}

double NodeService::limitFraction(std::string const& team) const
{
    auto const& nodes = m_components->membership->nodes();
    Limits::DemandSnapshot snapshot;
    snapshot.ownDemand = Limits::demandOf(m_components->tables.teamLimits, team, m_runtime.now());
    snapshot.otherDemands = { m_components->membership->usageOfOtherNodes(team).requestsPerSecond };
    snapshot.nodesInDataCentre = static_cast<std::uint32_t>(Membership::nodesOf(nodes, nodes.ownDataCentre, Membership::NodeFilter::NotDead).size());
    for (auto const& [id, row] : nodes.rows)
        snapshot.nodesInDeployment += row.liveness != Membership::Liveness::Dead ? 1 : 0;
    --snapshot.nodesInDeployment;
    return Limits::nodeLimitFraction(snapshot);
}

void NodeService::publishUsage()
{
    for (auto const& team : m_components->tables.configuration.desired.teams) {
        auto const demand = Limits::demandOf(m_components->tables.teamLimits, team.name, m_runtime.now());
        m_components->membership->setOwnUsage(team.name, demand, 0);
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
    m_components->clientBudgets.tick();
    m_components->clientBudgets.updateMetrics();
    Routing::updateAssumedLoads(m_components->tables.servers, now);
    Routing::updateStragglerStates(m_components->tables.servers, now);
    Limits::expire(m_components->tables.quarantine, now);
    m_components->streams.expire();
    m_components->takeOver->takeOverOrphans();
    m_components->intents->expireClaims();
    moveReplicasFromLostNodes();
    m_components->replicator->assignMissingReplicas();
    publishUsage();
    m_components->metrics.gauge("hyssopstep_streams").set(static_cast<double>(m_components->streams.size()));
    m_components->metrics.gauge("hyssopstep_exchange_bytes").set(static_cast<double>(m_components->membership->exchangedBytes()));
    publishTraffic();
    adjustReportBudget();
}

void NodeService::mergeServers(std::vector<Peer::ServerEntry> const& servers)
{
    m_components->watcher->mergeServers(servers);
    // The list may have been read before a notice or a peer marked a server as leaving; the mark stays.
    for (auto& row : m_components->tables.servers.rows) {
        if (m_components->membership->isServerLeaving(row.id, row.incarnation))
            row.lifecycle = Routing::Lifecycle::Leaving;
    }
}

// The traffic counters are kept by the clients and servers, so their current values are exported as gauges.
void NodeService::publishTraffic()
{
    auto& metrics = m_components->metrics;
    auto const publish = [&metrics](std::string const& channel, std::uint64_t calls, std::uint64_t sent, std::uint64_t received) {
        metrics.gauge("hyssopstep_traffic_calls", { { "channel", channel } }).set(static_cast<double>(calls));
        metrics.gauge("hyssopstep_traffic_bytes", { { "channel", channel }, { "direction", "sent" } }).set(static_cast<double>(sent));
        metrics.gauge("hyssopstep_traffic_bytes", { { "channel", channel }, { "direction", "received" } }).set(static_cast<double>(received));
    };
    auto const publishPeers = [&publish](std::string const& channel, Peer::PeerTraffic const& traffic) { publish(channel, traffic.calls, traffic.sentBytes, traffic.receivedBytes); };
    auto const publishHTTP = [&publish](std::string const& channel, HTTP::ClientTraffic const& traffic) { publish(channel, traffic.requests, traffic.sentBytes, traffic.receivedBytes); };
    publishPeers("peer_control_called", m_components->peerClient.traffic(Peer::TrafficClass::Control));
    publishPeers("peer_control_answered", m_components->peerServer.traffic(Peer::TrafficClass::Control));
    publishPeers("peer_requests_called", m_components->peerClient.traffic(Peer::TrafficClass::Requests));
    publishPeers("peer_requests_answered", m_components->peerServer.traffic(Peer::TrafficClass::Requests));
    publishHTTP("platform", m_components->platformHTTP.traffic());
    publishHTTP("reports", m_components->reportHTTP.traffic());
    publishHTTP("backends", m_components->backendHTTP.traffic());
}

void NodeService::adjustReportBudget()
{
    static constexpr auto window = 10s;
    // RPC envelope and TCP/IP headers of a peer call; TCP/IP headers of a platform call.
    static constexpr std::uint64_t peerOverheadBytes = 220 + 6 * 52;
    static constexpr std::uint64_t platformOverheadBytes = 4 * 52;
    auto const now = m_runtime.now();
    if (now - m_trafficReadAt < window)
        return;
    auto const called = m_components->peerClient.traffic(Peer::TrafficClass::Control);
    auto const answered = m_components->peerServer.traffic(Peer::TrafficClass::Control);
    auto const platform = m_components->platformHTTP.traffic();
    auto const total = called.sentBytes + called.receivedBytes + answered.sentBytes + answered.receivedBytes + platform.sentBytes + platform.receivedBytes
        + (called.calls + answered.calls) * peerOverheadBytes + platform.requests * platformOverheadBytes;
    auto const rate = static_cast<double>(total - m_trafficBytes) / std::chrono::duration<double>(now - m_trafficReadAt).count();
    if (m_trafficReadAt != Core::MonotonicTime {}) {
        m_components->watcher->setBytesPerSecond(Routing::reportBytesPerSecond(rate));
        m_components->metrics.gauge("hyssopstep_control_bytes_per_second").set(rate);
    }
    m_trafficBytes = total;
    m_trafficReadAt = now;
}

void NodeService::moveReplicasFromLostNodes()
{
    std::set<std::string> lost;
    for (auto const& [id, row] : m_components->membership->nodes().rows) {
        if (row.liveness == Membership::Liveness::Dead || row.state == Membership::NodeState::Leaving)
            lost.insert(id);
    }
    if (!lost.empty())
        m_components->replicator->moveReplicasFrom(lost);
}

Core::Awaitable<void> NodeService::runGarbageCollection()
{
    static constexpr auto interval = 10min;
    static constexpr std::size_t bucketsPerRun = 64;
    while (true) {
        // Every node collects garbage; the random delay avoids concurrent runs.
        co_await m_runtime.sleepFor(interval / 2 + std::chrono::seconds(m_components->random.below(600)));
        Core::Error error;
        auto const buckets = co_await m_components->journal->collectGarbage(bucketsPerRun, error);
        if (!buckets)
            Core::logEvent(Core::LogLevel::Warning, "intents_not_collected", { { "reason", error.message } });
    }
}

void NodeService::handleReclaim(std::set<std::string> const& hostIds, Core::MonotonicTime reclaimAt)
{
    m_components->streamPeers->excludeReclaimed(hostIds);
    m_components->replicator->moveReplicasFrom(hostIds);
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
    return m_components->clientServer.requestsInProgress() == 0 && m_components->intents->openTickets() == 0 && runningStreams(m_components->streams) == 0;
}

Core::Awaitable<void> NodeService::runDrain()
{
    static constexpr auto pollInterval = 20ms;
    // Time for the other nodes to learn that this node is leaving before the process ends.
    static constexpr auto minimumDrainTime = 700ms;
    static constexpr auto handOverTimeout = 1s;
    // Longer than the server waits for the first request of a new connection.
    static constexpr auto connectionDrainTime = 1200ms;
    m_components->tables.phase = NodePhase::Draining;
    // Releases the lease, so that another node can take over fleet control without waiting for its expiry.
    if (m_components->fleet)
        m_runtime.spawn(m_components->fleet->stop());
    m_components->membership->setLeaving();
    auto const startedAt = m_runtime.now();
    Core::logEvent(Core::LogLevel::Info, "drain_started", { { "streams", runningStreams(m_components->streams) }, { "requests", m_components->clientServer.requestsInProgress() } });
    while (m_runtime.now() < m_drainDeadline && !(isIdle() && m_runtime.now() >= startedAt + minimumDrainTime))
        co_await m_runtime.sleepFor(pollInterval);
    auto const remaining = co_await m_components->takeOver->handOverAll(m_runtime.now() + handOverTimeout);
    m_components->clientServer.stopAccepting();
    m_components->operatorServer.stopAccepting();
    bool const drained = co_await m_components->clientServer.waitUntilDrained(m_runtime.now() + connectionDrainTime);
    Core::logEvent(Core::LogLevel::Info, "drain_finished", { { "streams_left", remaining }, { "requests_cut_off", drained ? 0 : m_components->clientServer.requestsInProgress() } });
    m_components->platformFeed->stop();
    m_components->watcher->stop();
    m_components->membership->stop();
    m_runtime.context().stop();
}

Core::Awaitable<Peer::ExchangeReply> NodeService::exchange(Peer::ExchangeRequest request)
{
    co_return m_components->membership->handle(request);
}

Core::Awaitable<Peer::FetchConfigurationReply> NodeService::fetchConfiguration(Peer::FetchConfigurationRequest request)
{
    co_return m_components->membership->handle(request);
}

Core::Awaitable<Peer::ReplicateReply> NodeService::replicate(Peer::ReplicateRequest request)
{
    Peer::ReplicateReply reply;
    reply.results.reserve(request.records.size());
    for (auto const& record : request.records)
        reply.results.push_back(m_components->streams.apply(record));
    co_return reply;
}

Core::Awaitable<Peer::HandOverReply> NodeService::handOver(Peer::HandOverRequest request)
{
    if (!m_draining)
        co_return m_components->takeOver->accept(request);
    Peer::HandOverReply reply;
    for (auto const& record : request.records)
        reply.results.push_back({ record.requestId, Peer::StreamDecision::Refused, 0, 0 });
    co_return reply;
}

Core::Awaitable<Peer::FindStreamReply> NodeService::findStream(Peer::FindStreamRequest request)
{
    Peer::FindStreamReply reply;
    auto const* stream = m_components->streams.find(request.requestId);
    if (stream && stream->role != Stream::StreamRole::TakenOver)
        reply.record = Stream::fullRecord(*stream);
    co_return reply;
}

Core::Awaitable<Peer::FetchPlatformDataReply> NodeService::fetchPlatformData(Peer::FetchPlatformDataRequest request)
{
    co_return co_await m_components->platformFeed->handle(request);
}

Core::Awaitable<Peer::BeginIntentReply> NodeService::beginIntent(Peer::BeginIntentRequest request)
{
    return m_components->intents->handleBeginIntent(std::move(request));
}

Core::Awaitable<Peer::FinishIntentReply> NodeService::finishIntent(Peer::FinishIntentRequest request)
{
    return m_components->intents->handleFinishIntent(std::move(request));
}

}
