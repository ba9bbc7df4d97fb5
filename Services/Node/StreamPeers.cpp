#include <Node/StreamPeers.h>

#include <algorithm>

namespace Node {

using Membership::Liveness;
using Membership::NodeRow;

StreamPeers::StreamPeers(Membership::MembershipService const& membership, Peer::PeerClient& peers)
    : m_membership(membership)
    , m_peers(peers)
{
}

std::vector<NodeRow const*> StreamPeers::otherLiveNodes(std::set<std::string> const& excludedNodes) const
{
    std::vector<NodeRow const*> nodes;
    auto const& table = m_membership.nodes();
    for (auto const& [id, row] : table.rows) {
        bool const usable = row.liveness == Liveness::Live && row.state == Membership::NodeState::Live;
        if (usable && id != table.ownId && !excludedNodes.contains(id) && !m_reclaimedNodes.contains(id))
            nodes.push_back(&row);
    }
    return nodes;
}

std::optional<std::string> StreamPeers::chooseReplica(std::string_view requestId, std::set<std::string> const& excludedNodes) const
{
    auto nodes = Membership::rendezvousRank(requestId, otherLiveNodes(excludedNodes));
    std::stable_partition(nodes.begin(), nodes.end(), [&](auto const* row) { return row->dataCentre == m_membership.nodes().ownDataCentre; });
    if (nodes.empty())
        return std::nullopt;
    return nodes.front()->id;
}

std::vector<std::string> StreamPeers::probableHolders(std::string_view requestId, std::size_t count) const
{
    std::vector<NodeRow const*> nodes;
    for (auto const& [id, row] : m_membership.nodes().rows) {
        if (id != m_membership.nodes().ownId && row.liveness != Liveness::Dead)
            nodes.push_back(&row);
    }
    std::vector<std::string> ids;
    for (auto const* row : Membership::rendezvousRank(requestId, std::move(nodes))) {
        if (ids.size() == count)
            break;
        ids.push_back(row->id);
    }
    return ids;
}

Stream::OriginLiveness StreamPeers::livenessOf(std::string_view nodeId, Core::Duration unchangedFor) const
{
    static constexpr auto unknownNodeTimeout = std::chrono::seconds(10);
    auto const* row = m_membership.nodes().find(nodeId);
    if (!row)
        return unchangedFor > unknownNodeTimeout ? Stream::OriginLiveness::Dead : Stream::OriginLiveness::Suspected;
    if (row->liveness == Liveness::Dead)
        return Stream::OriginLiveness::Dead;
    return row->liveness == Liveness::Live ? Stream::OriginLiveness::Live : Stream::OriginLiveness::Suspected;
}

Core::Awaitable<std::optional<Peer::ReplicateReply>> StreamPeers::replicate(std::string nodeId, Peer::ReplicateRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const endpoint = Membership::peerEndpointOf(m_membership.nodes(), nodeId, error);
    if (!endpoint)
        co_return std::nullopt;
    co_return co_await m_peers.replicate(*endpoint, std::move(request), deadline, error);
}

Core::Awaitable<std::optional<Peer::HandOverReply>> StreamPeers::handOver(std::string nodeId, Peer::HandOverRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const endpoint = Membership::peerEndpointOf(m_membership.nodes(), nodeId, error);
    if (!endpoint)
        co_return std::nullopt;
    co_return co_await m_peers.handOver(*endpoint, std::move(request), deadline, error);
}

Core::Awaitable<std::optional<Peer::FindStreamReply>> StreamPeers::findStream(std::string nodeId, std::string requestId, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const endpoint = Membership::peerEndpointOf(m_membership.nodes(), nodeId, error);
    if (!endpoint)
        co_return std::nullopt;
    Peer::FindStreamRequest request;
    request.requestId = std::move(requestId);
    co_return co_await m_peers.findStream(*endpoint, std::move(request), deadline, error);
}

}
