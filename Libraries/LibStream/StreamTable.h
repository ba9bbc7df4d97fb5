#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibPeer/PeerMessages.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stream {

/// The role of this node for a stream.
enum class StreamRole {
    /// Generates the output and replicates it.
    Serving,
    /// Holds a copy for the node that serves the stream.
    Replica,
    /// Served the stream until a higher epoch was seen; the entry is kept to refuse delayed records of lower epochs.
    TakenOver,
};

enum class StreamPhase {
    Running,
    Finished,
    Failed,
};

/// An accepted model request and the output generated so far.
struct Stream {
    std::string requestId;
    /// Increases each time another node takes the stream over; records with lower epochs are refused.
    std::uint64_t epoch { 1 };
    /// The node that serves the stream in this epoch.
    std::string originNodeId;
    std::string team;
    std::string service;
    std::string requestJson;
    std::vector<std::string> tokens;
    StreamRole role { StreamRole::Serving };
    StreamPhase phase { StreamPhase::Running };
    std::string finishReason;
    /// Only set in phase Failed.
    Core::Error failure;
    /// Only for Serving: the node that holds the replica, empty if there is none.
    std::string replicaNodeId;
    /// Only for Serving: the number of tokens and the phase that the replica has acknowledged.
    std::uint64_t replicatedTokens { 0 };
    StreamPhase replicatedPhase { StreamPhase::Running };
    /// Only for Serving: whether the replica has a record of the stream.
    bool replicaHasRecord { false };
    Core::MonotonicTime changedAt;
    /// Notified at each change.
    std::shared_ptr<Core::AsyncEvent> changed;
};

/// Returns the number of leading tokens that may be sent to the client: those that the replica has, or all if there is no
/// replica. A node that takes the stream over thus has all tokens that the client has received.
[[nodiscard]] std::uint64_t visibleTokens(Stream const&);

/// Whether the end of the stream may be sent to the client.
[[nodiscard]] bool isEndVisible(Stream const&);

/// A position in the output: the number of tokens before it and a hash of them. The hash prevents a client that continues at
/// another node from receiving the rest of a different output.
struct StreamPosition {
    std::uint64_t count { 0 };
    std::uint64_t hash { 0 };

    bool operator==(StreamPosition const&) const = default;
};

/// Returns the position after one more token. Thread safe.
[[nodiscard]] StreamPosition advancePosition(StreamPosition, std::string_view token);

/// Returns the position after the first `count` tokens. Precondition: count <= tokens.size(). Thread safe.
[[nodiscard]] StreamPosition positionAfter(std::vector<std::string> const& tokens, std::uint64_t count);

/// Formats a position as the opaque event id sent to clients. Thread safe.
[[nodiscard]] std::string formatPosition(StreamPosition);

/// Parses an event id. Fails with StreamDiverged if the id belongs to a different output, with StreamNotFound if there are
/// fewer tokens than its position, and with InvalidRequest if it is malformed. Thread safe.
[[nodiscard]] std::optional<StreamPosition> parsePosition(std::vector<std::string> const& tokens, std::string_view eventId, Core::Error&);

/// Whether the output can be continued from these tokens for a client at the position of an event id (empty for the start).
/// False if there are fewer tokens, or if they differ from those that the client has received. Thread safe.
[[nodiscard]] bool containsPosition(std::vector<std::string> const& tokens, std::string_view eventId);

/// Whether the left copy of a stream is newer: it has a higher epoch, or the same epoch and more tokens. Thread safe.
[[nodiscard]] bool isNewerCopy(Peer::StreamRecord const& left, Peer::StreamRecord const& right);

/// Returns a message with the part of the stream that the replica has not acknowledged, including the request only if the
/// replica lacks it.
[[nodiscard]] Peer::StreamRecord deltaRecord(Stream const&);

/// Returns a message with the whole stream.
[[nodiscard]] Peer::StreamRecord fullRecord(Stream const&);

/// The streams of one node. Not thread safe.
class StreamTable {
public:
    /// Holds at most maximumStreams streams. Finished streams expire after the retention, running streams served here never.
    StreamTable(Core::Runtime&, std::size_t maximumStreams, Core::Duration retention);

    /// Returns null if the stream is not in the table. The pointer is valid until the stream is removed by expire(), add() or
    /// apply().
    [[nodiscard]] Stream* find(std::string_view requestId);
    [[nodiscard]] Stream const* find(std::string_view requestId) const;

    /// Adds a stream that this node serves. Fails with Overloaded if the table is full and no stream in it can be evicted.
    /// Precondition: the id is not in the table.
    [[nodiscard]] Stream* add(Stream, Core::Error&);

    /// Applies a record from the node that serves the stream. If the stream is served here, a record with a higher epoch, or
    /// with the same epoch from a node with a higher id, makes this node a replica of the sender. A record that only announces
    /// an epoch does not shorten the output.
    [[nodiscard]] Peer::StreamResult apply(Peer::StreamRecord const&);

    /// Makes this node serve the stream in the given epoch, without a replica yet.
    /// Precondition: the epoch is higher than the stream's, or the stream is new from a record applied here.
    void startServing(Stream&, std::uint64_t epoch, std::string ownNodeId);

    void appendToken(Stream&, std::string token);
    void finish(Stream&, std::string finishReason);
    void fail(Stream&, Core::Error const&);
    /// Marks a stream that is served here as taken over by another node (empty if unknown).
    void markTakenOver(Stream&, std::uint64_t epoch, std::string originNodeId);

    /// Wakes the tasks that wait for a change of the stream.
    void notifyChanged(Stream&);

    /// Removes all streams that have not changed for the retention, except running ones that this node serves.
    void expire();

    /// Returns the ids of the streams with the given role, in ascending order.
    [[nodiscard]] std::vector<std::string> idsWithRole(StreamRole) const;

    [[nodiscard]] std::size_t size() const { return m_streams.size(); }

private:
    [[nodiscard]] Stream& insert(Stream);
    [[nodiscard]] bool makeRoom();

    Core::Runtime& m_runtime;
    std::size_t m_maximumStreams;
    Core::Duration m_retention;
    std::map<std::string, std::unique_ptr<Stream>, std::less<>> m_streams;
};

/// Liveness of the node that serves a stream, as seen by the node that holds the replica.
enum class OriginLiveness {
    Live,
    Suspected,
    Dead,
};

enum class TakeOverDecision {
    /// The origin may still serve the stream, or the stream has ended.
    NoAction,
    TakeOver,
};

/// Decides whether the node that holds the replica takes the stream over on its own initiative. It does so only once the
/// origin is dead, since a second run of a live stream would generate its tokens again. Thread safe.
[[nodiscard]] TakeOverDecision decideTakeOver(Stream const&, OriginLiveness);

}
