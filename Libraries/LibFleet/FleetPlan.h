#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibCore/Runtime.h>
#include <LibFleet/FleetMix.h>
#include <LibPlatform/Cloud.h>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

enum class ScaleDown {
    Allowed,
    /// The demand has not been observed for the whole peak window, so the recent peak may be too low.
    Deferred,
};

/// What a service needs. Rates are in thousandths of a request a second.
struct ServiceDemand {
    std::string service;
    std::uint64_t demand { 0 };
    /// The highest demand in the peak window.
    std::uint64_t recentPeak { 0 };
    /// Growth of the demand within one second, 0 if it falls.
    std::uint64_t growth { 0 };
    std::uint32_t importance { 50 };
    std::uint32_t minimumServers { 0 };
    std::uint32_t maximumServers { 0 };
    /// The classes of machines that can run the service.
    std::vector<std::string> machineClasses;
    ScaleDown scaleDown { ScaleDown::Allowed };

    bool operator==(ServiceDemand const&) const = default;
};

enum class HostPhase {
    /// Asked for, and not serving yet.
    Starting,
    Running,
    Leaving,
};

struct FleetHost {
    std::string id;
    std::string service;
    Pool pool;
    HostPhase phase { HostPhase::Running };
    /// When the start was asked for; used while it is Starting.
    Core::MonotonicTime startedAt;

    bool operator==(FleetHost const&) const = default;
};

/// The platform refused the last starts in a pool.
struct StartRefusal {
    Pool pool;
    Core::MonotonicTime lastAt;
    /// Refusals since the last start that was granted.
    std::uint32_t count { 1 };

    bool operator==(StartRefusal const&) const = default;
};

struct FleetPolicy {
    /// Hosts are bought up to the planned demand and this part of it, and kept down to the planned demand itself.
    double hysteresis { 0.1 };
    /// Hosts are replaced by cheaper ones only if this part of the price is saved.
    double replacementSaving { 0.15 };
    /// Time from the call that starts a host until it serves.
    Core::Duration warmUp { std::chrono::seconds(60) };
    /// Hosts that may load weights at the same time; the rate of the weight store gives it (see maximumConcurrentLoads()).
    std::uint32_t maximumStarting { 4 };
    /// Hosts of one service that one plan begins to drain.
    std::uint32_t maximumDrains { 2 };
    /// A pool that refused a start is left out for this time; it doubles with each refusal up to the maximum.
    Core::Duration refusalBackoff { std::chrono::seconds(60) };
    Core::Duration maximumRefusalBackoff { std::chrono::minutes(15) };

    bool operator==(FleetPolicy const&) const = default;
};

/// The number of hosts that can load weights at the same time and still be done within the warm-up time.
/// Precondition: weightsBytes > 0. At least 1. Thread safe.
[[nodiscard]] std::uint32_t maximumConcurrentLoads(std::uint64_t weightsBytes, std::uint64_t storeBytesPerSecond, Core::Duration warmUp);

struct FleetInputs {
    std::vector<ServiceDemand> services;
    std::vector<Configuration::Place> places;
    /// All hosts that exist or were asked for.
    std::vector<FleetHost> hosts;
    std::vector<StartRefusal> refusals;
    Core::MonotonicTime now;
    FleetPolicy policy;

    bool operator==(FleetInputs const&) const = default;
};

struct PlannedStart {
    Platform::HostRequest request;
    std::string reason;

    bool operator==(PlannedStart const&) const = default;
};

struct PlannedDrain {
    std::string hostId;
    std::string reason;

    bool operator==(PlannedDrain const&) const = default;
};

/// A service that the classes and limits do not let meet its planned demand after the worst loss.
struct Shortage {
    std::string service;
    std::string reason;

    bool operator==(Shortage const&) const = default;
};

struct FleetPlan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedDrain> drains;
    std::vector<Shortage> shortages;

    bool operator==(FleetPlan const&) const = default;
};

/// The pool as the cloud API and an operator name it. Thread safe.
[[nodiscard]] Platform::HostRequest hostRequest(Pool const&, std::string service);
[[nodiscard]] Pool poolOf(Platform::HostRequest const&);
[[nodiscard]] Pool poolOf(Platform::Host const&);
[[nodiscard]] std::string describe(Pool const&);

/// The offers of the places for some classes. Thread safe.
[[nodiscard]] std::vector<Offer> offersOf(std::vector<Configuration::Place> const&, std::vector<std::string> const& machineClasses);

/// The offer for a pool; none if the places do not have its class in its zone. Thread safe.
[[nodiscard]] std::optional<Offer> offerFor(std::vector<Configuration::Place> const&, Pool const&);

/// The demand that hosts are planned for: the recent peak, or what the growth leads to within the warm-up time. Thread safe.
[[nodiscard]] std::uint64_t plannedDemand(ServiceDemand const&, FleetPolicy const&);

/// Decides which hosts to start and to drain. More important services choose first. The plan asks for the cheapest additions
/// that keep the planned demand served after the loss of any zone, or of all reclaimable hosts of any data centre, and drains
/// hosts only while the rest still does so with the hysteresis. A pool that refused a start is left out for a while, so the
/// next cheapest is taken. Never plans beyond the maxima of services and classes. Deterministic; thread safe.
[[nodiscard]] FleetPlan planFleet(FleetInputs const&);

}
