#pragma once

#include <Edge/ForwarderDependencies.h>
#include <Edge/RequestContext.h>

namespace Edge {

/// Whether the requests of a service are subject to admission control.
[[nodiscard]] bool isAdmissionControlled(EdgeSettings const&, Forward::RouteTable const&, std::string_view service);

/// Decides by the load of the service's servers whether a request is sent to them; see Admission::decideAdmission(). Returns false with the
/// error if it is refused. Admits all requests of services without admission control.
/// Precondition: the route, service and deadline of the request are known.
[[nodiscard]] bool admitUnderLoad(ForwarderDependencies const&, RequestContext&, Core::Error&);

/// Waits until a server of the service has room for an admitted request that found none, for at most a small part of its latency objective.
/// Returns early if the client disconnects. Requests that need not wait are not delayed.
[[nodiscard]] Core::Awaitable<void> waitForRoom(ForwarderDependencies const&, RequestContext const&);

/// Records the first attempt at a server, its first event, and the end of the request, in the delays of the service. They have no effect on
/// requests that are not subject to admission control.
void recordSent(EdgeTables&, RequestContext&, Core::MonotonicTime now);
void recordFirstEvent(EdgeTables&, RequestContext const&, Attempt const&, Core::MonotonicTime now);
void recordEnd(EdgeTables&, RequestContext const&, Core::MonotonicTime now);

/// Updates the usual load of the services, the demand of the teams and the metrics, at each tick.
void updateAdmission(EdgeTables&, EdgeSettings const&, Core::Metrics&, Core::MonotonicTime now);

}
