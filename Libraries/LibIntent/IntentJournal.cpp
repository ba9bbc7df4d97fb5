#include <LibIntent/IntentJournal.h>

#include <LibCore/Log.h>
#include <LibIntent/IntentShard.h>
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>

namespace Intent {

IntentJournal::IntentJournal(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, Core::Metrics& metrics, std::string nodeId, IntentSettings settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_random(random)
    , m_metrics(metrics)
    , m_nodeId(std::move(nodeId))
    , m_settings(std::move(settings))
    , m_attemptEnded(runtime)
    , m_nextIdleCheck(runtime.now())
{
}

IntentJournal::~IntentJournal() = default;

std::shared_ptr<IntentShard> IntentJournal::shardFor(IntentLocation location)
{
    dropIdleShards();
    auto& shard = m_shards[location];
    if (!shard) {
        auto writerStateOf = [this](IntentRecord const& record) { return writerState(record); };
        shard = std::make_shared<IntentShard>(m_runtime, m_store, m_random, m_metrics, m_settings, location, writerStateOf);
    }
    return shard;
}

void IntentJournal::dropIdleShards()
{
    auto const now = m_runtime.now();
    if (now < m_nextIdleCheck)
        return;
    m_nextIdleCheck = now + m_settings.cacheIdlePeriod / 4;
    std::erase_if(m_shards, [&](auto const& entry) { return entry.second.use_count() == 1 && entry.second->isIdleSince(now - m_settings.cacheIdlePeriod); });
    m_metrics.gauge("hyssopstep_intent_cached_shards").set(static_cast<double>(m_shards.size()));
}

std::string IntentJournal::newAttemptId()
{
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), ".%016llx%016llx", static_cast<unsigned long long>(m_random.bits()), static_cast<unsigned long long>(m_random.bits()));
    return m_nodeId + buffer;
}

WriterState IntentJournal::writerState(IntentRecord const& record) const
{
    if (record.writer == m_nodeId)
        return m_liveAttempts.contains(record.attemptId) ? WriterState::Live : WriterState::Dead;
    return m_settings.writerState ? m_settings.writerState(record.writer) : WriterState::Unknown;
}

void IntentJournal::endAttempt(std::string const& attemptId)
{
    m_liveAttempts.erase(attemptId);
    m_attemptEnded.notifyAll();
}

IntentDecision IntentJournal::countDecision(IntentDecision decision)
{
    m_metrics.counter("hyssopstep_intent_decisions_total", { { "decision", std::string(decisionName(decision.kind)) } }).add();
    return decision;
}

void IntentJournal::withdraw(std::shared_ptr<IntentShard> const& shard, std::shared_ptr<IntentOperation> const& operation)
{
    auto const attemptId = operation->record.attemptId;
    auto const release = shard->withdraw(operation);
    if (!release) {
        endAttempt(attemptId);
        return;
    }
    m_metrics.counter("hyssopstep_intent_withdrawn_total").add();
    auto finishWithdrawal = [](IntentJournal& journal, std::shared_ptr<IntentShard> owner, std::shared_ptr<IntentOperation> pending, std::string attempt) -> Core::Awaitable<void> {
        auto const end = journal.m_runtime.now() + journal.m_settings.completionRetryPeriod;
        bool const isDone = co_await owner->waitFor(pending, end);
        if (!isDone) {
            owner->withdraw(pending);
            Core::logEvent(Core::LogLevel::Warning, "intent_withdrawal_given_up", { { "attempt", attempt } });
        }
        journal.endAttempt(attempt);
    };
    m_runtime.spawn(finishWithdrawal(*this, shard, release, attemptId));
}

