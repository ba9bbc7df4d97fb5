#pragma once

#include <LibAdmission/Parameters.h>
#include <LibRouting/ServerTable.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Admission {

/// A mean whose samples lose weight with time.
struct DecayingMean {
    double sum { 0 };
    double weight { 0 };
    Core::MonotonicTime updatedAt;

    bool operator==(DecayingMean const&) const = default;
};

/// Times are in seconds.
void addSample(DecayingMean&, double value, double timeConstant, Core::MonotonicTime now);

/// The mean of the samples and of a prior value with a weight in samples; the prior value without samples.
[[nodiscard]] double meanOf(DecayingMean const&, double prior, double priorWeight, double timeConstant, Core::MonotonicTime now);

/// The delays to the first event that a node measured on one route.
struct RouteDelays {
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    double objectiveSeconds { 1 };
    /// Delay of a request of the usual size at a server that does nothing else: a low quantile of the measured delays.
    double calmSeconds { 0 };
    std::uint32_t samples { 0 };
    double usualTokens { 0 };
    double usualTimeLeftSeconds { 0 };
    /// The excess over the calm delay on this route, and that of the service at the same times.
    DecayingMean excess;
    DecayingMean serviceExcess;
    /// The same excess with a shorter memory.
    DecayingMean recentExcess;
    Core::MonotonicTime lastRequestAt;
    /// The refused share that a lasting pressure on requests of this urgency has added, from 0 to 1; see updatePressure().
    double sustainedLevel { 0 };

    bool operator==(RouteDelays const&) const = default;
};

struct SentRequest {
    std::uint64_t ticket { 0 };
    Core::MonotonicTime sentAt;
    std::optional<double> delaySeconds;

    bool operator==(SentRequest const&) const = default;
};

/// What a node knows of the delays of one service. Not thread safe.
struct ServiceState {
    std::map<std::string, RouteDelays, std::less<>> routes;
    std::uint32_t samples { 0 };
    /// Excess of the delays over the calm ones, in seconds.
    DecayingMean excess;
    /// The load when the requests of these samples were sent; see ServerLoad.
    DecayingMean loadAtSend;
    /// A low quantile of the delays on all routes, by which each further request at a server delays the next.
    double calmSeconds { 0 };
    /// Rises from zero, so that a node that starts in an overload does not take it for the usual load.
    double usualLoad { 0 };
    Core::MonotonicTime updatedAt;
    /// The last requests sent, in order.
    std::deque<SentRequest> recent;
    std::uint64_t nextTicket { 1 };

    bool operator==(ServiceState const&) const = default;
};

/// The load of a service's servers, by the requests of this node and those that others reported.
struct ServerLoad {
    std::size_t usableServers { 0 };
    /// Mean requests in progress at the less loaded half of the servers, which placement prefers. A request counts more at a server that is slow.
    double requestsPerServer { 0 };
    /// Free slots of all servers; the maximum value if a server's number of slots is unknown.
    std::size_t freeSlots { SIZE_MAX };

    bool operator==(ServerLoad const&) const = default;
};

/// Thread safe.
[[nodiscard]] ServerLoad measureLoad(Routing::ServerTable const&, std::string_view service, Core::MonotonicTime now);

/// A new request.
struct RequestProfile {
    std::string_view route;
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    /// Latency objective to the first event.
    double objectiveSeconds { 1 };
    /// Tokens of the prompt; 0 if the request does not state them.
    double tokens { 0 };
    double timeLeftSeconds { 0 };
    /// Whether it continues a stream that the client has received in part.
    bool isResumed { false };

    bool operator==(RequestProfile const&) const = default;
};

/// Records a request, admitted or not.
void recordArrival(ServiceState&, RequestProfile const&, Core::MonotonicTime now);

/// Records that a request is sent to a server. Returns a ticket for the functions below.
[[nodiscard]] std::uint64_t recordSent(ServiceState&, Core::MonotonicTime now);

/// Records the first event of a sent request, with the load when it was sent. Follows a change of the delays within about a second.
void recordFirstEvent(ServiceState&, std::uint64_t ticket, RequestProfile const&, double delaySeconds, double loadAtSend, Parameters const&, Core::MonotonicTime now);

/// Records that a sent request ended. If it had no first event, its delay is unknown and is ignored from now on.
void recordEnd(ServiceState&, std::uint64_t ticket);

/// Records the present load and the pressure that lasts, to be called at each tick.
void updatePressure(ServiceState&, ServerLoad const&, Parameters const&, Core::MonotonicTime now);

/// Predicts the delay in seconds to the first event of a request that is sent now: the calm delay on its route by its size, and the excess
/// that recent requests had, corrected by the requests that are in progress more or fewer than when those were sent. A load that grows or shrinks
/// faster than delays can be measured is followed by this correction. Engines read prompts one after another, so each further request at a server
/// costs about one calm delay; the number of requests alone says little, since most of them may be past their first event.
/// If most requests of the last seconds still wait, their waiting times are a lower bound. Thread safe.
[[nodiscard]] double predictDelay(ServiceState const&, std::string_view route, double tokens, ServerLoad const&, Parameters const&, Core::MonotonicTime now);

/// Returns the largest ratio of the predicted delay to the objective of the routes that were used in the last seconds and are at least as
/// urgent as the priority. Less urgent requests do not count, since engines start the more urgent ones first. Thread safe.
[[nodiscard]] double pressureAt(ServiceState const&, std::uint32_t priority, ServerLoad const&, Parameters const&, Core::MonotonicTime now);

/// Returns the level from 0 to 1 by which requests of a priority are refused: it grows with their pressure, and with its duration while it is above
/// the target. Zero in calm. Thread safe.
[[nodiscard]] double refusalLevel(ServiceState const&, std::uint32_t priority, double pressure, ServerLoad const&, Parameters const&);

/// The place of a priority among those of the routes that were used in the last seconds: 0 for the most urgent one, 1 for the least. 1 if there
/// is only one. Thread safe.
[[nodiscard]] double urgencyRank(ServiceState const&, std::uint32_t priority, Core::MonotonicTime now);

}
