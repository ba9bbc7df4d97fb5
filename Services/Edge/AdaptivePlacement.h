#pragma once

#include <Edge/ForwarderDependencies.h>
#include <Edge/RequestContext.h>
#include <optional>

namespace Edge {

/// Updates which services use adaptive placement, and what limits the caches of their servers. Called on each tick.
void updateAdaptiveServices(EdgeTables&, EdgeSettings const&, Core::MonotonicTime now);

/// Adds the depths of the prompt to a request, and returns what adaptive placement knows of the service; an empty optional if the service
/// doesn't use it. The result is valid until the tables change.
[[nodiscard]] std::optional<Routing::AdaptiveInputs> prepareAdaptivePlacement(EdgeTables const&, RequestContext const&, Routing::PlacementRequest&);

/// The same for a prompt that is no request's; also sets the hash and the length of the shared prefix, for every service.
[[nodiscard]] std::optional<Routing::AdaptiveInputs> prepareAdaptivePlacement(EdgeTables const&, std::vector<Forward::PromptPart> const&, Routing::PlacementRequest&);

/// Counts an attempt that is about to be sent.
void recordAdaptivePlacement(EdgeTables&, RequestContext const&, Core::MonotonicTime now);

/// Learns from the first event of a request.
void recordAdaptiveFirstEvent(ForwarderDependencies const&, RequestContext const&, Attempt const&);

/// Learns from a request that was answered.
void recordAdaptiveEnd(EdgeTables&, RequestContext const&, Attempt const&, Core::MonotonicTime now);

}