Core::Awaitable<std::optional<IntentDecision>> IntentJournal::begin(std::string team, std::string service, std::string keyText, std::string fingerprint, Core::MonotonicTime deadline, Core::Error& error)
{
    Core::Error keyError;
    auto const key = parseIntentKey(keyText, keyError);
    if (!key)
        co_return countDecision({ IntentDecisionKind::Invalid, std::nullopt, std::nullopt, keyError });
    auto const location = locationOf(team, service, *key, m_settings);
    auto const digest = keyDigest(team, service, *key);
    auto pollDelay = m_settings.pollDelay;
    std::optional<IntentDecision> inProgress;
    // Until the journal has been read, an earlier attempt with the key may have run.
    auto runState = Core::RunState::Unknown;

    while (m_runtime.now() < deadline) {
        auto const shard = shardFor(location);
        auto operation = std::make_shared<IntentOperation>();
        operation->key = *key;
        operation->record.keyDigest = digest;
        operation->record.fingerprint = fingerprint;
        operation->record.attemptId = newAttemptId();
        operation->record.writer = m_nodeId;
        operation->record.startedAt = unixMilliseconds(m_runtime.wallNow());
        operation->record.deadlineAt = operation->record.startedAt + static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(deadline - m_runtime.now()).count());
        m_liveAttempts.insert(operation->record.attemptId);

        // Withdraws the attempt on every exit except Run, including cancellation of the caller's coroutine.
        struct WithdrawalGuard {
            IntentJournal& journal;
            std::weak_ptr<void> lifetime;
            std::shared_ptr<IntentShard> const& shard;
            std::shared_ptr<IntentOperation> const& operation;
            bool isArmed { true };
            ~WithdrawalGuard()
            {
                // At shutdown the event loop destroys suspended coroutines after the journal.
                if (isArmed && !lifetime.expired())
                    journal.withdraw(shard, operation);
            }
        } withdrawalGuard { *this, m_lifetime, shard, operation };

        shard->submit(operation);
        bool const isDecided = co_await shard->waitFor(operation, deadline);
        runState = operation->absenceConfirmed ? Core::RunState::NotRun : Core::RunState::Unknown;
        if (!isDecided || m_runtime.now() >= deadline)
            break;
        auto decision = operation->decision;
        if (decision.kind == IntentDecisionKind::Run && keyAge(*key, m_runtime.wallNow(), m_settings) != KeyAge::Valid) {
            // The write may have recreated an object that the collector had removed, so an earlier record may be lost.
            decision = decideIntent(nullptr, *key, fingerprint, m_runtime.wallNow(), WriterState::Live, m_settings);
        }
        switch (decision.kind) {
        case IntentDecisionKind::Run:
            withdrawalGuard.isArmed = false;
            m_openAttempts.insert(operation->record.attemptId);
            decision.ticket = IntentTicket { location, digest, operation->record.attemptId };
            co_return countDecision(std::move(decision));
        case IntentDecisionKind::Replay:
            if (decision.answer)
                co_return countDecision(std::move(decision));
            decision = co_await readAnswer(operation->existingRecord->answerName, deadline);
            co_return countDecision(std::move(decision));
        case IntentDecisionKind::InProgress:
            break;
        default:
            co_return countDecision(std::move(decision));
        }
        inProgress = decision;
        // Another node's attempt must be polled; the end of an attempt of this node is notified.
        auto const attempt = operation->existingRecord->attemptId;
        if (!m_liveAttempts.contains(attempt)) {
            auto const nextReadAt = std::min(deadline, m_runtime.now() + pollDelay);
            pollDelay = std::min(pollDelay * 2, m_settings.maximumPollDelay);
            co_await m_runtime.sleepUntil(nextReadAt);
        }
        while (m_liveAttempts.contains(attempt) && m_runtime.now() < deadline)
            (void)co_await m_attemptEnded.waitUntil(deadline);
    }

    if (inProgress) {
        inProgress->kind = IntentDecisionKind::OutcomeUnknown;
        co_return countDecision(std::move(*inProgress));
    }
    m_metrics.counter("hyssopstep_intent_not_recorded_total").add();
    std::string message = "the intent could not be recorded before the deadline";
    if (runState == Core::RunState::Unknown)
        message += "; this request was not run, but an earlier one with the same key may have run";
    co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, std::move(message), runState);
}

Core::Awaitable<IntentDecision> IntentJournal::readAnswer(std::string name, Core::MonotonicTime deadline)
{
    IntentDecision decision { IntentDecisionKind::Replay, std::nullopt, std::nullopt, {} };
    Core::Error error;
    do {
        Platform::ObjectKey key { "intentanswers", name };
        auto const callEnd = std::min(deadline, callDeadline());
        auto const stored = co_await m_store.read(std::move(key), callEnd, error);
        if (stored)
            decision.answer = decodeAnswer(stored->value, error);
        if (decision.answer)
            co_return decision;
        if (error.kind != Core::ErrorKind::StoreUnavailable)
            break;
        co_await m_runtime.sleepFor(m_settings.retryDelay);
    } while (m_runtime.now() < deadline);
    decision.kind = IntentDecisionKind::OutcomeUnknown;
    decision.error = { Core::ErrorKind::OutcomeUnknown, Core::RunState::Ran, "the call ran, but its answer cannot be read: " + error.message, std::nullopt };
    co_return decision;
}

void IntentJournal::importTicket(IntentTicket const& ticket)
{
    m_openAttempts.insert(ticket.attemptId);
}

