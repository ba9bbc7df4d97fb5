#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibFleet/EngineCommands.h>
#include <LibRouting/LengthEstimator.h>
#include <LibRouting/ServerChoice.h>
#include <Node/Gateway.h>
#include <Node/ModelRunner.h>
#include <map>
#include <string>
#include <vector>

namespace Node {

/// The validated settings of `hyssopstep node`; see docs/settings.md.
struct NodeSettings {
    std::string nodeId;
    std::string dataCentre;
    std::string region;
    Core::Endpoint clientListen;
    Core::Endpoint operatorListen;
    Core::Endpoint peerListen;
    std::vector<Core::Endpoint> seeds;
    /// The reachable endpoint of each peer that is not reachable at the endpoint it advertises, by advertised endpoint.
    std::map<std::string, Core::Endpoint> peerRoutes;
    Core::Endpoint platform;
    Core::Duration drainTimeout { std::chrono::minutes(5) };
    Core::Duration reclaimMargin { std::chrono::milliseconds(1500) };
    Routing::RoutingPolicy routingPolicy { Routing::RoutingPolicy::PredictedTime };
    Routing::Scheduling scheduling { Routing::Scheduling::ShortestFirst };
    AttentionStatePolicy attentionState { AttentionStatePolicy::Move };
    Shedding shedding { Shedding::ByShare };
    std::string operatorKeyDigest;
    /// Of the host; the limits on what is held for clients follow from it.
    std::uint32_t memoryMegabytes { 260 };
    /// Whether this node is a candidate for fleet control.
    bool controlsFleet { false };
    std::chrono::milliseconds fleetLease { 10000 };
    std::chrono::milliseconds fleetInterval { 2000 };
    std::chrono::milliseconds fleetPeakWindow { 900000 };
    Fleet::EngineFencing engineFencing { Fleet::EngineFencing::Ignored };

    bool operator==(NodeSettings const&) const = default;
};

/// Builds the settings from the flags and appends one message for each invalid setting to the errors. Not thread safe.
[[nodiscard]] NodeSettings nodeSettingsFromFlags(std::vector<std::string>& errors);

}
