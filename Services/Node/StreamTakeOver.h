#pragma once

#include <LibStream/StreamReplicator.h>
#include <Node/DecisionLog.h>
#include <Node/ModelRunner.h>
#include <Node/StreamPeers.h>

namespace Node {

/// Which nodes are asked for a stream.
enum class SearchScope {
    /// Those that hold it unless membership changed; for requests that are probably new.
    Probable,
    All,
};

/// Brings streams to this node: those whose client continues here, those whose node died while this one held the copy, and
/// those that another node hands over. Used from the runtime's thread only.
class StreamTakeOver {
public:
    /// Precondition: all references outlive this object, which outlives its tasks.
    StreamTakeOver(Core::Runtime&, Stream::StreamTable&, Stream::StreamReplicator&, ModelRunner&, StreamPeers&, DecisionLog&, std::string nodeId);

    /// Makes sure that this node serves the stream, or holds its finished answer. The copy with the highest epoch is fenced
    /// before it is read, so that the node that served the stream can show nothing more. Copies that do not hold the client's
    /// position (an event id, empty for the start) are passed over. StreamNotFound if no reachable node has a usable one.
    [[nodiscard]] Core::Awaitable<bool> ensureLocal(std::string requestId, std::string position, SearchScope, Core::MonotonicTime deadline, Core::Error&);

    /// Takes over the streams whose copy is here and whose node is dead. Run each tick.
    void adoptOrphans();

    /// Accepts streams that another node hands over.
    [[nodiscard]] Peer::HandOverReply accept(Peer::HandOverRequest const&);

    /// Hands all streams served here over to other nodes, at most until the deadline. Returns how many remain here.
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
