#pragma once

#include <LibCore/Runtime.h>
#include <chrono>
#include <cstdint>

namespace Admission {

/// The constants of admission control, in one place so that they can be tuned together. Times are in seconds unless they are durations.
struct Parameters {
    /// First events of a service before which all its requests are admitted.
    std::uint32_t minimumSamples { 8 };

    /// Time constant of the measured excess delay. A node of a large deployment has two or three samples a second; with a shorter memory the
    /// refusals follow chance. What changes faster is followed by the load; see trendShare.
    double delayMemory { 3 };
    /// Weight of the assumption of no excess, in samples; without samples the estimate returns to it.
    double calmWeight { 1 };
    /// The same for the delays of one route, which has fewer samples.
    double routeDelayMemory { 6 };
    /// Time constant of the ratio of a route's excess delay to that of its service.
    double routeMemory { 15 };
    /// Weight of the service's delay in that of a route, in samples.
    double serviceWeight { 3 };
    /// Requests per server relative to the usual number from which refusals are possible, and from which they are not reduced. A delay that is
    /// high by chance, or at some servers only, must not cause refusals while others are hardly loaded.
    double loadRatioFrom { 1.5 };
    double loadRatioFull { 2.5 };
    /// Time constant of the usual number of requests per server.
    double usualLoadMemory { 20 };
    /// The part of the delay that further requests in progress are expected to cause which is taken into account before it is measured.
    double trendShare { 0.9 };
    /// Upper bound of the delay that one further request at a server is expected to cause.
    double maximumTrendPerRequest { 0.2 };
    /// Upper bound of the delay that a growing load adds to the measured one, if that is less.
    double minimumTrendLimit { 0.5 };

    /// Predicted delay of a kind of request, divided by its objective, at which refusals of the least urgent kind begin. Delays scatter, so some
    /// requests are late already when the mean is below the objective.
    double startPressure { 0.9 };
    /// The pressure at which the refused share is at its maximum. A smaller difference follows faster and oscillates more, since the
    /// reports and the measured delays are about a second old.
    double fullPressure { 1.8 };
    /// Around this pressure the refused share is held: above it the share grows by the rate times the difference a second, below it falls. Without
    /// this the delay would have to stay above the objective for enough to be refused.
    double targetPressure { 0.9 };
    double growthRate { 0.3 };
    /// Below the lower pressure nothing is refused, whatever was before; up to the higher one a part.
    double noRefusalPressure { 0.6 };
    double fullRefusalPressure { 0.9 };
    /// How much larger the refused share of the least urgent kind is than that of the most urgent one.
    double urgencySpread { 0.6 };
    /// How much larger the refused share of a request of twice the usual size is.
    double sizeSpread { 0.08 };
    /// How much larger the refused share of a team with several times its usual demand is, and how much smaller that of others meanwhile.
    double teamSpread { 0.6 };
    double reliefOfOthers { 0.5 };
    /// Full differences between teams and sizes apply from this refused share; below it they grow with the share.
    double fullSpreadShare { 0.2 };
    /// A kind of request or team is refused at most this share of its requests. Teams far above their usual demand get less.
    double maximumRefusedShare { 0.8 };
    double maximumRefusedShareAboveUsual { 0.92 };
    /// Requests that come back after a refusal come back only once.
    double returnedFactor { 0.6 };

    /// The predicted delay, divided by the time that the client waits, from which requests are refused, and from which nearly all are.
    double hopelessFrom { 1.0 };
    double hopelessFull { 1.3 };
    /// The rest shows when the prediction is wrong.
    double hopelessShare { 0.95 };

    /// A request that no server has room for is sent on after this part of its objective.
    double maximumWaitShare { 0.125 };
    std::size_t maximumQueueLength { 64 };

    Core::Duration minimumRetryAfter { std::chrono::milliseconds(50) };
    Core::Duration maximumRetryAfter { std::chrono::milliseconds(2000) };
    /// A refused client that returns later has too little time left.
    double retryShareOfTimeLeft { 1.0 / 3 };
    /// A refused request returns within about this part of the predicted delay, or within this part of the time that its objective leaves beyond
    /// that delay, if that is longer: a client that returns later gets its response late even if it is then admitted.
    double retryShareOfDelay { 0.2 };
    double retryShareOfSlack { 0.6 };

    bool operator==(Parameters const&) const = default;
};

}