bool IntentJournal::closeTicket(IntentTicket const& ticket, Core::Error& error)
{
    if (m_openAttempts.erase(ticket.attemptId) > 0)
        return true;
    Core::fail(error, Core::ErrorKind::Internal, "the ticket is not open: it was closed before or issued by another node", Core::RunState::Unknown);
    return false;
}

Core::Awaitable<std::shared_ptr<IntentOperation>> IntentJournal::complete(IntentTicket ticket, IntentOperationKind kind, IntentRecord outcome)
{
    auto const shard = shardFor(ticket.location);
    auto operation = std::make_shared<IntentOperation>();
    operation->kind = kind;
    operation->record = std::move(outcome);
    operation->record.keyDigest = ticket.keyDigest;
    operation->record.attemptId = ticket.attemptId;
    shard->submit(operation);
    auto const end = m_runtime.now() + m_settings.completionRetryPeriod;
    bool const isDone = co_await shard->waitFor(operation, end);
    if (!isDone)
        shard->withdraw(operation);
    co_return operation;
}

Core::Awaitable<bool> IntentJournal::recordCompletion(IntentTicket ticket, IntentOperationKind kind, Core::Error& error)
{
    if (!closeTicket(ticket, error))
        co_return false;
    IntentRecord emptyOutcome;
    auto const operation = co_await complete(ticket, kind, std::move(emptyOutcome));
    endAttempt(ticket.attemptId);
    if (operation->state == IntentOperationState::Recorded)
        co_return true;
    Core::fail(error, Core::ErrorKind::StoreUnavailable, "the end of the attempt was not recorded", Core::RunState::Unknown);
    co_return false;
}

Core::Awaitable<bool> IntentJournal::release(IntentTicket ticket, Core::Error& error)
{
    return recordCompletion(std::move(ticket), IntentOperationKind::Release, error);
}

Core::Awaitable<bool> IntentJournal::abandon(IntentTicket ticket, Core::Error& error)
{
    return recordCompletion(std::move(ticket), IntentOperationKind::Abandon, error);
}

Core::Awaitable<bool> IntentJournal::finish(IntentTicket ticket, RecordedAnswer answer, Core::Error& error)
{
    if (!closeTicket(ticket, error))
        co_return false;
    auto const random = ticket.attemptId.substr(ticket.attemptId.rfind('.') + 1);
    auto const name = shardObjectName(ticket.location, 0) + "-" + ticket.keyDigest + "-" + random;
    std::size_t bytes = answer.body.size();
    for (auto const& [headerName, value] : answer.headers)
        bytes += headerName.size() + value.size();

    IntentRecord outcome;
    outcome.answer = std::move(answer);
    bool needsOwnObject = bytes > m_settings.maximumInlineAnswerBytes;
    std::shared_ptr<IntentOperation> operation;
    if (!needsOwnObject) {
        operation = co_await complete(ticket, IntentOperationKind::Finish, outcome);
        needsOwnObject = operation->state == IntentOperationState::AnswerTooLarge;
    }
    if (needsOwnObject) {
        outcome.answerLocation = AnswerLocation::Omitted;
        if (bytes <= m_settings.maximumAnswerBytes) {
            auto value = encodeAnswer(*outcome.answer);
            bool const isStored = co_await storeAnswer(name, std::move(value));
            if (isStored) {
                outcome.answerLocation = AnswerLocation::OwnObject;
                outcome.answerName = name;
            }
        }
        outcome.answer.reset();
        operation = co_await complete(ticket, IntentOperationKind::Finish, std::move(outcome));
    }
    endAttempt(ticket.attemptId);
    if (operation->state == IntentOperationState::Recorded)
        co_return true;
    m_metrics.counter("hyssopstep_intent_answers_not_recorded_total").add();
    Core::logEvent(Core::LogLevel::Warning, "intent_answer_not_recorded", { { "attempt", ticket.attemptId } });
    Core::fail(error, Core::ErrorKind::StoreUnavailable, "the answer was not recorded", Core::RunState::Ran);
    co_return false;
}

Core::Awaitable<bool> IntentJournal::storeAnswer(std::string name, std::string value)
{
    auto const end = m_runtime.now() + m_settings.completionRetryPeriod;
    while (m_runtime.now() < end) {
        Core::Error error;
        Platform::ObjectKey key { "intentanswers", name };
        auto const version = co_await m_store.create(std::move(key), value, callDeadline(), error);
        // The name contains the attempt id, so an existing object holds this answer, written by a call whose response was lost.
        if (version || error.kind == Core::ErrorKind::StoreConflict)
            co_return true;
        if (error.kind != Core::ErrorKind::StoreUnavailable)
            co_return false;
        co_await m_runtime.sleepFor(m_settings.maximumRetryDelay);
    }
    co_return false;
}

