#include <LibCore/ErrorKind.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace Core {

using namespace std::chrono_literals;

static constexpr std::array errorResponseTable {
    ErrorResponse { ErrorKind::InvalidRequest, "invalid_request", 400, "The request is malformed", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::Unauthorized, "unauthorized", 401, "The team key is missing or unknown", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::Forbidden, "forbidden", 403, "The team may not use this resource", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::NotFound, "not_found", 404, "There is no such resource", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::MethodNotAllowed, "method_not_allowed", 405, "The method is not allowed here", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::RequestTimeout, "request_timeout", 408, "The request did not arrive in time", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::RequestTooLarge, "request_too_large", 413, "The request body is too large", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::HeadersTooLarge, "headers_too_large", 431, "The request headers are too large", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::InvalidConfiguration, "invalid_configuration", 422, "The desired state is not valid", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::InvalidSetting, "invalid_setting", 400, "A setting is not valid", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::ApplyConflict, "apply_conflict", 409, "The desired state changed since it was read", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::IdempotencyKeyRequired, "idempotency_key_required", 400, "This call needs an Idempotency-Key", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::IdempotencyKeyInvalid, "idempotency_key_invalid", 400, "The Idempotency-Key is not a UUIDv7", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, "The Idempotency-Key was used with another request", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, "The Idempotency-Key is older than the retention", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::RequestQuarantined, "request_quarantined", 422, "The request crashed backend servers", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::TeamLimitExceeded, "team_limit_exceeded", 429, "The team is over its limit", RetryAfterRule::Estimated, 1s },
    ErrorResponse { ErrorKind::Overloaded, "overloaded", 503, "The system is overloaded", RetryAfterRule::Estimated, 2s },
    ErrorResponse { ErrorKind::DeadlineTooShort, "deadline_too_short", 503, "The deadline cannot be met", RetryAfterRule::Estimated, 2s },
    ErrorResponse { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, "The deadline passed", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::NoServerAvailable, "no_server_available", 503, "No backend server is available", RetryAfterRule::Fixed, 2s },
    ErrorResponse { ErrorKind::BackendUnreachable, "backend_unreachable", 502, "The backend server cannot be reached", RetryAfterRule::Fixed, 1s },
    ErrorResponse { ErrorKind::BackendFailed, "backend_failed", 502, "The backend server failed", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::BackendAnswerInvalid, "backend_answer_invalid", 502, "The backend server's answer is not valid", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::OutcomeUnknown, "outcome_unknown", 502, "It is not known whether the request ran", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::StoreUnavailable, "store_unavailable", 503, "The object API is unavailable", RetryAfterRule::Fixed, 2s },
    ErrorResponse { ErrorKind::StoreConflict, "store_conflict", 409, "The object changed since it was read", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::StoreVersionExpired, "store_version_expired", 410, "The watch's version is too old", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::StoreValueTooLarge, "store_value_too_large", 413, "The value is over the object API's limit", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::PeerUnreachable, "peer_unreachable", 503, "Another node cannot be reached", RetryAfterRule::Fixed, 1s },
    ErrorResponse { ErrorKind::StreamNotFound, "stream_not_found", 404, "There is no such request", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::StreamTakenOver, "stream_taken_over", 503, "The request continues at another node", RetryAfterRule::Fixed, 1s },
    ErrorResponse { ErrorKind::StreamDiverged, "stream_diverged", 409, "The rest of this answer is lost", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::NotReady, "not_ready", 503, "The node has no configuration yet", RetryAfterRule::Fixed, 1s },
    ErrorResponse { ErrorKind::Draining, "draining", 503, "The node is shutting down", RetryAfterRule::Fixed, 1s },
    ErrorResponse { ErrorKind::Cancelled, "cancelled", 499, "The caller cancelled the request", RetryAfterRule::None, 0s },
    ErrorResponse { ErrorKind::Internal, "internal", 500, "Internal error", RetryAfterRule::None, 0s },
};

static constexpr bool tableFollowsEnumeration()
{
    for (std::size_t index = 0; index < errorResponseTable.size(); ++index) {
        if (static_cast<std::size_t>(errorResponseTable[index].kind) != index)
            return false;
    }
    return errorResponseTable.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}

static_assert(tableFollowsEnumeration(), "Every error kind needs exactly one row, in the order of the enumeration");

std::span<ErrorResponse const> errorResponses()
{
    return errorResponseTable;
}

ErrorResponse const& errorResponseFor(ErrorKind kind)
{
    return errorResponseTable[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    auto const* row = std::find_if(errorResponseTable.begin(), errorResponseTable.end(), [&](auto const& response) { return response.name == name; });
    if (row == errorResponseTable.end())
        return std::nullopt;
    return row->kind;
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

std::optional<RunState> runStateFromName(std::string_view name)
{
    for (auto state : { RunState::NotRun, RunState::Ran, RunState::Unknown }) {
        if (runStateName(state) == name)
            return state;
    }
    return std::nullopt;
}

std::nullopt_t fail(Error& error, ErrorKind kind, std::string message, RunState runState)
{
    error = { kind, runState, std::move(message), std::nullopt };
    return std::nullopt;
}

std::optional<std::chrono::seconds> retryAfterFor(Error const& error)
{
    auto const& response = errorResponseFor(error.kind);
    if (response.retryAfterRule == RetryAfterRule::None)
        return std::nullopt;
    if (response.retryAfterRule == RetryAfterRule::Estimated && error.retryAfter)
        return std::max(std::chrono::ceil<std::chrono::seconds>(*error.retryAfter), 1s);
    return response.retryAfter;
}

}
