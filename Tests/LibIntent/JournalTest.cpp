#include <LibIntent/IntentFixture.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using namespace Intent;
using IntentTest::Node;

namespace {

class JournalTest : public testing::Test {
protected:
    struct Result {
        bool isDone { false };
        std::optional<IntentDecision> decision;
        Core::Error error;

        [[nodiscard]] std::optional<IntentDecisionKind> kind() const { return decision ? std::optional(decision->kind) : std::nullopt; }
    };

    JournalTest()
    {
        m_network.pause();
        // Every run starts at the same position in a bucket.
        auto const sinceEpoch = std::chrono::duration_cast<Core::Duration>(m_network.wallNow().time_since_epoch());
        m_network.advance(1h - sinceEpoch % Core::Duration(1h) + 500us);
        m_settings.shardsPerBucket = 1;
        for (std::size_t index = 0; index < 2; ++index)
            start("node-" + std::to_string(index));
    }

    Node& start(std::string const& id)
    {
        m_nodes.push_back(std::make_unique<Node>(m_context, m_objects, m_network, id, m_nodes.size() + 1, m_settings));
        m_nodes.back()->runtime.advance(m_network.now() - m_nodes.back()->runtime.now());
        return *m_nodes.back();
    }

    /// Recreates the nodes with the changed settings.
    void restartAll()
    {
        m_nodes.clear();
        start("node-0");
        start("node-1");
    }

    std::string newKey() { return IntentTest::makeKey(unixMilliseconds(m_network.wallNow()), m_random); }

    std::shared_ptr<Result> begin(Node& node, std::string const& key, Core::Duration time = 1s, std::string const& fingerprint = "request")
    {
        auto result = std::make_shared<Result>();
        auto task = [](Node& owner, std::string keyText, std::string fingerprintText, Core::MonotonicTime deadline, std::shared_ptr<Result> target) -> Core::Awaitable<void> {
            std::string const team = "team";
            std::string const service = "refunds";
            target->decision = co_await owner.journal.begin(team, service, keyText, fingerprintText, deadline, target->error);
            target->isDone = true;
        };
        node.runtime.spawn(task(node, key, fingerprint, node.runtime.now() + time, result));
        advance(0ms);
        return result;
    }

    IntentTicket run(Node& node, std::string const& key)
    {
        auto const result = begin(node, key);
        advance(200ms);
        EXPECT_EQ(result->kind(), IntentDecisionKind::Run);
        return result->decision && result->decision->ticket ? *result->decision->ticket : IntentTicket {};
    }

    std::shared_ptr<std::optional<bool>> finish(Node& node, IntentTicket const& ticket, std::string const& body)
    {
        auto result = std::make_shared<std::optional<bool>>();
        auto task = [](Node& owner, IntentTicket openTicket, std::string text, std::shared_ptr<std::optional<bool>> target) -> Core::Awaitable<void> {
            Core::Error error;
            RecordedAnswer const answer { 200, {}, text };
            *target = co_await owner.journal.finish(openTicket, answer, error);
        };
        node.runtime.spawn(task(node, ticket, body, result));
        advance(200ms);
        return result;
    }

    std::shared_ptr<std::optional<bool>> release(Node& node, IntentTicket const& ticket)
    {
        auto result = std::make_shared<std::optional<bool>>();
        auto task = [](Node& owner, IntentTicket openTicket, std::shared_ptr<std::optional<bool>> target) -> Core::Awaitable<void> {
            Core::Error error;
            *target = co_await owner.journal.release(openTicket, error);
        };
        node.runtime.spawn(task(node, ticket, result));
        advance(200ms);
        return result;
    }

    void advance(std::chrono::milliseconds duration)
    {
        do {
            auto const step = std::min(duration, std::chrono::milliseconds(10));
            duration -= step;
            m_network.advance(step);
            for (auto& node : m_nodes) {
                if (!node->isStopped)
                    node->runtime.advance(step);
            }
            m_context.restart();
            m_context.poll();
        } while (duration > 0ms);
    }

    /// Advances all clocks in one step and collects garbage at the second node.
    void collect(Core::Duration later)
    {
        m_network.advance(later);
        for (auto& node : m_nodes)
            node->runtime.advance(later);
        auto task = [](Node& node) -> Core::Awaitable<void> {
            Core::Error error;
            (void)co_await node.journal.collectGarbage(5000, error);
        };
        m_nodes[1]->runtime.spawn(task(*m_nodes[1]));
        advance(100ms);
    }

    std::size_t count(std::string const& kind)
    {
        std::size_t found = 0;
        for (auto const& [key, object] : m_objects->objects)
            found += key.kind == kind ? 1 : 0;
        return found;
    }

