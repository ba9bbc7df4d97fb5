#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibIntent/IntentDecision.h>
#include <LibPlatform/ObjectStore.h>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Intent {

enum class IntentOperationKind {
    Begin,
    Finish,
    Release,
    Abandon,
};

enum class IntentOperationState {
    Waiting,
    /// A begin has its decision.
    Decided,
    /// A finish, release or abandon is recorded.
    Recorded,
    /// There is no record of the attempt.
    NotFound,
    /// The shard object has no room for the answer of a finish.
    AnswerTooLarge,
};

/// One change of a record, shared between the shard and the task that waits for it.
struct IntentOperation {
    IntentOperationKind kind { IntentOperationKind::Begin };
    /// A begin: the record to insert. Otherwise key digest and attempt id name the record, and a finish replaces the
    /// fields of its outcome.
    IntentRecord record;
    /// Only of a begin.
    IntentKey key;
    IntentOperationState state { IntentOperationState::Waiting };
    /// Of a begin that is Decided, with the record that led to the decision.
    IntentDecision decision;
    std::optional<IntentRecord> existingRecord;
    /// Position in the order of submissions and reads: the operation needs what was read later than it was submitted.
    std::uint64_t sequence { 0 };
    /// A write that inserts the record was sent.
    bool insertSent { false };
    /// Of a begin: the chain was read after the submission and held no record of another attempt with the key.
    bool absenceConfirmed { false };
};

/// The objects of one shard: the chain of sealed objects and the open one at its end, with the operations that wait for the
/// next write. At most one call of the object API is in flight per shard.
///
/// Each write is conditional on the version that was read, and records are inserted only into the open object after every
/// sealed one before it was read, so that a key has at most one record in the chain: a sealed object never gains a record,
/// and two inserts into the open object exclude each other by its version.
///
/// Must outlive its task on the runtime. Called on the runtime's thread only.
class IntentShard {
public:
    IntentShard(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, IntentSettings const&, IntentLocation, std::function<WriterState(IntentRecord const&)>);

    void submit(std::shared_ptr<IntentOperation> const&);

    /// Waits until the operation left the state Waiting. Returns false if the deadline came first.
    [[nodiscard]] Core::Awaitable<bool> waitFor(std::shared_ptr<IntentOperation>, Core::MonotonicTime deadline);

    /// Takes an operation back that nobody waits for any more. If it is a begin whose write may take effect, a release of
    /// its attempt is submitted and returned.
    std::shared_ptr<IntentOperation> withdraw(std::shared_ptr<IntentOperation> const&);

    /// Whether it has no operation and none was submitted since the given time.
    [[nodiscard]] bool isIdleSince(Core::MonotonicTime) const;

    [[nodiscard]] IntentLocation location() const { return m_location; }

private:
    struct ChainObject {
        /// 0 if the object does not exist.
        std::uint64_t version { 0 };
        bool mustRead { true };
        std::uint64_t readSequence { 0 };
        ShardContent content;
        std::size_t bytes { 0 };
    };

    /// A write whose answer was lost. It can take effect as long as the object has the version it was conditional on.
    struct UncertainWrite {
        std::size_t index { 0 };
        std::uint64_t version { 0 };
    };

    /// The state of one operation at the end of a round.
    struct Outcome {
        std::shared_ptr<IntentOperation> operation;
        IntentOperationState state { IntentOperationState::Waiting };
        IntentDecision decision;
        std::optional<IntentRecord> existingRecord;
        bool dependsOnWrite { false };
    };

    /// One pass over the waiting operations: the changes of at most one object, and what each operation becomes.
    struct Round {
        std::optional<std::size_t> target;
        ShardContent content;
        std::size_t bytes { 0 };
        std::vector<Outcome> outcomes;
    };

    [[nodiscard]] Core::Awaitable<void> run();
    [[nodiscard]] Core::Awaitable<bool> readChain();
    [[nodiscard]] Core::Awaitable<bool> writeRound(Round&);
    [[nodiscard]] Core::Awaitable<void> backOff();
    [[nodiscard]] Round evaluate();
    void evaluateBegin(Round&, std::shared_ptr<IntentOperation> const&);
    void evaluateCompletion(Round&, std::shared_ptr<IntentOperation> const&);
    void changeRecord(Round&, std::shared_ptr<IntentOperation> const&, std::size_t index);
    [[nodiscard]] bool canTarget(Round const&, std::size_t index) const;
    void setTarget(Round&, std::size_t index);
    [[nodiscard]] IntentRecord const* find(Round const&, std::string const& digest, std::size_t& index) const;
    void applyOutcomes(Round const&, bool written);

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    Core::Random& m_random;
    IntentSettings const& m_settings;
    IntentLocation m_location;
    std::function<WriterState(IntentRecord const&)> m_writerState;
    Core::Counter& m_writes;
    Core::Counter& m_conflicts;
    Core::Counter& m_failures;
    Core::Counter& m_lostResponses;
    Core::Counter& m_seals;
    Core::Summary& m_operationsPerWrite;

    std::vector<ChainObject> m_chain;
    std::deque<std::shared_ptr<IntentOperation>> m_operations;
    std::optional<UncertainWrite> m_uncertainWrite;
    std::uint64_t m_sequence { 0 };
    Core::MonotonicTime m_nextWriteAt;
    Core::MonotonicTime m_lastUsed;
    Core::Duration m_retryDelay;
    Core::AsyncEvent m_changed;
    bool m_running { false };
};

}
