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

/// Executes non-idempotent calls at most once by recording an intent in the object API before each call; see
/// docs/at-most-once.md. Must outlive the tasks it starts on the runtime. Must be called on the runtime's thread.
class IntentJournal {
public:
    /// Precondition: no other journal, on any node, has the same node id and a random source with the same seed.
    IntentJournal(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, std::string nodeId, IntentSettings);
    ~IntentJournal();
    IntentJournal(IntentJournal const&) = delete;
    IntentJournal& operator=(IntentJournal const&) = delete;

    /// Records the intent to run a call, or decides why it must not run. If another attempt is in progress, waits for it
    /// until the deadline. Fails with StoreUnavailable if the intent could not be recorded in time; the attempt is then
    /// withdrawn and never yields a ticket, even if its write takes effect later. The error's run state is NotRun if the
    /// journal was read and held no other attempt with the key, otherwise Unknown because an earlier one may have run.
    [[nodiscard]] Core::Awaitable<std::optional<IntentDecision>> begin(std::string team, std::string service, std::string key, std::string fingerprint, Core::MonotonicTime deadline, Core::Error&);

    /// Records the answer. Returns false if the ticket is not open or the answer was not recorded within
    /// completionRetryPeriod; requests that repeat the key then get OutcomeUnknown.
    [[nodiscard]] Core::Awaitable<bool> finish(IntentTicket, RecordedAnswer, Core::Error&);

    /// Removes the record so that the key can be used again. Precondition: no byte of the call has reached or will reach the
    /// backend server. Returns false if the ticket is not open or the record may remain; requests that repeat the key then get
    /// OutcomeUnknown. NotRun can be reported to the caller in either case.
    [[nodiscard]] Core::Awaitable<bool> release(IntentTicket, Core::Error&);

    /// Records that the outcome is unknown, so that requests that repeat the key do not wait for it. Fails like finish().
    [[nodiscard]] Core::Awaitable<bool> abandon(IntentTicket, Core::Error&);

    /// Opens a ticket that another journal issued, so that it can be closed here if the issuer is unreachable.
    /// Precondition: this node requested the ticket and is not certain to have closed it at another node.
    void importTicket(IntentTicket const&);

    /// Removes the objects of buckets whose keys every node refuses as expired, at most maximumBuckets per call, and returns
    /// the number of buckets processed. Several nodes may run it concurrently, at the cost of duplicate calls of the object
    /// API. Fails with the store's errors.
    [[nodiscard]] Core::Awaitable<std::optional<std::size_t>> collectGarbage(std::size_t maximumBuckets, Core::Error&);

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
    /// Ids of the attempts with an open ticket.
    std::set<std::string> m_openAttempts;
    /// Ids of the attempts from begin() until their end is recorded or no longer retried.
    std::set<std::string> m_liveAttempts;
    Core::AsyncEvent m_attemptEnded;
    Core::MonotonicTime m_nextIdleCheck;
    std::shared_ptr<void> m_lifetime { std::make_shared<int>() };
};

}
