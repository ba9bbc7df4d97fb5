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

/// How the nodes of different data centres connect to each other.
enum class PeerLinks {
    Direct,
    /// Through a fault proxy, which can partition the data centres.
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

/// A configuration with two services (the model "advisor" and the plain "storefront" with the operations refund and stock) and
/// one team.
[[nodiscard]] Configuration::DesiredState testState();

/// Runs a platform stand-in, engines, plain services and nodes of several data centres as processes. Nodes reach the platform
/// through a fault proxy with one listener for each data centre. Throws if a process does not start.
class Cluster {
public:
    explicit Cluster(ClusterOptions = {});

    /// Applies testState() through a node and waits until it is in force and every node knows all servers.
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
    /// Proxy pair n connects the nodes of data centre n with the platform.
    [[nodiscard]] TestSupport::ProxySwitches const& platformProxy() const { return *m_proxySwitches; }

    /// Sets the faults of the links between the data centres. Precondition: PeerLinks::ThroughProxy.
    void setPeerFaults(TestSupport::ProxyFaults const& faults) const { m_peerProxySwitches->setFaults(faults); }

    /// Sets the fault switches of one engine, or of all.
    void setEngineFaults(boost::json::object const&, std::optional<std::size_t> engine = {}) const;

    /// Returns the attempts of a request, or of all requests if the id is empty, ordered by start time.
    [[nodiscard]] std::vector<EngineAttempt> attemptsOf(std::string const& requestId) const;

    /// Returns the sum of an entry of `totals` over all engines.
    [[nodiscard]] std::uint64_t engineTotal(std::string const& name) const;

    /// Returns the liveness that `observer` reports for a node; empty if the observer does not respond or does not know the node.
    [[nodiscard]] std::string livenessOf(ClusterNode const& observer, std::string const& nodeId);

    /// Returns the client endpoints of all nodes but `excluded`; null excludes none.
    [[nodiscard]] std::vector<Core::Endpoint> clientEndpointsExcept(ClusterNode const*) const;

    /// Returns the response to `GET /operator/status` of a node; null if the node cannot be reached.
    [[nodiscard]] boost::json::value status(ClusterNode const&);

    /// Counts the executions that all plain services recorded for a key.
    [[nodiscard]] std::size_t executionsOf(std::string const& idempotencyKey) const;

    /// Returns the logs of all nodes, for the output of failed tests.
    [[nodiscard]] std::string nodeLogs() const;

private:
    void startBackends(unsigned dataCentre);
    void registerHosts();
    void reservePeerPorts();

    ClusterOptions m_options;
    /// Bound sockets that keep other processes from taking a port before the node listens on it.
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

/// Returns the name of a data centre by its number, from 0.
[[nodiscard]] std::string dataCentreName(unsigned number);

/// Returns a chat request of the team "classroom". A token `length=<n>` in the prompt sets the length of the output. With an
/// Idempotency-Key, a repeated request receives the same output.
[[nodiscard]] HTTP::Request chatRequest(std::string const& prompt, bool streamed, std::string const& key = "");

/// Returns a refund request with an Idempotency-Key.
[[nodiscard]] HTTP::Request refundRequest(std::string const& key, std::string const& body = "{\"order\":1}");

/// Returns a new UUIDv7 for an Idempotency-Key.
[[nodiscard]] std::string newKey();

/// Reads a streamed response incrementally, and resumes it at other nodes as a client would.
class ResponseReader {
public:
    /// Sends the request. Sets error() if the response is not a stream.
    ResponseReader(Core::Endpoint const&, HTTP::Request);

    /// Copies what the other reader has received, but not its connection.
    explicit ResponseReader(ResponseReader const&);

    /// Reads until `count` tokens have been received in total, the response has ended, or the connection has failed.
    void readTokens(std::size_t count);

    /// Reads until the response or the connection ends.
    void readAll() { readTokens(static_cast<std::size_t>(-1)); }

    /// Resumes after the last event at a node. Returns whether the node responded with a stream.
    bool resumeAt(Core::Endpoint const&);

    /// Resumes at the nodes in turn until the response is complete or the bound has passed.
    void completeAt(std::vector<Core::Endpoint> const&, std::chrono::milliseconds bound = TestSupport::defaultTestTimeout);

    [[nodiscard]] std::vector<std::string> const& tokens() const { return m_tokens; }
    /// Whether the last event of the response has been received.
    [[nodiscard]] bool complete() const { return m_complete; }
    [[nodiscard]] std::string const& requestId() const { return m_requestId; }
    /// The problem details of an error response or error event, or the message of a connection error.
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
