#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Metrics.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Server.h>
#include <boost/json/value.hpp>
#include <functional>
#include <gflags/gflags_declare.h>
#include <optional>
#include <string>

DECLARE_string(operator_key_digest);

namespace Node {

/// The interfaces of the node that the operator endpoint uses. All callbacks are required and are called on the runtime's
/// thread; all references must outlive the endpoint.
struct OperatorDependencies {
    Core::Runtime& runtime;
    Core::Metrics& metrics;
    Configuration::ConfigurationStore& store;
    /// Returns the state that this node currently applies; null before the first one. Valid until the caller suspends.
    std::function<Configuration::AppliedState const*()> currentState;
    /// Called with a state read from or written to the object API, so that the node need not wait for the watch. The callee
    /// ignores a state that is not newer than its own.
    std::function<void(Configuration::AppliedState const&)> applyState;
    /// Returns the body of `GET /operator/status`.
    std::function<boost::json::value()> status;
    /// Returns the decisions on one request; empty if there are none.
    std::function<std::optional<boost::json::value>(std::string const& requestId)> explain;
    /// Starts the graceful shutdown and returns the node's status, which shows the remaining work. May be called repeatedly.
    std::function<boost::json::value()> drain;
    /// Returns the body of `GET /readyz`: an object with the boolean field "ready" and, if false, the reason.
    std::function<boost::json::value()> readiness;
    /// SHA-256 of the operator key in lower-case hexadecimal; empty if no key is required.
    std::string operatorKeyDigest;
};

/// The HTTP handler of the operator port (docs/operators.md). If an operator key is configured, all paths except health,
/// readiness and metrics require `Authorization: Bearer`. Used on the runtime's thread only; must outlive the server that calls it.
class OperatorEndpoint {
public:
    explicit OperatorEndpoint(OperatorDependencies);

    /// Handles one request and sends the response.
    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    /// Timeout of calls to the object API.
    static constexpr Core::Duration storeTimeout = std::chrono::seconds(10);
    /// The largest `limit` of `GET /operator/audit`.
    static constexpr std::size_t maximumAuditLimit = 1000;

private:
    [[nodiscard]] Core::Awaitable<HTTP::Response> respond(HTTP::Request const&, Core::Endpoint const& peer);
    [[nodiscard]] Core::Awaitable<HTTP::Response> applyDesiredState(HTTP::Request const&, Core::Endpoint const& peer);
    [[nodiscard]] Core::Awaitable<HTTP::Response> showDesiredState();
    [[nodiscard]] Core::Awaitable<HTTP::Response> showAudit(HTTP::Request const&);
    [[nodiscard]] HTTP::Response explainRequest(HTTP::Request const&) const;
    [[nodiscard]] bool isAuthorized(HTTP::Request const&) const;

    /// The applied state from the object API, or this node's own while the object API is unavailable, and its source.
    struct StateWithSource {
        Configuration::AppliedState state;
        std::string_view source;
    };
    [[nodiscard]] Core::Awaitable<std::optional<StateWithSource>> readStateWithSource(Core::Error&);

    OperatorDependencies m_dependencies;
};

}
