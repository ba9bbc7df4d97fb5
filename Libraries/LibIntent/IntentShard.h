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
    /// A begin is decided.
    Decided,
    /// A finish, release or abandon is recorded.
    Recorded,
    /// No record of the attempt exists.
    NotFound,
    /// The answer of a finish does not fit into the shard object.
    AnswerTooLarge,
};

/// A change of one record, shared by the shard and the task that waits for it.
struct IntentOperation {
    IntentOperationKind kind { IntentOperationKind::Begin };
    /// For a begin, the record to insert. Otherwise its key digest and attempt id identify the record to change, and a finish
    /// also sets the fields of the answer.
    IntentRecord record;
    /// Only set for a begin.
    IntentKey key;
    IntentOperationState state { IntentOperationState::Waiting };
    /// Set for a begin that is Decided.
    IntentDecision decision;
    /// The record that led to the decision, if any.
    std::optional<IntentRecord> existingRecord;
    /// Position in the order of submissions and reads; an operation requires a read with a higher number.
    std::uint64_t sequence { 0 };
    /// Whether a write that inserts the record was sent.
    bool insertSent { false };
    /// For a begin, whether the chain was read after the submission and held no record of another attempt with the key.
    bool absenceConfirmed { false };
};

/// One shard: a chain of sealed objects with one open object at its end, and the operations waiting for the next write. At
/// most one call of the object API is in flight per shard.
///
/// A key has at most one record in the chain. Records are inserted only into the open object, after all sealed objects before
/// it were read, and no record is ever inserted into a sealed object. Each write is conditional on the version that was read,
/// so that of two concurrent inserts into the open object only one succeeds.
///
/// Must outlive its task on the runtime. Must be called on the runtime's thread.
class IntentShard {
public:
    IntentShard(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, IntentSettings const&, IntentLocation, std::function<WriterState(IntentRecord const&)>);

    void submit(std::shared_ptr<IntentOperation> const&);

    /// Waits until the operation leaves the state Waiting. Returns false if the deadline passes first.
    [[nodiscard]] Core::Awaitable<bool> waitFor(std::shared_ptr<IntentOperation>, Core::MonotonicTime deadline);

    /// Removes an operation that is no longer waited for. If it is a begin whose write may take effect, submits and returns a
    /// release of its attempt, otherwise returns null.
    std::shared_ptr<IntentOperation> withdraw(std::shared_ptr<IntentOperation> const&);

    /// Whether no operation is pending and none was submitted since the given time.
    [[nodiscard]] bool isIdleSince(Core::MonotonicTime) const;

    [[nodiscard]] IntentLocation location() const { return m_location; }

private:
    struct ChainObject {
        /// 0 if the object does not exist.
        Core::StoreRevision version;
        bool mustRead { true };
        std::uint64_t readSequence { 0 };
        ShardContent content;
        std::size_t bytes { 0 };
    };

    /// A write whose response was lost. It can take effect as long as the object has the version that it is conditional on.
    struct UncertainWrite {
        std::size_t index { 0 };
        Core::StoreRevision version;
    };

    /// The result of one operation in a round.
    struct Outcome {
        std::shared_ptr<IntentOperation> operation;
        IntentOperationState state { IntentOperationState::Waiting };
        IntentDecision decision;
        std::optional<IntentRecord> existingRecord;
        bool dependsOnWrite { false };
    };

    /// One pass over the waiting operations: the changes to at most one object, and the results of the operations.
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
