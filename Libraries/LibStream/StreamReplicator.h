#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Runtime.h>
#include <LibStream/StreamTable.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Stream {

/// Chooses nodes as replicas and sends records to them. Called on the runtime's thread only.
class ReplicaPeers {
public:
    virtual ~ReplicaPeers() = default;

    /// Returns the node to hold the replica of a stream, or nothing if no other node can.
    [[nodiscard]] virtual std::optional<std::string> chooseReplica(std::string_view requestId, std::set<std::string> const& excludedNodes) const = 0;

    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::ReplicateReply>> replicate(std::string nodeId, Peer::ReplicateRequest, Core::MonotonicTime deadline, Core::Error&) = 0;
};

struct ReplicationSettings {
    std::string ownNodeId;
    Core::Duration callTimeout { std::chrono::milliseconds(500) };
    /// Minimum time between the starts of two calls to one replica; changes in between are batched into the next call.
    Core::Duration minimumInterval { std::chrono::milliseconds(5) };
    /// A call that ends this long after its deadline indicates that this process was paused.
    Core::Duration pauseTolerance { std::chrono::seconds(1) };
    /// How long a node is not chosen again after a failure.
    Core::Duration failedNodeBackoff { std::chrono::seconds(3) };
    std::size_t maximumRecordsPerCall { 256 };
};

/// Replicates the streams that this node serves to other nodes. Changes of all streams with the same replica are batched, with
/// one call in flight per replica, so that the number of calls does not grow with the number of tokens. Not thread safe.
class StreamReplicator {
public:
    /// Precondition: the arguments outlive the replicator, and the replicator outlives its tasks on the runtime.
    StreamReplicator(Core::Runtime&, StreamTable&, ReplicaPeers&, Core::Metrics&, ReplicationSettings);

    /// Chooses a replica for a stream that this node serves, and sends it the record.
    void start(Stream&);

    /// Schedules sending the part of a stream that the replica lacks.
    void streamChanged(Stream&);

    /// Waits until the replica has the record, or no node can hold one. Fails with StreamTakenOver if another node serves the
    /// stream, and with DeadlineExceeded (NotRun) at the deadline.
    [[nodiscard]] Core::Awaitable<bool> waitUntilRecorded(std::string requestId, Core::MonotonicTime deadline, Core::Error&);

    /// Chooses new replicas for all streams whose replica is one of the given nodes, for example before these are reclaimed.
    void moveReplicasFrom(std::set<std::string> const& nodeIds);

    /// Chooses replicas for the streams without one, if a node can hold them.
    void assignMissingReplicas();

private:
    struct Target {
        std::set<std::string> dirtyStreams;
        bool sending { false };
        Core::MonotonicTime lastSentAt;
    };

    void assignReplica(Stream&);
    void markDirty(Stream&);
    [[nodiscard]] std::set<std::string> nodesInBackoff() const;
    [[nodiscard]] Core::Awaitable<void> sendAll(std::string nodeId);
    [[nodiscard]] Peer::ReplicateRequest takeBatch(Target&, std::string const& nodeId);
    void applyReply(std::string const& nodeId, Peer::ReplicateRequest const&, Peer::ReplicateReply const&);
    void applyResult(Stream&, Peer::StreamRecord const&, Peer::StreamResult const&);
    void handleFailure(std::string const& nodeId, Peer::ReplicateRequest const&);
    [[nodiscard]] Stream* findReplicatedTo(std::string const& requestId, std::string const& nodeId);

    Core::Runtime& m_runtime;
    StreamTable& m_streams;
    ReplicaPeers& m_peers;
    ReplicationSettings m_settings;
    Core::Counter& m_calls;
    Core::Counter& m_records;
    std::map<std::string, Target> m_targets;
    std::map<std::string, Core::MonotonicTime> m_backoffUntil;
};

}
