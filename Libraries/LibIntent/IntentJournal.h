#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibIntent/IntentDecision.h>
#include <LibPlatform/ObjectStore.h>
#include <map>
#include <memory>
#include <set>

namespace Intent {

class IntentShard;
struct IntentOperation;
enum class IntentOperationKind;

/// At-most-once execution of calls that must not be repeated, recorded in the object API; see docs/at-most-once.md.
/// Must outlive the tasks it starts on the runtime. Called on the runtime's thread only.
class IntentJournal {
public:
    /// Precondition: no other journal, on any node, has the same node id and a random source with the same seed.
    IntentJournal(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, std::string nodeId, IntentSettings);
    ~IntentJournal();
    IntentJournal(IntentJournal const&) = delete;
    IntentJournal& operator=(IntentJournal const&) = delete;

    /// Records the intent to run a call, or decides why it must not run. Waits until the deadline for another attempt in
    /// progress. Empty with StoreUnavailable if the intent could not be recorded in time; its attempt is then withdrawn and
    /// never gives a ticket, even if its write takes effect later. The run state is NotRun if the journal was read and held no
    /// other attempt with the key, and else Unknown, because an earlier one may have run.
    [[nodiscard]] Core::Awaitable<std::optional<IntentDecision>> begin(std::string team, std::string service, std::string key, std::string fingerprint, Core::MonotonicTime deadline, Core::Error&);

    /// Records the answer. Returns false if the ticket is not open or the answer was not recorded within
    /// completionRetryPeriod; a repeated key then gets OutcomeUnknown.
    [[nodiscard]] Core::Awaitable<bool> finish(IntentTicket, RecordedAnswer, Core::Error&);

    /// Removes the record so that the key may run again. Precondition: no byte of the call can have reached the back end,
    /// and none will. Returns false if the ticket is not open or the record may remain; a repeated key then gets
    /// OutcomeUnknown. The caller may be told NotRun in both cases.
    [[nodiscard]] Core::Awaitable<bool> release(IntentTicket, Core::Error&);

    /// Records that the outcome is unknown, so that repeated keys learn it without waiting. Fails like finish.
    [[nodiscard]] Core::Awaitable<bool> abandon(IntentTicket, Core::Error&);

    /// Opens a ticket that another journal issued, so that it can be ended here when the issuer cannot be reached.
    /// Precondition: this node asked for the ticket and has not ended it elsewhere for certain.
    void importTicket(IntentTicket const&);

    /// Removes objects of buckets whose keys every node refuses as expired, at most maximumBuckets of them per call, and
    /// returns the number of buckets it passed. Several nodes may run it at once; one at a time is cheaper.
    /// Fails with the store's reasons.
    [[nodiscard]] Core::Awaitable<std::optional<std::size_t>> collectGarbage(std::size_t maximumBuckets, Core::Error&);

    /// Number of tickets that are open.
    [[nodiscard]] std::size_t openTickets() const { return m_openAttempts.size(); }

private:
    [[nodiscard]] std::shared_ptr<IntentShard> shardFor(IntentLocation);
    void dropIdleShards();
    [[nodiscard]] std::string newAttemptId();
    [[nodiscard]] WriterState writerState(IntentRecord const&) const;
    [[nodiscard]] bool closeTicket(IntentTicket const&, Core::Error&);
    [[nodiscard]] IntentDecision countDecision(IntentDecision);
    void endAttempt(std::string const& attemptId);
    void withdraw(std::shared_ptr<IntentShard> const&, std::shared_ptr<IntentOperation> const&);
    [[nodiscard]] Core::Awaitable<std::shared_ptr<IntentOperation>> complete(IntentTicket, IntentOperationKind, IntentRecord outcome);
    [[nodiscard]] Core::Awaitable<bool> recordCompletion(IntentTicket, IntentOperationKind, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> storeAnswer(std::string name, std::string value);
    [[nodiscard]] Core::Awaitable<IntentDecision> readAnswer(std::string name, Core::MonotonicTime deadline);
    [[nodiscard]] Core::Awaitable<bool> removeShard(IntentLocation, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> removeObject(Platform::ObjectKey, Core::Error&);
    [[nodiscard]] Core::MonotonicTime callDeadline() const { return m_runtime.now() + m_settings.storeCallTimeout; }

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    std::string m_nodeId;
    IntentSettings m_settings;
    std::map<IntentLocation, std::shared_ptr<IntentShard>> m_shards;
    /// Attempts with an open ticket.
    std::set<std::string> m_openAttempts;
    /// Attempts from their begin until their completion is recorded or given up.
    std::set<std::string> m_liveAttempts;
    Core::AsyncEvent m_attemptEnded;
    Core::MonotonicTime m_nextIdleCheck;
    std::shared_ptr<void> m_lifetime { std::make_shared<int>() };
};

}
