#include <LibForward/AttemptPolicy.h>

namespace Forward {

// Bounds the number of attempts when many servers refuse a request.
static constexpr std::uint32_t maximumAttempts = 4;

// Shorter than a round trip plus the shortest work: a further attempt would load a server without result.
static constexpr std::chrono::milliseconds minimumUsefulTime { 20 };

std::string_view outcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ResponseReceived:
        return "answered";
    case AttemptOutcome::ServerError:
        return "failure_answered";
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::NotExecuted:
        return "not_executed";
    case AttemptOutcome::Stalled:
        return "stalled";
    case AttemptOutcome::Unknown:
        break;
    }
    return "unknown";
}

static bool mayExecuteTwice(AttemptHistory const& history)
{
    return history.kind == RequestKind::Idempotent || (history.kind == RequestKind::Stream && history.isResumable);
}

NextStep decideNextStep(AttemptOutcome outcome, AttemptHistory const& history)
{
    if (outcome == AttemptOutcome::ResponseReceived || history.attempts >= maximumAttempts || history.timeLeft < minimumUsefulTime)
        return NextStep::Finish;
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return NextStep::Retry;
    case AttemptOutcome::NotExecuted:
        return NextStep::RetryWithinBudget;
    default:
        break;
    }
    bool const mayRunAgain = mayExecuteTwice(history) && history.possibleExecutions < history.maximumServers;
    return mayRunAgain ? NextStep::RetryWithinBudget : NextStep::Finish;
}

Core::ErrorKind errorKindFor(AttemptOutcome outcome, AttemptHistory const& history)
{
    if (history.possibleExecutions > 0)
        return history.timeLeft.count() <= 0 ? Core::ErrorKind::DeadlineExceeded : Core::ErrorKind::OutcomeUnknown;
    return outcome == AttemptOutcome::NotExecuted ? Core::ErrorKind::Overloaded : Core::ErrorKind::NoServerAvailable;
}

}
