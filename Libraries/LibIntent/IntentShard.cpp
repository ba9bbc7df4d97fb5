#include <LibIntent/IntentShard.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace Intent {

// Size of a record without an answer in the JSON text of its object, rounded up.
static constexpr std::size_t estimatedRecordBytes = 512;

static std::size_t estimateAnswerBytes(RecordedAnswer const& answer)
{
    std::size_t bytes = answer.body.size();
    for (auto const& [name, value] : answer.headers)
        bytes += name.size() + value.size() + 16;
    return bytes * 4 / 3 + 64;
}

IntentShard::IntentShard(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, Core::Metrics& metrics, IntentSettings const& settings, IntentLocation location, std::function<WriterState(IntentRecord const&)> writerState)
    : m_runtime(runtime)
    , m_store(store)
    , m_random(random)
    , m_settings(settings)
    , m_location(location)
    , m_writerState(std::move(writerState))
    , m_writes(metrics.counter("hyssopstep_intent_writes_total"))
    , m_conflicts(metrics.counter("hyssopstep_intent_write_conflicts_total"))
    , m_failures(metrics.counter("hyssopstep_intent_store_failures_total"))
    , m_lostResponses(metrics.counter("hyssopstep_intent_lost_write_answers_total"))
    , m_seals(metrics.counter("hyssopstep_intent_sealed_objects_total"))
    , m_operationsPerWrite(metrics.summary("hyssopstep_intent_operations_per_write"))
    , m_nextWriteAt(runtime.now())
    , m_lastUsed(runtime.now())
    , m_retryDelay(settings.retryDelay)
    , m_changed(runtime)
{
}

void IntentShard::submit(std::shared_ptr<IntentOperation> const& operation)
{
    operation->sequence = ++m_sequence;
    m_operations.push_back(operation);
    m_lastUsed = m_runtime.now();
    if (m_running)
        return;
    m_running = true;
    m_runtime.spawn(run());
}

Core::Awaitable<bool> IntentShard::waitFor(std::shared_ptr<IntentOperation> operation, Core::MonotonicTime deadline)
{
    while (operation->state == IntentOperationState::Waiting) {
        bool const isNotified = co_await m_changed.waitUntil(deadline);
        if (!isNotified)
            break;
    }
    co_return operation->state != IntentOperationState::Waiting;
}

std::shared_ptr<IntentOperation> IntentShard::withdraw(std::shared_ptr<IntentOperation> const& operation)
{
    std::erase(m_operations, operation);
    if (!operation->insertSent)
        return nullptr;
    auto release = std::make_shared<IntentOperation>();
    release->kind = IntentOperationKind::Release;
    release->record.keyDigest = operation->record.keyDigest;
    release->record.attemptId = operation->record.attemptId;
    submit(release);
    return release;
}

bool IntentShard::isIdleSince(Core::MonotonicTime time) const
{
    return !m_running && m_operations.empty() && m_lastUsed <= time;
}

Core::Awaitable<void> IntentShard::run()
{
    while (!m_operations.empty()) {
        bool const isRead = co_await readChain();
        if (!isRead) {
            co_await backOff();
            continue;
        }
        auto round = evaluate();
        if (!round.target || m_runtime.now() < m_nextWriteAt) {
            applyOutcomes(round, false);
            if (round.target)
                co_await m_runtime.sleepUntil(m_nextWriteAt);
            continue;
        }
        bool const isWritten = co_await writeRound(round);
        if (!isWritten)
            co_await backOff();
    }
    m_running = false;
}

Core::Awaitable<void> IntentShard::backOff()
{
    // Jitter keeps nodes with conflicting writes from retrying at the same time.
    double const factor = 0.5 + m_random.unit();
    auto const delay = std::chrono::duration_cast<Core::Duration>(m_retryDelay * factor);
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maximumRetryDelay);
    co_await m_runtime.sleepFor(delay);
}

Core::Awaitable<bool> IntentShard::readChain()
{
    for (std::size_t index = 0;; ++index) {
        if (index == m_chain.size())
            m_chain.emplace_back();
        if (m_chain[index].mustRead) {
            auto const sequence = ++m_sequence;
            Core::Error error;
            Platform::ObjectKey key { "intents", shardObjectName(m_location, index) };
            auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
            auto const stored = co_await m_store.read(std::move(key), deadline, error);
            if (!stored && error.kind != Core::ErrorKind::NotFound) {
                m_failures.add();
                co_return false;
            }
            ChainObject object;
            if (stored) {
                auto content = decodeShard(stored->value, error);
                if (!content) {
                    Core::logEvent(Core::LogLevel::Error, "intent_shard_unreadable", { { "object", shardObjectName(m_location, index) }, { "error", error.message } });
                    co_return false;
                }
                object.version = stored->resourceVersion;
                object.content = std::move(*content);
                object.bytes = stored->value.size();
            }
            object.mustRead = false;
            object.readSequence = sequence;
            if (m_uncertainWrite && m_uncertainWrite->index == index && m_uncertainWrite->version != object.version)
                m_uncertainWrite.reset();
            m_chain[index] = std::move(object);
        }
        if (!m_chain[index].content.sealed) {
            m_chain.resize(index + 1);
            // The collector removed the objects after this one because all their keys are expired.
            if (m_uncertainWrite && m_uncertainWrite->index > index)
                m_uncertainWrite.reset();
            co_return true;
        }
    }
}

