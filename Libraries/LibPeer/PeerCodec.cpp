#include <LibPeer/PeerCodec.h>

#include <capnp/message.h>
#include <kj/debug.h>

namespace Peer {

static std::string toString(capnp::Text::Reader text)
{
    return { text.begin(), text.size() };
}

static kj::StringPtr toText(std::string const& text)
{
    return { text.c_str(), text.size() };
}

/// Rejects values that this version does not know instead of casting them to an enumerator.
template <typename Enum>
static Enum toEnum(std::uint16_t value, Enum last)
{
    KJ_REQUIRE(value <= static_cast<std::uint16_t>(last), "value outside the enumeration", value);
    return static_cast<Enum>(value);
}

template <typename Builder>
static void encodeWords(std::vector<std::uint64_t> const& words, Builder builder)
{
    for (unsigned i = 0; i < words.size(); ++i)
        builder.set(i, words[i]);
}

template <typename Reader>
static std::vector<std::uint64_t> decodeWords(Reader reader)
{
    std::vector<std::uint64_t> words;
    words.reserve(reader.size());
    for (auto word : reader)
        words.push_back(word);
    return words;
}

template <typename Entry, typename Builder>
static void encodeList(std::vector<Entry> const& entries, Builder builder)
{
    for (unsigned i = 0; i < entries.size(); ++i)
        encode(entries[i], builder[i]);
}

template <typename Entry, typename Reader>
static void decodeList(Reader reader, std::vector<Entry>& entries)
{
    entries.reserve(reader.size());
    for (auto element : reader)
        decode(element, entries.emplace_back());
}

static void encode(NodeEntry const& entry, Wire::NodeEntry::Builder builder)
{
    builder.setId(toText(entry.id));
    builder.setPeerEndpoint(toText(entry.peerEndpoint));
    builder.setClientEndpoint(toText(entry.clientEndpoint));
    builder.setDataCentre(toText(entry.dataCentre));
    builder.setRegion(toText(entry.region));
    builder.setIncarnation(entry.incarnation);
    builder.setHeartbeat(entry.heartbeat);
    builder.setConfigurationGeneration(entry.configurationGeneration);
    builder.setLeaving(entry.leaving);
}

static void decode(Wire::NodeEntry::Reader reader, NodeEntry& entry)
{
    entry.id = toString(reader.getId());
    entry.peerEndpoint = toString(reader.getPeerEndpoint());
    entry.clientEndpoint = toString(reader.getClientEndpoint());
    entry.dataCentre = toString(reader.getDataCentre());
    entry.region = toString(reader.getRegion());
    entry.incarnation = reader.getIncarnation();
    entry.heartbeat = reader.getHeartbeat();
    entry.configurationGeneration = reader.getConfigurationGeneration();
    entry.leaving = reader.getLeaving();
}

static void encode(LeavingMark const& mark, Wire::LeavingMark::Builder builder)
{
    builder.setServerId(toText(mark.serverId));
    builder.setIncarnation(mark.incarnation);
    builder.setExpiresAtMilliseconds(mark.expiresAtMilliseconds);
}

static void decode(Wire::LeavingMark::Reader reader, LeavingMark& mark)
{
    mark = { toString(reader.getServerId()), reader.getIncarnation(), reader.getExpiresAtMilliseconds() };
}

static void encode(UsageEntry const& entry, Wire::UsageEntry::Builder builder)
{
    builder.setNodeKey(entry.nodeKey);
    builder.setTeamHash(entry.teamHash);
    builder.setHeartbeat(entry.heartbeat);
    builder.setRequestsPerSecond(entry.requestsPerSecond);
    builder.setTokensPerSecond(entry.tokensPerSecond);
}

static void decode(Wire::UsageEntry::Reader reader, UsageEntry& entry)
{
    entry = { reader.getNodeKey(), reader.getTeamHash(), reader.getHeartbeat(), reader.getRequestsPerSecond(), reader.getTokensPerSecond() };
}

static void encode(QuarantineEntry const& entry, Wire::QuarantineEntry::Builder builder)
{
    builder.setFingerprint(toText(entry.fingerprint));
    builder.setExpiresAtMilliseconds(entry.expiresAtMilliseconds);
}

static void decode(Wire::QuarantineEntry::Reader reader, QuarantineEntry& entry)
{
    entry = { toString(reader.getFingerprint()), reader.getExpiresAtMilliseconds() };
}

void encode(ExchangeMessage const& message, Wire::ExchangeMessage::Builder builder)
{
    encode(message.sender, builder.initSender());
    builder.setDigestComplete(message.digestComplete);
    encodeWords(message.heartbeats, builder.initHeartbeats(message.heartbeats.size()));
    encodeWords(message.leavingNodes, builder.initLeavingNodes(message.leavingNodes.size()));
    encodeWords(message.dataCentres, builder.initDataCentres(message.dataCentres.size()));
    encodeList(message.rows, builder.initRows(message.rows.size()));
    encodeWords(message.wantedRows, builder.initWantedRows(message.wantedRows.size()));
    builder.setMarksHash(message.marksHash);
    builder.setQuarantineHash(message.quarantineHash);
    encodeList(message.leavingMarks, builder.initLeavingMarks(message.leavingMarks.size()));
    encodeList(message.quarantine, builder.initQuarantine(message.quarantine.size()));
    encodeList(message.usage, builder.initUsage(message.usage.size()));
}

void decode(Wire::ExchangeMessage::Reader reader, ExchangeMessage& message)
{
    decode(reader.getSender(), message.sender);
    message.digestComplete = reader.getDigestComplete();
    message.heartbeats = decodeWords(reader.getHeartbeats());
    message.leavingNodes = decodeWords(reader.getLeavingNodes());
    message.dataCentres = decodeWords(reader.getDataCentres());
    decodeList(reader.getRows(), message.rows);
    message.wantedRows = decodeWords(reader.getWantedRows());
    message.marksHash = reader.getMarksHash();
    message.quarantineHash = reader.getQuarantineHash();
    decodeList(reader.getLeavingMarks(), message.leavingMarks);
    decodeList(reader.getQuarantine(), message.quarantine);
    decodeList(reader.getUsage(), message.usage);
}

void encode(ExchangeRequest const& request, Wire::ExchangeMessage::Builder builder) { encode(request.message, builder); }
void encode(ExchangeReply const& reply, Wire::ExchangeMessage::Builder builder) { encode(reply.message, builder); }
void decode(Wire::ExchangeMessage::Reader reader, ExchangeRequest& request) { decode(reader, request.message); }
void decode(Wire::ExchangeMessage::Reader reader, ExchangeReply& reply) { decode(reader, reply.message); }

void encode(FetchConfigurationRequest const& request, Wire::FetchConfigurationRequest::Builder builder)
{
    builder.setAboveGeneration(request.aboveGeneration);
}

void decode(Wire::FetchConfigurationRequest::Reader reader, FetchConfigurationRequest& request)
{
    request.aboveGeneration = reader.getAboveGeneration();
}

void encode(FetchConfigurationReply const& reply, Wire::FetchConfigurationReply::Builder builder)
{
    builder.setGeneration(reply.generation);
    builder.setJson(toText(reply.json));
}

void decode(Wire::FetchConfigurationReply::Reader reader, FetchConfigurationReply& reply)
{
    reply = { reader.getGeneration(), toString(reader.getJson()) };
}

static void encode(StreamRecord const& record, Wire::StreamRecord::Builder builder)
{
    builder.setRequestId(toText(record.requestId));
    builder.setEpoch(record.epoch);
    builder.setOriginNodeId(toText(record.originNodeId));
    builder.setTeam(toText(record.team));
    builder.setService(toText(record.service));
    builder.setRequestJson(toText(record.requestJson));
    builder.setFirstIndex(record.firstIndex);
    auto tokens = builder.initTokens(record.tokens.size());
    for (unsigned i = 0; i < record.tokens.size(); ++i)
        tokens.set(i, toText(record.tokens[i]));
    builder.setFinished(record.finished);
    builder.setFinishReason(toText(record.finishReason));
}

static void decode(Wire::StreamRecord::Reader reader, StreamRecord& record)
{
    record.requestId = toString(reader.getRequestId());
    record.epoch = reader.getEpoch();
    record.originNodeId = toString(reader.getOriginNodeId());
    record.team = toString(reader.getTeam());
    record.service = toString(reader.getService());
    record.requestJson = toString(reader.getRequestJson());
    record.firstIndex = reader.getFirstIndex();
    for (auto token : reader.getTokens())
        record.tokens.push_back(toString(token));
    record.finished = reader.getFinished();
    record.finishReason = toString(reader.getFinishReason());
}

static void encode(StreamResult const& result, Wire::StreamResult::Builder builder)
{
    builder.setRequestId(toText(result.requestId));
    builder.setDecision(static_cast<std::uint16_t>(result.decision));
    builder.setEpoch(result.epoch);
    builder.setFirstMissingIndex(result.firstMissingIndex);
}

static void decode(Wire::StreamResult::Reader reader, StreamResult& result)
{
    result = { toString(reader.getRequestId()), toEnum(reader.getDecision(), StreamDecision::Refused), reader.getEpoch(), reader.getFirstMissingIndex() };
}

template <typename Request>
static void encodeRecords(Request const& request, Wire::StreamRecords::Builder builder)
{
    builder.setSenderNodeId(toText(request.senderNodeId));
    encodeList(request.records, builder.initRecords(request.records.size()));
}

template <typename Request>
static void decodeRecords(Wire::StreamRecords::Reader reader, Request& request)
{
    request.senderNodeId = toString(reader.getSenderNodeId());
    decodeList(reader.getRecords(), request.records);
}

void encode(ReplicateRequest const& request, Wire::StreamRecords::Builder builder) { encodeRecords(request, builder); }
void encode(HandOverRequest const& request, Wire::StreamRecords::Builder builder) { encodeRecords(request, builder); }
void decode(Wire::StreamRecords::Reader reader, ReplicateRequest& request) { decodeRecords(reader, request); }
void decode(Wire::StreamRecords::Reader reader, HandOverRequest& request) { decodeRecords(reader, request); }
void encode(ReplicateReply const& reply, Wire::StreamResults::Builder builder) { encodeList(reply.results, builder.initResults(reply.results.size())); }
void encode(HandOverReply const& reply, Wire::StreamResults::Builder builder) { encodeList(reply.results, builder.initResults(reply.results.size())); }
void decode(Wire::StreamResults::Reader reader, ReplicateReply& reply) { decodeList(reader.getResults(), reply.results); }
void decode(Wire::StreamResults::Reader reader, HandOverReply& reply) { decodeList(reader.getResults(), reply.results); }

void encode(FindStreamRequest const& request, Wire::FindStreamRequest::Builder builder) { builder.setRequestId(toText(request.requestId)); }
void decode(Wire::FindStreamRequest::Reader reader, FindStreamRequest& request) { request.requestId = toString(reader.getRequestId()); }

void encode(FindStreamReply const& reply, Wire::FindStreamReply::Builder builder)
{
    if (reply.record)
        encode(*reply.record, builder.initRecord());
}

void decode(Wire::FindStreamReply::Reader reader, FindStreamReply& reply)
{
    if (reader.hasRecord())
        decode(reader.getRecord(), reply.record.emplace());
}

static void encode(RecordedAnswer const& answer, Wire::RecordedAnswer::Builder builder)
{
    builder.setStatus(answer.status);
    builder.setContentType(toText(answer.contentType));
    builder.setBody(capnp::Data::Reader(reinterpret_cast<kj::byte const*>(answer.body.data()), answer.body.size()));
}

static void decode(Wire::RecordedAnswer::Reader reader, RecordedAnswer& answer)
{
    auto const body = reader.getBody();
    answer = { reader.getStatus(), toString(reader.getContentType()), { reinterpret_cast<char const*>(body.begin()), body.size() } };
}

void encode(BeginIntentRequest const& request, Wire::BeginIntentRequest::Builder builder)
{
    builder.setClaimId(toText(request.claimId));
    builder.setNodeId(toText(request.nodeId));
    builder.setTeam(toText(request.team));
    builder.setService(toText(request.service));
    builder.setKey(toText(request.key));
    builder.setFingerprint(toText(request.fingerprint));
    builder.setTimeoutMilliseconds(request.timeoutMilliseconds);
}

void decode(Wire::BeginIntentRequest::Reader reader, BeginIntentRequest& request)
{
    request = { toString(reader.getClaimId()), toString(reader.getNodeId()), toString(reader.getTeam()), toString(reader.getService()), toString(reader.getKey()), toString(reader.getFingerprint()), reader.getTimeoutMilliseconds() };
}

void encode(BeginIntentReply const& reply, Wire::BeginIntentReply::Builder builder)
{
    builder.setCode(static_cast<std::uint16_t>(reply.code));
    if (reply.ticket) {
        auto ticket = builder.initTicket();
        ticket.setBucket(reply.ticket->bucket);
        ticket.setShard(reply.ticket->shard);
        ticket.setKeyDigest(toText(reply.ticket->keyDigest));
        ticket.setAttemptId(toText(reply.ticket->attemptId));
    }
    if (reply.answer)
        encode(*reply.answer, builder.initAnswer());
    builder.setErrorKind(toText(reply.errorKind));
    builder.setRunState(toText(reply.runState));
    builder.setMessage(toText(reply.message));
}

void decode(Wire::BeginIntentReply::Reader reader, BeginIntentReply& reply)
{
    reply.code = toEnum(reader.getCode(), BeginIntentCode::Undecided);
    if (reader.hasTicket()) {
        auto const ticket = reader.getTicket();
        reply.ticket = IntentTicket { ticket.getBucket(), ticket.getShard(), toString(ticket.getKeyDigest()), toString(ticket.getAttemptId()) };
    }
    if (reader.hasAnswer())
        decode(reader.getAnswer(), reply.answer.emplace());
    reply.errorKind = toString(reader.getErrorKind());
    reply.runState = toString(reader.getRunState());
    reply.message = toString(reader.getMessage());
}

void encode(FinishIntentRequest const& request, Wire::FinishIntentRequest::Builder builder)
{
    builder.setClaimId(toText(request.claimId));
    builder.setOutcome(static_cast<std::uint16_t>(request.outcome));
    if (request.answer)
        encode(*request.answer, builder.initAnswer());
}

void decode(Wire::FinishIntentRequest::Reader reader, FinishIntentRequest& request)
{
    request.claimId = toString(reader.getClaimId());
    request.outcome = toEnum(reader.getOutcome(), IntentOutcome::Withdraw);
    if (reader.hasAnswer())
        decode(reader.getAnswer(), request.answer.emplace());
}

void encode(FinishIntentReply const& reply, Wire::FinishIntentReply::Builder builder)
{
    builder.setCode(static_cast<std::uint16_t>(reply.code));
    builder.setMessage(toText(reply.message));
}

void decode(Wire::FinishIntentReply::Reader reader, FinishIntentReply& reply)
{
    reply = { toEnum(reader.getCode(), FinishIntentCode::NotRecorded), toString(reader.getMessage()) };
}

void encode(FetchPlatformDataRequest const& request, Wire::FetchPlatformDataRequest::Builder builder)
{
    builder.setEpoch(request.epoch);
    builder.setVersion(request.version);
    builder.setContentHash(request.contentHash);
    builder.setNoticeSequence(request.noticeSequence);
    builder.setWaitMilliseconds(request.waitMilliseconds);
}

void decode(Wire::FetchPlatformDataRequest::Reader reader, FetchPlatformDataRequest& request)
{
    request = { reader.getEpoch(), reader.getVersion(), reader.getContentHash(), reader.getNoticeSequence(), reader.getWaitMilliseconds() };
}

static void encode(ServerEntry const& entry, Wire::ServerEntry::Builder builder)
{
    builder.setId(toText(entry.id));
    builder.setEndpoint(toText(entry.endpoint));
    builder.setService(toText(entry.service));
    builder.setVersion(toText(entry.version));
    builder.setDataCentre(toText(entry.dataCentre));
    builder.setZone(toText(entry.zone));
    builder.setIncarnation(entry.incarnation);
    builder.setLeaving(entry.leaving);
}

static void decode(Wire::ServerEntry::Reader reader, ServerEntry& entry)
{
    entry.id = toString(reader.getId());
    entry.endpoint = toString(reader.getEndpoint());
    entry.service = toString(reader.getService());
    entry.version = toString(reader.getVersion());
    entry.dataCentre = toString(reader.getDataCentre());
    entry.zone = toString(reader.getZone());
    entry.incarnation = reader.getIncarnation();
    entry.leaving = reader.getLeaving();
}

static void encode(ReclaimNotice const& notice, Wire::ReclaimNotice::Builder builder)
{
    builder.setSequence(notice.sequence);
    builder.setHostId(toText(notice.hostId));
    builder.setReclaimAtMilliseconds(notice.reclaimAtMilliseconds);
}

static void decode(Wire::ReclaimNotice::Reader reader, ReclaimNotice& notice)
{
    notice = { reader.getSequence(), toString(reader.getHostId()), reader.getReclaimAtMilliseconds() };
}

void encode(FetchPlatformDataReply const& reply, Wire::FetchPlatformDataReply::Builder builder)
{
    builder.setHasList(reply.hasList);
    builder.setComplete(reply.complete);
    builder.setAgeMilliseconds(reply.ageMilliseconds);
    builder.setEpoch(reply.epoch);
    builder.setVersion(reply.version);
    builder.setContentHash(reply.contentHash);
    encodeList(reply.servers, builder.initServers(reply.servers.size()));
    auto removedIds = builder.initRemovedIds(reply.removedIds.size());
    for (unsigned i = 0; i < reply.removedIds.size(); ++i)
        removedIds.set(i, toText(reply.removedIds[i]));
    encodeList(reply.notices, builder.initNotices(reply.notices.size()));
    builder.setNoticeSequence(reply.noticeSequence);
}

void decode(Wire::FetchPlatformDataReply::Reader reader, FetchPlatformDataReply& reply)
{
    reply.hasList = reader.getHasList();
    reply.complete = reader.getComplete();
    reply.ageMilliseconds = reader.getAgeMilliseconds();
    reply.epoch = reader.getEpoch();
    reply.version = reader.getVersion();
    reply.contentHash = reader.getContentHash();
    decodeList(reader.getServers(), reply.servers);
    for (auto id : reader.getRemovedIds())
        reply.removedIds.push_back(toString(id));
    decodeList(reader.getNotices(), reply.notices);
    reply.noticeSequence = reader.getNoticeSequence();
}

std::size_t encodedBytes(ExchangeMessage const& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::ExchangeMessage>();
    encode(message, root);
    return root.totalSize().wordCount * sizeof(capnp::word);
}

}
