#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibForward/NodeReport.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Forward {

/// The other nodes, as known from their reports. Up to some tens of nodes, every node reports to all others. In a larger deployment a
/// node reports to two aggregating nodes of its data centre, which exchange sums with those of the other data centres and return sums of
/// the whole deployment; see NodeExchange.h. Not thread safe.
struct PeerTable {
    /// This node's own last report.
    NodeReport own;
    struct Row {
        NodeReport report;
        Core::MonotonicTime lastReportAt;
        /// The peer's wall clock minus this node's, when the report arrived.
        std::chrono::milliseconds clockOffset { 0 };
        /// The row's fraction of each team's demand when it last reported; see recordDemandShares().
        std::map<std::string, double> demandShares {};
        bool isSilent { false };
        /// Exponentially weighted mean interval between the reports that arrived; zero before the second one.
        Core::Duration meanInterval { 0 };

        bool operator==(Row const&) const = default;
    };
    /// Single nodes.
    std::map<std::string, Row> rows;
    /// Sums of other data centres and of the deployment, by the node that computed them.
    std::map<std::string, Row> dataCentreRows;
    std::map<std::string, Row> deploymentRows;
    /// Nodes named in sums; their reports hold only what a NodeContact does.
    std::map<std::string, Row> contacts;
    /// Whether the nodes are too many for each to report to all others.
    bool isAggregated { false };
    /// The node in `deploymentRows` whose sums are used; empty if this node's own are.
    std::string aggregator;
    /// By data centre, the node in `dataCentreRows` whose sums are used.
    std::map<std::string, std::string> dataCentreSources;
    /// What the other nodes of the own data centre, and all other nodes, were observed to admit, by team.
    std::map<std::string, double> dataCentreAdmissions;
    std::map<std::string, double> deploymentAdmissions;
    /// The part of `deploymentAdmissions` that was not counted from sums of the deployment, by data centre and team.
    std::map<std::string, std::map<std::string, double>> admissionsByDataCentre;
    /// The part of `own` admissions that the last sums of the deployment were assumed to contain, by team.
    std::map<std::string, double> ownAdmissionsInSums;
    /// This node's fraction of each team's demand when it last knew that of the others.
    std::map<std::string, double> ownDemandShares;
    /// Whether it knew that of the others in the last round; see reportDelay().
    bool isInformed { true };
    /// The largest number of nodes known so far, this one included.
    std::size_t knownNodes { 1 };
    /// Time of the first expirePeers(), soon after the start of this node.
    std::optional<Core::MonotonicTime> firstExpiryAt;
    /// When the number of known nodes last grew.
    Core::MonotonicTime lastNewPeerAt;
    /// Endpoints of possible nodes, from settings, the store and reports, with the time of their last mention.
    std::map<Core::Endpoint, Core::MonotonicTime> candidates;
    /// Peers from which a fetch failed in the last seconds, by node, with the time of the failure.
    std::map<std::string, Core::MonotonicTime> failedFetches;

    bool operator==(PeerTable const&) const = default;
};

/// Adds an endpoint to which reports are sent.
void addCandidate(PeerTable&, Core::Endpoint, Core::MonotonicTime now);

/// Merges a received report. Ignores reports of an earlier incarnation of the node, and brief reports before the first full one.
/// Returns whether the report was merged.
bool mergeReport(PeerTable&, NodeReport, std::int64_t ownUnixMilliseconds, Core::MonotonicTime now);

/// Returns what the node admitted since its previous report, by team. Precondition: the report is not merged yet.
[[nodiscard]] std::map<std::string, double> newAdmissions(PeerTable const&, NodeReport const&);

/// Returns whether a row has reported so recently that at most four consecutive reports are missing. Thread safe.
[[nodiscard]] bool isLive(PeerTable::Row const&, Core::MonotonicTime now);

/// Returns the rows that together cover the other nodes, each node once: single nodes and sums. Sums of the deployment also contain this
/// node. The pointers are valid until the table changes.
[[nodiscard]] std::vector<PeerTable::Row const*> coveringRows(PeerTable const&);

/// Returns whether a row contains this node itself. Thread safe.
[[nodiscard]] bool containsOwn(PeerTable::Row const&);

/// The same without the sums of the deployment that another node computed: what this node sums itself.
[[nodiscard]] std::vector<PeerTable::Row const*> directlyCoveringRows(PeerTable const&);

/// Returns the number of nodes, this one included, that the covering rows contain.
[[nodiscard]] std::size_t countNodes(PeerTable const&);

/// Returns whether another live node holds the lease for the duties.
[[nodiscard]] bool areDutiesHeldElsewhere(PeerTable const&, Core::MonotonicTime now);

/// Returns whether this node has heard no other node since its start, although it knows where there may be some: it may have
/// started behind a partition. Ends with the time for which the others would keep its share of team limits. Thread safe.
[[nodiscard]] bool isUnheardSinceStart(PeerTable const&, Core::MonotonicTime now);

/// Returns for how many of their usual intervals the sums that this node uses have been missing, as after the node that computed them was
/// killed; 0 without such sums. Thread safe.
[[nodiscard]] double missedSums(PeerTable const&, Core::MonotonicTime now);

