#include <LibStream/StreamTable.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace Stream {

using Core::ErrorKind;

static constexpr std::string_view failurePrefix = "error:";

std::uint64_t visibleTokens(Stream const& stream)
{
    if (stream.replicaNodeId.empty())
        return stream.tokens.size();
    return std::min<std::uint64_t>(stream.replicatedTokens, stream.tokens.size());
}

bool isEndVisible(Stream const& stream)
{
    if (stream.phase == StreamPhase::Running)
        return false;
    return stream.replicaNodeId.empty() || stream.replicatedPhase == stream.phase;
}

StreamPosition advancePosition(StreamPosition position, std::string_view token)
{
    // Adding 1 to the seed makes even an empty token change the hash of the empty prefix.
    return { position.count + 1, XXH3_64bits_withSeed(token.data(), token.size(), position.hash + 1) };
}

StreamPosition positionAfter(std::vector<std::string> const& tokens, std::uint64_t count)
{
    StreamPosition position;
    while (position.count < count)
        position = advancePosition(position, tokens[position.count]);
    return position;
}

std::string formatPosition(StreamPosition position)
{
    char buffer[48];
    std::snprintf(buffer, sizeof(buffer), "%llu-%016llx", static_cast<unsigned long long>(position.count), static_cast<unsigned long long>(position.hash));
    return buffer;
}

std::optional<StreamPosition> parsePosition(std::vector<std::string> const& tokens, std::string_view eventId, Core::Error& error)
{
    std::uint64_t count = 0;
    auto const* const end = eventId.data() + eventId.size();
    auto const parsed = std::from_chars(eventId.data(), end, count);
    if (parsed.ec != std::errc {} || parsed.ptr == end || *parsed.ptr != '-')
        return Core::fail(error, ErrorKind::InvalidRequest, "\"" + std::string(eventId) + "\" is not a valid event id");
    if (count > tokens.size())
        return Core::fail(error, ErrorKind::StreamNotFound, "the output at this node ends before event " + std::to_string(count), Core::RunState::Unknown);
    auto const position = positionAfter(tokens, count);
    if (formatPosition(position) != eventId)
        return Core::fail(error, ErrorKind::StreamDiverged, "the output at this node differs from the output received so far", Core::RunState::Unknown);
    return position;
}

bool containsPosition(std::vector<std::string> const& tokens, std::string_view eventId)
{
    Core::Error ignored;
    return eventId.empty() || parsePosition(tokens, eventId, ignored).has_value();
}

bool isNewerCopy(Peer::StreamRecord const& left, Peer::StreamRecord const& right)
{
    return std::pair(left.epoch, left.tokens.size()) > std::pair(right.epoch, right.tokens.size());
}

static std::string encodeFinishReason(Stream const& stream)
{
    if (stream.phase != StreamPhase::Failed)
        return stream.finishReason;
    std::string text(failurePrefix);
    text += Core::errorResponseFor(stream.failure.kind).name;
    text += ':';
    text += Core::runStateName(stream.failure.runState);
    return text + ':' + stream.failure.message;
}

static void decodeFinishReason(Stream& stream, std::string_view text)
{
    stream.phase = StreamPhase::Finished;
    stream.finishReason = text;
    if (!text.starts_with(failurePrefix))
        return;
    text.remove_prefix(failurePrefix.size());
    auto const kindEnd = text.find(':');
    auto const stateEnd = text.find(':', kindEnd == std::string_view::npos ? kindEnd : kindEnd + 1);
    if (stateEnd == std::string_view::npos)
        return;
    stream.phase = StreamPhase::Failed;
    stream.failure.kind = Core::errorKindFromName(text.substr(0, kindEnd)).value_or(ErrorKind::Internal);
    stream.failure.runState = Core::runStateFromName(text.substr(kindEnd + 1, stateEnd - kindEnd - 1)).value_or(Core::RunState::Unknown);
    stream.failure.message = text.substr(stateEnd + 1);
}

static Peer::StreamRecord recordFrom(Stream const& stream, std::uint64_t firstIndex)
{
    Peer::StreamRecord record;
    record.requestId = stream.requestId;
    record.epoch = stream.epoch;
    record.originNodeId = stream.originNodeId;
    record.team = stream.team;
    record.service = stream.service;
    record.firstIndex = firstIndex;
    record.tokens.assign(stream.tokens.begin() + static_cast<std::ptrdiff_t>(firstIndex), stream.tokens.end());
    record.finished = stream.phase != StreamPhase::Running;
    if (record.finished)
        record.finishReason = encodeFinishReason(stream);
    return record;
}

