#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/Server.h>
#include <Node/DecisionLog.h>
#include <Node/IntentForwarder.h>
#include <Node/NodeTables.h>

namespace Node {

/// One call of a plain service, that is, one that is not a model.
struct ServiceCall {
    std::string requestId;
    std::string team;
    std::string service;
    Configuration::Idempotency idempotency { Configuration::Idempotency::NonIdempotent };
    /// Empty if the client sent none.
    std::string idempotencyKey;
    /// Method, path relative to the service, client headers and body.
    HTTP::Request request;
    Core::MonotonicTime deadline;

    bool operator==(ServiceCall const&) const = default;
};

/// Forwards calls to plain services. Idempotent calls are retried within the retry budget; others run at most once, which
/// recorded intents ensure. Used from the runtime's thread only.
class ServiceProxy {
public:
    /// Precondition: all references outlive the proxy, which outlives its tasks.
    ServiceProxy(Core::Runtime&, HTTP::Client&, IntentForwarder&, NodeTables&, DecisionLog&, Core::Random&, Core::Metrics&, std::string nodeId, std::string dataCentre);

    /// Returns the backend server's response. The run state of an error tells whether the call may have run.
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> call(ServiceCall, Core::Error&);

private:
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> callAtMostOnce(ServiceCall, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> callWithRetries(ServiceCall, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> runTicket(ServiceCall const&, Intent::IntentTicket, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> attempt(ServiceCall const&, std::vector<std::string>& failedServers, HTTP::ConnectionUse, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> record(Intent::IntentTicket, HTTP::Response);
    [[nodiscard]] Core::Awaitable<void> release(Intent::IntentTicket);
    [[nodiscard]] Core::Awaitable<void> abandon(Intent::IntentTicket);

    Core::Runtime& m_runtime;
    HTTP::Client& m_client;
    IntentForwarder& m_intents;
    NodeTables& m_tables;
    DecisionLog& m_decisions;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    std::string m_nodeId;
    std::string m_dataCentre;
};

}
