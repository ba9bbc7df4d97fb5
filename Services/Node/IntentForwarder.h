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

/// Chooses the nodes that write intents, and calls them. Called on the runtime's thread only.
class IntentWriters {
public:
    virtual ~IntentWriters() = default;

    /// The ids of the nodes to try for a shard in order of preference, possibly with this node's own.
    [[nodiscard]] virtual std::vector<std::string> writersFor(std::string const& shardName, std::set<std::string> const& excludedNodes) const = 0;

    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::BeginIntentReply>> beginIntent(std::string nodeId, Peer::BeginIntentRequest, Core::MonotonicTime deadline, Core::Error&) = 0;
    [[nodiscard]] virtual Core::Awaitable<std::optional<Peer::FinishIntentReply>> finishIntent(std::string nodeId, Peer::FinishIntentRequest, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Whether a claimant (node id and incarnation) is dead or has been replaced by a later incarnation.
    [[nodiscard]] virtual bool isGone(std::string const& claimant) const = 0;
};

struct IntentForwarderSettings {
    std::string nodeId;
    /// Identifies this process in its claims: node id and incarnation.
    std::string claimant;
    /// Must equal the journal's settings.
    Intent::IntentSettings journal;
    /// Timeout of one writer, which does a read and a write at the platform. With 1.5 s and a platform that took 800 ms per call,
    /// each writer timed out after it had written.
    Core::Duration writerTimeout { std::chrono::seconds(3) };
    /// Time for which a failed writer is not called again.
    Core::Duration failedWriterBackoff { std::chrono::seconds(5) };
    Core::Duration finishTimeout { std::chrono::seconds(3) };
    /// Must be longer than any client deadline.
    Core::Duration claimLifetime { std::chrono::minutes(65) };
};

/// Records intents through the preferred writer of their shard, so that the intents of many nodes are combined into few writes. The
/// writer keeps the ticket as a claim of the calling node, the claimant, until that node reports the outcome of the call.
/// If a writer fails, the next one is called, and finally this node's own journal is used. Writes are conditional, so a second
/// writer can cause a conflict but never a second run. Has the interface of IntentJournal. Used from the runtime's thread only.
class IntentForwarder {
public:
    /// Precondition: all references outlive the forwarder, which outlives its tasks.
    IntentForwarder(Core::Runtime&, Intent::IntentJournal&, IntentWriters&, Core::Random&, Core::Metrics&, IntentForwarderSettings);

    /// As IntentJournal::begin().
    [[nodiscard]] Core::Awaitable<std::optional<Intent::IntentDecision>> begin(std::string team, std::string service, std::string key, std::string fingerprint, Core::MonotonicTime deadline, Core::Error&);

    /// As the methods of IntentJournal. If the writer cannot be reached, this node's own journal records the outcome.
    [[nodiscard]] Core::Awaitable<bool> finish(Intent::IntentTicket, Intent::RecordedAnswer, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> release(Intent::IntentTicket, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> abandon(Intent::IntentTicket, Core::Error&);

    /// Handle the calls of other nodes for which this node writes intents.
    [[nodiscard]] Core::Awaitable<Peer::BeginIntentReply> handleBeginIntent(Peer::BeginIntentRequest);
    [[nodiscard]] Core::Awaitable<Peer::FinishIntentReply> handleFinishIntent(Peer::FinishIntentRequest);

    /// Abandons claims that have expired or whose node is gone. Called on each tick.
    void expireClaims();

    /// The number of open tickets of this node and of the nodes that it writes for.
    [[nodiscard]] std::size_t openTickets() const { return m_journal.openTickets() + m_forwarded.size(); }

private:
    /// A ticket whose intent another node wrote for this one.
    struct Forwarded {
        std::string writer;
        std::string claimId;
    };
    /// A ticket whose intent this node wrote for another one.
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
    /// The claims that were withdrawn before their intent was decided, and until when they are kept.
    std::map<std::string, Core::MonotonicTime> m_withdrawnClaims;
    std::map<std::string, Core::MonotonicTime> m_writerBackoffUntil;
};

}