IntentShard::Round IntentShard::evaluate()
{
    Round round;
    for (auto const& operation : m_operations) {
        if (operation->kind == IntentOperationKind::Begin)
            evaluateBegin(round, operation);
        else
            evaluateCompletion(round, operation);
    }
    return round;
}

bool IntentShard::canTarget(Round const& round, std::size_t index) const
{
    return !round.target || *round.target == index;
}

void IntentShard::setTarget(Round& round, std::size_t index)
{
    if (round.target)
        return;
    round.target = index;
    round.content = m_chain[index].content;
    round.bytes = m_chain[index].bytes;
}

IntentRecord const* IntentShard::find(Round const& round, std::string const& digest, std::size_t& index) const
{
    for (index = 0; index < m_chain.size(); ++index) {
        auto const& records = round.target == index ? round.content.records : m_chain[index].content.records;
        auto const position = records.find(digest);
        if (position != records.end())
            return &position->second;
    }
    return nullptr;
}

void IntentShard::evaluateBegin(Round& round, std::shared_ptr<IntentOperation> const& operation)
{
    auto const now = m_runtime.wallNow();
    std::size_t index = 0;
    auto const* record = find(round, operation->record.keyDigest, index);
    if (record && record->attemptId == operation->record.attemptId) {
        // An earlier write of this operation took effect although its response was lost.
        auto decision = decideIntent(nullptr, operation->key, operation->record.fingerprint, now, WriterState::Live, m_settings);
        round.outcomes.push_back({ operation, IntentOperationState::Decided, std::move(decision), std::nullopt, round.target == index });
        return;
    }
    operation->absenceConfirmed = !record && m_chain.back().readSequence > operation->sequence;
    if (record) {
        bool const dependsOnWrite = round.target == index;
        // A finished record does not change. Any other may have been finished or released since it was read.
        if (record->state != IntentState::Finished && !dependsOnWrite && m_chain[index].readSequence < operation->sequence) {
            m_chain[index].mustRead = true;
            return;
        }
        auto decision = decideIntent(record, operation->key, operation->record.fingerprint, now, m_writerState(*record), m_settings);
        round.outcomes.push_back({ operation, IntentOperationState::Decided, std::move(decision), *record, dependsOnWrite });
        return;
    }
    auto decision = decideIntent(nullptr, operation->key, operation->record.fingerprint, now, WriterState::Live, m_settings);
    if (decision.kind != IntentDecisionKind::Run) {
        round.outcomes.push_back({ operation, IntentOperationState::Decided, std::move(decision), std::nullopt, false });
        return;
    }
    auto const openIndex = m_chain.size() - 1;
    if (!canTarget(round, openIndex))
        return;
    setTarget(round, openIndex);
    if (round.bytes + estimatedRecordBytes > m_settings.maximumObjectBytes)
        return;
    round.content.records.emplace(operation->record.keyDigest, operation->record);
    round.bytes += estimatedRecordBytes;
    round.outcomes.push_back({ operation, IntentOperationState::Decided, std::move(decision), std::nullopt, true });
}

void IntentShard::evaluateCompletion(Round& round, std::shared_ptr<IntentOperation> const& operation)
{
    std::size_t index = 0;
    auto const* record = find(round, operation->record.keyDigest, index);
    if (record && record->attemptId == operation->record.attemptId) {
        changeRecord(round, operation, index);
        return;
    }
    auto const openIndex = m_chain.size() - 1;
    if (round.target != openIndex && m_chain[openIndex].readSequence < operation->sequence) {
        m_chain[openIndex].mustRead = true;
        return;
    }
    if (operation->kind != IntentOperationKind::Release) {
        round.outcomes.push_back({ operation, IntentOperationState::NotFound, {}, std::nullopt, round.target == openIndex });
        return;
    }
    // A delayed write can still insert the record as long as the object's version is unchanged. Writing the same content
    // changes the version and thereby fences that write.
    if (m_uncertainWrite) {
        if (!canTarget(round, m_uncertainWrite->index))
            return;
        setTarget(round, m_uncertainWrite->index);
        round.outcomes.push_back({ operation, IntentOperationState::Recorded, {}, std::nullopt, true });
        return;
    }
    round.outcomes.push_back({ operation, IntentOperationState::Recorded, {}, std::nullopt, round.target == openIndex });
}

