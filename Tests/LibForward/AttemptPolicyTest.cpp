#include <LibForward/AttemptPolicy.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Core::ErrorKind;
using Forward::AttemptHistory;
using Forward::AttemptOutcome;
using Forward::NextStep;
using Forward::RequestKind;

namespace {

AttemptHistory history(RequestKind kind, std::uint32_t possibleExecutions, std::uint32_t maximumServers = 2)
{
    return { .kind = kind, .maximumServers = maximumServers, .attempts = 1, .possibleExecutions = possibleExecutions, .timeLeft = 1000ms };
}

}

// Guards against a second execution of a request that must run at most once.
TEST(AttemptPolicyTest, RequestsThatMayHaveRunAreRetriedOnlyIfTheyMayRunTwice)
{
    for (auto const outcome : { AttemptOutcome::Unknown, AttemptOutcome::ServerError, AttemptOutcome::Stalled }) {
        EXPECT_EQ(Forward::decideNextStep(outcome, history(RequestKind::NonIdempotent, 1)), NextStep::Finish);
        EXPECT_EQ(Forward::decideNextStep(outcome, history(RequestKind::Stream, 1)), NextStep::Finish);
        EXPECT_EQ(Forward::decideNextStep(outcome, history(RequestKind::Idempotent, 1)), NextStep::RetryWithinBudget);
        auto resumable = history(RequestKind::Stream, 1);
        resumable.isResumable = true;
        EXPECT_EQ(Forward::decideNextStep(outcome, resumable), NextStep::RetryWithinBudget);
    }
}

TEST(AttemptPolicyTest, RequestsThatDidNotRunAreRetried)
{
    for (auto const kind : { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream }) {
        EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::NotSent, history(kind, 0)), NextStep::Retry);
        EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::NotExecuted, history(kind, 0)), NextStep::RetryWithinBudget);
    }
}

// Guards against a request that runs on more servers than its route allows, and against endless retries.
TEST(AttemptPolicyTest, ServersAttemptsAndTimeAreBounded)
{
    EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::Unknown, history(RequestKind::Idempotent, 2)), NextStep::Finish);
    auto many = history(RequestKind::Idempotent, 0);
    many.attempts = 4;
    EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::NotExecuted, many), NextStep::Finish);
    auto late = history(RequestKind::Idempotent, 0);
    late.timeLeft = 5ms;
    EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::NotSent, late), NextStep::Finish);
    EXPECT_EQ(Forward::decideNextStep(AttemptOutcome::ResponseReceived, history(RequestKind::Idempotent, 1)), NextStep::Finish);
}

// Guards against an error that states that a request did not run although it may have.
TEST(AttemptPolicyTest, ErrorsDenyExecutionOnlyIfTheRequestCannotHaveRun)
{
    EXPECT_EQ(Forward::errorKindFor(AttemptOutcome::NotExecuted, history(RequestKind::NonIdempotent, 0)), ErrorKind::Overloaded);
    EXPECT_EQ(Forward::errorKindFor(AttemptOutcome::NotSent, history(RequestKind::NonIdempotent, 0)), ErrorKind::NoServerAvailable);
    EXPECT_EQ(Forward::errorKindFor(AttemptOutcome::NotExecuted, history(RequestKind::Idempotent, 1)), ErrorKind::OutcomeUnknown);
    auto late = history(RequestKind::NonIdempotent, 1);
    late.timeLeft = 0ms;
    EXPECT_EQ(Forward::errorKindFor(AttemptOutcome::Unknown, late), ErrorKind::DeadlineExceeded);
}
