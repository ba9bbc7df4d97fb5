#pragma once

#include <LibAdmission/DelayPrediction.h>
#include <LibAdmission/FairShareTable.h>
#include <LibCore/Random.h>
#include <chrono>
#include <string_view>

namespace Admission {

enum class Verdict {
    Admit,
    /// No server has room now; see WaitingQueue.
    Wait,
    Refuse,
};

enum class Reason {
    /// The load is usual, or too little is known.
    Calm,
    /// Admitted although others are refused.
    WithinShare,
    /// All servers are full.
    NoRoom,
    /// It could not be started before its deadline or while its client waits.
    TooLate,
    /// Other requests are more urgent.
    Overload,
    /// Its team sends several times its usual requests.
    TeamAboveUsual,
};

struct Decision {
    Verdict verdict { Verdict::Admit };
    Reason reason { Reason::Calm };
    /// If refused: a random time, so that refused clients do not return together.
    std::chrono::milliseconds retryAfter { 0 };
    /// The predicted delay to the first event.
    double delaySeconds { 0 };
    double pressure { 0 };
    /// The probability with which the request was refused.
    double refusedShare { 0 };

    bool operator==(Decision const&) const = default;
};

[[nodiscard]] std::string_view verdictName(Verdict);
[[nodiscard]] std::string_view reasonName(Reason);

/// Returns the probability, from 0 to 1, with which a request is refused at a refusalLevel(). The load that it addresses are several kinds of
/// requests that compete for too little capacity. The share grows with the level from zero, for the least urgent kind first. It is larger for
/// requests that are larger than usual on their route, and for teams above their usual demand. It is never larger for a more urgent kind than for a less urgent one,
/// and at one level the difference is at most Parameters::urgencySpread. No kind and no team is refused all its requests. Thread safe.
[[nodiscard]] double refusedShare(double level, double urgencyRank, double relativeSize, TeamStanding const&, Parameters const&);

/// Decides on a new request; recordArrival() has recorded it. Refuses at once what cannot be served in time. Of the rest, it refuses
/// a random part of refusedShare(): nodes with the same reports decide alike on average, and do not all admit or refuse at the same
/// moment. A request that probably has been refused before is refused less often, since its client does not return again. A request
/// that continues a stream is not refused for the sake of others.
/// With too few measured delays, or while no server can be used, it admits all. Not thread safe because of the random numbers.
[[nodiscard]] Decision decideAdmission(ServiceState const&, RequestProfile const&, TeamStanding const&, ServerLoad const&, Parameters const&, Core::Random&, Core::MonotonicTime now);

/// Returns when a refused client may return: a random time of up to the part of the predicted delay in which capacity is expected,
/// within the bounds of the parameters. The load that it addresses are clients that return in step and cause a second peak.
[[nodiscard]] std::chrono::milliseconds chooseRetryAfter(double delaySeconds, RequestProfile const&, Parameters const&, Core::Random&);

}
