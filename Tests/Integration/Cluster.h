#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/ServerSentEvents.h>
#include <Support/BlockingCall.h>
#include <Support/ChildProcess.h>
#include <Support/StandInSwitches.h>
#include <Support/WaitUntil.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Integration {

/// The key of the team "classroom" in testState().
inline constexpr std::string_view classroomKey = "classroom-key";

/// How the nodes of different data centres reach each other.
enum class PeerLinks {
    Direct,
    /// Through a fault proxy, so that the data centres can be cut from each other.
    ThroughProxy,
};

struct ClusterOptions {
    unsigned dataCentres { 2 };
    unsigned nodesPerDataCentre { 2 };
    unsigned enginesPerDataCentre { 2 };
    unsigned servicesPerDataCentre { 1 };
    std::vector<std::string> engineFlags {};
    std::vector<std::string> serviceFlags {};
    std::vector<std::string> nodeFlags {};
    PeerLinks peerLinks { PeerLinks::Direct };
};

/// An attempt at a request as an engine recorded it.
struct EngineAttempt {
    std::size_t engine { 0 };
    std::string outcome;
    std::uint64_t computed { 0 };
    std::uint64_t prefilled { 0 };
    std::uint64_t resumedFrom { 0 };
    std::int64_t startedAtMs { 0 };
    std::string firstToken;
};

/// A backend server or node of the cluster. Several servers share one process.
struct ClusterServer {
    std::string id;
    Core::Endpoint endpoint;
    std::string dataCentre;
};

struct ClusterNode {
    std::string id;
    std::string dataCentre;
    std::unique_ptr<TestSupport::ChildProcess> process;
    Core::Endpoint clientEndpoint;
    Core::Endpoint operatorEndpoint;
    Core::Endpoint peerEndpoint;
};

/// Two services (the model "advisor" and the plain "storefront" with the operations refund and stock) and one team.
[[nodiscard]] Configuration::DesiredState testState();

/// Real processes: a platform, engines, plain services and nodes in several data centres. Nodes reach the platform through a
/// fault proxy, one pair for each data centre. Throws if a process does not start.
class Cluster {
public:
    explicit Cluster(ClusterOptions = {});

    /// Applies testState() through a node and waits until it is in force and all servers are known everywhere.
    void start();

    /// Sends an apply to a node's operator port and returns the response.
    HTTP::Response apply(ClusterNode const&, Configuration::DesiredState const&, std::uint64_t basedOnGeneration, std::string applyId);

    /// Starts one more node and waits until it listens.
    ClusterNode& addNode(std::string id, std::string dataCentre);

    [[nodiscard]] std::vector<std::unique_ptr<ClusterNode>>& nodes() { return m_nodes; }
    [[nodiscard]] ClusterNode& node(std::size_t index) { return *m_nodes.at(index); }
    [[nodiscard]] std::vector<ClusterServer> const& engines() const { return m_engines; }
    [[nodiscard]] std::vector<ClusterServer> const& services() const { return m_services; }
    [[nodiscard]] TestSupport::PlatformSwitches const& platform() const { return *m_platformSwitches; }
    /// Pair n stands between the nodes of data centre n and the platform.
    [[nodiscard]] TestSupport::ProxySwitches const& platformProxy() const { return *m_proxySwitches; }

    /// Cuts all data centres from each other, or joins them. Precondition: PeerLinks::ThroughProxy.
    void setPeerFaults(TestSupport::ProxyFaults const& faults) const { m_peerProxySwitches->setFaults(faults); }

    /// Sets the fault switches of one engine, or of all.
    void setEngineFaults(boost::json::object const&, std::optional<std::size_t> engine = {}) const;

    /// The attempts of a request, or of all requests if it is empty, in the order of their start.
    [[nodiscard]] std::vector<EngineAttempt> attemptsOf(std::string const& requestId) const;

    /// The sum of an entry of the engines' `totals`.
    [[nodiscard]] std::uint64_t engineTotal(std::string const& name) const;

    /// The liveness of a node as another sees it; empty if it cannot be asked or does not know the node.
    [[nodiscard]] std::string livenessOf(ClusterNode const& observer, std::string const& nodeId);

