#pragma once

#include <LibIntent/IntentKey.h>
#include <LibIntent/IntentRecord.h>
#include <string>
#include <string_view>

namespace Intent {

enum class IntentDecisionKind {
    /// The caller holds the ticket and may call the back end once.
    Run,
    /// The call ran before; the answer is the recorded one.
    Replay,
    /// The key was used with another request.
    Mismatch,
    /// Another attempt is in progress. IntentJournal::begin waits instead of returning this.
    InProgress,
    /// An earlier attempt may have run, or ran and its answer was not kept. The call is never run again.
    OutcomeUnknown,
    Expired,
    Invalid,
};

/// The right to call the back end once. Ends with finish, release or abandon of the journal that issued it.
struct IntentTicket {
    IntentLocation location;
    std::string keyDigest;
    std::string attemptId;

    bool operator==(IntentTicket const&) const = default;
};

struct IntentDecision {
    IntentDecisionKind kind { IntentDecisionKind::Invalid };
    /// Set for Run by IntentJournal::begin.
    std::optional<IntentTicket> ticket;
    /// Set for Replay by IntentJournal::begin; by decideIntent() only if the answer is inline.
    std::optional<RecordedAnswer> answer;
    /// What the caller is told, for every kind but Run and Replay.
    Core::Error error;

    bool operator==(IntentDecision const&) const = default;
};

/// The name of the decision in metrics and log lines. Thread safe.
[[nodiscard]] std::string_view decisionName(IntentDecisionKind);

/// Decides what happens with a request whose key has the given record (null if there is none).
/// A record that is not finished never leads to Run, whatever the clocks and the writer's state say.
/// Thread safe.
[[nodiscard]] IntentDecision decideIntent(IntentRecord const* record, IntentKey const&, std::string_view fingerprint, Core::WallTime now, WriterState, IntentSettings const&);

}
