#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Peer {

/// The largest message a node accepts from a peer, in bytes: a configuration of 1 MB with room for its envelope.
inline constexpr std::size_t maximumMessageBytes = 4 * 1024 * 1024;

/// A row of the node table with all its attributes.
struct NodeEntry {
    std::string id;
    std::string peerEndpoint;
    std::string clientEndpoint;
    std::string dataCentre;
    std::string region;
    std::uint64_t incarnation { 0 };
    std::uint64_t heartbeat { 0 };
    std::uint64_t configurationGeneration { 0 };
    bool leaving { false };

    bool operator==(NodeEntry const&) const = default;
};

/// Marks a backend server as leaving. Irreversible within an incarnation of the server.
struct LeavingMark {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    /// Milliseconds since the Unix epoch.
    std::int64_t expiresAtMilliseconds { 0 };

    bool operator==(LeavingMark const&) const = default;
};

/// The rates at which one node admits requests and tokens of one team.
struct UsageEntry {
    /// The row key of the node.
    std::uint64_t nodeKey { 0 };
    /// The lower 32 bits of XXH3 of the team's name.
    std::uint32_t teamHash { 0 };
    /// The node's heartbeat counter at the measurement; an entry with a higher one replaces the entry.
    std::uint32_t heartbeat { 0 };
    float requestsPerSecond { 0 };
    float tokensPerSecond { 0 };

    bool operator==(UsageEntry const&) const = default;
};

/// The fingerprint of a request that crashes backend servers.
struct QuarantineEntry {
    std::string fingerprint;
    /// Milliseconds since the Unix epoch.
    std::int64_t expiresAtMilliseconds { 0 };

    bool operator==(QuarantineEntry const&) const = default;
};

/// The state of one side of an exchange. Request and reply have the same form.
struct ExchangeMessage {
    NodeEntry sender;
    /// Whether `heartbeats` has every row of the sender's data centre that is not dead, so that the sender lacks all others.
    bool digestComplete { false };
    /// Row key and heartbeat counter packed into one word; see Membership::packHeartbeat().
    std::vector<std::uint64_t> heartbeats;
    /// Row keys of the nodes among `heartbeats` that are leaving.
    std::vector<std::uint64_t> leavingNodes;
    /// For each other data centre, a hash of its name and of the keys of its rows that are not dead, to detect differences.
    std::vector<std::uint64_t> dataCentres;
    /// Rows that the receiver lacks.
    std::vector<NodeEntry> rows;
    /// Keys of rows that the sender lacks and requests.
    std::vector<std::uint64_t> wantedRows;
    /// Combined hashes of the sender's leaving marks and of its quarantine entries, to detect differences.
    std::uint64_t marksHash { 0 };
    std::uint64_t quarantineHash { 0 };
    std::vector<LeavingMark> leavingMarks;
    std::vector<QuarantineEntry> quarantine;
    std::vector<UsageEntry> usage;

    bool operator==(ExchangeMessage const&) const = default;
};

struct ExchangeRequest {
    ExchangeMessage message;

    bool operator==(ExchangeRequest const&) const = default;
};

struct ExchangeReply {
    ExchangeMessage message;

    bool operator==(ExchangeReply const&) const = default;
};

struct FetchConfigurationRequest {
    /// The generation that the caller has; the reply is empty unless the peer has a higher one.
    std::uint64_t aboveGeneration { 0 };

    bool operator==(FetchConfigurationRequest const&) const = default;
};

struct FetchConfigurationReply {
    std::uint64_t generation { 0 };
    /// The applied state as JSON text; empty if the peer has no higher generation.
    std::string json;

    bool operator==(FetchConfigurationReply const&) const = default;
};

/// A part of the record of an accepted request. Tokens before firstIndex were sent earlier.
struct StreamRecord {
    std::string requestId;
    std::uint64_t epoch { 0 };
    std::string originNodeId;
    std::string team;
    std::string service;
    /// The request's JSON text; empty in records that only add tokens.
    std::string requestJson;
    std::uint64_t firstIndex { 0 };
    std::vector<std::string> tokens;
    bool finished { false };
    std::string finishReason;

    bool operator==(StreamRecord const&) const = default;
};

/// What the receiver did with one record.
enum class StreamDecision {
    Accepted,
    /// The receiver has a higher epoch: the stream was taken over.
    EpochTooOld,
    /// Tokens before firstIndex are missing at the receiver; the sender sends the record again from firstMissingIndex.
    Gap,
    /// The receiver accepts no stream records, because it is draining or full.
    Refused,
};

struct StreamResult {
    std::string requestId;
    StreamDecision decision { StreamDecision::Refused };
    /// The receiver's epoch of the stream.
    std::uint64_t epoch { 0 };
    std::uint64_t firstMissingIndex { 0 };

    bool operator==(StreamResult const&) const = default;
};

struct ReplicateRequest {
    std::string senderNodeId;
    std::vector<StreamRecord> records;

    bool operator==(ReplicateRequest const&) const = default;
};

/// One result for each record, in their order.
struct ReplicateReply {
    std::vector<StreamResult> results;

