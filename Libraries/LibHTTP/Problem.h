#pragma once

#include <LibCore/ErrorKind.h>
#include <LibHTTP/Message.h>
#include <string_view>

namespace HTTP {

/// Builds the problem details response (RFC 9457) for an error: `type`, `title`, `status`, `detail`, `kind`, `run_state` and
/// `request_id`, with a Retry-After header if retryAfterFor() returns a value. Thread safe.
[[nodiscard]] Response problemResponse(Core::Error const&, std::string_view requestId = {});

/// Parses kind, run state and detail of a problem details response. Empty if the body is not problem details. Thread safe.
[[nodiscard]] std::optional<Core::Error> parseProblem(Response const&);

}
