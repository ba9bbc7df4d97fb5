#include <Node/IntentPeers.h>

#include <algorithm>

namespace Node {

using Membership::NodeRow;

static constexpr char incarnationSeparator = '/';

std::string claimantName(std::string const& nodeId, std::uint64_t incarnation)
{
    return nodeId + incarnationSeparator + std::to_string(incarnation);
}

std::string nodeIdOf(std::string const& claimant)
{
    return claimant.substr(0, claimant.rfind(incarnationSeparator));
}

bool isClaimantGone(Membership::NodeTable const& nodes, std::string const& claimant)
{
    auto const* row = nodes.find(nodeIdOf(claimant));
    // An unknown node may be live in a data centre whose rows have not been received yet.
    if (!row)
        return false;
    return row->liveness == Membership::Liveness::Dead || claimantName(row->id, row->incarnation) != claimant;
}

IntentPeers::IntentPeers(Membership::MembershipService const& membership, Peer::PeerClient& peers)
    : m_membership(membership)
    , m_peers(peers)
{
}

std::vector<std::string> IntentPeers::writersFor(std::string const& shardName, std::set<std::string> const& excludedNodes) const
{
    auto const& table = m_membership.nodes();
    std::vector<NodeRow const*> candidates;
    for (auto const& [id, row] : table.rows) {
        bool const usable = row.liveness == Membership::Liveness::Live && row.state == Membership::NodeState::Live && row.region == table.own().region;
        if (usable && !excludedNodes.contains(id))
            candidates.push_back(&row);
    }
    auto const ranked = Membership::rendezvousRank(shardName, std::move(candidates));
    std::vector<std::string> writers;
    for (auto const* row : ranked) {
        if (writers.empty() || row->dataCentre != ranked.front()->dataCentre)
            writers.push_back(row->id);
        static constexpr std::size_t maximumWriters = 2;
        if (writers.size() == maximumWriters)
            break;
    }
    return writers;
}

Core::Awaitable<std::optional<Peer::BeginIntentReply>> IntentPeers::beginIntent(std::string nodeId, Peer::BeginIntentRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const endpoint = Membership::peerEndpointOf(m_membership.nodes(), nodeId, error);
    if (!endpoint)
        co_return std::nullopt;
    co_return co_await m_peers.beginIntent(*endpoint, std::move(request), deadline, error);
}

Core::Awaitable<std::optional<Peer::FinishIntentReply>> IntentPeers::finishIntent(std::string nodeId, Peer::FinishIntentRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const endpoint = Membership::peerEndpointOf(m_membership.nodes(), nodeId, error);
    if (!endpoint)
        co_return std::nullopt;
    co_return co_await m_peers.finishIntent(*endpoint, std::move(request), deadline, error);
}

bool IntentPeers::isGone(std::string const& claimant) const
{
    return isClaimantGone(m_membership.nodes(), claimant);
}

}
