#pragma once

#include <Edge/RequestAdmission.h>
#include <Edge/ResponseForwarder.h>
#include <LibForward/AttemptPolicy.h>
#include <set>

namespace Edge {

/// Accepts client requests, forwards them to backend servers and returns the responses unchanged. Decides on further attempts; RequestAdmission
/// decides whether a request is forwarded at all, ResponseForwarder reads the responses. Invariant: each request gets one response. Used from the
/// runtime's thread only.
class RequestForwarder {
public:
    using Dependencies = ForwarderDependencies;

    /// Precondition: all references outlive the forwarder, which outlives the server that calls it.
    explicit RequestForwarder(Dependencies);

    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    /// Whether the body of a request with this head is wanted.
    [[nodiscard]] HTTP::BodyDecision decideBody(HTTP::Request const& head) const { return m_admission.decideBody(head); }

    /// Cancels the requests in progress. Started streams are aborted; other requests get an error response that states
    /// whether they may have been executed.
    void cancelAll();

    [[nodiscard]] std::size_t requestsInProgress() const { return m_active.size(); }

private:
    /// Registers a request as in progress until the end of the scope, on each way out.
    class RegistrationScope;

    [[nodiscard]] Core::Awaitable<void> waitUntilUsable();
    [[nodiscard]] Core::Awaitable<void> run(RequestContext&);
    /// Chooses a server that was not tried yet. Fails with NoServerAvailable.
    [[nodiscard]] std::optional<Routing::Placement> place(RequestContext const&, Core::Error&);
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> attempt(RequestContext&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> finish(RequestContext&, Forward::AttemptOutcome, Core::Error);
    [[nodiscard]] Core::Awaitable<void> refuse(RequestContext&, Core::Error);
    /// Reads the stream of the stalled attempt further. Precondition: there is one.
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> resumeStalled(RequestContext&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> conclude(RequestContext&, std::unique_ptr<Attempt>, Forward::AttemptOutcome, Core::Error const&);
    /// Whether to send the request to a further server after an attempt.
    [[nodiscard]] bool shouldRetry(RequestContext&, Forward::AttemptOutcome);
    [[nodiscard]] bool chargeRetryBudget(RequestContext&);
    [[nodiscard]] Forward::AttemptHistory attemptHistory(RequestContext const&) const;

    Dependencies m_dependencies;
    RequestAdmission m_admission;
    OutcomeRecorder m_recorder;
    ResponseForwarder m_responses;
    std::set<RequestContext*> m_active;
};

}
