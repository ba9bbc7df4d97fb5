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

/// What the operator endpoint needs of the node. All callbacks are required and called on the runtime's thread; everything
/// must outlive the endpoint.
struct OperatorDependencies {
    Core::Runtime& runtime;
    Core::Metrics& metrics;
    Configuration::ConfigurationStore& store;
    /// The applied state this node has in force; null before the first one. Valid until the callback's caller suspends.
    std::function<Configuration::AppliedState const*()> currentState;
    /// Called with a state that was written to the object API, so that the node need not wait for the watch. The receiver
    /// ignores a state that is not newer than its own.
    std::function<void(Configuration::AppliedState const&)> applyState;
    /// The body of `GET /operator/status`.
    std::function<boost::json::value()> status;
    /// What is known of one request; empty if nothing is.
    std::function<std::optional<boost::json::value>(std::string const& requestId)> explain;
    /// Begins the graceful shutdown, and returns what is left to do. Repeated calls are harmless.
    std::function<boost::json::value()> drain;
    /// An object whose field "ready" is a truth value, with the reasons beside it.
    std::function<boost::json::value()> readiness;
    /// SHA-256 of the operator key in lower-case hexadecimal; empty if no key is required.
    std::string operatorKeyDigest;
};

/// The HTTP handler of the operator port (docs/operators.md). With an operator key, everything but health, readiness and
/// metrics needs `Authorization: Bearer`. Used on the runtime's thread only; must outlive the server that calls it.
class OperatorEndpoint {
public:
    explicit OperatorEndpoint(OperatorDependencies);

    /// Answers one request of the operator port.
    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    /// How long a call may wait for the object API.
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

    /// The applied state from the object API, or this node's own while that cannot be reached.
    struct StateWithSource {
        Configuration::AppliedState state;
        std::string_view source;
    };
    [[nodiscard]] Core::Awaitable<std::optional<StateWithSource>> readStateWithSource(Core::Error&);

    OperatorDependencies m_dependencies;
};

}
