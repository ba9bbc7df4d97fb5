#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Edge {

/// The checked settings of `hyssopstep edge`; see docs/settings.md.
struct EdgeSettings {
    std::string nodeId;
    std::string dataCentre;
    std::string region;
    Core::Endpoint clientListen;
    Core::Endpoint readyListen;
    /// Datagrams between nodes.
    Core::Endpoint peerListen;
    /// Calls between nodes.
    Core::Endpoint peerHttpListen;
    Core::Endpoint metricsListen;
    /// Hosts that probably run nodes; their ports are those of this node.
    std::vector<std::string> seedAddresses;
    Core::Endpoint platform;
    /// Whether the whole system starts for the first time, so that nothing was admitted before.
    bool isFirstStart { false };
    /// Empty if this deployment has no duties.
    std::optional<Core::Endpoint> cloud;
    bool reportsUsage { false };
    bool ordersServers { false };
    std::chrono::milliseconds usageWindow { 5000 };
    std::chrono::milliseconds leaseDuration { 3000 };
    /// From SIGTERM until the platform kills the process.
    std::chrono::milliseconds gracePeriod { 8000 };
    double retryRatio { 0.1 };
    std::chrono::milliseconds retryWindow { 10000 };
    double retrySlack { 10 };
    std::chrono::seconds quotaWindow { 8 };
    double quotaSlack { 0 };

    bool operator==(EdgeSettings const&) const = default;
};

/// Reads the flags of the command line, then the settings file that they or the environment name. Adds one line to the errors
/// for each that is not valid. Not thread safe.
[[nodiscard]] EdgeSettings readEdgeSettings(int argc, char const* const* argv, std::vector<std::string>& errors, std::optional<std::string>& help);

/// When the settings file was last changed; nothing if there is none. Not thread safe.
[[nodiscard]] std::optional<std::int64_t> settingsFileModifiedAt();

}
