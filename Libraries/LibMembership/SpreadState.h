#pragma once

#include <LibCore/Runtime.h>
#include <LibMembership/NodeTable.h>
#include <LibPeer/PeerMessages.h>
#include <map>
#include <string>
#include <vector>

namespace Membership {

/// The part of a message that the byte budget does not decide.
struct SpreadLimits {
    std::size_t rowsPerMessage { 64 };
    std::size_t remoteHeartbeatsPerMessage { 48 };
    std::size_t usagePerMessage { 12 };
    std::size_t marksPerMessage { 512 };
    /// How often a node passes on one new heartbeat of a row of another data centre.
    unsigned remoteForwards { 3 };
    /// Progress of a remote row's heartbeat that is worth passing on: 16 heartbeats are 8 s.
    std::uint64_t remoteHeartbeatStep { 16 };
    /// Usage older than this is left out.
    Core::Duration usageLifetime { std::chrono::seconds(15) };

    bool operator==(SpreadLimits const&) const = default;
};

struct RemoteForward {
    std::uint64_t heartbeat { 0 };
    unsigned remaining { 0 };

    bool operator==(RemoteForward const&) const = default;
};

struct ReceivedUsage {
    Peer::UsageEntry entry;
    Core::MonotonicTime receivedAt {};

    bool operator==(ReceivedUsage const&) const = default;
};

/// Everything a node spreads besides its node table.
struct SpreadState {
    /// Expiry by server id and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, std::int64_t> leavingMarks;
    /// Expiry by fingerprint.
    std::map<std::string, std::int64_t, std::less<>> quarantine;
    /// By node key and team hash.
    std::map<std::pair<std::uint64_t, std::uint32_t>, ReceivedUsage> usage;
    /// By row key, for rows of other data centres.
    std::map<std::uint64_t, RemoteForward> forwards;
};

/// The lower half of XXH3 of the team's name. Thread safe.
[[nodiscard]] std::uint32_t teamHash(std::string_view team);

/// Removes what has expired. wallMilliseconds is the time since the Unix epoch.
void expireSpread(SpreadState&, SpreadLimits const&, Core::MonotonicTime now, std::int64_t wallMilliseconds);

/// Whether a message goes to a node of the same data centre.
enum class PartnerPlace {
    Same,
    Other,
};

/// The request that opens an exchange: complete digest of the own data centre, some heartbeats of others, hashes, usage.
[[nodiscard]] Peer::ExchangeMessage openExchange(NodeTable const&, SpreadState&, SpreadLimits const&, PartnerPlace, Core::Random&);

/// A message that carries new leaving marks and quarantine entries only, sent at once when they become known.
[[nodiscard]] Peer::ExchangeMessage openUrgentExchange(NodeTable const&, SpreadState const&, SpreadLimits const&, PartnerPlace);

/// What merging a message changed.
struct MergeResult {
    std::vector<std::uint64_t> unknownKeys;
    std::vector<std::string> newRows;
    /// Whether leaving marks or quarantine entries were new.
    bool newMarks { false };

    bool operator==(MergeResult const&) const = default;
};

/// Applies a received message. Entries that expired or reach beyond the longest lifetime are ignored or cut.
[[nodiscard]] MergeResult mergeMessage(NodeTable&, SpreadState&, SpreadLimits const&, Peer::ExchangeMessage const&, Core::MonotonicTime now, std::int64_t wallMilliseconds);

/// The answer to a received message, after merging it: only what the sender's digest shows to be missing or older there.
/// rowBytes bounds the encoded size of full rows.
[[nodiscard]] Peer::ExchangeMessage answerMessage(NodeTable const&, SpreadState&, SpreadLimits const&, Peer::ExchangeMessage const& received, MergeResult const&, std::size_t rowBytes, Core::Random&);

/// The second message of the opening node, if the answer asks for rows or shows differences; empty otherwise.
[[nodiscard]] std::optional<Peer::ExchangeMessage> followUp(NodeTable const&, SpreadState const&, SpreadLimits const&, Peer::ExchangeMessage const& answer, MergeResult const&, std::size_t rowBytes);

/// The bytes of the message in Cap'n Proto's encoding, without the envelope of the call.
[[nodiscard]] std::size_t encodedBytes(Peer::ExchangeMessage const&);

}
