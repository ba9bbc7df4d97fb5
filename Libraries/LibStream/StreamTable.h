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

/// What this node does for a stream.
enum class StreamRole {
    /// Generates the answer and replicates it.
    Serving,
    /// Holds a copy for the node that serves it.
    Replica,
    /// Served it until a higher epoch was seen; the entry only refuses late replication.
    TakenOver,
};

enum class StreamPhase {
    Running,
    Finished,
    Failed,
};

/// An accepted model request and the answer generated so far.
struct Stream {
    std::string requestId;
    /// Grows each time another node takes the stream over; lower epochs are refused.
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
    /// Set if the phase is Failed.
    Core::Error failure;
    /// Only for Serving: the node that holds the copy, empty if there is none.
    std::string replicaNodeId;
    /// Only for Serving: what the replica has acknowledged.
    std::uint64_t replicatedTokens { 0 };
    StreamPhase replicatedPhase { StreamPhase::Running };
    /// Whether the replica has the record at all.
    bool replicaHasRecord { false };
    Core::MonotonicTime changedAt;
    /// Notified at each change.
    std::shared_ptr<Core::AsyncEvent> changed;
};

/// The number of leading tokens that may be shown to the client: those that the replica has, or all if there is no replica.
/// A node that takes the stream over then continues from a prefix that holds everything the client has seen.
[[nodiscard]] std::uint64_t visibleTokens(Stream const&);

/// Whether the end of the stream may be shown to the client.
[[nodiscard]] bool isEndVisible(Stream const&);

/// A place in an answer: the number of tokens before it and a hash of them, so that a client that continues elsewhere is never
/// given the rest of a different answer.
struct StreamPosition {
    std::uint64_t count { 0 };
    std::uint64_t hash { 0 };

    bool operator==(StreamPosition const&) const = default;
};

/// The position after one more token. Thread safe.
[[nodiscard]] StreamPosition advancePosition(StreamPosition, std::string_view token);

/// The position after the first `count` tokens. Precondition: count <= tokens.size(). Thread safe.
[[nodiscard]] StreamPosition positionAfter(std::vector<std::string> const& tokens, std::uint64_t count);

/// The opaque form that clients get as the id of an event. Thread safe.
[[nodiscard]] std::string formatPosition(StreamPosition);

/// The position that an event id stands for. StreamDiverged if the id belongs to another answer, StreamNotFound if the
/// tokens do not reach it yet, InvalidRequest if it is malformed. Thread safe.
[[nodiscard]] std::optional<StreamPosition> parsePosition(std::vector<std::string> const& tokens, std::string_view eventId, Core::Error&);

/// Whether an answer can be continued from these tokens for a client at a position (an event id, empty for the start). Tokens
/// that do not reach it, or belong to another run, would lose what the client has seen. Thread safe.
[[nodiscard]] bool containsPosition(std::vector<std::string> const& tokens, std::string_view eventId);

/// Whether the left copy of a stream is newer: by its epoch, then by its tokens. Thread safe.
[[nodiscard]] bool isNewerCopy(Peer::StreamRecord const& left, Peer::StreamRecord const& right);

/// The part of the stream that the replica has not acknowledged, as a message; the request only if the replica lacks it.
[[nodiscard]] Peer::StreamRecord deltaRecord(Stream const&);

/// The whole stream as a message.
[[nodiscard]] Peer::StreamRecord fullRecord(Stream const&);

/// The streams of one node. Not thread safe.
class StreamTable {
public:
    /// At most maximumStreams are held; finished ones are dropped after the retention, running ones never.
    StreamTable(Core::Runtime&, std::size_t maximumStreams, Core::Duration retention);

    /// Null if the node does not know the stream. The pointer is valid until the stream is dropped by expire().
    [[nodiscard]] Stream* find(std::string_view requestId);
    [[nodiscard]] Stream const* find(std::string_view requestId) const;

    /// Adds a stream that this node serves. Overloaded if the table is full. Precondition: the id is not in the table.
    [[nodiscard]] Stream* add(Stream, Core::Error&);

    /// Applies a record from the node that serves the stream. A record with a higher epoch, or of a node with a higher id that
    /// serves it in the same epoch, makes a stream that is served here
    /// TakenOver by the sender, and never shortens the answer by itself.
    [[nodiscard]] Peer::StreamResult apply(Peer::StreamRecord const&);

    /// Makes this node the one that serves the stream, in the given epoch, without a replica yet.
    /// Precondition: the epoch is higher than the stream's, or the stream is new from a record applied here.
    void startServing(Stream&, std::uint64_t epoch, std::string ownNodeId);

    void appendToken(Stream&, std::string token);
    void finish(Stream&, std::string finishReason);
    void fail(Stream&, Core::Error const&);
    /// Marks a stream that is served here as continued elsewhere.
    void markTakenOver(Stream&, std::uint64_t epoch, std::string originNodeId);

    /// Wakes the tasks that wait for the stream.
    void notifyChanged(Stream&);

    /// Drops finished streams after the retention, and replicas that nothing was heard of for as long.
    void expire();

    /// Ids of the streams with a role, in the order of ids.
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

/// What a node that holds a replica knows of the node that serves the stream.
enum class OriginLiveness {
    Live,
    Suspected,
    Dead,
};

enum class TakeOverDecision {
    /// The origin serves it, or the stream needs nobody.
    NoAction,
    TakeOver,
};

/// Whether the holder of a replica takes the stream over without being asked: only once the origin is dead, since a second
/// run of a live stream costs its tokens again. Thread safe.
[[nodiscard]] TakeOverDecision decideTakeOver(Stream const&, OriginLiveness);

}
