#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibHTTP/Server.h>
#include <LibStream/StreamReplicator.h>
#include <Node/ModelRunner.h>
#include <Node/NodeTables.h>
#include <Node/ServiceProxy.h>
#include <Node/StreamTakeOver.h>
#include <functional>

namespace Node {

/// Returns the fraction of a team's limit that this node may admit, computed from the node table and the peers' usage.
using LimitFractionSource = std::function<double(std::string const& team)>;

/// The load shedding policy for models whose queue is too long.
enum class Shedding {
    /// Teams above their share are refused first.
    ByShare,
    /// A long queue only causes refusals of requests whose deadline cannot be met; a baseline for measurements.
    Off,
};

/// The HTTP handler of the client port: authentication, admission, and the responses to clients (docs/clients.md). Used from
/// the runtime's thread only.
class Gateway {
public:
    struct Dependencies {
        Core::Runtime& runtime;
        NodeTables& tables;
        Stream::StreamTable& streams;
        Stream::StreamReplicator& replicator;
        StreamTakeOver& takeOver;
        ModelRunner& runner;
        ServiceProxy& services;
        DecisionLog& decisions;
        Core::Random& random;
        Core::Metrics& metrics;
        LimitFractionSource limitFraction;
        std::function<bool(Limits::RequestFingerprint)> isQuarantinedByPeers;
        std::string nodeId;
        std::string dataCentre;
        Shedding shedding { Shedding::ByShare };
    };

    /// Precondition: all references outlive the gateway, which outlives the server that calls it.
    explicit Gateway(Dependencies);

    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

private:
    /// A request that passed the checks common to all client calls.
    struct Admission {
        std::string requestId;
        Configuration::Team const* team { nullptr };
        Core::MonotonicTime deadline;
        std::chrono::milliseconds timeout {};
    };

    [[nodiscard]] Core::Awaitable<void> serveModel(ModelInterface, HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> serveService(HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> continueRequest(HTTP::Request const&, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<bool> acceptModel(ModelRequest const&, Admission const&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> respond(std::string requestId, ResponseMode, Stream::StreamPosition from, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> streamResponse(std::string requestId, ModelRequest, Stream::StreamPosition from, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> sendBufferedResponse(std::string requestId, ModelRequest, HTTP::ResponseWriter&);
    [[nodiscard]] Core::Awaitable<void> refuse(HTTP::ResponseWriter&, Core::Error, std::string requestId);
    [[nodiscard]] std::optional<Admission> authenticate(HTTP::Request const&, std::string_view service, Core::Error&) const;
    [[nodiscard]] bool checkReady(Core::Error&) const;
    [[nodiscard]] bool checkDeadline(ModelRequest const&, Admission const&, std::uint32_t expectedTokens, Core::Error&) const;
    [[nodiscard]] bool checkOverload(ModelRequest const&, Configuration::Team const&, double work, Core::Error&);
    [[nodiscard]] std::string requestIdFor(HTTP::Request const&, std::string const& team);

    Dependencies m_dependencies;
};

}