Peer::StreamRecord deltaRecord(Stream const& stream)
{
    auto record = recordFrom(stream, std::min<std::uint64_t>(stream.replicatedTokens, stream.tokens.size()));
    if (!stream.replicaHasRecord)
        record.requestJson = stream.requestJson;
    return record;
}

Peer::StreamRecord fullRecord(Stream const& stream)
{
    auto record = recordFrom(stream, 0);
    record.requestJson = stream.requestJson;
    return record;
}

StreamTable::StreamTable(Core::Runtime& runtime, std::size_t maximumStreams, Core::Duration retention)
    : m_runtime(runtime)
    , m_maximumStreams(maximumStreams)
    , m_retention(retention)
{
}

Stream* StreamTable::find(std::string_view requestId)
{
    auto const found = m_streams.find(requestId);
    return found == m_streams.end() ? nullptr : found->second.get();
}

Stream const* StreamTable::find(std::string_view requestId) const
{
    auto const found = m_streams.find(requestId);
    return found == m_streams.end() ? nullptr : found->second.get();
}

Stream& StreamTable::insert(Stream stream)
{
    stream.changed = std::make_shared<Core::AsyncEvent>(m_runtime);
    stream.changedAt = m_runtime.now();
    auto& slot = m_streams[stream.requestId];
    slot = std::make_unique<Stream>(std::move(stream));
    return *slot;
}

bool StreamTable::makeRoom()
{
    if (m_streams.size() < m_maximumStreams)
        return true;
    auto oldest = m_streams.end();
    for (auto entry = m_streams.begin(); entry != m_streams.end(); ++entry) {
        auto const& stream = *entry->second;
        bool const droppable = stream.role == StreamRole::TakenOver || stream.phase != StreamPhase::Running;
        if (droppable && (oldest == m_streams.end() || stream.changedAt < oldest->second->changedAt))
            oldest = entry;
    }
    // Finished streams younger than this may still be in transmission to their clients.
    static constexpr auto minimumAge = std::chrono::seconds(5);
    if (oldest == m_streams.end() || m_runtime.now() - oldest->second->changedAt < minimumAge)
        return false;
    m_streams.erase(oldest);
    return true;
}

Stream* StreamTable::add(Stream stream, Core::Error& error)
{
    if (!makeRoom()) {
        Core::fail(error, ErrorKind::Overloaded, "too many requests in progress: none of the " + std::to_string(m_streams.size()) + " streams can be evicted");
        return nullptr;
    }
    return &insert(std::move(stream));
}

// A record of a stream that is not in the table can be applied only if it starts at the first token and has the request.
static bool isFullRecord(Peer::StreamRecord const& record)
{
    return record.firstIndex == 0 && !record.requestJson.empty();
}

static void mergeTokens(Stream& stream, Peer::StreamRecord const& record)
{
    auto const recordEnd = record.firstIndex + record.tokens.size();
    auto const first = static_cast<std::ptrdiff_t>(record.firstIndex);
    // A record without tokens only announces the epoch, so the local tokens are kept.
    if (record.tokens.empty())
        return;
    auto const overlap = std::min<std::uint64_t>(stream.tokens.size(), recordEnd) - record.firstIndex;
    bool const agrees = std::equal(record.tokens.begin(), record.tokens.begin() + static_cast<std::ptrdiff_t>(overlap), stream.tokens.begin() + first);
    if (agrees && recordEnd <= stream.tokens.size())
        return;
    stream.tokens.resize(record.firstIndex);
    stream.tokens.insert(stream.tokens.end(), record.tokens.begin(), record.tokens.end());
}

// Whether a record with the stream's current epoch comes from the node that serves the stream in that epoch.
static bool isFromServingNode(Stream const& stream, Peer::StreamRecord const& record)
{
    switch (stream.role) {
    case StreamRole::Serving:
        // Two nodes took the stream over at the same time. Without an order by node id each would end the other's run.
        return record.originNodeId > stream.originNodeId;
    case StreamRole::TakenOver:
        // Only the epoch is known here, and the node that serves the stream in it may choose this node as its replica.
        return true;
    case StreamRole::Replica:
        break;
    }
    return record.originNodeId == stream.originNodeId;
}

