#pragma once

#include <LibMembership/MembershipService.h>
#include <LibPeer/PeerClient.h>
#include <LibStream/StreamReplicator.h>
#include <set>

namespace Node {

/// Chooses the nodes that hold replicas of streams, and calls them. Used from the runtime's thread only.
class StreamPeers final : public Stream::ReplicaPeers {
public:
    /// Precondition: the references outlive this object.
    StreamPeers(Membership::MembershipService const&, Peer::PeerClient&);

    /// The first live node by rendezvous rank of the request id, in this node's data centre if there is one.
    [[nodiscard]] std::optional<std::string> chooseReplica(std::string_view requestId, std::set<std::string> const& excludedNodes) const override;

    [[nodiscard]] Core::Awaitable<std::optional<Peer::ReplicateReply>> replicate(std::string nodeId, Peer::ReplicateRequest, Core::MonotonicTime deadline, Core::Error&) override;

    [[nodiscard]] Core::Awaitable<std::optional<Peer::HandOverReply>> handOver(std::string nodeId, Peer::HandOverRequest, Core::MonotonicTime deadline, Core::Error&);

    [[nodiscard]] Core::Awaitable<std::optional<Peer::FindStreamReply>> findStream(std::string nodeId, std::string requestId, Core::MonotonicTime deadline, Core::Error&);

    /// At most `count` nodes that may hold the stream, the most probable first.
    [[nodiscard]] std::vector<std::string> probableHolders(std::string_view requestId, std::size_t count) const;

    /// A node that can take over streams from this one; not one that is leaving or excluded.
    [[nodiscard]] std::optional<std::string> chooseSuccessor(std::string_view requestId, std::set<std::string> const& excludedNodes) const { return chooseReplica(requestId, excludedNodes); }

    /// Excludes nodes that will be reclaimed from all further choices.
    void excludeReclaimed(std::set<std::string> const& nodeIds) { m_reclaimedNodes.insert(nodeIds.begin(), nodeIds.end()); }

    /// A node that is not in the table counts as suspected until the stream has not changed for 10 s, because a node that has just
    /// started holds replicas before it has received all rows.
    [[nodiscard]] Stream::OriginLiveness livenessOf(std::string_view nodeId, Core::Duration unchangedFor) const;

private:
    [[nodiscard]] std::vector<Membership::NodeRow const*> otherLiveNodes(std::set<std::string> const& excludedNodes) const;

    Membership::MembershipService const& m_membership;
    Peer::PeerClient& m_peers;
    std::set<std::string> m_reclaimedNodes;
};

}
