#include <LibStream/StreamReplicator.h>

#include <LibCore/Log.h>

namespace Stream {

using Core::ErrorKind;

StreamReplicator::StreamReplicator(Core::Runtime& runtime, StreamTable& streams, ReplicaPeers& peers, Core::Metrics& metrics, ReplicationSettings settings)
    : m_runtime(runtime)
    , m_streams(streams)
    , m_peers(peers)
    , m_settings(std::move(settings))
    , m_calls(metrics.counter("hyssopstep_replication_calls_total"))
    , m_records(metrics.counter("hyssopstep_replication_records_total"))
{
}

std::set<std::string> StreamReplicator::nodesInBackoff() const
{
    std::set<std::string> nodes;
    for (auto const& [nodeId, until] : m_backoffUntil) {
        if (until > m_runtime.now())
            nodes.insert(nodeId);
    }
    return nodes;
}

void StreamReplicator::assignReplica(Stream& stream)
{
    stream.replicaNodeId = m_peers.chooseReplica(stream.requestId, nodesInBackoff()).value_or("");
    stream.replicatedTokens = 0;
    stream.replicatedPhase = StreamPhase::Running;
    stream.replicaHasRecord = false;
}

void StreamReplicator::start(Stream& stream)
{
    assignReplica(stream);
    markDirty(stream);
    m_streams.notifyChanged(stream);
}

void StreamReplicator::streamChanged(Stream& stream)
{
    if (stream.role == StreamRole::Serving)
        markDirty(stream);
}

void StreamReplicator::markDirty(Stream& stream)
{
    if (stream.replicaNodeId.empty())
        return;
    auto& target = m_targets[stream.replicaNodeId];
    target.dirtyStreams.insert(stream.requestId);
    if (target.sending)
        return;
    target.sending = true;
    m_runtime.spawn(sendAll(stream.replicaNodeId));
}

Core::Awaitable<bool> StreamReplicator::waitUntilRecorded(std::string requestId, Core::MonotonicTime deadline, Core::Error& error)
{
    while (true) {
        auto* stream = m_streams.find(requestId);
        if (!stream || stream->role != StreamRole::Serving) {
            Core::fail(error, ErrorKind::StreamTakenOver, "the request continues at another node", Core::RunState::Unknown);
            co_return false;
        }
        if (stream->replicaHasRecord || stream->replicaNodeId.empty())
            co_return true;
        auto const changed = stream->changed;
        bool const changedInTime = co_await changed->waitUntil(deadline);
        if (!changedInTime) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "the request was not replicated before its deadline");
            co_return false;
        }
    }
}

void StreamReplicator::moveReplicasFrom(std::set<std::string> const& nodeIds)
{
    for (auto const& nodeId : nodeIds)
        m_backoffUntil[nodeId] = m_runtime.now() + m_settings.failedNodeBackoff;
    for (auto const& id : m_streams.idsWithRole(StreamRole::Serving)) {
        auto* stream = m_streams.find(id);
        if (stream && nodeIds.contains(stream->replicaNodeId))
            start(*stream);
    }
}

void StreamReplicator::assignMissingReplicas()
{
    for (auto const& id : m_streams.idsWithRole(StreamRole::Serving)) {
        auto* stream = m_streams.find(id);
        if (stream->replicaNodeId.empty() && m_peers.chooseReplica(id, nodesInBackoff()))
            start(*stream);
    }
}

Stream* StreamReplicator::findReplicatedTo(std::string const& requestId, std::string const& nodeId)
{
    auto* stream = m_streams.find(requestId);
    if (!stream || stream->role != StreamRole::Serving || stream->replicaNodeId != nodeId)
        return nullptr;
    return stream;
}