Peer::StreamResult StreamTable::apply(Peer::StreamRecord const& record)
{
    Peer::StreamResult result { record.requestId, Peer::StreamDecision::Accepted, record.epoch, 0 };
    auto* stream = find(record.requestId);
    if (!stream) {
        if (!isFullRecord(record)) {
            result.decision = Peer::StreamDecision::Gap;
            return result;
        }
        if (!makeRoom()) {
            result.decision = Peer::StreamDecision::Refused;
            return result;
        }
        Stream added;
        added.requestId = record.requestId;
        added.epoch = record.epoch;
        added.originNodeId = record.originNodeId;
        added.role = StreamRole::Replica;
        stream = &insert(std::move(added));
    }
    if (record.epoch < stream->epoch || (record.epoch == stream->epoch && !isFromServingNode(*stream, record))) {
        result.decision = Peer::StreamDecision::EpochTooOld;
        result.epoch = stream->epoch;
        return result;
    }
    if (record.firstIndex > stream->tokens.size() || (stream->requestJson.empty() && record.requestJson.empty())) {
        result.decision = Peer::StreamDecision::Gap;
        result.firstMissingIndex = stream->requestJson.empty() ? 0 : stream->tokens.size();
        return result;
    }
    stream->epoch = record.epoch;
    stream->originNodeId = record.originNodeId;
    stream->role = StreamRole::Replica;
    stream->replicaNodeId.clear();
    if (!record.requestJson.empty()) {
        stream->requestJson = record.requestJson;
        stream->team = record.team;
        stream->service = record.service;
    }
    mergeTokens(*stream, record);
    if (record.finished) {
        // Local tokens beyond the end belong to a superseded run.
        stream->tokens.resize(record.firstIndex + record.tokens.size());
        decodeFinishReason(*stream, record.finishReason);
    }
    result.firstMissingIndex = stream->tokens.size();
    notifyChanged(*stream);
    return result;
}

void StreamTable::startServing(Stream& stream, std::uint64_t epoch, std::string ownNodeId)
{
    stream.epoch = epoch;
    stream.originNodeId = std::move(ownNodeId);
    stream.role = StreamRole::Serving;
    stream.replicaNodeId.clear();
    stream.replicatedTokens = 0;
    stream.replicatedPhase = StreamPhase::Running;
    stream.replicaHasRecord = false;
    notifyChanged(stream);
}

void StreamTable::appendToken(Stream& stream, std::string token)
{
    stream.tokens.push_back(std::move(token));
    notifyChanged(stream);
}

void StreamTable::finish(Stream& stream, std::string finishReason)
{
    stream.phase = StreamPhase::Finished;
    stream.finishReason = std::move(finishReason);
    notifyChanged(stream);
}

void StreamTable::fail(Stream& stream, Core::Error const& error)
{
    stream.phase = StreamPhase::Failed;
    stream.failure = error;
    notifyChanged(stream);
}

void StreamTable::markTakenOver(Stream& stream, std::uint64_t epoch, std::string originNodeId)
{
    stream.role = StreamRole::TakenOver;
    stream.epoch = std::max(stream.epoch, epoch);
    stream.originNodeId = std::move(originNodeId);
    notifyChanged(stream);
}

void StreamTable::notifyChanged(Stream& stream)
{
    stream.changedAt = m_runtime.now();
    stream.changed->notifyAll();
}

void StreamTable::expire()
{
    auto const oldestKept = m_runtime.now() - m_retention;
    std::erase_if(m_streams, [&](auto const& entry) {
        auto const& stream = *entry.second;
        bool const running = stream.role == StreamRole::Serving && stream.phase == StreamPhase::Running;
        return !running && stream.changedAt < oldestKept;
    });
}

std::vector<std::string> StreamTable::idsWithRole(StreamRole role) const
{
    std::vector<std::string> ids;
    for (auto const& [id, stream] : m_streams) {
        if (stream->role == role)
            ids.push_back(id);
    }
    return ids;
}

TakeOverDecision decideTakeOver(Stream const& stream, OriginLiveness origin)
{
    if (stream.role != StreamRole::Replica || stream.phase != StreamPhase::Running || origin != OriginLiveness::Dead)
        return TakeOverDecision::NoAction;
    return TakeOverDecision::TakeOver;
}

}
