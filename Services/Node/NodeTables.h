#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibLimits/QuarantineTable.h>
#include <LibLimits/RetryBudget.h>
#include <LibLimits/Shedding.h>
#include <LibLimits/TeamLimitTable.h>
#include <LibRouting/LengthEstimator.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/ServerTable.h>
#include <LibRouting/WorkMix.h>
#include <map>
#include <set>
#include <string>

namespace Node {

/// Whether the node accepts new requests.
enum class NodePhase {
    /// No configuration is in effect yet.
    Starting,
    Serving,
    /// A planned stop or a reclaim notice; requests in progress are finished or handed over.
    Draining,
};

struct BatchEntry {
    Limits::RequestFingerprint fingerprint { 0 };
    /// Whether the attempt has generated tokens.
    bool progressed { false };
};

/// The requests of this node at one backend server, by attempt id.
using ServerBatch = std::map<std::string, BatchEntry>;

/// The tables of one node, which its systems read and update. Used from the runtime's thread only.
struct NodeTables {
    Configuration::AppliedState configuration;
    NodePhase phase { NodePhase::Starting };
    Routing::ServerTable servers;
    Routing::PrefixIndex prefixes { 200'000 };
    Routing::LengthEstimator lengths;
    /// By model.
    std::map<std::string, Routing::WorkMix> workMixes;
    /// By model.
    std::map<std::string, Limits::WorkByTeam> admittedWork;
    Limits::TeamLimitTable teamLimits;
    Limits::QuarantineTable quarantine;
    std::map<std::string, ServerBatch> batches;
    std::map<std::string, Limits::RetryBudget> retryBudgets;
};

/// The retry budget of a service: a tenth of its requests, and one a second for quiet services.
[[nodiscard]] inline Limits::RetryBudget& retryBudgetFor(NodeTables& tables, std::string const& service)
{
    return tables.retryBudgets.try_emplace(service, 0.1, 1.0).first->second;
}

}