void IntentShard::changeRecord(Round& round, std::shared_ptr<IntentOperation> const& operation, std::size_t index)
{
    auto const& current = (round.target == index ? round.content : m_chain[index].content).records.find(operation->record.keyDigest)->second;
    auto const newState = operation->kind == IntentOperationKind::Finish ? IntentState::Finished : IntentState::Abandoned;
    // A finished record is not changed: the writer may withdraw a claim whose node has recorded the answer itself.
    if (current.state == IntentState::Finished || (operation->kind != IntentOperationKind::Release && current.state == newState)) {
        round.outcomes.push_back({ operation, IntentOperationState::Recorded, {}, std::nullopt, round.target == index });
        return;
    }
    if (!canTarget(round, index))
        return;
    std::size_t const added = operation->record.answer ? estimateAnswerBytes(*operation->record.answer) : 0;
    auto const bytes = round.target ? round.bytes : m_chain[index].bytes;
    if (added > 0 && bytes + added > m_settings.maximumObjectBytes) {
        round.outcomes.push_back({ operation, IntentOperationState::AnswerTooLarge, {}, std::nullopt, false });
        return;
    }
    setTarget(round, index);
    round.bytes += added;
    auto const position = round.content.records.find(operation->record.keyDigest);
    if (operation->kind == IntentOperationKind::Release) {
        round.content.records.erase(position);
    } else {
        auto& record = position->second;
        record.state = newState;
        record.finishedAt = unixMilliseconds(m_runtime.wallNow());
        record.answerLocation = operation->record.answerLocation;
        record.answerName = operation->record.answerName;
        record.answer = operation->record.answer;
    }
    round.outcomes.push_back({ operation, IntentOperationState::Recorded, {}, std::nullopt, true });
}

Core::Awaitable<bool> IntentShard::writeRound(Round& round)
{
    auto const index = *round.target;
    auto value = encodeShard(round.content);
    if (!round.content.sealed && value.size() > m_settings.sealThresholdBytes) {
        round.content.sealed = true;
        value = encodeShard(round.content);
        m_seals.add();
    }
    for (auto const& outcome : round.outcomes) {
        if (outcome.dependsOnWrite && outcome.decision.kind == IntentDecisionKind::Run && !outcome.existingRecord)
            outcome.operation->insertSent = true;
    }
    auto const bytes = value.size();
    auto const expected = m_chain[index].version;
    auto const sequence = ++m_sequence;
    m_nextWriteAt = m_runtime.now() + m_settings.writeInterval;
    auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
    Platform::ObjectKey key { "intents", shardObjectName(m_location, index) };
    Core::Error error;
    std::optional<Core::StoreRevision> version;
    if (expected.number == 0)
        version = co_await m_store.create(std::move(key), std::move(value), deadline, error);
    else
        version = co_await m_store.update(std::move(key), std::move(value), expected, deadline, error);
    if (version) {
        m_writes.add();
        m_operationsPerWrite.observe(static_cast<double>(round.outcomes.size()));
        m_chain[index] = { *version, false, sequence, std::move(round.content), bytes };
        if (m_uncertainWrite && m_uncertainWrite->index == index)
            m_uncertainWrite.reset();
        m_retryDelay = m_settings.retryDelay;
        applyOutcomes(round, true);
        co_return true;
    }
    m_chain[index].mustRead = true;
    if (error.kind == Core::ErrorKind::StoreConflict) {
        m_conflicts.add();
        co_return false;
    }
    m_failures.add();
    if (error.runState != Core::RunState::NotRun) {
        m_lostResponses.add();
        m_uncertainWrite = { index, expected };
    }
    Core::logEvent(Core::LogLevel::Warning, "intent_write_failed", { { "object", shardObjectName(m_location, index) }, { "error", error.message }, { "run_state", Core::runStateName(error.runState) } });
    co_return false;
}

void IntentShard::applyOutcomes(Round const& round, bool written)
{
    bool changed = false;
    for (auto const& outcome : round.outcomes) {
        auto const& operation = outcome.operation;
        if (outcome.dependsOnWrite && !written)
            continue;
        // The operation was withdrawn while the write was in flight.
        if (std::erase(m_operations, operation) == 0)
            continue;
        operation->decision = outcome.decision;
        operation->existingRecord = outcome.existingRecord;
        operation->state = outcome.state;
        changed = true;
    }
    if (changed)
        m_changed.notifyAll();
}

}
