#pragma once

#include <LibMembership/MembershipService.h>
#include <LibPeer/PeerClient.h>
#include <Node/IntentForwarder.h>

namespace Node {

/// Chooses the writers of intents among the nodes of the region by rendezvous hashing, and calls them. Used from the runtime's
/// thread only.
class IntentPeers final : public IntentWriters {
public:
    /// Precondition: the references outlive this object.
    IntentPeers(Membership::MembershipService const&, Peer::PeerClient&);

    /// The first live node of the region by rank, and the first one in another data centre, which may reach the platform when
    /// the first cannot.
    [[nodiscard]] std::vector<std::string> writersFor(std::string const& shardName, std::set<std::string> const& excludedNodes) const override;

    [[nodiscard]] Core::Awaitable<std::optional<Peer::BeginIntentReply>> beginIntent(std::string nodeId, Peer::BeginIntentRequest, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<Peer::FinishIntentReply>> finishIntent(std::string nodeId, Peer::FinishIntentRequest, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] bool isGone(std::string const& claimant) const override;

private:
    Membership::MembershipService const& m_membership;
    Peer::PeerClient& m_peers;
};

/// Identifies one incarnation of a node in records that outlive it.
[[nodiscard]] std::string claimantName(std::string const& nodeId, std::uint64_t incarnation);
[[nodiscard]] std::string nodeIdOf(std::string const& claimant);

/// Whether the claimant is dead or has been replaced by a later incarnation, according to the node table.
[[nodiscard]] bool isClaimantGone(Membership::NodeTable const&, std::string const& claimant);

}
