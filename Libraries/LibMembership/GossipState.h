#pragma once

#include <LibCore/Runtime.h>
#include <LibMembership/NodeTable.h>
#include <LibPeer/PeerMessages.h>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Limits on the contents of a message and on the lifetimes of entries.
struct GossipLimits {
    std::size_t rowsPerMessage { 64 };
    /// Heartbeats of other data centres: new ones first, the rest a random choice.
    std::size_t remoteHeartbeatsPerMessage { 24 };
    std::size_t usagePerMessage { 8 };
    std::size_t entriesPerMessage { 512 };
    /// How many times a node forwards one new heartbeat of a node of another data centre.
    unsigned forwardsPerRemoteHeartbeat { 3 };
    /// Advance of a remote node's heartbeat after which it is forwarded again: 32 heartbeats are 16 s.
    std::uint64_t minimumForwardedProgress { 32 };
    /// Usage that is older than this many heartbeats of its node is dropped: 40 heartbeats are 20 s.
    std::uint64_t usageLifetimeHeartbeats { 40 };
    std::chrono::milliseconds markLifetime { std::chrono::minutes(10) };
    std::chrono::milliseconds quarantineLifetime { std::chrono::hours(1) };

    bool operator==(GossipLimits const&) const = default;
};

struct RemoteForward {
    std::uint64_t heartbeat { 0 };
    unsigned remaining { 0 };

    bool operator==(RemoteForward const&) const = default;
};

using MarkKey = std::pair<std::string, std::uint64_t>;

/// The state that a node gossips besides its node table.
struct GossipState {
    /// Expiry by server id and incarnation.
    std::map<MarkKey, std::int64_t> leavingMarks;
    /// Expiry by fingerprint.
    std::map<std::string, std::int64_t, std::less<>> quarantine;
    /// By node key and team hash.
    std::map<std::pair<std::uint64_t, std::uint32_t>, Peer::UsageEntry> usage;
    /// Heartbeats of nodes of other data centres that are being forwarded, by row key.
    std::map<std::uint64_t, RemoteForward> forwards;
    /// Entries added since the last urgent exchanges.
    std::vector<MarkKey> recentMarks;
    std::vector<std::string> recentQuarantine;
};

/// The lower 32 bits of XXH3 of the team's name. Thread safe.
[[nodiscard]] std::uint32_t teamHash(std::string_view team);

/// Removes expired entries. wallMilliseconds is the time since the Unix epoch.
void expireGossipState(NodeTable const&, GossipState&, GossipLimits const&, std::int64_t wallMilliseconds);

/// Adds an entry, or extends the expiry of an existing one. Expiries are capped at the maximum lifetime. Returns whether the
/// entry is new.
bool addLeavingMark(GossipState&, GossipLimits const&, Peer::LeavingMark const&, std::int64_t wallMilliseconds);
bool addQuarantine(GossipState&, GossipLimits const&, Peer::QuarantineEntry const&, std::int64_t wallMilliseconds);

/// The row with all its attributes, as sent to nodes that do not have it.
[[nodiscard]] Peer::NodeEntry toEntry(NodeRow const&);

/// Whether a partner is expected to be in the same data centre. Usage is not sent to other data centres.
enum class PartnerLocation {
    SameDataCentre,
    OtherDataCentre,
};

/// The request that opens an exchange: the complete digest of this node's data centre, some heartbeats of others, hashes and
/// usage.
[[nodiscard]] Peer::ExchangeMessage createExchangeMessage(NodeTable const&, GossipState&, GossipLimits const&, PartnerLocation, Core::Random&);

/// A message with recent leaving marks and quarantine entries and the configuration generation, sent as soon as they change.
[[nodiscard]] Peer::ExchangeMessage createUrgentMessage(NodeTable const&, GossipState const&);

/// The changes made by merging a message.
struct MergeResult {
    std::vector<std::uint64_t> unknownKeys;
    std::vector<std::string> newRows;
    std::vector<MarkKey> newMarks;
    bool newQuarantine { false };

    bool operator==(MergeResult const&) const = default;
};

/// Applies a received message. Expired entries are ignored; expiries are capped at the maximum lifetime.
[[nodiscard]] MergeResult mergeMessage(NodeTable&, GossipState&, GossipLimits const&, Peer::ExchangeMessage const&, Core::MonotonicTime now, std::int64_t wallMilliseconds);

/// The reply to a received message, after merging it: only what the sender's digest shows to be missing or older there.
/// maximumRowBytes bounds the encoded size of full rows.
[[nodiscard]] Peer::ExchangeMessage createReplyMessage(NodeTable const&, GossipState&, GossipLimits const&, Peer::ExchangeMessage const& received, MergeResult const&, std::size_t maximumRowBytes, Core::Random&);

/// The second message of the node that opened the exchange, if the reply requests rows or differs in marks or quarantine
/// entries; empty otherwise.
[[nodiscard]] std::optional<Peer::ExchangeMessage> createFollowUpMessage(NodeTable const&, GossipState const&, GossipLimits const&, Peer::ExchangeMessage const& reply, MergeResult const&, std::size_t maximumRowBytes);

}