Core::Awaitable<void> StreamReplicator::sendAll(std::string nodeId)
{
    // The reference stays valid because targets are never removed from the map.
    auto& target = m_targets[nodeId];
    while (!target.dirtyStreams.empty()) {
        co_await m_runtime.sleepUntil(target.lastSentAt + m_settings.minimumInterval);
        target.lastSentAt = m_runtime.now();
        auto request = takeBatch(target, nodeId);
        if (request.records.empty())
            continue;
        m_calls.add();
        m_records.add(request.records.size());
        Core::Error error;
        auto const deadline = m_runtime.now() + m_settings.callTimeout;
        auto const reply = co_await m_peers.replicate(nodeId, request, deadline, error);
        if (reply && reply->results.size() == request.records.size()) {
            applyReply(nodeId, request, *reply);
            continue;
        }
        if (m_runtime.now() > deadline + m_settings.pauseTolerance) {
            // The replica may have taken the streams over during the pause, so it is called again. With another replica, or
            // none, this node would not learn of that and would send clients more output of its superseded run.
            for (auto const& record : request.records)
                target.dirtyStreams.insert(record.requestId);
            continue;
        }
        Core::logEvent(Core::LogLevel::Warning, "replica_failed", { { "replica", nodeId }, { "streams", request.records.size() }, { "reason", error.message } });
        handleFailure(nodeId, request);
    }
    target.sending = false;
}

Peer::ReplicateRequest StreamReplicator::takeBatch(Target& target, std::string const& nodeId)
{
    Peer::ReplicateRequest request;
    request.senderNodeId = m_settings.ownNodeId;
    while (!target.dirtyStreams.empty() && request.records.size() < m_settings.maximumRecordsPerCall) {
        auto const id = *target.dirtyStreams.begin();
        target.dirtyStreams.erase(target.dirtyStreams.begin());
        if (auto const* stream = findReplicatedTo(id, nodeId))
            request.records.push_back(deltaRecord(*stream));
    }
    return request;
}

void StreamReplicator::applyReply(std::string const& nodeId, Peer::ReplicateRequest const& request, Peer::ReplicateReply const& reply)
{
    for (std::size_t index = 0; index < reply.results.size(); ++index) {
        auto const& record = request.records[index];
        auto* stream = findReplicatedTo(record.requestId, nodeId);
        if (!stream || stream->epoch != record.epoch)
            continue;
        applyResult(*stream, record, reply.results[index]);
    }
}

void StreamReplicator::applyResult(Stream& stream, Peer::StreamRecord const& record, Peer::StreamResult const& result)
{
    switch (result.decision) {
    case Peer::StreamDecision::Accepted:
        stream.replicaHasRecord = true;
        stream.replicatedTokens = record.firstIndex + record.tokens.size();
        if (record.finished)
            stream.replicatedPhase = stream.phase;
        break;
    case Peer::StreamDecision::EpochTooOld:
        Core::logEvent(Core::LogLevel::Info, "stream_taken_over", { { "request_id", stream.requestId }, { "own_epoch", stream.epoch }, { "epoch", result.epoch } });
        m_streams.markTakenOver(stream, result.epoch, "");
        return;
    case Peer::StreamDecision::Gap:
        stream.replicatedTokens = result.firstMissingIndex;
        stream.replicaHasRecord = result.firstMissingIndex > 0;
        break;
    case Peer::StreamDecision::Refused:
        m_backoffUntil[stream.replicaNodeId] = m_runtime.now() + m_settings.failedNodeBackoff;
        assignReplica(stream);
        break;
    }
    bool const complete = stream.replicaHasRecord && stream.replicatedTokens >= stream.tokens.size() && stream.replicatedPhase == stream.phase;
    if (!complete)
        markDirty(stream);
    m_streams.notifyChanged(stream);
}

void StreamReplicator::handleFailure(std::string const& nodeId, Peer::ReplicateRequest const& request)
{
    m_backoffUntil[nodeId] = m_runtime.now() + m_settings.failedNodeBackoff;
    auto& target = m_targets[nodeId];
    auto affected = std::move(target.dirtyStreams);
    target.dirtyStreams.clear();
    for (auto const& record : request.records)
        affected.insert(record.requestId);
    for (auto const& id : affected) {
        if (auto* stream = findReplicatedTo(id, nodeId))
            start(*stream);
    }
}

}
