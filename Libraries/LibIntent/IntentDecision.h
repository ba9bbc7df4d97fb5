#pragma once

#include <LibIntent/IntentKey.h>
#include <LibIntent/IntentRecord.h>
#include <string>
#include <string_view>

namespace Intent {

enum class IntentDecisionKind {
    /// The caller gets a ticket and may call the backend server once.
    Run,
    /// The call has run; its recorded answer is returned.
    Replay,
    /// The key was used with a different request.
    Mismatch,
    /// Another attempt is in progress. IntentJournal::begin waits instead of returning this.
    InProgress,
    /// An earlier attempt may have run, or has run without its answer being kept. The call is not run again.
    OutcomeUnknown,
    Expired,
    Invalid,
};

/// Permits one call of a backend server. Closed by finish(), release() or abandon() of the journal that issued or imported it.
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
    /// Set for Replay: always by IntentJournal::begin, by decideIntent() only if the answer is inline.
    std::optional<RecordedAnswer> answer;
    /// The error to return to the caller; set for every kind except Run and Replay.
    Core::Error error;

    bool operator==(IntentDecision const&) const = default;
};

/// Returns the decision's name in metrics and log lines. Thread safe.
[[nodiscard]] std::string_view decisionName(IntentDecisionKind);

/// Decides how to handle a request whose key has the given record (null if there is none). An existing record never leads
/// to Run, whatever its state, the clocks and the writer's state. Thread safe.
[[nodiscard]] IntentDecision decideIntent(IntentRecord const* record, IntentKey const&, std::string_view fingerprint, Core::WallTime now, WriterState, IntentSettings const&);

}
