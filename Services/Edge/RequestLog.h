#pragma once

#include <Edge/ForwarderDependencies.h>
#include <Edge/RequestContext.h>

namespace Edge {

/// Writes the log line of a request that has ended and updates its metrics. Used from the runtime's thread only.
void logRequest(ForwarderDependencies const&, RequestContext const&);

}