Core::Awaitable<bool> IntentJournal::removeObject(Platform::ObjectKey key, Core::Error& error)
{
    auto const stored = co_await m_store.read(key, callDeadline(), error);
    if (!stored)
        co_return error.kind == Core::ErrorKind::NotFound;
    bool const isRemoved = co_await m_store.remove(std::move(key), stored->resourceVersion, callDeadline(), error);
    co_return isRemoved || error.kind == Core::ErrorKind::NotFound;
}

Core::Awaitable<bool> IntentJournal::removeShard(IntentLocation location, Core::Error& error)
{
    std::size_t count = 0;
    for (;; ++count) {
        Platform::ObjectKey key { "intents", shardObjectName(location, count) };
        auto const stored = co_await m_store.read(std::move(key), callDeadline(), error);
        if (!stored && error.kind != Core::ErrorKind::NotFound)
            co_return false;
        if (!stored)
            break;
        auto const content = decodeShard(stored->value, error);
        if (!content)
            continue;
        for (auto const& [digest, record] : content->records) {
            if (record.answerLocation != AnswerLocation::OwnObject)
                continue;
            Platform::ObjectKey answerKey { "intentanswers", record.answerName };
            bool const isRemoved = co_await removeObject(std::move(answerKey), error);
            if (!isRemoved)
                co_return false;
        }
    }
    // Removes the last object first, so that the next run can still find the rest after an interruption.
    while (count-- > 0) {
        Platform::ObjectKey key { "intents", shardObjectName(location, count) };
        bool const isRemoved = co_await removeObject(std::move(key), error);
        if (!isRemoved)
            co_return false;
    }
    co_return true;
}

Core::Awaitable<std::optional<std::size_t>> IntentJournal::collectGarbage(std::size_t maximumBuckets, Core::Error& error)
{
    // The collector's clock may be ahead of a node's by the clock skew bound. The second bound is a margin for requests in
    // progress; since a node checks the key's age again after its write, a longer pause is safe too.
    auto const bucketMilliseconds = static_cast<std::uint64_t>(m_settings.bucketDuration.count());
    auto const retainedMilliseconds = static_cast<std::uint64_t>((m_settings.retention + 2 * m_settings.clockSkewBound).count());
    auto const now = unixMilliseconds(m_runtime.wallNow());
    if (now < retainedMilliseconds + bucketMilliseconds)
        co_return 0;
    auto const end = (now - retainedMilliseconds) / bucketMilliseconds;

    // Visits the buckets in the order of their names, since a list call would return the values of all objects.
    Platform::ObjectKey const cursorKey { "intentcursors", "collector" };
    auto const cursor = co_await m_store.read(cursorKey, callDeadline(), error);
    if (!cursor && error.kind != Core::ErrorKind::NotFound)
        co_return std::nullopt;
    std::uint64_t next = end - std::min(end, static_cast<std::uint64_t>(m_settings.retention.count()) / bucketMilliseconds);
    if (cursor) {
        boost::system::error_code errorCode;
        auto const parsed = boost::json::parse(cursor->value, errorCode);
        auto const* object = errorCode ? nullptr : parsed.if_object();
        auto const* value = object ? object->if_contains("nextBucket") : nullptr;
        if (!value || !value->is_int64())
            co_return Core::fail(error, Core::ErrorKind::Internal, "the collector's cursor is not a JSON object with an integer nextBucket");
        next = static_cast<std::uint64_t>(value->as_int64());
    }

    std::size_t collected = 0;
    for (; next < end && collected < maximumBuckets; ++next, ++collected) {
        for (std::uint32_t shard = 0; shard < m_settings.shardsPerBucket; ++shard) {
            IntentLocation const location { next, shard };
            bool const isRemoved = co_await removeShard(location, error);
            if (!isRemoved)
                co_return std::nullopt;
        }
    }
    if (collected == 0)
        co_return 0;
    auto const text = boost::json::serialize(boost::json::object { { "nextBucket", next } });
    std::optional<Core::StoreRevision> version;
    if (cursor)
        version = co_await m_store.update(cursorKey, text, cursor->resourceVersion, callDeadline(), error);
    else
        version = co_await m_store.create(cursorKey, text, callDeadline(), error);
    // On a conflict, another collector has advanced the cursor past buckets that it has emptied.
    if (!version && error.kind != Core::ErrorKind::StoreConflict)
        co_return std::nullopt;
    m_metrics.counter("hyssopstep_intent_collected_buckets_total").add(collected);
    Core::logEvent(Core::LogLevel::Info, "intent_buckets_collected", { { "buckets", static_cast<std::uint64_t>(collected) }, { "next_bucket", next } });
    co_return collected;
}

}
