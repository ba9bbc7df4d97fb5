#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibIntent/IntentJournal.h>
#include <LibPeer/PeerMessages.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Node {

/// The nodes that write intents, and the calls to them. Called on the runtime's thread only.
class IntentWriters {
public:
    virtual ~IntentWriters() = default;

    /// The ids of the nodes to try for a shard, the preferred first, the own id among them if it is its turn.
    [[nodiscard]] virtual std::vector<std::string> writersFor(std::string const& shardName, std::set<std::string> const& excludedNodes) const = 0;

    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::BeginIntentReply>> beginIntent(std::string nodeId, Peer::BeginIntentRequest, Core::MonotonicTime deadline, Core::Error&) = 0;
    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::FinishIntentReply>> finishIntent(std::string nodeId, Peer::FinishIntentRequest, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Whether a claimant (node id and incarnation) is dead or has been replaced by a later incarnation.
    [[nodiscard]] virtual bool isGone(std::string const& claimant) const = 0;
};

struct IntentForwarderSettings {
    std::string nodeId;
    /// Node id and incarnation.
    std::string claimant;
    /// Must be those of the journal.
    Intent::IntentSettings journal;
    /// How long one writer may take before the next is asked: a read and a write at a slow platform. With 1.5 s, a platform that
    /// took 800 ms a call made each writer give up after it had written.
    Core::Duration writerTimeout { std::chrono::seconds(3) };
    /// How long a writer that failed is not asked.
    Core::Duration failedWriterBackoff { std::chrono::seconds(5) };
    Core::Duration finishTimeout { std::chrono::seconds(3) };
    /// Longer than any deadline of a client.
    Core::Duration claimLifetime { std::chrono::minutes(65) };
};

/// Records intents through the preferred writer of their shard, so that many nodes share few writes. Each write is
/// conditional, so a second writer costs a conflict and never a second run: when the preferred writer cannot be reached, the
/// next one writes, at last this node's own journal. Has the interface of IntentJournal for its callers. Used from the
/// runtime's thread only.
class IntentForwarder {
public:
    /// Precondition: all references outlive the forwarder, which outlives its tasks.
    IntentForwarder(Core::Runtime&, Intent::IntentJournal&, IntentWriters&, Core::Random&, Core::Metrics&, IntentForwarderSettings);

    /// As IntentJournal::begin().
    [[nodiscard]] Core::Awaitable<std::optional<Intent::IntentDecision>> begin(std::string team, std::string service, std::string key, std::string fingerprint, Core::MonotonicTime deadline, Core::Error&);

    /// As the methods of IntentJournal. If the writer cannot be reached, the own journal records the end.
    [[nodiscard]] Core::Awaitable<bool> finish(Intent::IntentTicket, Intent::RecordedAnswer, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> release(Intent::IntentTicket, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> abandon(Intent::IntentTicket, Core::Error&);

    /// Answers other nodes, for whose calls this node writes the intents.
    [[nodiscard]] Core::Awaitable<Peer::BeginIntentReply> handleBeginIntent(Peer::BeginIntentRequest);
    [[nodiscard]] Core::Awaitable<Peer::FinishIntentReply> handleFinishIntent(Peer::FinishIntentRequest);

    /// Gives up the claims of nodes that are gone. Run each tick.
    void expireClaims();

    /// Tickets that this node or a node it writes for has not ended.
    [[nodiscard]] std::size_t openTickets() const { return m_journal.openTickets() + m_forwarded.size(); }

private:
    /// A ticket that another node wrote for this one.
    struct Forwarded {
        std::string writer;
        std::string claimId;
    };
    /// A ticket that this node wrote for another one.
    struct Claim {
        Intent::IntentTicket ticket;
        std::string claimant;
        Core::MonotonicTime expiresAt;
    };
    struct Submission {
        std::string team;
        std::string service;
        std::string key;
        std::string fingerprint;
    };

    [[nodiscard]] Core::Awaitable<std::optional<Intent::IntentDecision>> beginRemotely(std::string writer, Submission, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<std::optional<Intent::IntentDecision>> beginLocally(Submission, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] std::optional<Intent::IntentDecision> decisionFrom(std::string const& writer, std::string const& claimId, Peer::BeginIntentReply const&);
    [[nodiscard]] Core::Awaitable<bool> sendOutcome(Forwarded, Peer::IntentOutcome, std::optional<Peer::RecordedAnswer>);
    [[nodiscard]] Core::Awaitable<void> withdraw(std::string writer, std::string claimId);
    [[nodiscard]] Core::Awaitable<void> abandonClaim(Intent::IntentTicket);
    [[nodiscard]] Core::Awaitable<void> releaseClaim(Intent::IntentTicket);
    [[nodiscard]] std::optional<Forwarded> takeForwarded(Intent::IntentTicket const&);
    [[nodiscard]] std::set<std::string> writersInBackoff() const;
    [[nodiscard]] std::string newClaimId();

    Core::Runtime& m_runtime;
    Intent::IntentJournal& m_journal;
    IntentWriters& m_writers;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    IntentForwarderSettings m_settings;
    /// By attempt id.
    std::map<std::string, Forwarded> m_forwarded;
    /// By claim id.
    std::map<std::string, Claim> m_claims;
    /// Claims that were given up before their intent was decided, and until when they are remembered.
    std::map<std::string, Core::MonotonicTime> m_withdrawnClaims;
    std::map<std::string, Core::MonotonicTime> m_writerBackoffUntil;
};

}
