#pragma once

#include <LibMembership/MembershipService.h>
#include <LibStream/StreamTable.h>
#include <Node/DecisionLog.h>
#include <Node/NodeSettings.h>
#include <Node/NodeTables.h>
#include <boost/json/value.hpp>
#include <optional>

namespace Node {

/// The body of `GET /operator/status`: this node, and the nodes, backend servers and teams it knows of.
[[nodiscard]] boost::json::value nodeStatus(NodeSettings const&, NodeTables const&, Stream::StreamTable const&, Membership::MembershipService const&, Core::MonotonicTime now);

/// The body of `GET /operator/explain`; empty if the log has no decisions on the request.
[[nodiscard]] std::optional<boost::json::value> explanation(DecisionLog const&, std::string const& requestId);

/// The body of `GET /readyz`.
[[nodiscard]] boost::json::value readiness(NodeTables const&);

/// The number of streams that this node serves and whose output is not complete.
[[nodiscard]] std::size_t runningStreams(Stream::StreamTable const&);

}