    bool operator==(ReplicateReply const&) const = default;
};

/// Complete records of streams that the receiver is asked to continue.
struct HandOverRequest {
    std::string senderNodeId;
    std::vector<StreamRecord> records;

    bool operator==(HandOverRequest const&) const = default;
};

struct HandOverReply {
    std::vector<StreamResult> results;

    bool operator==(HandOverReply const&) const = default;
};

struct FindStreamRequest {
    std::string requestId;

    bool operator==(FindStreamRequest const&) const = default;
};

struct FindStreamReply {
    /// The record with all tokens, if the node has it.
    std::optional<StreamRecord> record;

    bool operator==(FindStreamReply const&) const = default;
};

struct RecordedAnswer {
    std::uint16_t status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(RecordedAnswer const&) const = default;
};

/// The decision of an intent's preferred writer on a BeginIntentRequest.
enum class BeginIntentCode {
    /// The intent was written; the requesting node may call the back end once.
    Run,
    /// The key has a recorded answer.
    Replay,
    /// The call must not run; errorKind, runState and message give the reason.
    Refused,
    /// The writer could not decide in time. Its attempt is withdrawn, and the requesting node decides by itself.
    Undecided,
};

/// Requests that the writer records the intent for a call that the requesting node will make.
struct BeginIntentRequest {
    /// Chosen by the requesting node; identifies the claim in a FinishIntentRequest.
    std::string claimId;
    std::string nodeId;
    std::string team;
    std::string service;
    std::string key;
    std::string fingerprint;
    std::uint32_t timeoutMilliseconds { 0 };

    bool operator==(BeginIntentRequest const&) const = default;
};

/// Identifies the written intent, so that the requesting node can finish it without the writer.
struct IntentTicket {
    std::uint64_t bucket { 0 };
    std::uint32_t shard { 0 };
    std::string keyDigest;
    std::string attemptId;

    bool operator==(IntentTicket const&) const = default;
};

struct BeginIntentReply {
    BeginIntentCode code { BeginIntentCode::Undecided };
    /// Set with Run.
    std::optional<IntentTicket> ticket;
    /// Set with Replay.
    std::optional<RecordedAnswer> answer;
    /// The stable names of the error kind and run state, set with Refused.
    std::string errorKind;
    std::string runState;
    std::string message;

    bool operator==(BeginIntentReply const&) const = default;
};

enum class IntentOutcome {
    /// The back end answered.
    Finish,
    /// No byte of the call can have reached the back end, and none will.
    Release,
    /// The call ended without an answer.
    Abandon,
    /// The requesting node does not know whether the intent was written, and will not make the call.
    Withdraw,
};

struct FinishIntentRequest {
    std::string claimId;
    IntentOutcome outcome { IntentOutcome::Abandon };
    /// Set with Finish.
    std::optional<RecordedAnswer> answer;

    bool operator==(FinishIntentRequest const&) const = default;
};

enum class FinishIntentCode {
    Recorded,
    /// The writer does not know the claim, or could not record its outcome; the requesting node records it by itself.
    NotRecorded,
};

struct FinishIntentReply {
    FinishIntentCode code { FinishIntentCode::NotRecorded };
    std::string message;

    bool operator==(FinishIntentReply const&) const = default;
};

/// A backend server as listed in the platform's host list.
struct ServerEntry {
    std::string id;
    std::string endpoint;
    std::string service;
    std::string version;
    std::string dataCentre;
    std::string zone;
    std::uint64_t incarnation { 0 };
    bool leaving { false };

    bool operator==(ServerEntry const&) const = default;
};

struct ReclaimNotice {
    /// The platform's sequence number of the notice.
    std::uint64_t sequence { 0 };
    std::string hostId;
    /// Milliseconds since the Unix epoch.
    std::int64_t reclaimAtMilliseconds { 0 };

    bool operator==(ReclaimNotice const&) const = default;
};

struct FetchPlatformDataRequest {
    /// Epoch and version of the list that the caller last received from the peer; 0 for none.
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };
    /// Hash of the caller's list.
    std::uint64_t contentHash { 0 };
    std::uint64_t noticeSequence { 0 };
    /// How long the peer may delay the reply until it has an update.
    std::uint32_t waitMilliseconds { 0 };

    bool operator==(FetchPlatformDataRequest const&) const = default;
};

struct FetchPlatformDataReply {
    /// False if the peer has read no list yet; the fields of the list are then empty.
    bool hasList { false };
    /// Whether `servers` is the whole list; otherwise it has the rows that changed since the caller's version.
    bool complete { false };
    /// Time since the list was requested from the platform.
    std::uint64_t ageMilliseconds { 0 };
    std::uint64_t epoch { 0 };
    std::uint64_t version { 0 };
    std::uint64_t contentHash { 0 };
    std::vector<ServerEntry> servers;
    std::vector<std::string> removedIds;
    std::vector<ReclaimNotice> notices;
    std::uint64_t noticeSequence { 0 };

    bool operator==(FetchPlatformDataReply const&) const = default;
};
}
