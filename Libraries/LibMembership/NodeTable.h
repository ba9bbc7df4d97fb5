#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The state a node announces for itself. Never goes back from Leaving within an incarnation.
enum class NodeState {
    Live,
    Leaving,
};

/// What the observing node concludes from the progress of a row's heartbeat.
enum class Liveness {
    Live,
    Suspected,
    Dead,
};

/// One row of the node table. The first group of fields is owned by the node itself.
struct NodeRow {
    std::string id;
    Core::Endpoint peerEndpoint;
    Core::Endpoint clientEndpoint;
    std::string dataCentre;
    std::string region;
    /// Set at the start of the process; a higher one replaces the row.
    std::uint64_t incarnation { 0 };
    std::uint64_t heartbeat { 0 };
    NodeState state { NodeState::Live };
    /// Of the configuration in effect on the node. Updated by its own exchanges, so it may be some seconds old.
    std::uint64_t configurationGeneration { 0 };

    /// Kept by the observing node.
    Liveness liveness { Liveness::Live };
    Core::MonotonicTime lastHeartbeatAt {};
    Core::MonotonicTime markedDeadAt {};

    bool operator==(NodeRow const&) const = default;
};

/// How long a row may go without progress of its heartbeat.
struct ExpirySettings {
    Core::Duration suspectAfter { std::chrono::seconds(3) };
    Core::Duration deadAfter { std::chrono::seconds(6) };
    Core::Duration dropAfterDeath { std::chrono::seconds(60) };
    /// Rows of other data centres come through relays at a lower rate, so their times are longer by this factor.
    unsigned remoteFactor { 10 };

    bool operator==(ExpirySettings const&) const = default;
};

/// All nodes that one node knows, by id. The own row never expires.
struct NodeTable {
    std::string ownId;
    std::string ownDataCentre;
    std::map<std::string, NodeRow, std::less<>> rows;
    /// Ids by row key.
    std::map<std::uint64_t, std::string> idsByKey;
    /// Some endpoints of dropped rows by data centre, to find a data centre again after a long partition.
    std::map<std::string, std::vector<Core::Endpoint>> formerEndpoints;

    [[nodiscard]] NodeRow const* find(std::string_view id) const;
    [[nodiscard]] NodeRow const& own() const;
};

/// Where a node answers peers; PeerUnreachable (NotRun) if the table has no such node.
[[nodiscard]] std::optional<Core::Endpoint> peerEndpointOf(NodeTable const&, std::string_view id, Core::Error&);

/// Identifies one incarnation of a node: the lower 36 bits of XXH3. With 410 nodes a collision has a probability of about
/// 1 in 10^6, and ends with the next start of one of the two nodes.
[[nodiscard]] std::uint64_t rowKey(std::string_view id, std::uint64_t incarnation);

/// Packs a row key (36 bits) and a heartbeat counter (28 bits: 4 years at 2 a second) into one word, which halves the size
/// of a digest.
[[nodiscard]] std::uint64_t packHeartbeat(std::uint64_t key, std::uint64_t heartbeat);
[[nodiscard]] std::uint64_t unpackRowKey(std::uint64_t word);
[[nodiscard]] std::uint64_t unpackHeartbeat(std::uint64_t word);

/// Adds a row, or updates the existing one if the incarnation is higher, or equal with a higher heartbeat or generation or
/// the leaving state. Returns whether the row is new to the table. A row with the own id is ignored.
bool mergeRow(NodeTable&, NodeRow const&, Core::MonotonicTime now);

/// What a merged digest leaves to do.
struct DigestDifference {
    /// Keys of rows the table does not have.
    std::vector<std::uint64_t> unknownKeys;
    /// Rows whose heartbeat made progress, by id.
    std::vector<std::string> advancedIds;

    bool operator==(DigestDifference const&) const = default;
};

/// Applies packed heartbeats and leaving keys of a peer to the rows that the table has.
[[nodiscard]] DigestDifference mergeDigest(NodeTable&, std::vector<std::uint64_t> const& heartbeats, std::vector<std::uint64_t> const& leavingKeys, Core::MonotonicTime now);

/// A change that expireNodes() made.
struct LivenessChange {
    std::string id;
    Liveness liveness { Liveness::Live };
    bool dropped { false };

    bool operator==(LivenessChange const&) const = default;
};

/// Marks rows suspected or dead, and drops rows some time after their death. Returns the changes.
std::vector<LivenessChange> expireNodes(NodeTable&, ExpirySettings const&, Core::MonotonicTime now);

/// Moves the time of the last progress of all rows, after the own process was paused and could hear of none.
void compensateForPause(NodeTable&, Core::Duration pause);

/// Orders nodes by rendezvous hashing of the key with XXH3, the preferred first. Every node with the same set of ids gets the
/// same order, and a node that leaves the set does not change the order of the others. Thread safe.
[[nodiscard]] std::vector<NodeRow const*> rendezvousRank(std::string_view key, std::vector<NodeRow const*> nodes);

/// The rows of a data centre that are not dead (and not leaving, if only live ones are asked for), in the order of ids.
enum class NodeFilter {
    NotDead,
    LiveNotLeaving,
};
[[nodiscard]] std::vector<NodeRow const*> nodesOf(NodeTable const&, std::string_view dataCentre, NodeFilter);

/// The two relays of a data centre: its first live nodes by rank. Fewer if the data centre has fewer.
[[nodiscard]] std::vector<NodeRow const*> relaysOf(NodeTable const&, std::string_view dataCentre);

/// Whether the own node is a relay of its data centre, as far as it knows.
[[nodiscard]] bool isRelay(NodeTable const&);

/// Endpoints to exchange with.
struct ExchangePartners {
    std::vector<Core::Endpoint> local;
    std::vector<Core::Endpoint> remote;

    bool operator==(ExchangePartners const&) const = default;
};

/// Which kinds of partners are due.
enum class ExchangeRound {
    Local,
    LocalAndRemote,
};

/// Chooses one random partner of the data centre, and on a relay in a LocalAndRemote round one relay of a random other data
/// centre. Without a live partner a seed or a node believed dead is chosen. Some rounds contact one in addition, so that a
/// healed partition is noticed: one in 10 a dead row, one in 500 a seed or a former node. With one
/// in 50, the seeds carried 15.6 KB/s at 413 nodes.
[[nodiscard]] ExchangePartners chooseExchangePartners(NodeTable const&, std::vector<Core::Endpoint> const& seeds, ExchangeRound, Core::Random&);

}
