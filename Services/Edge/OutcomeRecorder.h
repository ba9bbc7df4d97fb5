#pragma once

#include <Edge/ForwarderDependencies.h>
#include <Edge/RequestContext.h>
#include <LibForward/AttemptPolicy.h>

namespace Edge {

/// Records in the tables what the attempts of requests show about servers, requests and prompts. Invariant: it never changes a request or
/// its response. Used from the runtime's thread only.
class OutcomeRecorder {
public:
    /// Precondition: the references in the dependencies outlive this object.
    explicit OutcomeRecorder(ForwarderDependencies const& dependencies)
        : m_dependencies(dependencies)
    {
    }

    /// Counts the request in the usage of its team, once.
    void recordRequestStart(RequestContext&);
    /// Precondition: the event is the request's first.
    void recordFirstEvent(RequestContext const&, Attempt const&);
    void recordOutcome(RequestContext&, Attempt const&, Forward::AttemptOutcome);
    /// Precondition: the answer has the id of the request.
    void recordWhoAnswered(Attempt const&);
    /// Takes a server out of use that states in a response that it is leaving. Precondition: the answer has the id of the request.
    void recordLeavingServer(RequestContext const&, Attempt const&);
    /// Sends a server that turned a request away no further ones for the time that it asks for. Precondition: the answer has the id of the request.
    void recordPausedServer(RequestContext const&, Attempt const&);
    [[nodiscard]] Core::Awaitable<void> recordCrashIfServerIsGone(RequestContext const&, Attempt const&);
    /// Clears the request and its prompt of having crashed servers.
    void recordSound(RequestContext const&);

private:
    /// Counts the response in the evidence on a version under evaluation.
    void recordRollout(RequestContext const&, Attempt const&, Forward::AttemptOutcome);
    void recordSuspects(RequestContext const&, std::string const& serverId, Core::MonotonicTime crashedAt);

    ForwarderDependencies const& m_dependencies;
};

}
