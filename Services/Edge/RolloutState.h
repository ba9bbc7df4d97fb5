#pragma once

#include <Edge/EdgeTables.h>
#include <string>
#include <string_view>

namespace Edge {

/// The path on the metrics address at which a node describes its rollouts.
inline constexpr std::string_view rolloutsPath = "/rollouts";

/// Merges the state of an order into the table and logs what changed. The source is "own", "store" or the node whose report had it. Returns whether it
/// changed anything.
bool applyOrder(EdgeTables&, Rollout::Order const&, std::string_view source, Core::MonotonicTime now);

/// Merges the orders of another node's report.
void mergeRollouts(EdgeTables&, Forward::NodeReport const&, Core::MonotonicTime now);

/// Adds this node's orders and evidence to its report.
void reportRollouts(EdgeTables const&, Forward::NodeReport&);

/// Returns the orders with their state and the evidence of all nodes as JSON text, for operators.
[[nodiscard]] std::string describeRollouts(EdgeTables const&, Core::MonotonicTime now);

}
