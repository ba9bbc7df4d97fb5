#include <LibIntent/IntentDecision.h>

namespace Intent {

std::string_view decisionName(IntentDecisionKind kind)
{
    switch (kind) {
    case IntentDecisionKind::Run:
        return "run";
    case IntentDecisionKind::Replay:
        return "replay";
    case IntentDecisionKind::Mismatch:
        return "mismatch";
    case IntentDecisionKind::InProgress:
        return "in_progress";
    case IntentDecisionKind::OutcomeUnknown:
        return "outcome_unknown";
    case IntentDecisionKind::Expired:
        return "expired";
    case IntentDecisionKind::Invalid:
        break;
    }
    return "invalid";
}

static IntentDecision refuse(IntentDecisionKind kind, Core::ErrorKind errorKind, Core::RunState runState, char const* message)
{
    return { kind, std::nullopt, std::nullopt, { errorKind, runState, message, std::nullopt } };
}

IntentDecision decideIntent(IntentRecord const* record, IntentKey const& key, std::string_view fingerprint, Core::WallTime now, WriterState writerState, IntentSettings const& settings)
{
    using enum IntentDecisionKind;
    auto const age = keyAge(key, now, settings);
    if (age == KeyAge::InFuture)
        return refuse(Invalid, Core::ErrorKind::IdempotencyKeyInvalid, Core::RunState::NotRun, "the time in the key is ahead of this node's clock by more than the clock skew bound");
    // The record may have been collected, so it is unknown whether an earlier request with this key ran.
    if (age == KeyAge::Expired)
        return refuse(Expired, Core::ErrorKind::IdempotencyKeyExpired, Core::RunState::Unknown, "this request was not run; an earlier one with the same key may have run");
    if (!record)
        return { Run, std::nullopt, std::nullopt, {} };
    if (record->fingerprint != fingerprint)
        return refuse(Mismatch, Core::ErrorKind::IdempotencyKeyReused, Core::RunState::NotRun, "the key was used with a different request");
    switch (record->state) {
    case IntentState::Finished:
        if (record->answerLocation == AnswerLocation::Omitted)
            return refuse(OutcomeUnknown, Core::ErrorKind::OutcomeUnknown, Core::RunState::Ran, "the call ran, but its answer was not stored: it was too large, or writing it failed");
        return { Replay, std::nullopt, record->answer, {} };
    case IntentState::Abandoned:
        return refuse(OutcomeUnknown, Core::ErrorKind::OutcomeUnknown, Core::RunState::Unknown, "an earlier attempt ended without an answer; it may have run");
    case IntentState::Started:
        break;
    }
    auto const isLongPastDeadline = record->deadlineAt + static_cast<std::uint64_t>(settings.clockSkewBound.count()) < unixMilliseconds(now);
    if (writerState == WriterState::Dead || (writerState == WriterState::Unknown && isLongPastDeadline))
        return refuse(OutcomeUnknown, Core::ErrorKind::OutcomeUnknown, Core::RunState::Unknown, "the node that started the call did not record its outcome; the call may have run");
    return refuse(InProgress, Core::ErrorKind::OutcomeUnknown, Core::RunState::Unknown, "another attempt with the same key is in progress");
}

}
