@0xd4f1a6c29be0735d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Peer::Wire");

struct NodeEntry {
  id @0 :Text;
  peerEndpoint @1 :Text;
  clientEndpoint @2 :Text;
  dataCentre @3 :Text;
  region @4 :Text;
  incarnation @5 :UInt64;
  heartbeat @6 :UInt64;
  configurationGeneration @7 :UInt64;
  leaving @8 :Bool;
}

struct LeavingMark {
  serverId @0 :Text;
  incarnation @1 :UInt64;
  expiresAtMilliseconds @2 :Int64;
}

struct UsageEntry {
  nodeKey @0 :UInt64;
  teamHash @1 :UInt32;
  heartbeat @2 :UInt32;
  requestsPerSecond @3 :Float32;
  tokensPerSecond @4 :Float32;
}

struct QuarantineEntry {
  fingerprint @0 :Text;
  expiresAtMilliseconds @1 :Int64;
}

struct ExchangeMessage {
  sender @0 :NodeEntry;
  digestComplete @1 :Bool;
  heartbeats @2 :List(UInt64);
  leavingNodes @3 :List(UInt64);
  dataCentres @4 :List(UInt64);
  rows @5 :List(NodeEntry);
  wantedRows @6 :List(UInt64);
  marksHash @7 :UInt64;
  quarantineHash @8 :UInt64;
  leavingMarks @9 :List(LeavingMark);
  quarantine @10 :List(QuarantineEntry);
  usage @11 :List(UsageEntry);
}

struct FetchConfigurationRequest {
  aboveGeneration @0 :UInt64;
}

struct FetchConfigurationReply {
  generation @0 :UInt64;
  json @1 :Text;
}

struct StreamRecord {
  requestId @0 :Text;
  epoch @1 :UInt64;
  originNodeId @2 :Text;
  team @3 :Text;
  service @4 :Text;
  requestJson @5 :Text;
  firstIndex @6 :UInt64;
  tokens @7 :List(Text);
  finished @8 :Bool;
  finishReason @9 :Text;
}

struct StreamResult {
  requestId @0 :Text;
  decision @1 :UInt16;
  epoch @2 :UInt64;
  firstMissingIndex @3 :UInt64;
}

struct StreamRecords {
  senderNodeId @0 :Text;
  records @1 :List(StreamRecord);
}

struct StreamResults {
  results @0 :List(StreamResult);
}

struct FindStreamRequest {
  requestId @0 :Text;
}

struct FindStreamReply {
  record @0 :StreamRecord;
}

struct RecordedAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct BeginIntentRequest {
  claimId @0 :Text;
  nodeId @1 :Text;
  team @2 :Text;
  service @3 :Text;
  key @4 :Text;
  fingerprint @5 :Text;
  timeoutMilliseconds @6 :UInt32;
}

struct IntentTicket {
  bucket @0 :UInt64;
  shard @1 :UInt32;
  keyDigest @2 :Text;
  attemptId @3 :Text;
}

struct BeginIntentReply {
  code @0 :UInt16;
  ticket @1 :IntentTicket;
  answer @2 :RecordedAnswer;
  errorKind @3 :Text;
  runState @4 :Text;
  message @5 :Text;
}

struct FinishIntentRequest {
  claimId @0 :Text;
  outcome @1 :UInt16;
  answer @2 :RecordedAnswer;
}

struct FinishIntentReply {
  code @0 :UInt16;
  message @1 :Text;
}

struct ServerEntry {
  id @0 :Text;
  endpoint @1 :Text;
  service @2 :Text;
  version @3 :Text;
  dataCentre @4 :Text;
  zone @5 :Text;
  incarnation @6 :UInt64;
  leaving @7 :Bool;
}

struct ReclaimNotice {
  sequence @0 :UInt64;
  hostId @1 :Text;
  reclaimAtMilliseconds @2 :Int64;
}

struct FetchPlatformDataRequest {
  epoch @0 :UInt64;
  version @1 :UInt64;
  contentHash @2 :UInt64;
  noticeSequence @3 :UInt64;
  waitMilliseconds @4 :UInt32;
}

struct FetchPlatformDataReply {
  hasList @0 :Bool;
  complete @1 :Bool;
  ageMilliseconds @2 :UInt64;
  epoch @3 :UInt64;
  version @4 :UInt64;
  contentHash @5 :UInt64;
  servers @6 :List(ServerEntry);
  removedIds @7 :List(Text);
  notices @8 :List(ReclaimNotice);
  noticeSequence @9 :UInt64;
}

interface Node {
  exchange @0 (request :ExchangeMessage) -> (reply :ExchangeMessage);
  fetchConfiguration @1 (request :FetchConfigurationRequest) -> (reply :FetchConfigurationReply);
  replicate @2 (request :StreamRecords) -> (reply :StreamResults);
  handOver @3 (request :StreamRecords) -> (reply :StreamResults);
  findStream @4 (request :FindStreamRequest) -> (reply :FindStreamReply);
  beginIntent @5 (request :BeginIntentRequest) -> (reply :BeginIntentReply);
  finishIntent @6 (request :FinishIntentRequest) -> (reply :FinishIntentReply);
  fetchPlatformData @7 (request :FetchPlatformDataRequest) -> (reply :FetchPlatformDataReply);
}
