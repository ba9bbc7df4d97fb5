#pragma once

#include <LibAdmission/AdmissionDecision.h>
#include <LibAdmission/WaitingQueue.h>
#include <LibForward/DrainPolicy.h>
#include <LibForward/PeerTable.h>
#include <LibForward/RouteTable.h>
#include <LibForward/ServerDirectory.h>
#include <LibForward/TeamQuota.h>
#include <LibForward/UsageTable.h>
#include <LibLimits/CrashSuspectTable.h>
#include <LibLimits/QuarantineTable.h>
#include <LibLimits/RetryBudget.h>
#include <LibRollout/RolloutTable.h>
#include <LibRouting/AdaptiveCost.h>
#include <LibRouting/Placement.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Edge {

/// What adaptive placement knows of the caches of a service's servers.
struct AdaptiveService {
    Routing::CacheConditions conditions;
    Routing::PrefixResidency residency;
};

/// Shared state of an edge process. Owned by EdgeService; used from the runtime's thread only.
struct EdgeTables {
    explicit EdgeTables(Core::Runtime& runtime)
        : becameUsable(runtime)
        , waitingChanged(runtime)
    {
    }

    /// Whether a configuration and backend servers are known, so that requests can be placed.
    [[nodiscard]] bool isUsable() const { return routes && !servers.rows.empty(); }

    /// Notified when a configuration or the first servers become known.
    Core::AsyncEvent becameUsable;

    /// Null until the first configuration is known. A request in progress keeps the table with which it started.
    std::shared_ptr<Forward::RouteTable const> routes;
    /// The stored JSON text of the current configuration, for peers that cannot reach the store.
    std::string configurationJson;
    Forward::ServerDirectory directory;
    /// The store revision that the directory reflects.
    Core::StoreRevision serversRevision;
    Routing::ServerTable servers;
    Routing::PlacementCosts placementCosts;
    /// By service; only those that use adaptive placement.
    std::map<std::string, AdaptiveService> adaptiveServices;
    Routing::EngineSpeedTable engineSpeeds;
    Limits::QuarantineTable quarantine;
    Limits::CrashSuspectTable crashSuspects;
    /// Whole requests by their fingerprints, each the only part of its request. Unlike quarantine, it counts the crashes at all nodes.
    Limits::CrashSuspectTable requestSuspects { .evidenceDuration = Limits::quarantineDuration };
    Forward::QuotaTable quotas;
    Forward::UsageTable usage;
    Forward::PeerTable peers;
    Rollout::RolloutTable rollouts;
    /// By service name.
    std::map<std::string, Limits::RetryBudget> retryBudgets;
    /// By service name; only services with admission control.
    std::map<std::string, Admission::ServiceState> admission;
    /// The requests that wait for room, by service name.
    std::map<std::string, Admission::WaitingQueue> waiting;
    /// Notified when requests in `waiting` may be sent, or when a client disconnects.
    Core::AsyncEvent waitingChanged;
    Admission::FairShareTable teamShares;
    Admission::Parameters admissionParameters;
    /// Fingerprints of the requests in progress by server id; identifies the suspects when a server crashes.
    std::multimap<std::string, Limits::RequestFingerprint> runningByServer;
    /// Set once a planned stop has begun.
    std::optional<Forward::DrainSchedule> drain;

    [[nodiscard]] bool isDraining() const { return drain.has_value(); }
};

/// The source is "own" or the node whose report decided.
void logRefusedParts(std::vector<Limits::PromptPartHash> const&, std::string_view source);
void logRefusedRequests(std::vector<Limits::RequestFingerprint> const&, std::string_view source);

}