    std::size_t records()
    {
        std::size_t found = 0;
        Core::Error error;
        for (auto const& [key, object] : m_objects->objects) {
            if (key.kind == "intents")
                found += decodeShard(object.value, error)->records.size();
        }
        return found;
    }

    boost::asio::io_context m_context;
    Core::Runtime m_network { m_context };
    Core::Random m_random { 1 };
    IntentSettings m_settings;
    std::shared_ptr<TestSupport::MemoryObjects> m_objects = std::make_shared<TestSupport::MemoryObjects>();
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}

// Guards against one write per call under load, which at the design load would exceed the object API's rate limit.
TEST_F(JournalTest, WritesOfAShardAreBatched)
{
    auto& node = *m_nodes[0];
    node.store.faults.requestDelay = 5ms;
    std::vector<std::shared_ptr<Result>> results;
    for (int index = 0; index < 1000; ++index) {
        results.push_back(begin(node, newKey(), 5s));
        if (index % 10 == 9)
            advance(10ms);
    }
    advance(500ms);
    for (auto const& result : results)
        EXPECT_EQ(result->kind(), IntentDecisionKind::Run);
    // 1000 calls in 1 s with one write every 50 ms.
    EXPECT_LE(node.store.calls.writes, 25U);
    EXPECT_GE(node.store.calls.writes, 15U);
    EXPECT_EQ(node.journal.openTickets(), 1000U);
}

// Guards against delaying the first call after an idle period.
TEST_F(JournalTest, IdleShardWritesAtOnce)
{
    auto const result = begin(*m_nodes[0], newKey());
    EXPECT_EQ(result->kind(), IntentDecisionKind::Run);
    EXPECT_EQ(m_nodes[0]->store.calls.writes, 1U);
}

// Guards against treating a write whose response was lost as failed, or its record as another node's.
TEST_F(JournalTest, LostAnswerIsReadBack)
{
    m_nodes[0]->store.faults.lostWriteResponses = 1;
    auto const key = newKey();
    auto const ticket = run(*m_nodes[0], key);
    EXPECT_EQ(m_nodes[0]->store.calls.writes, 1U);
    m_nodes[0]->store.faults.lostWriteResponses = 1;
    EXPECT_EQ(*finish(*m_nodes[0], ticket, "answer"), true);
    auto const repeat = begin(*m_nodes[1], key);
    EXPECT_EQ(repeat->kind(), IntentDecisionKind::Replay);
    EXPECT_EQ(repeat->decision->answer->body, "answer");
    EXPECT_EQ(begin(*m_nodes[1], key, 1s, "other")->kind(), IntentDecisionKind::Mismatch);
}

// Guards against running or refusing a repeated key while the first attempt is in progress.
TEST_F(JournalTest, RepeatWaitsForTheAttemptInProgress)
{
    auto const key = newKey();
    auto const ticket = run(*m_nodes[0], key);
    auto const sameNode = begin(*m_nodes[0], key, 3s);
    auto const otherNode = begin(*m_nodes[1], key, 3s);
    auto const shortDeadline = begin(*m_nodes[1], key, 300ms);
    advance(500ms);
    EXPECT_EQ(shortDeadline->kind(), IntentDecisionKind::OutcomeUnknown);
    EXPECT_FALSE(sameNode->isDone || otherNode->isDone);
    finish(*m_nodes[0], ticket, "answer");
    advance(2s);
    EXPECT_EQ(sameNode->kind(), IntentDecisionKind::Replay);
    EXPECT_EQ(otherNode->kind(), IntentDecisionKind::Replay);
}

// Guards against a released key that stays blocked, and against running two waiting repeats of it.
TEST_F(JournalTest, ReleasedKeyRunsOnce)
{
    auto const key = newKey();
    auto const ticket = run(*m_nodes[0], key);
    auto const first = begin(*m_nodes[1], key, 3s);
    auto const second = begin(*m_nodes[0], key, 3s);
    EXPECT_EQ(*release(*m_nodes[0], ticket), true);
    EXPECT_EQ(*finish(*m_nodes[0], ticket, "late"), false);
    EXPECT_EQ(*release(*m_nodes[0], ticket), false);
    advance(2s);
    EXPECT_EQ((first->kind() == IntentDecisionKind::Run) + (second->kind() == IntentDecisionKind::Run), 1);
}

// Guards against a withdrawn attempt that runs or blocks its key when its write takes effect after the error was returned.
TEST_F(JournalTest, WriteAfterTheDeadlineIsWithdrawn)
{
    auto& node = *m_nodes[0];
    auto const key = newKey();
    // The read completes in time; the write is in flight at the deadline.
    node.store.faults.responseDelay = 10ms;
    auto const result = begin(node, key, 15ms);
    while (node.store.calls.reads == 0)
        advance(1ms);
    node.store.faults.requestDelay = 1000ms;
    advance(20ms);
    EXPECT_EQ(node.store.calls.writes, 1U);
    EXPECT_EQ(records(), 0U);
    EXPECT_TRUE(result->isDone);
    EXPECT_FALSE(result->decision);
    EXPECT_EQ(result->error.runState, Core::RunState::NotRun);
    advance(10s);
    EXPECT_EQ(node.journal.openTickets(), 0U);
    EXPECT_EQ(records(), 0U);
    EXPECT_EQ(begin(*m_nodes[1], key)->kind(), IntentDecisionKind::Run);
}

// Guards against a withdrawal that finds no record while the write is still in flight and inserts it later.
TEST_F(JournalTest, WriteInFlightIsFencedByTheWithdrawal)
{
    m_settings.storeCallTimeout = 100ms;
    restartAll();
    auto& node = *m_nodes[0];
    auto const key = newKey();
    run(node, newKey());
    node.store.faults.requestDelay = 100s;
    auto const result = begin(node, key, 150ms);
    while (node.store.calls.writes < 2)
        advance(10ms);
    node.store.faults.requestDelay = 0ms;
    advance(1s);
    EXPECT_TRUE(result->isDone && !result->decision);
    advance(100s);
    EXPECT_EQ(records(), 1U);
}

// Guards against running a call after its deadline because the node was paused while its write was in flight.
TEST_F(JournalTest, PauseDuringTheWriteEndsInNotRun)
{
    auto& node = *m_nodes[0];
    node.store.faults.requestDelay = 5ms;
    auto const result = begin(node, newKey(), 500ms);
    while (node.store.calls.writes < 1)
        advance(10ms);
    ASSERT_FALSE(result->isDone);
    node.isStopped = true;
    advance(1s);
    EXPECT_FALSE(result->isDone);
    node.isStopped = false;
    node.runtime.advance(1s);
    advance(500ms);
    EXPECT_TRUE(result->isDone && !result->decision);
    EXPECT_EQ(result->error.runState, Core::RunState::NotRun);
    EXPECT_EQ(records(), 0U);
}

// Guards against a second run by a create that was delayed until the collector had removed the record of the first.
TEST_F(JournalTest, CreateDelayedPastCollectionDoesNotRun)
{
    m_settings.retention = 1s;
    m_settings.clockSkewBound = 100ms;
    m_settings.bucketDuration = 100ms;
    m_settings.storeCallTimeout = 2000s;
    restartAll();
    // The first collection sets the cursor from which the second continues.
    collect(0s);
    auto& delayedNode = *m_nodes[0];
    auto const key = newKey();
    // The read passes at once, and the create is delayed.
    delayedNode.store.faults.responseDelay = 1ms;
    auto const result = begin(delayedNode, key, 2000s);
    delayedNode.store.faults.requestDelay = 1000s;
    while (delayedNode.store.calls.writes < 1)
        advance(10ms);
    finish(*m_nodes[1], run(*m_nodes[1], key), "answer");
    advance(5s);
    collect(0s);
    EXPECT_EQ(count("intents"), 0U);
    EXPECT_FALSE(result->isDone);
    advance(1000s);
    ASSERT_TRUE(result->decision);
    EXPECT_EQ(result->kind(), IntentDecisionKind::Expired);
}

// Guards against a second run of a key whose writer crashed, including at a node restarted with the same id.
TEST_F(JournalTest, DeadWriterGivesOutcomeUnknown)
{
    auto const key = newKey();
    run(*m_nodes[0], key);
    m_nodes[0]->isStopped = true;
    auto& restarted = start("node-0");
    EXPECT_EQ(begin(restarted, key)->kind(), IntentDecisionKind::OutcomeUnknown);
    auto const other = begin(*m_nodes[1], key, 2s);
    advance(3s);
    EXPECT_EQ(other->kind(), IntentDecisionKind::OutcomeUnknown);
}

// Guards against a node that cannot read the journal reporting NotRun for a key that ran at another node, and against a
// journal that does not recover from an outage.
TEST_F(JournalTest, OutageBeforeReadingTheJournalIsUnknown)
{
    auto const ranKey = newKey();
    run(*m_nodes[1], ranKey);
    for (auto& node : m_nodes)
        node->store.faults.isDown = true;
    auto const key = newKey();
    auto const refused = begin(*m_nodes[0], key);
    advance(2s);
    EXPECT_TRUE(refused->isDone && !refused->decision);
    EXPECT_EQ(refused->error.kind, Core::ErrorKind::StoreUnavailable);
    EXPECT_EQ(refused->error.runState, Core::RunState::Unknown);
    auto const repeated = begin(*m_nodes[0], ranKey);
    advance(2s);
    EXPECT_TRUE(repeated->isDone && !repeated->decision);
    EXPECT_EQ(repeated->error.runState, Core::RunState::Unknown);
    for (auto& node : m_nodes)
        node->store.faults.isDown = false;
    run(*m_nodes[1], key);
}

// Guards against reporting Unknown for a key although the journal was read before the outage and held no record of it.
TEST_F(JournalTest, OutageAfterReadingTheJournalIsNotRun)
{
    auto& node = *m_nodes[0];
    node.store.faults.responseDelay = 20ms;
    node.store.faults.lostWriteResponses = 1;
    auto const key = newKey();
    auto const refused = begin(node, key);
    while (node.store.calls.writes == 0)
        advance(1ms);
    node.store.faults.isDown = true;
    advance(30s);
    EXPECT_TRUE(refused->isDone && !refused->decision);
    EXPECT_EQ(refused->error.kind, Core::ErrorKind::StoreUnavailable);
    EXPECT_EQ(refused->error.runState, Core::RunState::NotRun);
}

// Guards against a value over the object API's limit, and against a key that runs again from a continuation object.
TEST_F(JournalTest, OverflowKeepsKeysUnique)
{
    m_settings.bucketDuration = 10min;
    m_settings.sealThresholdBytes = 10 * 1024;
    m_settings.maximumObjectBytes = 100 * 1024;
    restartAll();
    std::vector<std::string> keys;
    std::vector<IntentTicket> tickets;
    for (std::size_t index = 0; index < 200; ++index) {
        keys.push_back(newKey());
        auto const result = begin(*m_nodes[index % 2], keys.back());
        // Alternating nodes conflict on the shard's version and retry their writes after a backoff.
        advance(300ms);
        ASSERT_EQ(result->kind(), IntentDecisionKind::Run) << index;
        tickets.push_back(*result->decision->ticket);
    }
    EXPECT_GE(count("intents"), 4U);
    for (std::size_t index = 0; index < keys.size(); ++index) {
        auto const done = finish(*m_nodes[index % 2], tickets[index], std::string(10'000, 'x'));
        ASSERT_EQ(*done, true);
    }
    EXPECT_GT(count("intentanswers"), 0U);
    for (auto const& [key, object] : m_objects->objects)
        EXPECT_LE(object.value.size(), m_settings.maximumObjectBytes + 16 * 1024) << key.name;
    auto& newNode = start("node-9");
    for (auto const& key : keys) {
        auto const repeat = begin(newNode, key);
        advance(10ms);
        ASSERT_EQ(repeat->kind(), IntentDecisionKind::Replay);
        EXPECT_EQ(repeat->decision->answer->body.size(), 10'000U);
    }
}

// Guards against answers that are too large for a shard object and block the shard or are replayed incomplete.
TEST_F(JournalTest, LargeAnswersLeaveTheShard)
{
    std::string const keys[] { newKey(), newKey() };
    finish(*m_nodes[0], run(*m_nodes[0], keys[0]), std::string(100'000, 'x'));
    finish(*m_nodes[0], run(*m_nodes[0], keys[1]), std::string(2'000'000, 'x'));
    EXPECT_EQ(count("intentanswers"), 1U);
    EXPECT_EQ(begin(*m_nodes[1], keys[0])->decision->answer->body.size(), 100'000U);
    auto const omitted = begin(*m_nodes[1], keys[1]);
    EXPECT_EQ(omitted->kind(), IntentDecisionKind::OutcomeUnknown);
    EXPECT_EQ(omitted->decision->error.runState, Core::RunState::Ran);
}

// Guards against objects that are never removed, and against removing a record while its key is still accepted.
TEST_F(JournalTest, GarbageIsCollectedAfterTheRetention)
{
    finish(*m_nodes[0], run(*m_nodes[0], newKey()), std::string(100'000, 'x'));
    collect(24h + 9min);
    EXPECT_EQ(count("intents"), 1U);
    EXPECT_EQ(count("intentanswers"), 1U);
    collect(3min);
    EXPECT_EQ(count("intents"), 0U);
    EXPECT_EQ(count("intentanswers"), 0U);
}
