#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibForward/NodeReport.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Forward {

/// The other nodes, as known from their reports. Not thread safe.
struct PeerTable {
    /// This node's own last report.
    NodeReport own;
    struct Row {
        NodeReport report;
        Core::MonotonicTime lastReportAt;
        /// The peer's wall clock minus this node's, when the report arrived.
        std::chrono::milliseconds clockOffset { 0 };

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row> rows;
    /// When the first report of a new node last arrived.
    Core::MonotonicTime lastNewPeerAt;
    /// Endpoints of possible nodes, from settings, the store and reports, with the time of their last mention.
    std::map<Core::Endpoint, Core::MonotonicTime> candidates;

    bool operator==(PeerTable const&) const = default;
};

/// Adds an endpoint to which reports are sent.
void addCandidate(PeerTable&, Core::Endpoint, Core::MonotonicTime now);

/// Merges a received report. Ignores reports of an earlier incarnation of the node, and brief reports before the first full one.
/// Returns whether the report was merged.
bool mergeReport(PeerTable&, NodeReport, std::int64_t ownUnixMilliseconds, Core::MonotonicTime now);

/// Returns what the node admitted since its previous report, by team. Precondition: the report is not merged yet.
[[nodiscard]] std::map<std::string, double> newAdmissions(PeerTable const&, NodeReport const&);

/// Drops nodes that have been silent for too long, and candidates that are no longer mentioned.
void expirePeers(PeerTable&, Core::MonotonicTime now);

/// Returns the interval between two reports of a node. Every node sends to all others, so the interval grows with the number of
/// nodes to bound the rate of reports that a node receives. Thread safe.
[[nodiscard]] std::chrono::milliseconds reportInterval(std::size_t peers);

/// Returns the interval between two full reports of a node; the reports between them are brief. Thread safe.
[[nodiscard]] std::chrono::milliseconds fullReportInterval(std::size_t peers);

/// When a full report was last sent to each endpoint.
using FullReportTimes = std::map<Core::Endpoint, Core::MonotonicTime>;

/// Returns the endpoints that get a full report in this round: those without one for the longest time, each once in a full interval.
/// With many nodes on slow links, a round of full reports to all would overflow the link, which then drops the last ones of every
/// round. Thread safe.
[[nodiscard]] std::set<Core::Endpoint> fullReportTargets(PeerTable const&, FullReportTimes const&, std::size_t reportBytes, Core::MonotonicTime now);

/// Returns whether this node should watch the platform's store itself; the other nodes fetch changes from those that do. A few nodes
/// of each data centre watch it, and any node that receives reports from none of them. Nodes with the same table select the same
/// watchers. Each call to the store is billed, and the store's rate limits do not grow with the number of nodes.
[[nodiscard]] bool shouldWatchStore(PeerTable const&, std::string const& ownId, std::string const& ownDataCentre, Core::MonotonicTime now);

/// Data that a node can fetch from its peers.
enum class PeerDataKind {
    Configuration,
    Servers,
};

/// Returns the peer from which to fetch data newer than a known configuration version or servers revision, or null if no live peer
/// has any. Prefers peers that watch the store, since the others learn from them, then peers of the own data centre, since traffic
/// between data centres is billed, then the newest data. Thread safe.
[[nodiscard]] PeerTable::Row const* choosePeerToFetchFrom(PeerTable const&, PeerDataKind, std::uint64_t known, std::string const& ownDataCentre, Core::MonotonicTime now);

/// Returns the number of live peers: other nodes of which at most four consecutive reports are missing.
[[nodiscard]] std::size_t countLivePeers(PeerTable const&, Core::MonotonicTime now);

/// Returns this node's share of a team's limit, a fraction, by the nodes' reported demand; see Limits::nodeLimitFraction(). The node's own
/// demand is also the last reported one: with the current one, every node would overestimate its share while demand grows everywhere.
/// A silent node keeps its last share for a while, since it may still serve clients behind a partition.
[[nodiscard]] double demandBasedShare(PeerTable const&, std::string const& team);

/// Returns whether all nodes of another data centre are silent without having announced that they leave. This detects partitions
/// between data centres sooner than requests that time out at one server after the other.
[[nodiscard]] bool isPartitionSuspected(PeerTable const&, std::string const& dataCentre, Core::MonotonicTime now);

/// Returns the requests in progress at a server that all other live nodes report.
[[nodiscard]] std::uint32_t peerLoad(PeerTable const&, std::uint64_t server, Core::MonotonicTime now);

/// Returns the median offset of all live nodes' wall clocks from this node's, so that jumps of single clocks have no effect.
[[nodiscard]] std::chrono::milliseconds medianClockOffset(PeerTable const&, Core::MonotonicTime now);

}
