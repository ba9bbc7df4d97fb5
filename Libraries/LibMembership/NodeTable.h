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

/// The state that a node announces for itself. Leaving is final within an incarnation.
enum class NodeState {
    Live,
    Leaving,
};

/// The state of a node as the observing node derives it from heartbeats.
enum class Liveness {
    Live,
    Suspected,
    Dead,
};

/// One row of the node table. The first group of fields is set by the node itself.
struct NodeRow {
    std::string id;
    Core::Endpoint peerEndpoint;
    Core::Endpoint clientEndpoint;
    std::string dataCentre;
    std::string region;
    /// Set at the start of the process; a row with a higher incarnation replaces this one.
    std::uint64_t incarnation { 0 };
    std::uint64_t heartbeat { 0 };
    NodeState state { NodeState::Live };
    /// Generation of the configuration in effect on the node. Updated by its own exchanges, so it may be some seconds old.
    std::uint64_t configurationGeneration { 0 };

    /// Maintained by the observing node.
    Liveness liveness { Liveness::Live };
    Core::MonotonicTime lastHeartbeatAt {};
    Core::MonotonicTime markedDeadAt {};

    bool operator==(NodeRow const&) const = default;
};

/// Times without a new heartbeat after which a row is suspected or dead, and the time until a dead row is dropped.
struct ExpirySettings {
    Core::Duration suspectAfter { std::chrono::seconds(3) };
    Core::Duration deadAfter { std::chrono::seconds(6) };
    Core::Duration dropAfterDeath { std::chrono::seconds(60) };
    /// Heartbeats of other data centres arrive through relays at a lower rate, so their timeouts are longer by this factor.
    unsigned remoteFactor { 10 };

    bool operator==(ExpirySettings const&) const = default;
};

/// All nodes that this node knows, by id. Its own row never expires.
struct NodeTable {
    std::string ownId;
    std::string ownDataCentre;
    std::map<std::string, NodeRow, std::less<>> rows;
    /// Ids by row key.
    std::map<std::uint64_t, std::string> idsByKey;
    /// Endpoints of recently dropped rows by data centre, to reconnect to a data centre after a long partition.
    std::map<std::string, std::vector<Core::Endpoint>> formerEndpoints;

    [[nodiscard]] NodeRow const* find(std::string_view id) const;
    [[nodiscard]] NodeRow const& own() const;
};

/// The endpoint for peer calls to a node. Fails with PeerUnreachable (NotRun) if the table has no such node.
[[nodiscard]] std::optional<Core::Endpoint> peerEndpointOf(NodeTable const&, std::string_view id, Core::Error&);

/// Identifies one incarnation of a node: the upper 36 bits of XXH3. With 410 nodes a collision has a probability of about
/// 1 in 10^6, and lasts until one of the two nodes restarts.
[[nodiscard]] std::uint64_t rowKey(std::string_view id, std::uint64_t incarnation);

/// Packs a row key (36 bits) and a heartbeat counter (28 bits: 4 years at 2 a second) into one word, which halves the size
/// of a digest.
[[nodiscard]] std::uint64_t packHeartbeat(std::uint64_t key, std::uint64_t heartbeat);
[[nodiscard]] std::uint64_t unpackRowKey(std::uint64_t word);
[[nodiscard]] std::uint64_t unpackHeartbeat(std::uint64_t word);

/// Adds a row, or updates the existing one if the incarnation is higher, or equal with a higher heartbeat or generation or
/// the leaving state. Returns whether a row was added or replaced. A row with the id of this node is ignored.
bool mergeRow(NodeTable&, NodeRow const&, Core::MonotonicTime now);

/// The result of merging a digest.
struct DigestDifference {
    /// Keys of rows that are missing from the table.
    std::vector<std::uint64_t> unknownKeys;
    /// Ids of the rows whose heartbeat advanced.
    std::vector<std::string> advancedIds;

    bool operator==(DigestDifference const&) const = default;
};

/// Applies the packed heartbeats and leaving keys of a peer to the rows in the table.
[[nodiscard]] DigestDifference mergeDigest(NodeTable&, std::vector<std::uint64_t> const& heartbeats, std::vector<std::uint64_t> const& leavingKeys, Core::MonotonicTime now);

/// A change that expireNodes() made.
struct LivenessChange {
    std::string id;
    Liveness liveness { Liveness::Live };
    bool dropped { false };

    bool operator==(LivenessChange const&) const = default;
};

/// Marks rows as suspected or dead, and drops rows that have been dead for dropAfterDeath. Returns the changes.
std::vector<LivenessChange> expireNodes(NodeTable&, ExpirySettings const&, Core::MonotonicTime now);

/// Shifts the time of the last heartbeat of all rows by a pause of this process, during which it received none.
void compensateForPause(NodeTable&, Core::Duration pause);

/// Orders nodes by rendezvous hashing of the key with XXH3, the preferred first. Every node with the same set of ids gets the
/// same order, and a node that leaves the set does not change the order of the others. Thread safe.
[[nodiscard]] std::vector<NodeRow const*> rendezvousRank(std::string_view key, std::vector<NodeRow const*> nodes);

/// The rows that nodesOf() returns.
enum class NodeFilter {
    NotDead,
    LiveNotLeaving,
};

/// The rows of a data centre that match the filter, in the order of ids.
[[nodiscard]] std::vector<NodeRow const*> nodesOf(NodeTable const&, std::string_view dataCentre, NodeFilter);

/// The two relays of a data centre: its first live nodes by rendezvous rank. Fewer if it has fewer live nodes.
[[nodiscard]] std::vector<NodeRow const*> relaysOf(NodeTable const&, std::string_view dataCentre);

/// Whether this node is a relay of its data centre, according to its own table.
[[nodiscard]] bool isRelay(NodeTable const&);

/// Endpoints of the nodes to exchange with.
struct ExchangePartners {
    std::vector<Core::Endpoint> local;
    std::vector<Core::Endpoint> remote;

    bool operator==(ExchangePartners const&) const = default;
};

/// The partners that a round of exchanges includes.
enum class ExchangeRound {
    Local,
    LocalAndRemote,
};

/// Chooses one random partner of the data centre, and on a relay in a LocalAndRemote round one relay of a random other data
/// centre. If no partner is live, chooses a seed, a former or a dead node. To detect a healed partition, one round in 10 also
/// contacts a dead node, and one in 500 a seed, a former or a dead node. With one in 50, the seeds carried 15.6 KB/s at
/// 413 nodes.
[[nodiscard]] ExchangePartners chooseExchangePartners(NodeTable const&, std::vector<Core::Endpoint> const& seeds, ExchangeRound, Core::Random&);

}
