#pragma once

#include <Edge/ForwarderDependencies.h>

namespace Edge {

/// Returns where a request would go now, and why, as JSON; nothing is sent. The query of the target has `host`, `path`, and optionally
/// `prompt` ("ID:TOKENS,ID:TOKENS", the last part being the request's own). Fails with NotReady, NotFound or InvalidRequest.
[[nodiscard]] std::optional<std::string> explainPlacement(EdgeTables const&, EdgeSettings const&, HTTP::Request const&, Core::MonotonicTime now, Core::Error&);

}
