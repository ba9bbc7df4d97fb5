#pragma once

#include <LibCore/Random.h>
#include <LibForward/PeerTable.h>
#include <LibForward/UsageTable.h>
#include <memory>

namespace Forward {

/// Up to this number of nodes, every node reports to all others; beyond, aggregating nodes sum the reports. The rate of direct reports that a
/// node receives grows with the number of nodes, and with it the processor time and the bytes on its link.
inline constexpr std::size_t maximumNodesWithDirectReports = 80;

/// The state of a node's outgoing reports. Not thread safe.
struct NodeExchange {
    /// Endpoints from the settings at which other nodes may run.
    std::vector<Core::Endpoint> seeds;
    FullReportTimes fullReportsSentAt;
    /// When sums of the deployment were last sent to each endpoint, complete or brief, and complete.
    std::map<Core::Endpoint, Core::MonotonicTime> sumsSentAt;
    FullReportTimes completeSumsSentAt;
    /// The nodes named in the last sums.
    std::vector<std::string> namedContacts;
    Core::MonotonicTime seedContactedAt;

    bool operator==(NodeExchange const&) const = default;
};

/// A datagram to send. The bytes are shared by all recipients of the same report.
struct OutgoingReport {
    Core::Endpoint recipient;
    std::shared_ptr<std::string const> bytes;
};

/// Returns the nodes of a data centre that are live, highest rank first. Includes this node if it belongs to it.
[[nodiscard]] std::vector<NodeContact> rankedNodes(PeerTable const&, std::string const& dataCentre, Core::MonotonicTime now);

/// Returns whether this node is one of those that sum the reports of its data centre.
[[nodiscard]] bool isAggregating(PeerTable const&, Core::MonotonicTime now);

/// Decides whether the deployment needs aggregation and whose sums this node uses: those of the highest ranked node of its data centre that
/// covers most of the known nodes, so that sums of a node that has just started are not used.
void updateSources(PeerTable&, Core::MonotonicTime now);

/// Returns the sums that this node reports to others. Precondition: `table.own` is current. `scope` is not Node.
[[nodiscard]] NodeReport sumReports(PeerTable const&, UsageTable const&, ReportScope scope, Core::MonotonicTime now);

/// Returns the datagrams of one round and updates the exchange. The report becomes `table.own`.
[[nodiscard]] std::vector<OutgoingReport> planReports(NodeExchange&, PeerTable&, UsageTable const&, NodeReport own, Core::MonotonicTime now);

}
