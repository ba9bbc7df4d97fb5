#pragma once

#include <LibForward/PeerTable.h>
#include <LibForward/RouteTable.h>
#include <LibForward/ServerDirectory.h>
#include <LibForward/TeamQuota.h>
#include <LibForward/UsageTable.h>
#include <LibLimits/QuarantineTable.h>
#include <LibLimits/RetryBudget.h>
#include <LibRouting/Placement.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <memory>
#include <string>

namespace Edge {

/// All that an edge process knows. Owned by EdgeService; used from the runtime's thread only.
struct EdgeTables {
    explicit EdgeTables(Core::Runtime& runtime)
        : becameUsable(runtime)
    {
    }

    /// Whether requests can be placed.
    [[nodiscard]] bool isUsable() const { return routes && !servers.rows.empty(); }

    /// Notified when the first configuration or the first servers become known.
    Core::AsyncEvent becameUsable;

    /// Null until the first configuration is known. Requests in progress keep the one that they began with.
    std::shared_ptr<Forward::RouteTable const> routes;
    /// The store's value of the configuration in force, for peers that cannot reach the store.
    std::string configurationJson;
    Forward::ServerDirectory directory;
    /// Revision of the store up to which the directory is known.
    std::uint64_t serversRevision { 0 };
    Routing::ServerTable servers;
    Routing::PlacementCosts placementCosts;
    Limits::QuarantineTable quarantine;
    Forward::QuotaTable quotas;
    Forward::UsageTable usage;
    Forward::PeerTable peers;
    /// Retries by service.
    std::map<std::string, Limits::RetryBudget> retryBudgets;
    /// Requests in progress with a server, by fingerprint, for the evidence of a crash.
    std::multimap<std::string, Limits::RequestFingerprint> runningByServer;
    bool isDraining { false };
};

}
