#include <Node/StreamTakeOver.h>

#include <LibCore/Log.h>

namespace Node {

using Core::ErrorKind;
using Stream::StreamPhase;
using Stream::StreamRole;
using namespace std::chrono_literals;

static constexpr auto peerCallTimeout = 500ms;

StreamTakeOver::StreamTakeOver(Core::Runtime& runtime, Stream::StreamTable& streams, Stream::StreamReplicator& replicator, ModelRunner& runner, StreamPeers& peers, DecisionLog& decisions, std::string nodeId)
    : m_runtime(runtime)
    , m_streams(streams)
    , m_replicator(replicator)
    , m_runner(runner)
    , m_peers(peers)
    , m_decisions(decisions)
    , m_nodeId(std::move(nodeId))
{
}

void StreamTakeOver::serve(Stream::Stream& stream, std::uint64_t epoch, std::string const& cause)
{
    m_streams.startServing(stream, epoch, m_nodeId);
    m_replicator.start(stream);
    Core::logEvent(Core::LogLevel::Info, "stream_served", { { "request_id", stream.requestId }, { "epoch", epoch }, { "tokens", stream.tokens.size() }, { "cause", cause } });
    m_decisions.add(stream.requestId, "continues at this node in epoch " + std::to_string(epoch) + " from token " + std::to_string(stream.tokens.size()) + ": " + cause);
    if (stream.phase == StreamPhase::Running)
        m_runner.start(stream.requestId);
}

void StreamTakeOver::takeOverOrphans()
{
    for (auto const& id : m_streams.idsWithRole(StreamRole::Replica)) {
        auto* stream = m_streams.find(id);
        if (Stream::decideTakeOver(*stream, m_peers.livenessOf(stream->originNodeId, m_runtime.now() - stream->changedAt)) == Stream::TakeOverDecision::TakeOver)
            serve(*stream, stream->epoch + 1, "node " + stream->originNodeId + " is dead");
    }
}

Core::Awaitable<std::optional<StreamTakeOver::Copy>> StreamTakeOver::findBestCopy(std::string requestId, std::string position, SearchScope scope, Core::MonotonicTime deadline)
{
    // The node that holds a copy is nearly always among the first two by rank; it has a lower rank only after membership changed.
    static constexpr std::size_t maximumHolders = 64;
    static constexpr std::size_t probableCopies = 3;
    std::optional<Copy> best;
    std::size_t queriedNodes = 0;
    auto holders = m_peers.probableHolders(requestId, scope == SearchScope::All ? maximumHolders : probableCopies);
    // The local copy may be out of date if the node that serves the stream has since chosen another replica.
    auto const* local = m_streams.find(requestId);
    if (local && local->role == StreamRole::Replica && m_peers.livenessOf(local->originNodeId, m_runtime.now() - local->changedAt) != Stream::OriginLiveness::Dead)
        holders.insert(holders.begin(), local->originNodeId);
    for (auto const& nodeId : holders) {
        if (best && queriedNodes >= probableCopies)
            break;
        ++queriedNodes;
        Core::Error error;
        auto reply = co_await m_peers.findStream(nodeId, requestId, std::min(deadline, m_runtime.now() + peerCallTimeout), error);
        if (!reply || !reply->record || !Stream::containsPosition(reply->record->tokens, position))
            continue;
        if (!best || Stream::isNewerCopy(*reply->record, best->record))
            best = Copy { nodeId, std::move(*reply->record) };
    }
    co_return best;
}

Core::Awaitable<bool> StreamTakeOver::fence(Copy const& copy, std::uint64_t epoch, Core::MonotonicTime deadline)
{
    Peer::StreamRecord fenceRecord;
    fenceRecord.requestId = copy.record.requestId;
    fenceRecord.epoch = epoch;
    fenceRecord.originNodeId = m_nodeId;
    fenceRecord.team = copy.record.team;
    fenceRecord.service = copy.record.service;
    fenceRecord.requestJson = copy.record.requestJson;
    Peer::ReplicateRequest request;
    request.senderNodeId = m_nodeId;
    request.records.push_back(std::move(fenceRecord));
    Core::Error error;
    auto const callDeadline = std::min(deadline, m_runtime.now() + peerCallTimeout);
    auto const reply = co_await m_peers.replicate(copy.nodeId, std::move(request), callDeadline, error);
    co_return reply && reply->results.size() == 1 && reply->results.front().decision == Peer::StreamDecision::Accepted;
}

bool StreamTakeOver::serveCopy(Peer::StreamRecord record, std::uint64_t epoch, Core::Error& error)
{
    auto const* known = m_streams.find(record.requestId);
    record.epoch = std::max(epoch - 1, known ? known->epoch + 1 : 0);
    record.originNodeId = "";
    auto const result = m_streams.apply(record);
    if (result.decision != Peer::StreamDecision::Accepted) {
        Core::fail(error, ErrorKind::Overloaded, "this node did not accept the copy of the stream", Core::RunState::Unknown);
        return false;
    }
    serve(*m_streams.find(record.requestId), record.epoch + 1, "requested by the client");
    return true;
}

Core::Awaitable<bool> StreamTakeOver::ensureLocal(std::string requestId, std::string position, SearchScope scope, Core::MonotonicTime deadline, Core::Error& error)
{
    static constexpr unsigned maximumTries = 4;
    for (unsigned tries = 0; tries < maximumTries && m_runtime.now() < deadline; ++tries) {
        auto* local = m_streams.find(requestId);
        if (local && (local->role == StreamRole::Serving || (local->role == StreamRole::Replica && local->phase != StreamPhase::Running)))
            co_return true;
        auto copy = co_await findBestCopy(requestId, position, scope, deadline);
        local = m_streams.find(requestId);
        bool const localIsUsable = local && local->role == StreamRole::Replica && Stream::containsPosition(local->tokens, position);
        bool const localIsBest = localIsUsable && (!copy || !Stream::isNewerCopy(copy->record, Stream::fullRecord(*local)));
        if (localIsBest) {
            serve(*local, local->epoch + 1, "requested by the client");
            co_return true;
        }
        if (!copy) {
            Core::fail(error, ErrorKind::StreamNotFound, "no reachable node has request " + requestId + (position.empty() ? "" : " up to the given event"), Core::RunState::Unknown);
            co_return false;
        }
        auto const epoch = std::max(copy->record.epoch, local ? local->epoch : 0) + 1;
        bool const fenced = co_await fence(*copy, epoch, deadline);
        if (!fenced)
            continue;
        // The copy may have received tokens until it was fenced.
        Core::Error findError;
        auto const latest = co_await m_peers.findStream(copy->nodeId, requestId, deadline, findError);
        if (latest && latest->record && latest->record->originNodeId == m_nodeId && latest->record->epoch == epoch)
            co_return serveCopy(*latest->record, epoch, error);
    }
    Core::fail(error, ErrorKind::StreamTakenOver, "request " + requestId + " could not be taken over", Core::RunState::Unknown);
    co_return false;
}

Peer::HandOverReply StreamTakeOver::accept(Peer::HandOverRequest const& request)
{
    Peer::HandOverReply reply;
    // The sender is about to stop, which its row in the node table may not show yet.
    m_replicator.moveReplicasFrom({ request.senderNodeId });
    for (auto const& record : request.records) {
        auto result = m_streams.apply(record);
        if (result.decision == Peer::StreamDecision::Accepted)
            serve(*m_streams.find(record.requestId), record.epoch + 1, "handed over by " + request.senderNodeId);
        reply.results.push_back(std::move(result));
    }
    return reply;
}

Core::Awaitable<bool> StreamTakeOver::handOver(std::string requestId, std::set<std::string>& excluded, Core::MonotonicTime deadline)
{
    // Increases with each attempt, because the reply of an earlier successor may have been lost.
    std::uint64_t epoch = 0;
    while (m_runtime.now() < deadline) {
        auto* stream = m_streams.find(requestId);
        if (!stream || stream->role != StreamRole::Serving || stream->phase != StreamPhase::Running)
            co_return true;
        auto const successor = m_peers.chooseSuccessor(requestId, excluded);
        if (!successor)
            co_return false;
        Peer::HandOverRequest request;
        request.senderNodeId = m_nodeId;
        auto record = Stream::fullRecord(*stream);
        epoch = std::max(stream->epoch, epoch + 1) + 1;
        record.epoch = epoch;
        record.originNodeId = m_nodeId;
        request.records.push_back(record);
        Core::Error error;
        auto const callDeadline = std::min(deadline, m_runtime.now() + peerCallTimeout);
        auto const reply = co_await m_peers.handOver(*successor, std::move(request), callDeadline, error);
        stream = m_streams.find(requestId);
        if (reply && reply->results.size() == 1 && reply->results.front().decision == Peer::StreamDecision::Accepted) {
            if (stream && stream->role == StreamRole::Serving)
                m_streams.markTakenOver(*stream, record.epoch + 1, *successor);
            Core::logEvent(Core::LogLevel::Info, "stream_handed_over", { { "request_id", requestId }, { "successor", *successor }, { "tokens", record.tokens.size() } });
            co_return true;
        }
        excluded.insert(*successor);
    }
    co_return false;
}

Core::Awaitable<std::size_t> StreamTakeOver::handOverAll(Core::MonotonicTime deadline)
{
    std::size_t remaining = 0;
    // Failed successors, excluded for all streams so that each costs its timeout only once.
    std::set<std::string> excluded;
    for (auto const& id : m_streams.idsWithRole(StreamRole::Serving)) {
        bool const moved = co_await handOver(id, excluded, deadline);
        remaining += moved ? 0 : 1;
    }
    co_return remaining;
}

}