/// Drops nodes that have been silent for too long, and candidates that are no longer mentioned.
void expirePeers(PeerTable&, Core::MonotonicTime now);

/// Returns the interval between two reports of a node. Every node sends to all others, so the interval grows with the number of
/// nodes to bound the rate of reports that a node receives. Thread safe.
[[nodiscard]] std::chrono::milliseconds reportInterval(std::size_t peers);

/// Returns the interval between two full reports of a node; the reports between them are brief. Thread safe.
[[nodiscard]] std::chrono::milliseconds fullReportInterval(std::size_t peers);

/// Number of nodes of each data centre that sum the reports of the others, in a deployment too large for direct reports. One may fail.
inline constexpr std::size_t aggregatorsPerDataCentre = 2;

/// The order in which the nodes of a data centre are chosen for work on behalf of the others: those with more processor first, then by
/// the hash of their names, so that all nodes agree without coordination.
using NodeRank = std::pair<float, std::uint64_t>;
[[nodiscard]] NodeRank nodeRank(NodeReport const&);

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

/// Returns whether to fetch from the chosen peer now, or to give this node's own watch, if it works, or a watching peer with more
/// processor time to read the same change. Takes the time since a peer first reported it. Thread safe.
[[nodiscard]] bool shouldFetchNow(PeerTable const&, NodeReport const& chosen, bool ownWatchWorks, Core::Duration outdatedFor, Core::MonotonicTime now);

/// Records that a peer did not return its data, although its reports arrive. Not thread safe.
void recordFailedFetch(PeerTable&, std::string const& node, Core::MonotonicTime now);

/// Orders the versions of either kind of data. The operator assigns those of configurations, which have no era.
using PeerDataVersion = Core::StoreRevision;

/// Returns the version of a peer's data. Thread safe.
[[nodiscard]] PeerDataVersion versionOf(NodeReport const&, PeerDataKind);

/// Returns the peer from which to fetch data newer than a known configuration version or servers revision, or null if no live peer
/// has any. Prefers peers from which no fetch failed recently, then those that watch the store, since the others learn from them, then
/// peers of the own data centre, since traffic between data centres is billed, then those with more processor, since all others of the
/// data centre fetch from them at once, then the newest data. Thread safe.
[[nodiscard]] PeerTable::Row const* choosePeerToFetchFrom(PeerTable const&, PeerDataKind, PeerDataVersion known, std::string const& ownDataCentre, Core::MonotonicTime now);

/// Returns the number of live peers: other nodes of which at most four consecutive reports are missing.
[[nodiscard]] std::size_t countLivePeers(PeerTable const&, Core::MonotonicTime now);

/// Returns the interval between two reports of this node. Thread safe.
[[nodiscard]] std::chrono::milliseconds spreadInterval(PeerTable const&);

/// Returns the time after which this node knows what the others admit: the interval of their reports, or the maximum while many of the
/// nodes that reported recently are silent, as behind a partition, or none was heard since the start. Thread safe.
[[nodiscard]] std::chrono::milliseconds reportDelay(PeerTable const&, Core::MonotonicTime now);

/// Returns this node's share of a team's limit, a fraction, by the nodes' reported demand; see Limits::nodeLimitFraction(). The node's own
/// demand is also the last reported one: with the current one, every node would overestimate its share while demand grows everywhere.
/// A silent node keeps its last share for a while, since it may still serve clients behind a partition, and a node that does not hear
/// the others keeps its own: demand that grows on both sides must not be admitted by both.
[[nodiscard]] double demandBasedShare(PeerTable const&, std::string const& team);

/// Returns the demand of a team that the other nodes last reported, in the unit of its limit per second, without nodes that are silent.
[[nodiscard]] double otherDemand(PeerTable const&, std::string const& team);

/// Returns the fraction of a team's limit that nodes keep which have been silent for some rounds, at most 0.95.
[[nodiscard]] double silentShare(PeerTable const&, std::string const& team);

/// Records which part of each team's demand every node has, for the time when it is silent. Called once in each round of reports.
void recordDemandShares(PeerTable&, Core::MonotonicTime now);

/// Returns whether all nodes of another data centre are silent without having announced that they leave. This detects partitions
/// between data centres sooner than requests that time out at one server after the other.
[[nodiscard]] bool isPartitionSuspected(PeerTable const&, std::string const& dataCentre, Core::MonotonicTime now);

/// Returns the requests in progress at a server over all other live nodes, by serverKey().
[[nodiscard]] std::uint32_t peerLoad(PeerTable const&, std::uint32_t server, Core::MonotonicTime now);

/// Returns the evidence on an order over all nodes: this node's, and that of the others as last reported. Silent nodes count as well, since the
/// counts only grow.
[[nodiscard]] Rollout::Evidence summedEvidence(PeerTable const&, Rollout::OrderId const&, Rollout::Evidence own);

/// Returns the median offset of all live nodes' wall clocks from this node's, so that jumps of single clocks have no effect.
[[nodiscard]] std::chrono::milliseconds medianClockOffset(PeerTable const&, Core::MonotonicTime now);

}
