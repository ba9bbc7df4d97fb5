#pragma once

#include <LibCore/ErrorKind.h>
#include <LibForward/RouteTable.h>
#include <cstdint>
#include <string_view>

namespace Forward {

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
    /// A complete response with any status below 500 arrived.
    ResponseReceived,
    /// A complete response with status 500 or above that the server signed: the request was executed and failed.
    ServerError,
    /// No byte of the request was sent.
    NotSent,
    /// The server states that it did not execute the request.
    NotExecuted,
    /// A resumable stream has sent no event for some time, but its connection is open.
    Stalled,
    /// The connection broke, or the response is incomplete or invalid: the request may have been executed.
    Unknown,
};

/// The name of an outcome in the log. Thread safe.
[[nodiscard]] std::string_view outcomeName(AttemptOutcome);

/// The state of a request after an attempt.
struct AttemptHistory {
    RequestKind kind { RequestKind::Idempotent };
    bool isResumable { false };
    std::uint32_t maximumServers { 1 };
    /// Attempts so far, including the last one.
    std::uint32_t attempts { 0 };
    /// Attempts in which the request was or may have been executed.
    std::uint32_t possibleExecutions { 0 };
    std::chrono::milliseconds timeLeft { 0 };

    bool operator==(AttemptHistory const&) const = default;
};

enum class NextStep {
    /// Send the result of the attempt to the client.
    Finish,
    /// Send the request again without charging the retry budget, since no server received it.
    Retry,
    /// Send the request again if the service's retry budget allows.
    RetryWithinBudget,
};

/// Decides whether to retry after an attempt. A request that may have been executed is retried only if it may be executed twice,
/// and on no more servers than its route allows. Thread safe.
[[nodiscard]] NextStep decideNextStep(AttemptOutcome, AttemptHistory const&);

/// Returns the error kind for a request that ends without a server's response. The kind states that the request was not executed
/// only if no attempt can have executed it. Thread safe.
[[nodiscard]] Core::ErrorKind errorKindFor(AttemptOutcome, AttemptHistory const&);

}
