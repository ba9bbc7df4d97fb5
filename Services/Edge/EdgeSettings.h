#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Edge {

/// Whether a feature is used: for all services, for none, or for those whose configuration calls for it.
enum class FeatureMode {
    Auto,
    On,
    Off,
};

/// Validated settings of `hyssopstep edge`; see docs/settings.md.
struct EdgeSettings {
    std::string nodeId;
    std::string dataCentre;
    std::string region;
    Core::Endpoint clientListen;
    Core::Endpoint readyListen;
    /// UDP endpoint for node reports.
    Core::Endpoint peerListen;
    /// HTTP endpoint for requests from peers.
    Core::Endpoint peerHttpListen;
    Core::Endpoint metricsListen;
    /// Addresses of hosts that may run nodes; peers use the same ports as this node.
    std::vector<std::string> seedAddresses;
    Core::Endpoint platform;
    /// Whether the deployment starts for the first time, so that no request has been admitted and no retry made yet.
    bool isFirstStart { false };
    /// Empty if this deployment has no duties.
    std::optional<Core::Endpoint> cloud;
    bool reportsUsage { false };
    bool ordersServers { false };
    std::chrono::milliseconds usageWindow { 5000 };
    /// During this time after it lost the lease, a node must not acquire the duties again.
    std::chrono::milliseconds leaseDuration { 3000 };
    /// Time from SIGTERM until the platform kills the process.
    std::chrono::milliseconds gracePeriod { 8000 };
    /// This host's share of a processor core; hosts with more of it are preferred for work on behalf of other nodes.
    double processorShare { 1 };
    double retryRatio { 0.1 };
    std::chrono::milliseconds retryWindow { 10000 };
    double retrySlack { 10 };
    std::chrono::seconds quotaWindow { 8 };
    double quotaSlack { 0 };
    /// Placement by measured engine speeds and cached prefixes; Auto means where Forward::toleratesQueueing().
    FeatureMode adaptivePlacement { FeatureMode::Off };
    /// Waiting and refusals under overload; Auto means where Forward::toleratesQueueing().
    FeatureMode admissionControl { FeatureMode::Auto };
    /// Fraction of a service's requests that a version under evaluation may get; 0 if this deployment has no rollouts.
    double rolloutShare { 0 };
    /// Memory of the host in MB, from which the limits on what is held for clients follow.
    std::uint32_t memoryMegabytes { 260 };

    bool operator==(EdgeSettings const&) const = default;
};

/// Reads the command line and the settings file that a flag or the environment names; the command line takes precedence. Adds one
/// message to `errors` for each invalid setting. Not thread safe.
[[nodiscard]] EdgeSettings readEdgeSettings(int argc, char const* const* argv, std::vector<std::string>& errors, std::optional<std::string>& help);

/// Modification time of the settings file in nanoseconds of Unix time; nullopt if there is no file. Not thread safe.
[[nodiscard]] std::optional<std::int64_t> settingsFileModifiedAt();

}
