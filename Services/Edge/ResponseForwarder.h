#pragma once

#include <Edge/OutcomeRecorder.h>

namespace Edge {

// A resumable stream without an event for this time is offered to another server, before its client times out. Clients wait at least
// two seconds for the next event; engines under load pause for some hundred milliseconds.
inline constexpr Core::Duration maximumEventGap = std::chrono::seconds(1);

/// Reads the responses of servers and passes streams on to the clients. Invariant: a client gets each event of its stream once and in order,
/// and no part of a response that is not complete. Used from the runtime's thread only.
class ResponseForwarder {
public:
    /// Precondition: the references in the dependencies, and the recorder, outlive this object.
    ResponseForwarder(ForwarderDependencies const& dependencies, OutcomeRecorder& recorder)
        : m_dependencies(dependencies)
        , m_recorder(recorder)
    {
    }

    /// Reads a response that is not a stream into the context.
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> readResponse(RequestContext&, Attempt&, Core::Error&);
    /// Passes the events of a stream on as they arrive.
    [[nodiscard]] Core::Awaitable<Forward::AttemptOutcome> forwardStream(RequestContext&, Attempt&, Core::Error&);
    /// Releases the bytes that are held for a request that ends.
    void release(RequestContext const& context) { m_eventBytes -= context.eventBytes; }

private:
    /// Sets how many bytes of incomplete events are held in memory for a request. Returns false, without an effect, if they are too many for one
    /// request or together with those of the others.
    [[nodiscard]] bool holdEvent(RequestContext&, std::size_t bytes);
    /// Holds the bytes expected of a response beside those of one that is kept. Waits for room if they are many. Returns false with the reason if the
    /// response is too long, or if there is no room in time.
    [[nodiscard]] static Core::Awaitable<bool> holdResponse(RequestContext&, Attempt&, std::size_t bytesOfKeptResponse, std::size_t expected, Core::Error&);
    /// Whether the stream may continue at another server if its server stalls.
    [[nodiscard]] static bool mayContinueElsewhere(RequestContext const&);
    /// Whether the stream of an attempt may end without an event.
    [[nodiscard]] static bool mayBeEmpty(RequestContext const&, Attempt const&);

    ForwarderDependencies const& m_dependencies;
    OutcomeRecorder& m_recorder;
    /// Bytes of incomplete events that are held in memory.
    std::size_t m_eventBytes { 0 };
};

}
