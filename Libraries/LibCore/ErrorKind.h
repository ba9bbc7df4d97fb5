#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Core {

/// All kinds of errors in the system; errorResponses() maps each to its HTTP response.
enum class ErrorKind {
    InvalidRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    RequestTimeout,
    RequestTooLarge,
    HeadersTooLarge,
    InvalidConfiguration,
    InvalidSetting,
    ApplyConflict,
    IdempotencyKeyRequired,
    IdempotencyKeyInvalid,
    IdempotencyKeyReused,
    IdempotencyKeyExpired,
    RequestQuarantined,
    TeamLimitExceeded,
    Overloaded,
    DeadlineTooShort,
    DeadlineExceeded,
    NoServerAvailable,
    BackendUnreachable,
    BackendFailed,
    BackendAnswerInvalid,
    OutcomeUnknown,
    StoreUnavailable,
    StoreConflict,
    StoreVersionExpired,
    StoreValueTooLarge,
    PeerUnreachable,
    StreamNotFound,
    StreamTakenOver,
    StreamDiverged,
    NotReady,
    Draining,
    Cancelled,
    Internal,
};

/// Whether a backend server executed the failed request.
/// NotRun is used only if no byte of the request can have reached a backend server that could execute it.
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

/// How the Retry-After value of a response is chosen.
enum class RetryAfterRule {
    /// No Retry-After header: retrying the same request cannot succeed or needs no delay.
    None,
    /// The value of ErrorResponse::retryAfter.
    Fixed,
    /// The delay in Error::retryAfter if there is one, else the value of ErrorResponse::retryAfter.
    Estimated,
};

/// One row of the table from error kind to HTTP response.
struct ErrorResponse {
    ErrorKind kind;
    /// The stable name in the problem details' `kind` field, in log lines and in metrics labels.
    std::string_view name;
    unsigned httpStatus;
    std::string_view title;
    RetryAfterRule retryAfterRule;
    std::chrono::seconds retryAfter;
};

/// The error of a fallible function, which returns an empty optional (or false) and sets this output parameter.
/// Not thread safe; each task uses its own.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    RunState runState { RunState::NotRun };
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(Error const&) const = default;
};

/// Returns the whole table, in the order of ErrorKind. Thread safe.
[[nodiscard]] std::span<ErrorResponse const> errorResponses();

/// Returns the response for one kind. Thread safe.
[[nodiscard]] ErrorResponse const& errorResponseFor(ErrorKind);

/// Returns the kind with the given stable name, if there is one. Thread safe.
[[nodiscard]] std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Returns "not_run", "ran" or "unknown". Thread safe.
[[nodiscard]] std::string_view runStateName(RunState);

/// Parses the names that runStateName() returns. Thread safe.
[[nodiscard]] std::optional<RunState> runStateFromName(std::string_view name);

/// Sets the error and returns an empty optional, so that a fallible function can end with `return fail(...)`.
std::nullopt_t fail(Error&, ErrorKind, std::string message, RunState = RunState::NotRun);

/// Returns the Retry-After value in whole seconds (rounded up, at least 1), or nothing if the kind has none.
[[nodiscard]] std::optional<std::chrono::seconds> retryAfterFor(Error const&);

}
