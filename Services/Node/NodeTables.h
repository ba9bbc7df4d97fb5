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

/// The phase of the node's life cycle; new requests are accepted only while serving.
enum class NodePhase {
    /// No configuration has been applied yet.
    Starting,
    Serving,
    /// After a stop request or a reclaim notice: requests in progress are finished or handed over.
    Draining,
};

struct BatchEntry {
    Limits::RequestFingerprint fingerprint { 0 };
    /// Whether the attempt has generated tokens.
    bool progressed { false };
};

/// The requests that this node has in progress at one backend server, by attempt id.
using ServerBatch = std::map<std::string, BatchEntry>;

/// The shared state of the node's components. Used from the runtime's thread only.
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

/// The retry budget of a service: one retry per ten requests, plus one per second so that services with few requests can retry.
[[nodiscard]] inline Limits::RetryBudget& retryBudgetFor(NodeTables& tables, std::string const& service)
{
    return tables.retryBudgets.try_emplace(service, 0.1, 1.0).first->second;
}

}
