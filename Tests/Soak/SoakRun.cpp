#include <Soak/SoakRun.h>

#include <EdgeService/StoreStandIn.h>
#include <LibCore/Random.h>
#include <LibHTTP/Client.h>
#include <Soak/BudgetRecord.h>
#include <Soak/DutyRecord.h>
#include <Soak/SoakServer.h>
#include <StandIns/ProxyPair.h>
#include <Support/BlockingCall.h>
#include <Support/ChildProcess.h>
#include <csignal>
#include <map>
#include <set>
#include <unistd.h>

namespace Soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using TestSupport::ChildProcess;

static constexpr std::uint16_t clientPort = 8080;
static constexpr std::uint16_t readyPort = 8081;
static constexpr std::uint16_t metricsPort = 8082;
static constexpr std::uint16_t peerPort = 8083;
static constexpr std::chrono::seconds gracePeriod { 3 };
// Longer than any response takes without faults, and longer than the routes' timeout.
static constexpr Core::Duration clientTimeout = 4s;
static constexpr Core::Duration longClientTimeout = 7s;
static constexpr milliseconds clientDeadline { 3500 };
static constexpr milliseconds longClientDeadline { 6500 };
static constexpr std::size_t longClientsPerNode = 2;
static constexpr std::size_t maxAttempts = 2;
static constexpr RetryLimits retryLimits { .ratio = 0.05, .slack = 20, .window = 10s };
static constexpr std::chrono::milliseconds leaseTime { 3000 };

namespace {

// A process under test and its proxy to the store.
struct Node {
    std::string address;
    std::unique_ptr<StandIns::ProxyPair> storeProxy;
    Core::Endpoint storeEndpoint;
    std::optional<ChildProcess> process;
    std::uint64_t startCount { 0 };
    Core::MonotonicTime startedAt {};
    /// Newest configuration version that the process has served since its last start.
    std::uint64_t servedVersion { 0 };
    bool isStoppedOrPaused { false };
    /// When the last planned stop began.
    Core::MonotonicTime stoppedAt {};
    Core::Endpoint dutyEndpoint;
    /// When the process was last continued, or its link to the store was last restored.
    Core::MonotonicTime disturbedUntil {};
    std::string logs;
};

struct Backend {
    std::unique_ptr<SoakServer> server;
    std::unique_ptr<StandIns::ProxyPair> proxy;
    Core::Endpoint endpoint;
    std::uint64_t starts { 1 };
    bool isLeaving { false };
    /// The state that its entry in the store should have; empty if it should have no entry.
    std::string publishedState;
};

struct ClientResponse {
    unsigned status { 0 };
    std::string body;
    bool isComplete { false };
};

enum class ClientKind {
    Mixed,
    LongStreams,
};

class SoakRun {
public:
    explicit SoakRun(SoakOptions const& options)
        : m_options(options)
        , m_faults(createSchedule(options))
        , m_random(options.seed)
        , m_runtime(m_loop.runtime())
        , m_store(m_runtime)
        , m_client(m_runtime, {})
        , m_duties(m_runtime, [this](std::size_t node) { return isDutyCallExcused(node); })
    {
    }

    SoakResult run()
    {
        m_loop.run(execute());
        if (!m_result.violations.empty())
            collectLogs();
        return std::move(m_result);
    }

private:
    [[nodiscard]] milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(m_runtime.now() - m_startedAt); }

    void addViolation(std::string violation) { m_result.violations.push_back(std::to_string(elapsed().count()) + " ms: " + std::move(violation)); }

