#pragma once

#include <LibCore/ErrorKind.h>
#include <LibForward/RouteTable.h>
#include <cstdint>

namespace Forward {

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
    /// The server's whole answer is there, whatever its status below 500.
    ResponseReceived,
    /// A whole answer of status 500 or above that the server signed: it ran and failed.
    ServerError,
    /// No byte of the request was sent.
    NotSent,
    /// The server states that it did not execute the request.
    NotExecuted,
    /// The connection broke, or the answer is not whole or not valid: it may have run.
    Unknown,
};

/// What is known of a request after an attempt.
struct AttemptHistory {
    RequestKind kind { RequestKind::Idempotent };
    bool isResumable { false };
    std::uint32_t maximumServers { 1 };
    /// Attempts so far, the last one included.
    std::uint32_t attempts { 0 };
    /// Those that ran or may have run.
    std::uint32_t possibleRuns { 0 };
    std::chrono::milliseconds timeLeft { 0 };

    bool operator==(AttemptHistory const&) const = default;
};

enum class NextStep {
    /// Give the client what there is.
    Finish,
    /// Send the request again; it cannot have run, so no retry budget is needed if no server has seen it.
    Retry,
    /// Send the request again if the service's retry budget allows.
    RetryWithinBudget,
};

/// Decides what follows an attempt. A request that may have run goes to another server only if it may run twice, and to no
/// more servers than its route allows. Thread safe.
[[nodiscard]] NextStep decideNextStep(AttemptOutcome, AttemptHistory const&);

/// The error kind for a request that ends without a server's answer. It claims that the request did not run only if no attempt
/// can have run. Thread safe.
[[nodiscard]] Core::ErrorKind errorAfter(AttemptOutcome, AttemptHistory const&);

}
