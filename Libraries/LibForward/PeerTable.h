#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibForward/NodeReport.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Forward {

/// The other nodes, as far as their reports arrived. Not thread safe.
struct PeerTable {
    /// What this node last reported.
    NodeReport own;
    struct Row {
        NodeReport report;
        Core::MonotonicTime lastReportAt;
        /// The peer's wall clock minus this node's, when the report arrived.
        std::chrono::milliseconds clockOffset { 0 };

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row> rows;
    /// When a node was last heard for the first time.
    Core::MonotonicTime lastNewPeerAt;
    /// Endpoints of nodes that may exist, from settings, the store and reports, with the time they were last named.
    std::map<Core::Endpoint, Core::MonotonicTime> candidates;

    bool operator==(PeerTable const&) const = default;
};

/// Adds an endpoint to which reports are sent.
void addCandidate(PeerTable&, Core::Endpoint, Core::MonotonicTime now);

/// Takes a report in. A report of an earlier start of a node is ignored, and so is a brief one before the first full one; returns
/// whether it was taken.
bool mergeReport(PeerTable&, NodeReport, std::int64_t ownUnixMilliseconds, Core::MonotonicTime now);

/// What a report adds to the admissions of its node since the last one, by team. Call before mergeReport().
[[nodiscard]] std::map<std::string, double> newAdmissions(PeerTable const&, NodeReport const&);

/// Drops nodes that are silent for so long that they are gone, and candidates that nobody names.
void expirePeers(PeerTable&, Core::MonotonicTime now);

/// Time between two reports of a node. Every node sends to all others, so that with many nodes each sends less often and the number
/// that arrives at a node stays bounded. Thread safe.
[[nodiscard]] std::chrono::milliseconds reportInterval(std::size_t peers);

/// Time between two full reports of a node; those between them are brief. Thread safe.
[[nodiscard]] std::chrono::milliseconds fullReportInterval(std::size_t peers);

/// When a full report was last sent to each endpoint.
using FullReportTimes = std::map<Core::Endpoint, Core::MonotonicTime>;

/// The endpoints that get a full report now: those that have had none for the longest time, each once in a full interval. Answers
/// many nodes on slow links: a round of full reports to all overflows the link, which drops the last ones of every round. Thread safe.
[[nodiscard]] std::set<Core::Endpoint> fullReportTargets(PeerTable const&, FullReportTimes const&, std::size_t reportBytes, Core::MonotonicTime now);

/// Whether a node reads the platform's store itself. A few nodes of each data centre do, the same ones by all tables that agree, and
/// every node that hears none of them: each call to the store is charged, and its rates do not grow with the nodes.
[[nodiscard]] bool shouldFollowStore(PeerTable const&, std::string const& ownId, std::string const& ownDataCentre, Core::MonotonicTime now);

/// What a node can ask its peers for.
enum class PeerDataKind {
    Configuration,
    Servers,
};

/// The peer to ask for data beyond a version (of the configuration) or revision (of the servers); null if no peer that is heard has
/// any. A peer that reads the store goes first, since the others learn from such peers, then one of the own data centre, since bytes
/// between data centres are charged, then the newest. Thread safe.
[[nodiscard]] PeerTable::Row const* choosePeerToFetchFrom(PeerTable const&, PeerDataKind, std::uint64_t known, std::string const& ownDataCentre, Core::MonotonicTime now);

/// Nodes heard within the last seconds, this one not included.
[[nodiscard]] std::size_t countLivePeers(PeerTable const&, Core::MonotonicTime now);

/// This node's share of a team's limit. It goes by the demand that this node last reported, as the others' shares do: a demand that
/// grows everywhere would otherwise look larger at each node than at all others. A node that fell silent keeps its last share for a
/// while, since it may still serve clients behind a partition.
[[nodiscard]] double quotaShare(PeerTable const&, std::string const& team);

/// Whether all nodes of another data centre fell silent at a time while they were not leaving. Answers partitions between data
/// centres: the reports tell it sooner than requests that time out one server after the other.
[[nodiscard]] bool isPartitionSuspected(PeerTable const&, std::string const& dataCentre, Core::MonotonicTime now);

/// Requests in progress at a server at all other nodes that are heard.
[[nodiscard]] std::uint32_t peerLoad(PeerTable const&, std::uint64_t server, Core::MonotonicTime now);

/// How far the agreed wall clock is ahead of this node's: the median over all nodes, so that single clocks that jump do not count.
[[nodiscard]] std::chrono::milliseconds medianClockOffset(PeerTable const&, Core::MonotonicTime now);

}
