#pragma once

#include <Edge/ForwarderDependencies.h>
#include <Edge/RequestContext.h>

namespace Edge {

/// Decides whether a request is forwarded at all: by its route, its key, the planned stop of the node, the crashes that it caused and the
/// limit of its team. Invariant: a request that it refuses has not been sent to any server. Used from the runtime's thread only.
class RequestAdmission {
public:
    /// Precondition: the references in the dependencies outlive this object.
    explicit RequestAdmission(ForwarderDependencies const& dependencies)
        : m_dependencies(dependencies)
    {
    }

    /// Fills in the route, team, service, deadline and prompt of the request. Returns false with the reason if the request is refused.
    [[nodiscard]] bool admit(RequestContext&, Core::Error&);

    /// Whether the body of a request with this head is wanted: not if it has no route or no team's key, so that it is refused without its body.
    [[nodiscard]] HTTP::BodyDecision decideBody(HTTP::Request const& head) const;

    /// Whether the request crashes servers by itself or by a part of its prompt, with the error set.
    [[nodiscard]] bool isRefusedAsCrashCause(RequestContext const&, Core::Error&) const;

private:
    ForwarderDependencies const& m_dependencies;
};

}