    Core::Awaitable<bool> execute()
    {
        startStandIns();
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            startProcess(m_nodes[index], index);
        bool const isReady = co_await waitForNodes();
        if (!isReady) {
            addViolation("the nodes did not become ready");
            co_return false;
        }
        m_startedAt = m_runtime.now();
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            for (std::size_t client = 0; client < m_options.clientsPerNode; ++client)
                m_runtime.spawn(runClient(index, ClientKind::Mixed));
            for (std::size_t client = 0; client < longClientsPerNode; ++client)
                m_runtime.spawn(runClient(index, ClientKind::LongStreams));
        }
        for (auto const& fault : m_faults)
            m_runtime.spawn(injectFault(fault));
        co_await m_runtime.sleepUntil(m_startedAt + m_options.length);
        while (m_activeFaults > 0)
            co_await m_runtime.sleepFor(10ms);
        co_await checkRecovery();
        m_stopsClients = true;
        while (m_activeClients > 0)
            co_await m_runtime.sleepFor(10ms);
        co_await stopNodes();
        checkExecutions();
        checkBudgets();
        for (auto const& violation : findDutyViolations(m_duties.calls(), leaseTime))
            addViolation(violation);
        co_return true;
    }

    void startStandIns()
    {
        Core::Error error;
        auto const store = m_store.start();
        for (std::size_t index = 0; index < m_options.servers; ++index) {
            Backend backend;
            backend.server = std::make_unique<SoakServer>(m_runtime, m_executionLog, "s" + std::to_string(index) + "-1");
            backend.proxy = std::make_unique<StandIns::ProxyPair>(m_runtime, backend.server->start(error).value());
            backend.endpoint = backend.proxy->listen({ "127.0.0.1", 0 }, error).value();
            m_backends.push_back(std::move(backend));
            publishServer(index, "ready");
        }
        publishConfiguration();
        // Concurrent runs use different addresses.
        static constexpr unsigned networkCount = 250;
        auto const addressPrefix = "127." + std::to_string(1 + static_cast<unsigned>(getpid()) % networkCount) + "." + std::to_string(m_options.seed % networkCount) + ".";
        for (std::size_t index = 0; index < m_options.nodes; ++index) {
            auto& node = m_nodes.emplace_back();
            node.address = addressPrefix + std::to_string(index + 1);
            node.storeProxy = std::make_unique<StandIns::ProxyPair>(m_runtime, store);
            node.storeEndpoint = node.storeProxy->listen({ "127.0.0.1", 0 }, error).value();
            node.dutyEndpoint = m_duties.addNode();
        }
    }

    void startProcess(Node& node, std::size_t index)
    {
        auto const endpointAt = [&](std::uint16_t port) { return node.address + ":" + std::to_string(port); };
        static constexpr std::uint64_t longestUsageWindowSeconds = 5;
        std::string seeds;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            seeds += (i == 0 ? "" : ",") + m_nodes[i].address + ":" + std::to_string(peerPort);
        if (node.process)
            node.logs += node.process->log();
        node.process.emplace(std::vector<std::string> {
            HYSSOPSTEP_BINARY, "edge", "--node_id=n" + std::to_string(index), "--data_centre=" + std::string(1, static_cast<char>('a' + index % 2)),
            "--client_listen=" + endpointAt(clientPort), "--ready_listen=" + endpointAt(readyPort), "--metrics_listen=" + endpointAt(metricsPort),
            "--peer_address=" + node.address, "--peer_ports=" + std::to_string(peerPort) + "," + std::to_string(peerPort + 1),
            "--seeds=" + seeds, "--platform=" + node.storeEndpoint.toString(), std::string("--first_start=") + (node.startCount == 0 ? "true" : "false"),
            "--grace_s=" + std::to_string(gracePeriod.count()), "--retry_ratio=" + std::to_string(retryLimits.ratio), "--retry_slack=" + std::to_string(retryLimits.slack), "--retry_window_s=" + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(retryLimits.window).count()), "--cloud=" + node.dutyEndpoint.toString(),
            "--duties=usage_report,autoscale", "--lease_ms=" + std::to_string(leaseTime.count()),
            "--usage_window_s=" + std::to_string(1 + m_options.seed % longestUsageWindowSeconds) });
        ++node.startCount;
        node.startedAt = m_runtime.now();
        node.servedVersion = 0;
    }

    void publishServer(std::size_t index, std::string const& state)
    {
        auto& backend = m_backends[index];
        backend.publishedState = state;
        publish("servers", backend.server->id(), R"({"service":"app","address":")" + backend.endpoint.toString() + R"(","zone":"a","version":"v1","slots":6,"state":")" + state + R"(","seq":1,"born":)" + std::to_string(backend.starts) + "}");
    }

    void withdrawServer(std::size_t index)
    {
        m_backends[index].publishedState.clear();
        m_store.erase("servers", m_backends[index].server->id());
    }

    void publish(std::string const& kind, std::string const& name, std::string const& value)
    {
        auto const found = m_store.objects().objects.find({ kind, name });
        if (found == m_store.objects().objects.end() || found->second.value != value)
            m_store.put(kind, name, value);
    }

    // Each version adds one route and keeps those of the earlier versions.
    void publishConfiguration()
    {
        auto const publishedAt = m_versions.empty() ? 0ms : elapsed();
        m_versions.push_back(m_versions.empty() ? 1 : m_versions.back() + 2);
        m_publishedAt[m_versions.back()] = publishedAt;
        std::string routes;
        auto const addRoute = [&](std::string const& path, std::string const& kind, std::string const& options = {}) {
            routes += (routes.empty() ? "" : ",") + (R"({"name":")" + path + R"(","host":"h.example","path-prefix":"/)" + path + R"(/","kind":")" + kind + R"(","timeout-ms":)" + (path == "long" ? "6000" : "3000") + R"(,"service":"app","max-attempts":)" + std::to_string(maxAttempts) + options + "}");
        };
        addRoute("safe", "safe");
        addRoute("unsafe", "unsafe");
        addRoute("stream", "streaming");
        addRoute("long", "streaming");
        addRoute("resume", "streaming", R"(,"resumable":true)");
        for (auto const version : m_versions)
            addRoute("v" + std::to_string(version), "safe");
        m_configuration = R"({"version":)" + std::to_string(m_versions.back()) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"app","scale":{"min":1,"max":6,"boot-s":0,"spot-price":0.2,"zone-prices":{"a":1}}}],"tenants":[{"name":"team","api-keys":["k1"]}]})";
        publish("config", "main", m_configuration);
    }

    Core::Awaitable<bool> waitForNodes()
    {
        auto const deadline = m_loop.deadline();
        for (auto const& node : m_nodes) {
            bool isReady = false;
            while (!isReady && m_runtime.now() < deadline) {
                Core::Error error;
                HTTP::Request request { "GET", "/hyssopstep/ready", {}, {} };
                Core::Endpoint endpoint { node.address, readyPort };
                auto const response = co_await m_client.send(std::move(endpoint), std::move(request), HTTP::ConnectionUse::NewConnection, m_runtime.now() + 1s, error);
                isReady = response && response->status == 200;
                if (!isReady)
                    co_await m_runtime.sleepFor(20ms);
            }
            if (!isReady)
                co_return false;
        }
        co_return true;
    }

    Core::Awaitable<ClientResponse> send(Node const& node, std::string const& path, std::string const& id, Core::Error& error)
    {
        bool const isLong = path.starts_with("/long/");
        auto const timeLeft = isLong ? longClientDeadline : clientDeadline;
        m_sentRequests.push_back({ id, m_runtime.now(), timeLeft });
        HTTP::Request request { "GET", path, { { "Host", "h.example" }, { "Authorization", "Token k1" }, { "X-Hyssopstep-Deadline-Ms", std::to_string(timeLeft.count()) }, { "X-Hyssopstep-Attempt-Id", id } }, {} };
        Core::Endpoint endpoint { node.address, clientPort };
        auto const deadline = m_runtime.now() + (isLong ? longClientTimeout : clientTimeout);
        ClientResponse response;
        auto const stream = co_await m_client.openStream(std::move(endpoint), std::move(request), HTTP::ConnectionUse::PooledNoRetry, deadline, error);
        if (!stream)
            co_return response;
        response.status = stream->status();
        if (stream->headers().find("X-Hyssopstep-Attempt-Id").value_or(id) != id)
            addViolation(id + " got the response to another request");
        while (auto chunk = co_await stream->readSome(deadline, error)) {
            if (chunk->empty()) {
                response.isComplete = true;
                break;
            }
            response.body += *chunk;
        }
        co_return response;
    }

    Core::Awaitable<void> runClient(std::size_t index, ClientKind kind)
    {
        static constexpr std::array<std::string_view, 5> paths { "/safe/", "/unsafe/", "/stream/", "/resume/", "/v" };
        static constexpr Core::Duration delayAfterFailure = 20ms;
        ++m_activeClients;
        auto& node = m_nodes[index];
        while (!m_stopsClients) {
            auto const startCount = node.startCount;
            auto const version = m_versions[m_random.below(m_versions.size())];
            auto path = std::string(kind == ClientKind::LongStreams ? "/long/" : paths.at(m_random.below(paths.size())));
            bool const isVersionRequest = path == "/v";
            path += isVersionRequest ? std::to_string(version) + "/x" : "x";
            auto const id = std::to_string(m_options.seed) + "-" + std::to_string(++m_result.requests);
            if (!path.starts_with("/unsafe/") && !path.starts_with("/stream/") && !path.starts_with("/long/"))
                m_retryable.insert(id);
            auto const sentAt = elapsed();
            auto const servedVersionBefore = node.servedVersion;
            Core::Error error;
            auto const response = co_await send(node, path, id, error);
            checkResponse(node, id, path, response, sentAt);
            if (isVersionRequest && startCount == node.startCount) {
                if (response.status == 200)
                    node.servedVersion = std::max(node.servedVersion, version);
                else if (response.status == 404 && version <= servedVersionBefore)
                    addViolation("n" + std::to_string(index) + " refused a route of version " + std::to_string(version) + " after it had served " + std::to_string(servedVersionBefore));
                else if (response.status == 404 && isOverdue(node, version, sentAt))
                    addViolation("n" + std::to_string(index) + " refused a route of version " + std::to_string(version) + " that had been published at " + std::to_string(m_publishedAt.at(version).count()) + " ms");
            }
            co_await m_runtime.sleepFor(response.isComplete && response.status == 200 ? Core::Duration(2ms) : delayAfterFailure);
        }
        --m_activeClients;
    }

    // Whether a version must have been in force on a node when a request was sent, by the platform's time limit.
    [[nodiscard]] bool isOverdue(Node const& node, std::uint64_t version, milliseconds sentAt) const
    {
        static constexpr milliseconds timeLimit { 2000 };
        static constexpr milliseconds startTime { 3000 };
        bool const hasJustStarted = m_startedAt + sentAt < node.startedAt + startTime;
        return !hasJustStarted && sentAt > m_publishedAt.at(version) + timeLimit && hasNoUnplannedFault(m_faults, sentAt - timeLimit, elapsed());
    }

    void checkResponse(Node const& node, std::string const& id, std::string const& path, ClientResponse const& response, milliseconds sentAt)
    {
        bool const isRefusal = response.status == 429 || response.status == 503 || response.status == 408 || response.status == 421;
        if (isRefusal) {
            m_refused.insert(id);
            ++m_result.refused;
        } else if (response.status == 200 && response.isComplete) {
            ++m_result.answered;
            if (response.body != expectedBody(path, id))
                addViolation(id + " at " + path + " got a wrong body of " + std::to_string(response.body.size()) + " bytes in a complete response");
        } else {
            ++m_result.failed;
            // A request that no server executed may have been sent while the node closed the connection.
            if (m_executionLog.countExecutions(id) > 0 && hasNoUnplannedFault(m_faults, sentAt, elapsed()) && !isEndOfStop(node, id, sentAt))
                addViolation(id + " at " + path + " was executed but its response was lost during planned work; status " + std::to_string(response.status));
        }
    }

    // The platform excuses a lost response at the end of a planned stop, if the server was at work then on a request from the beginning
    // of the stop. A node takes requests for half of the grace period.
    [[nodiscard]] bool isEndOfStop(Node const& node, std::string const& id, milliseconds sentAt) const
    {
        static constexpr Core::Duration intakeTime = Core::Duration(gracePeriod) / 2;
        static constexpr Core::Duration lastPart = Core::Duration(gracePeriod) / 6;
        auto const lastPartStart = node.stoppedAt + gracePeriod - lastPart;
        auto const& executions = m_executionLog.executions.at(id);
        bool const wasAtWork = std::any_of(executions.begin(), executions.end(), [&](auto const& execution) { return !execution.finishedAt || *execution.finishedAt >= lastPartStart; });
        return wasAtWork && m_startedAt + sentAt <= node.stoppedAt + intakeTime && m_runtime.now() >= lastPartStart;
    }

    Core::Awaitable<void> injectFault(Fault fault)
    {
        ++m_activeFaults;
        co_await m_runtime.sleepUntil(m_startedAt + fault.startsAt - fault.copyAge);
        switch (fault.kind) {
        case FaultKind::StopNode:
        case FaultKind::KillNode:
        case FaultKind::PauseNode:
        case FaultKind::ReloadNode:
            co_await injectNodeFault(fault);
            break;
        case FaultKind::ChangeConfiguration:
            publishConfiguration();
            break;
        case FaultKind::RemoveServer:
            co_await removeServer(fault.target);
            break;
        case FaultKind::RefuseStoreCalls:
            beginStoreRefusal();
            co_await m_runtime.sleepFor(fault.duration);
            endStoreRefusal();
            break;
        case FaultKind::RestoreStore:
            co_await restoreStore(fault);
            break;
        case FaultKind::RefuseRequests:
            m_backends[fault.target].server->refuseUntil(m_runtime.now() + fault.duration);
            co_await m_runtime.sleepFor(fault.duration);
            break;
        case FaultKind::RejectRequests:
            for (auto& backend : m_backends)
                backend.server->rejectUntil(m_runtime.now() + fault.duration);
            co_await m_runtime.sleepFor(fault.duration);
            break;
        case FaultKind::DropStoreHistory:
            m_store.oldestRevision = UINT64_MAX;
            co_await m_runtime.sleepFor(fault.duration);
            m_store.oldestRevision = 0;
            break;
        default:
            co_await injectLinkFault(fault);
        }
        --m_activeFaults;
    }

    // While faults overlap, calls are refused until the last one ends.
    void beginStoreRefusal()
    {
        ++m_storeRefusals;
        m_store.forcedStatus = 503;
    }

    void endStoreRefusal()
    {
        if (--m_storeRefusals > 0)
            return;
        m_store.forcedStatus.reset();
        m_storeRefusedUntil = m_runtime.now();
    }

    Core::Awaitable<void> restoreStore(Fault fault)
    {
        auto const copy = m_store.objects();
        co_await m_runtime.sleepUntil(m_startedAt + fault.startsAt);
        beginStoreRefusal();
        m_store.cutWatches();
        co_await m_runtime.sleepFor(fault.duration);
        m_store.restore(copy);
        endStoreRefusal();
        co_await publishAgain();
    }

    // The operator and the servers, in turn, write what the store lacks, within two seconds altogether.
    Core::Awaitable<void> publishAgain()
    {
        static constexpr std::uint64_t maximumMilliseconds = 2000;
        auto const turns = m_backends.size() + 1;
        auto const operatorTurn = m_random.below(turns);
        for (std::size_t turn = 0; turn < turns; ++turn) {
            co_await m_runtime.sleepFor(milliseconds(m_random.below(maximumMilliseconds / turns)));
            if (turn == operatorTurn)
                publish("config", "main", m_configuration);
            else
                publishServerAgain(turn < operatorTurn ? turn : turn - 1);
        }
    }

    // Also removes the entries of the server's earlier starts.
    void publishServerAgain(std::size_t index)
    {
        auto const& backend = m_backends[index];
        for (auto start = backend.starts; start > 0; --start) {
            auto const id = "s" + std::to_string(index) + "-" + std::to_string(start);
            bool const isWanted = id == backend.server->id() && !backend.publishedState.empty();
            if (!isWanted && m_store.objects().objects.contains({ "servers", id }))
                m_store.erase("servers", id);
        }
        if (!backend.publishedState.empty())
            publishServer(index, backend.publishedState);
    }

    // The platform does not count calls that arrive until this long after a disturbance for the order of holders and of tokens.
    [[nodiscard]] bool isDutyCallExcused(std::size_t node) const
    {
        static constexpr Core::Duration settlingTime = 300ms;
        auto const disturbedUntil = std::max(m_nodes[node].disturbedUntil, m_storeRefusedUntil);
        return m_storeRefusals > 0 || (disturbedUntil != Core::MonotonicTime {} && m_runtime.now() - disturbedUntil <= settlingTime);
    }

    static StandIns::ProxyFaults proxyFaultsFor(FaultKind kind)
    {
        static constexpr std::uint64_t linkDelayMilliseconds = 300;
        StandIns::ProxyFaults faults;
        faults.cut = kind == FaultKind::CutStore || kind == FaultKind::CutServer;
        faults.freezeFromTarget = kind == FaultKind::SilenceStore || kind == FaultKind::SilenceServer;
        faults.freezeToTarget = kind == FaultKind::SilenceRequests;
        faults.delayMs = kind == FaultKind::DelayStore || kind == FaultKind::DelayServer ? linkDelayMilliseconds : 0;
        faults.dropAnswers = kind == FaultKind::LoseStoreAnswers ? 1 : 0;
        faults.truncateAfterBytes = kind == FaultKind::TruncateAnswers ? 100 : 0;
        return faults;
    }

    // A new fault on a link replaces the current one.
    Core::Awaitable<void> injectLinkFault(Fault fault)
    {
        bool const isStoreLink = fault.kind < FaultKind::CutServer;
        auto& proxy = isStoreLink ? *m_nodes[fault.target].storeProxy : *m_backends[fault.target].proxy;
        proxy.setFaults(proxyFaultsFor(fault.kind));
        co_await m_runtime.sleepFor(fault.duration);
        proxy.setFaults({});
        if (isStoreLink)
            m_nodes[fault.target].disturbedUntil = m_runtime.now();
    }

    Core::Awaitable<void> injectNodeFault(Fault fault)
    {
        static constexpr Core::Duration restartDelay = 300ms;
        auto& node = m_nodes[fault.target];
        // A process that is being stopped or is paused gets no further signals.
        if (node.isStoppedOrPaused)
            co_return;
        if (fault.kind == FaultKind::ReloadNode) {
            (void)node.process->sendSignal(SIGHUP);
            co_return;
        }
        node.isStoppedOrPaused = true;
        if (fault.kind == FaultKind::PauseNode) {
            (void)node.process->sendSignal(SIGSTOP);
            co_await m_runtime.sleepFor(fault.duration);
            (void)node.process->sendSignal(SIGCONT);
            node.disturbedUntil = m_runtime.now();
        } else {
            bool const isPlannedStop = fault.kind == FaultKind::StopNode;
            node.stoppedAt = isPlannedStop ? m_runtime.now() : node.stoppedAt;
            (void)node.process->sendSignal(isPlannedStop ? SIGTERM : SIGKILL);
            bool const hasExited = co_await waitUntilExited(node, gracePeriod + 1s);
            if (isPlannedStop && !hasExited)
                addViolation("n" + std::to_string(fault.target) + " did not stop within its grace period");
            else if (isPlannedStop && node.process->waitForExit() != 0 && hasStarted(node))
                addViolation("n" + std::to_string(fault.target) + " stopped with exit code " + std::to_string(node.process->waitForExit().value_or(0)));
            (void)node.process->sendSignal(SIGKILL);
            (void)co_await waitUntilExited(node, 1s);
            co_await m_runtime.sleepFor(restartDelay);
            startProcess(node, fault.target);
        }
        node.isStoppedOrPaused = false;
    }

    // A process that is stopped before it has started to serve may be ended by the signal, without exit code 0.
    static bool hasStarted(Node const& node) { return node.process->log().find("event=started") != std::string::npos; }

    Core::Awaitable<bool> waitUntilExited(Node& node, Core::Duration timeout)
    {
        auto const deadline = m_runtime.now() + timeout;
        while (node.process->isRunning() && m_runtime.now() < deadline)
            co_await m_runtime.sleepFor(10ms);
        co_return !node.process->isRunning();
    }

    Core::Awaitable<void> removeServer(std::size_t index)
    {
        // The platform allows requests to a leaving server until this long after the acknowledged change of its entry.
        static constexpr Core::Duration drainTimeout = 2s;
        static constexpr Core::Duration observationTime = 1s;
        auto& backend = m_backends[index];
        auto const leavingCount = std::count_if(m_backends.begin(), m_backends.end(), [](auto const& other) { return other.isLeaving; });
        if (backend.isLeaving || leavingCount + 2 > static_cast<std::ptrdiff_t>(m_backends.size()))
            co_return;
        backend.isLeaving = true;
        auto const id = backend.server->id();
        auto const leavingStartedAt = m_runtime.now();
        auto const leavingStart = elapsed();
        // Some servers announce that they are leaving, others are only removed.
        if (m_random.below(2) == 0)
            publishServer(index, "draining");
        else
            withdrawServer(index);
        co_await m_runtime.sleepFor(drainTimeout + observationTime);
        if (hasNoUnplannedFault(m_faults, leavingStart, elapsed()))
            checkNoLateRequests(id, leavingStartedAt + drainTimeout);
        withdrawServer(index);
        backend.server->restart("s" + std::to_string(index) + "-" + std::to_string(++backend.starts));
        publishServer(index, "ready");
        backend.isLeaving = false;
    }

    void checkNoLateRequests(std::string const& serverId, Core::MonotonicTime deadline)
    {
        auto const isAfterDeadline = [&](ExecutionLog::Execution const& execution) { return execution.serverId == serverId && execution.startedAt > deadline; };
        auto const count = std::count_if(m_executionLog.executions.begin(), m_executionLog.executions.end(), [&](auto const& entry) { return std::any_of(entry.second.begin(), entry.second.end(), isAfterDeadline); });
        if (count > 0)
            addViolation(std::to_string(count) + " requests reached " + serverId + " after its drain timeout");
    }

    // Every node must serve the newest configuration within the platform's time limit after the last fault.
    Core::Awaitable<void> checkRecovery()
    {
        static constexpr Core::Duration recoveryTimeout = 8s;
        auto const path = "/v" + std::to_string(m_versions.back()) + "/x";
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            bool isServed = false;
            auto const deadline = m_runtime.now() + recoveryTimeout;
            while (!isServed && m_runtime.now() < deadline) {
                auto const id = std::to_string(m_options.seed) + "-r" + std::to_string(++m_result.requests);
                m_retryable.insert(id);
                Core::Error error;
                auto const response = co_await send(m_nodes[index], path, id, error);
                isServed = response.status == 200;
                if (!isServed)
                    co_await m_runtime.sleepFor(50ms);
            }
            if (!isServed)
                addViolation("n" + std::to_string(index) + " does not serve the newest configuration after the last fault");
        }
    }

    Core::Awaitable<void> stopNodes()
    {
        for (auto& node : m_nodes)
            (void)node.process->sendSignal(SIGTERM);
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            bool const hasExited = co_await waitUntilExited(m_nodes[index], gracePeriod + 1s);
            if (!hasExited)
                addViolation("n" + std::to_string(index) + " did not stop at the end");
        }
    }

    void checkExecutions()
    {
        for (auto const& id : m_refused) {
            if (m_executionLog.countExecutions(id) > 0)
                addViolation(id + " was refused as not executed, but a server executed it");
        }
        for (auto const& [id, executions] : m_executionLog.executions) {
            if (executions.size() > 1 && !m_retryable.contains(id))
                addViolation(id + " must not be repeated but was executed " + std::to_string(executions.size()) + " times");
        }
    }

    // Whether one of some kinds of faults was active at a time or shortly before it.
    [[nodiscard]] bool wasAffected(std::initializer_list<FaultKind> kinds, Core::MonotonicTime time) const
    {
        static constexpr Core::Duration settlingTime = 500ms;
        return std::any_of(m_faults.begin(), m_faults.end(), [&](auto const& fault) {
            auto const startsAt = m_startedAt + fault.startsAt;
            return std::find(kinds.begin(), kinds.end(), fault.kind) != kinds.end() && startsAt <= time && time <= startsAt + fault.duration + settlingTime;
        });
    }

    // Servers that left or could not be reached do not count for the servers of a request.
    [[nodiscard]] bool isCountedServer(std::string const& id) const
    {
        auto const isAtServer = [&](Fault const& fault) {
            bool const endsOrCuts = fault.kind == FaultKind::RemoveServer || fault.kind == FaultKind::CutServer || fault.kind == FaultKind::SilenceServer || fault.kind == FaultKind::SilenceRequests;
            return endsOrCuts && id.starts_with("s" + std::to_string(fault.target) + "-");
        };
        return std::none_of(m_faults.begin(), m_faults.end(), isAtServer);
    }

    void checkBudgets()
    {
        auto arrivals = m_executionLog.arrivals;
        std::set<std::string> arrivedIds;
        m_result.repeats = static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](auto const& arrival) { return !arrivedIds.insert(arrival.requestId).second; }));
        for (auto& arrival : arrivals)
            arrival.isHeldUp = wasAffected({ FaultKind::PauseNode, FaultKind::DelayServer, FaultKind::SilenceRequests }, arrival.arrivedAt);
        std::map<std::string, std::set<std::string>> serversOfRequest;
        for (auto const& [id, executions] : m_executionLog.executions) {
            for (auto const& execution : executions) {
                if (isCountedServer(execution.serverId))
                    serversOfRequest[id].insert(execution.serverId);
            }
        }
        auto violations = findRetryViolations(m_sentRequests, arrivals, retryLimits);
        auto const addAll = [&](std::vector<std::string> const& others) { violations.insert(violations.end(), others.begin(), others.end()); };
        addAll(findDeadlineViolations(m_sentRequests, arrivals));
        addAll(findAttemptViolations(serversOfRequest, maxAttempts));
        if (m_nodes.size() == 1)
            addAll(findRetryAfterViolations(arrivals, disturbances()));
        for (auto const& violation : violations)
            addViolation(violation);
    }

    // What excuses a node that sends requests to a server in the pause that it asked for.
    [[nodiscard]] std::vector<Disturbance> disturbances() const
    {
        std::vector<Disturbance> result;
        for (auto const& fault : m_faults) {
            auto const startsAt = m_startedAt + fault.startsAt;
            if (fault.kind == FaultKind::KillNode || fault.kind == FaultKind::StopNode)
                result.push_back({ startsAt, startsAt + gracePeriod + 1s });
            else if (fault.kind == FaultKind::PauseNode || (fault.kind >= FaultKind::CutServer && fault.kind <= FaultKind::TruncateAnswers))
                result.push_back({ startsAt, startsAt + fault.duration });
        }
        return result;
    }

    void collectLogs()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            m_result.logs += "n" + std::to_string(index) + ":\n" + m_nodes[index].logs + m_nodes[index].process->log();
    }

    SoakOptions m_options;
    std::vector<Fault> m_faults;
    Core::Random m_random;
    TestSupport::EventLoop m_loop;
    Core::Runtime& m_runtime;
    StandIns::StoreStandIn m_store;
    HTTP::Client m_client;
    DutyRecord m_duties;
    ExecutionLog m_executionLog;
    std::vector<SentRequest> m_sentRequests;
    std::vector<Backend> m_backends;
    std::vector<Node> m_nodes;
    std::vector<std::uint64_t> m_versions;
    std::map<std::uint64_t, milliseconds> m_publishedAt;
    std::string m_configuration;
    std::set<std::string> m_refused;
    std::set<std::string> m_retryable;
    std::size_t m_activeClients { 0 };
    std::size_t m_activeFaults { 0 };
    std::size_t m_storeRefusals { 0 };
    Core::MonotonicTime m_storeRefusedUntil {};
    bool m_stopsClients { false };
    Core::MonotonicTime m_startedAt {};
    SoakResult m_result;
};

}

SoakResult runSoak(SoakOptions const& options)
{
    return SoakRun(options).run();
}

}
