#pragma once

#include <LibRollout/RolloutTable.h>

namespace Rollout {

enum class Verdict {
    Undecided,
    Good,
    Bad,
    /// The period ends without enough sound responses.
    NotProven,
};

struct Judgement {
    Verdict verdict { Verdict::Undecided };
    std::string reason;

    bool operator==(Judgement const&) const = default;
};

/// The evidence on an order, over all nodes, and the time that it covers.
struct Observation {
    Evidence total;
    /// The part of it within the last recentWindow().
    Evidence recent;
    /// The part of it from before twice that time.
    Evidence earlier;
    std::chrono::milliseconds period { 0 };
    /// Time since the order was first seen.
    Core::Duration elapsed { 0 };
    /// Time since the first response of the candidate.
    Core::Duration observed { 0 };
};

/// Returns the observation on an order at a time, from its snapshots. Thread safe.
[[nodiscard]] Observation observe(RolloutTable::Row const&, Core::Duration elapsed, Core::MonotonicTime now);

/// Whether the node that ends an order should have gone on by now: it has not acted on a finding, on a good verdict, or at the end of the period. Takes
/// the time since the order was first seen, and since its state last changed. Thread safe.
[[nodiscard]] bool isOverdue(Order const&, Core::Duration elapsed, Core::Duration unchanged);

/// The longest time for which the requests at the incumbents may end before an order is completed, given the time since it was first seen. Leaves
/// time for the write before the deadline. Thread safe.
[[nodiscard]] Core::Duration drainTime(std::chrono::milliseconds period, Core::Duration elapsed);

/// Judges the candidate of an order. Load pattern: a version of which part of the responses are failures, or several times slower, from the start
/// or later, always, under load or on one route, beside incumbents that fail and slow down under load as well. Each route is compared with the
/// incumbents on the same route, and the routes together; the recent evidence is judged apart from the whole, so that earlier sound responses do
/// not hide a version that became bad. Slowness is judged by the recent evidence only, because servers that have just started have cold caches.
/// Broken responses only count if they continue for longer than the window, since a host that crashes breaks many at once. Thread safe.
[[nodiscard]] Judgement decideVerdict(Observation const&);

}
