#pragma once

#include <LibStream/StreamReplicator.h>
#include <Node/DecisionLog.h>
#include <Node/ModelRunner.h>
#include <Node/StreamPeers.h>

namespace Node {

/// Which nodes are queried for a stream.
enum class SearchScope {
    /// Nodes that hold the stream unless membership changed; for requests that are probably new.
    Probable,
    All,
};

/// Moves streams to this node: those whose client continues here, those whose node died and whose replica is here, and those
/// that another node hands over. Hands streams over when this node drains. Used from the runtime's thread only.
class StreamTakeOver {
public:
    /// Precondition: all references outlive this object, which outlives its tasks.
    StreamTakeOver(Core::Runtime&, Stream::StreamTable&, Stream::StreamReplicator&, ModelRunner&, StreamPeers&, DecisionLog&, std::string nodeId);

    /// Ensures that this node serves the stream or holds its finished response. The copy with the highest epoch is fenced before
    /// it is read, so that the node that served the stream can send no more of it. Copies that do not contain the client's position
    /// (an event id, empty for the start) are ignored. Fails with StreamNotFound if no reachable node has a usable copy, and with
    /// StreamTakenOver if no copy could be fenced.
    [[nodiscard]] Core::Awaitable<bool> ensureLocal(std::string requestId, std::string position, SearchScope, Core::MonotonicTime deadline, Core::Error&);

    /// Takes over the streams whose replica is here and whose node is dead. Called on each tick.
    void takeOverOrphans();

    /// Accepts streams that another node hands over.
    [[nodiscard]] Peer::HandOverReply accept(Peer::HandOverRequest const&);

    /// Hands all streams that this node serves over to other nodes until the deadline. Returns how many remain here.
    [[nodiscard]] Core::Awaitable<std::size_t> handOverAll(Core::MonotonicTime deadline);

private:
    struct Copy {
        std::string nodeId;
        Peer::StreamRecord record;
    };

    [[nodiscard]] Core::Awaitable<std::optional<Copy>> findBestCopy(std::string requestId, std::string position, SearchScope, Core::MonotonicTime deadline);
    [[nodiscard]] Core::Awaitable<bool> fence(Copy const&, std::uint64_t epoch, Core::MonotonicTime deadline);
    [[nodiscard]] bool serveCopy(Peer::StreamRecord, std::uint64_t epoch, Core::Error&);
    void serve(Stream::Stream&, std::uint64_t epoch, std::string const& cause);
    [[nodiscard]] Core::Awaitable<bool> handOver(std::string requestId, std::set<std::string>& excluded, Core::MonotonicTime deadline);

    Core::Runtime& m_runtime;
    Stream::StreamTable& m_streams;
    Stream::StreamReplicator& m_replicator;
    ModelRunner& m_runner;
    StreamPeers& m_peers;
    DecisionLog& m_decisions;
    std::string m_nodeId;
};

}