    /// Client endpoints of the nodes, without one of them.
    [[nodiscard]] std::vector<Core::Endpoint> clientEndpointsExcept(ClusterNode const*) const;

    /// `GET /operator/status` of a node; null if it cannot be reached.
    [[nodiscard]] boost::json::value status(ClusterNode const&);

    /// The executions that all plain services recorded for one key.
    [[nodiscard]] std::size_t executionsOf(std::string const& idempotencyKey) const;

    /// The log of every node whose process was started, for failed tests.
    [[nodiscard]] std::string nodeLogs() const;

private:
    void startBackends(unsigned dataCentre);
    void registerHosts();
    void reservePeerPorts();

    ClusterOptions m_options;
    /// Bound so that no other process gets the port before the node listens on it.
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> m_reservedPorts;
    std::vector<Core::Endpoint> m_peerEndpoints;
    std::unique_ptr<TestSupport::ChildProcess> m_peerProxy;
    std::unique_ptr<TestSupport::ProxySwitches> m_peerProxySwitches;
    std::unique_ptr<TestSupport::ChildProcess> m_platform;
    std::unique_ptr<TestSupport::ChildProcess> m_proxy;
    std::unique_ptr<TestSupport::PlatformSwitches> m_platformSwitches;
    std::unique_ptr<TestSupport::ProxySwitches> m_proxySwitches;
    std::vector<std::unique_ptr<TestSupport::ChildProcess>> m_backends;
    std::vector<ClusterServer> m_engines;
    std::vector<ClusterServer> m_services;
    std::vector<std::unique_ptr<ClusterNode>> m_nodes;
};

/// The data centre's name by its number, from 0.
[[nodiscard]] std::string dataCentreName(unsigned number);

/// A chat request of the team "classroom". The prompt decides the answer's length through a token `length=<n>`. With an
/// Idempotency-Key, a repeat joins the same answer.
[[nodiscard]] HTTP::Request chatRequest(std::string const& prompt, bool streamed, std::string const& key = "");

/// A refund with a key.
[[nodiscard]] HTTP::Request refundRequest(std::string const& key, std::string const& body = "{\"order\":1}");

/// A fresh UUIDv7 for an Idempotency-Key.
[[nodiscard]] std::string newKey();

/// Reads a streamed answer step by step, and continues it at other nodes as a client would.
class ResponseReader {
public:
    /// Sends the request. Sets error() if there is no streamed answer.
    ResponseReader(Core::Endpoint const&, HTTP::Request);

    /// A client that was told so far what the other was told, without a connection; the other keeps its own.
    explicit ResponseReader(ResponseReader const&);

    /// Reads until `count` tokens have been received in total, the answer has ended, or the connection has broken.
    void readTokens(std::size_t count);

    /// Reads to the end of the answer or of the connection.
    void readAll() { readTokens(static_cast<std::size_t>(-1)); }

    /// Continues after the last event at a node. Returns whether it gave a streamed answer.
    bool resumeAt(Core::Endpoint const&);

    /// Continues at the nodes in turn until the answer is complete or the bound has passed.
    void completeAt(std::vector<Core::Endpoint> const&, std::chrono::milliseconds bound = TestSupport::defaultTestTimeout);

    [[nodiscard]] std::vector<std::string> const& tokens() const { return m_tokens; }
    /// Whether the last event of the answer was received.
    [[nodiscard]] bool complete() const { return m_complete; }
    [[nodiscard]] std::string const& requestId() const { return m_requestId; }
    /// The problem details of a refusal or of an error event.
    [[nodiscard]] std::string const& error() const { return m_error; }
    [[nodiscard]] bool connected() const { return m_stream != nullptr; }

private:
    bool open(Core::Endpoint const&, HTTP::Request);
    void handleEvent(HTTP::ServerSentEvent const&);

    TestSupport::EventLoop m_loop;
    HTTP::Client m_client { m_loop.runtime(), {} };
    std::unique_ptr<HTTP::ResponseStream> m_stream;
    HTTP::ServerSentEventParser m_parser;
    std::vector<std::string> m_tokens;
    std::string m_lastEventId;
    std::string m_requestId;
    std::string m_error;
    bool m_complete { false };
};

}
