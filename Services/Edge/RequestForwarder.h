#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibForward/AttemptPolicy.h>
#include <LibForward/EventSplitter.h>
#include <LibForward/RequestCodec.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/Server.h>

namespace Edge {

/// Accepts client requests, forwards them to backend servers and returns the responses unchanged. Used from the runtime's
/// thread only.
class RequestForwarder {
public:
    struct Dependencies {
        Core::Runtime& runtime;
        HTTP::Client& client;
        Forward::RequestCodec const& codec;
        EdgeTables& tables;
        EdgeSettings const& settings;
        Core::Random& random;
        Core::Metrics& metrics;
        std::uint64_t incarnation { 0 };
        Core::MonotonicTime startedAt;
    };

    /// Precondition: all references outlive the forwarder, which outlives the server that calls it.
    explicit RequestForwarder(Dependencies);

    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);

    /// Cancels the requests in progress. Started streams are aborted; other requests get an error response that states
    /// whether they may have been executed.
    void cancelAll();

    [[nodiscard]] std::size_t requestsInProgress() const { return m_active.size(); }

private:
    /// State of one client request.
    struct RequestContext;
    /// State of one attempt at a backend server.
    struct Attempt;
    /// Registers a request as in progress until the end of the scope, on each way out.
    class RegistrationScope;

    [[nodiscard]] Core::Awaitable<void> waitUntilUsable();
    [[nodiscard]] bool admit(RequestContext&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> run(RequestContext&);
    /// Chooses a server that was not tried yet. Fails with NoServerAvailable.
    [[nodiscard]] std::optional<Routing::Placement> place(RequestContext const&, Core::Error&);
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> attempt(RequestContext&, Core::Error&);
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> forwardStream(RequestContext&, Attempt&, Core::Error&);
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> readResponse(RequestContext&, Attempt&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> finish(RequestContext&, Forward::AttemptOutcome, Core::Error);
    [[nodiscard]] Core::Awaitable<void> refuse(RequestContext&, Core::Error);
    /// Whether the stream of an attempt may end without an event.
    [[nodiscard]] static bool mayBeEmpty(RequestContext const&, Attempt const&);
    /// Reads the stream of the stalled attempt further. Precondition: there is one.
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> resumeStalled(RequestContext&, Core::Error&);
    [[nodiscard]] Core::Awaitable<void> conclude(RequestContext&, std::unique_ptr<Attempt>, Forward::AttemptOutcome, Core::Error const&);
    /// Whether to send the request to a further server after an attempt.
    [[nodiscard]] bool shouldRetry(RequestContext&, Forward::AttemptOutcome);
    /// Whether the stream may continue at another server if its server stalls.
    [[nodiscard]] static bool mayContinueElsewhere(RequestContext const&);
    /// Sets how many bytes of responses are held in memory for a request. Returns false, without an effect, if they are too many for one request or
    /// together with those of the others.
    [[nodiscard]] bool holdBytes(RequestContext&, std::size_t bytes);
    [[nodiscard]] bool chargeRetryBudget(RequestContext&);
    [[nodiscard]] Forward::AttemptHistory attemptHistory(RequestContext const&) const;
    /// Refuses a request that crashes servers by itself or by a part of its prompt. Returns whether it was refused, with the error set.
    [[nodiscard]] bool isRefusedAsCrashCause(RequestContext const&, Core::Error&) const;
    [[nodiscard]] Core::Awaitable<void> recordCrashIfServerIsGone(RequestContext const&, Attempt const&);
    void recordSuspects(RequestContext const&, std::string const& serverId, Core::MonotonicTime crashedAt);
    void recordSound(RequestContext const&);
    void recordRequestStart(RequestContext&);
    /// Precondition: the answer has the id of the request.
    void recordWhoAnswered(Attempt const&);
    /// Takes a server out of use that states in a response that it is leaving. Precondition: the answer has the id of the request.
    void recordLeavingServer(RequestContext const&, Attempt const&);
    /// Sends a server that turned a request away no further ones for the time that it asks for. Precondition: the answer has the id of the request.
    void recordPausedServer(RequestContext const&, Attempt const&);
    void recordOutcome(RequestContext&, Attempt const&, Forward::AttemptOutcome);
    void logRequest(RequestContext const&) const;

    Dependencies m_dependencies;
    std::set<RequestContext*> m_active;
    /// Bytes of response bodies and incomplete events that are held in memory.
    std::size_t m_bufferedBytes { 0 };
};

}
