#pragma once

#include <LibMembership/MembershipService.h>
#include <LibPeer/PeerClient.h>
#include <LibStream/StreamReplicator.h>
#include <set>

namespace Node {

/// Chooses the nodes that hold copies of streams, and calls them. Used from the runtime's thread only.
class StreamPeers final : public Stream::ReplicaPeers {
public:
    /// Precondition: the references outlive this object.
    StreamPeers(Membership::MembershipService const&, Peer::PeerClient&);

    /// The first node by rendezvous rank of the request id: of the own data centre if one is live there, else of any.
    [[nodiscard]] std::optional<std::string> chooseReplica(std::string_view requestId, std::set<std::string> const& excludedNodes) const override;

    [[nodiscard]] Core::Awaitable<std::optional<Peer::ReplicateReply>> replicate(std::string nodeId, Peer::ReplicateRequest, Core::MonotonicTime deadline, Core::Error&) override;

    [[nodiscard]] Core::Awaitable<std::optional<Peer::HandOverReply>> handOver(std::string nodeId, Peer::HandOverRequest, Core::MonotonicTime deadline, Core::Error&);

    [[nodiscard]] Core::Awaitable<std::optional<Peer::FindStreamReply>> findStream(std::string nodeId, std::string requestId, Core::MonotonicTime deadline, Core::Error&);

    /// Nodes that may hold the stream, the most probable first. At most `count`.
    [[nodiscard]] std::vector<std::string> probableHolders(std::string_view requestId, std::size_t count) const;

    /// A node that can take streams over from this one: outside the nodes that are leaving or excluded.
    [[nodiscard]] std::optional<std::string> chooseSuccessor(std::string_view requestId, std::set<std::string> const& excludedNodes) const { return chooseReplica(requestId, excludedNodes); }

    /// Nodes that will be reclaimed; they are not chosen any more.
    void excludeReclaimed(std::set<std::string> const& nodeIds) { m_reclaimedNodes.insert(nodeIds.begin(), nodeIds.end()); }

    /// A node that is not in the table counts as suspected until nothing was heard of the stream for 10 s: a node that has just
    /// started holds copies before it knows all rows.
    [[nodiscard]] Stream::OriginLiveness livenessOf(std::string_view nodeId, Core::Duration unchangedFor) const;

private:
    [[nodiscard]] std::vector<Membership::NodeRow const*> otherLiveNodes(std::set<std::string> const& excludedNodes) const;

    Membership::MembershipService const& m_membership;
    Peer::PeerClient& m_peers;
    std::set<std::string> m_reclaimedNodes;
};

}
