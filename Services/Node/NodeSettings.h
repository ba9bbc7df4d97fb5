#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibRouting/ServerChoice.h>
#include <map>
#include <string>
#include <vector>

namespace Node {

/// The checked settings of `hyssopstep node`; see docs/settings.md.
struct NodeSettings {
    std::string nodeId;
    std::string dataCentre;
    std::string region;
    Core::Endpoint clientListen;
    Core::Endpoint operatorListen;
    Core::Endpoint peerListen;
    std::vector<Core::Endpoint> seeds;
    /// Addresses through which peers are reached that cannot be reached at the endpoint they announce, by that endpoint.
    std::map<std::string, Core::Endpoint> peerRoutes;
    Core::Endpoint platform;
    Core::Duration drainTimeout { std::chrono::minutes(5) };
    Core::Duration reclaimMargin { std::chrono::milliseconds(1500) };
    Routing::RoutingPolicy routingPolicy { Routing::RoutingPolicy::PredictedTime };
    std::string operatorKeyDigest;

    bool operator==(NodeSettings const&) const = default;
};

/// Builds the settings from the flags, adding one line to the faults for each that is not valid. Not thread safe.
[[nodiscard]] NodeSettings nodeSettingsFromFlags(std::vector<std::string>& faults);

}
