#pragma once

#include <LibCore/ErrorKind.h>
#include <LibHTTP/Message.h>
#include <string_view>

namespace HTTP {

/// Builds the problem details answer (RFC 9457) for a reason: `type`, `title`, `status`, `detail`, `kind`, `run_state` and
/// `request_id`, with a Retry-After header where the table of error kinds asks for one. Thread safe.
[[nodiscard]] Response problemResponse(Core::Error const&, std::string_view requestId = {});

/// Reads kind, run state and detail from a problem details answer. Empty if the body is not such an answer. Thread safe.
[[nodiscard]] std::optional<Core::Error> parseProblem(Response const&);

}
