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
    /// The demand has been observed for less than the peak window, so the recent peak may be too low.
    Deferred,
};

/// Demand and limits of a service. Rates are in thousandths of a request per second.
struct ServiceDemand {
    std::string service;
    std::uint64_t demand { 0 };
    /// The highest demand in the peak window.
    std::uint64_t recentPeak { 0 };
    /// Increase of the demand per second; 0 if it falls.
    std::uint64_t growth { 0 };
    std::uint32_t importance { 50 };
    std::uint32_t minimumServers { 0 };
    std::uint32_t maximumServers { 0 };
    /// The machine classes that can run the service.
    std::vector<std::string> machineClasses;
    ScaleDown scaleDown { ScaleDown::Allowed };

    bool operator==(ServiceDemand const&) const = default;
};

enum class HostPhase {
    /// Requested from the platform, but not serving yet.
    Starting,
    Running,
    Leaving,
};

struct FleetHost {
    std::string id;
    std::string service;
    Pool pool;
    HostPhase phase { HostPhase::Running };
    /// When the start was requested; only used in the phase Starting.
    Core::MonotonicTime startedAt;

    bool operator==(FleetHost const&) const = default;
};

/// The most recent starts that the platform refused in a pool.
struct StartRefusal {
    Pool pool;
    Core::MonotonicTime lastAt;
    /// Refusals since the last granted start.
    std::uint32_t count { 1 };

    bool operator==(StartRefusal const&) const = default;
};

struct FleetPolicy {
    /// Margin, as a fraction of the planned demand. Additions and drains plan for the demand plus the margin; hosts are only
    /// added once the capacity falls below the planned demand itself.
    double hysteresis { 0.1 };
    /// Hosts are replaced by cheaper ones only if this fraction of the price is saved.
    double replacementSaving { 0.15 };
    /// Time from the call that starts a host until the host serves requests.
    Core::Duration warmUp { std::chrono::seconds(60) };
    /// Maximum number of hosts that are starting at the same time, limited by the throughput of the weight store
    /// (see maximumConcurrentLoads()).
    std::uint32_t maximumStarting { 4 };
    /// Maximum number of hosts of one service that one plan starts to drain.
    std::uint32_t maximumDrains { 2 };
    /// A pool that refused a start is excluded for this time, which doubles with each further refusal up to the maximum.
    Core::Duration refusalBackoff { std::chrono::seconds(60) };
    Core::Duration maximumRefusalBackoff { std::chrono::minutes(15) };

    bool operator==(FleetPolicy const&) const = default;
};

/// Returns how many hosts can load weights concurrently and still finish within the warm-up time; at least 1.
/// Precondition: weightsBytes > 0. Thread safe.
[[nodiscard]] std::uint32_t maximumConcurrentLoads(std::uint64_t weightsBytes, std::uint64_t storeBytesPerSecond, Core::Duration warmUp);

struct FleetInputs {
    std::vector<ServiceDemand> services;
    std::vector<Configuration::Place> places;
    /// All hosts that exist or were requested.
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

/// A service whose planned demand cannot be met after the worst loss within the available machine classes and limits.
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

/// Conversions between a pool and its form in the cloud API, and a description of it for operators. Thread safe.
[[nodiscard]] Platform::HostRequest hostRequest(Pool const&, std::string service);
[[nodiscard]] Pool poolOf(Platform::HostRequest const&);
[[nodiscard]] Pool poolOf(Platform::Host const&);
[[nodiscard]] std::string describe(Pool const&);

/// Returns the offers of all places for the given machine classes. Thread safe.
[[nodiscard]] std::vector<Offer> offersOf(std::vector<Configuration::Place> const&, std::vector<std::string> const& machineClasses);

/// Returns the offer for a pool, or nothing if no place has the pool's machine class in its zone. Thread safe.
[[nodiscard]] std::optional<Offer> offerFor(std::vector<Configuration::Place> const&, Pool const&);

/// Returns the demand to plan for: the maximum of the current demand, the recent peak, and the demand projected over the warm-up
/// time. Thread safe.
[[nodiscard]] std::uint64_t plannedDemand(ServiceDemand const&, FleetPolicy const&);

/// Decides which hosts to start and to drain, in descending order of service importance. Starts the cheapest additions that
/// keep the planned demand served after the loss of any zone, or of all reclaimable hosts of any data centre. Drains hosts only
/// while the remaining hosts still serve the planned demand plus the hysteresis after such a loss. A pool that refused a start is
/// excluded for the refusal backoff, so that the next cheapest pool is used. Never starts hosts beyond the maxima of services and
/// machine classes. Deterministic; thread safe.
[[nodiscard]] FleetPlan planFleet(FleetInputs const&);

}
