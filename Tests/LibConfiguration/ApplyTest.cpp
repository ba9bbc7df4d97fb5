#include "Fixtures.h"
#include <LibConfiguration/Codec.h>
#include <LibConfiguration/ConfigurationStore.h>
#include <LibConfiguration/Diff.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <set>

using namespace std::chrono_literals;
using namespace Configuration;
using namespace ConfigurationTests;

namespace {

ApplyRequest request(std::uint64_t basedOn, std::string id, std::uint32_t limit, std::string by = "mirela")
{
    ApplyRequest request { basedOn, std::move(id), std::move(by), "raise the limit", exampleState() };
    request.desired.teams[0].limits.requestsPerSecond = limit;
    return request;
}

/// Runs tasks on a paused clock until all have ended.
class StoreTest : public testing::Test {
protected:
    StoreTest() { m_runtime.pause(); }

    void run(std::vector<Core::Awaitable<void>> tasks)
    {
        auto wrapper = [](Core::Awaitable<void> inner, std::size_t& open) -> Core::Awaitable<void> {
            co_await std::move(inner);
            --open;
        };
        m_open = tasks.size();
        for (auto& task : tasks)
            m_runtime.spawn(wrapper(std::move(task), m_open));
        while (m_open > 0) {
            m_context.restart();
            m_context.poll();
            m_runtime.advance(100us);
        }
    }

    std::optional<ApplyDecision> apply(FakeObjectStore& store, ApplyRequest const& request, Core::Duration timeout = 10s)
    {
        std::optional<ApplyDecision> result;
        auto task = [](StoreTest& test, FakeObjectStore& store, ApplyRequest request, Core::Duration timeout, std::optional<ApplyDecision>& result) -> Core::Awaitable<void> {
            ConfigurationStore configuration(test.m_runtime, store);
            auto const deadline = test.m_runtime.now() + timeout;
            result = co_await configuration.apply(std::move(request), deadline, test.m_error);
        };
        std::vector<Core::Awaitable<void>> tasks;
        tasks.push_back(task(*this, store, request, timeout, result));
        run(std::move(tasks));
        return result;
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    Core::Error m_error;
    std::size_t m_open { 0 };
};

}

// Guards against an apply based on an old generation reverting a newer one (invariant I7 in docs/design.md).
TEST(ApplyTest, RefusesStaleGenerationAndReturnsNewerEntries)
{
    AppliedState const empty;
    auto const first = decideApply(empty, request(0, "a", 10), 1000);
    ASSERT_EQ(first.outcome, ApplyOutcome::Accepted);
    EXPECT_EQ(first.state.generation, 1U);
    auto const second = decideApply(first.state, request(1, "b", 20, "joost"), 2000);
    ASSERT_EQ(second.outcome, ApplyOutcome::Accepted);
    EXPECT_THAT(second.state.audit.back().changes, testing::ElementsAre("teams/classroom: limits.requestsPerSecond: 10 -> 20"));

    auto const late = decideApply(second.state, request(1, "c", 30), 3000);
    EXPECT_EQ(late.outcome, ApplyOutcome::Conflict);
    EXPECT_EQ(late.state, second.state);
    ASSERT_EQ(late.entriesSince.size(), 1U);
    EXPECT_EQ(late.entriesSince[0].appliedBy, "joost");
    EXPECT_EQ(decideApply(second.state, request(7, "d", 30), 3000).outcome, ApplyOutcome::Conflict);
}

// Guards against a retried apply being refused as a conflict with itself, or counted twice.
TEST(ApplyTest, DetectsRepeatedApply)
{
    auto const first = decideApply({}, request(0, "a", 10), 1000);
    auto const second = decideApply(first.state, request(1, "b", 20), 2000);
    auto const repeated = decideApply(second.state, request(0, "a", 10), 3000);
    EXPECT_EQ(repeated.outcome, ApplyOutcome::AlreadyAccepted);
    EXPECT_EQ(repeated.generation, 1U);
    EXPECT_EQ(repeated.state, second.state);
    EXPECT_EQ(decideApply(second.state, request(2, "c", 20), 3000).outcome, ApplyOutcome::Unchanged);
}

// Guards against the object growing over the object API's limit, and against audit entries being dropped without an archive.
TEST(ApplyTest, LimitsAuditEntriesAndArchivesOldest)
{
    AppliedState state;
    std::vector<AuditEntry> archived;
    for (std::uint32_t generation = 0; generation < 200; ++generation) {
        auto next = request(generation, "id-" + std::to_string(generation), generation + 1);
        if (generation >= 100 && generation % 2 == 0) {
            // Large changes: hundreds of teams are added, and removed by the next apply.
            for (int team = 0; team < 900; ++team)
                next.desired.teams.push_back({ "team-" + std::to_string(team), { std::to_string(1000 + team) + std::string(60, 'b') }, { "advisor" }, {}, 1 });
        }
        auto const decision = decideApply(state, next, 1000 + generation);
        ASSERT_EQ(decision.outcome, ApplyOutcome::Accepted);
        archived.insert(archived.end(), decision.entriesToArchive.begin(), decision.entriesToArchive.end());
        state = decision.state;
        ASSERT_LE(state.audit.size(), maximumAuditEntries);
        std::size_t auditBytes = 0;
        for (auto const& entry : state.audit)
            auditBytes += boost::json::serialize(toJson(entry)).size();
        ASSERT_LE(auditBytes, maximumAuditBytes);
        ASSERT_LE(state.audit.back().changes.size(), maximumChangeLines + 1);
        ASSERT_EQ(archived.size() + state.audit.size(), generation + 1);
    }
    archived.insert(archived.end(), state.audit.begin(), state.audit.end());
    for (std::size_t index = 0; index < archived.size(); ++index)
        ASSERT_EQ(archived[index].generation, index + 1);
    EXPECT_EQ(archiveName({ archived[0], archived[31] }), "000000000001-000000000032");
}

// Guards against a lost response being reported as a failure or as a conflict with the apply itself.
TEST_F(StoreTest, ResolvesLostResponseByReadingBack)
{
    for (auto const fault : { StoreFault::ResponseLost, StoreFault::ExecutedLate, StoreFault::NotExecuted }) {
        FakeObjectStore store(m_runtime, 1, 0);
        store.nextFaults = { StoreFault::None, fault };
        auto const result = apply(store, request(0, "a", 10));
        ASSERT_TRUE(result) << m_error.message;
        EXPECT_EQ(result->outcome, fault == StoreFault::NotExecuted ? ApplyOutcome::Accepted : ApplyOutcome::AlreadyAccepted);
        EXPECT_EQ(result->generation, 1U);
        EXPECT_EQ(store.history.size(), 1U);
    }
}

// Guards against reporting "not run" while the outcome of a write is unknown, and against retrying past the deadline.
TEST_F(StoreTest, ReportsUnresolvedWriteAsUnknown)
{
    FakeObjectStore store(m_runtime, 1, 0);
    store.nextFaults = { StoreFault::None, StoreFault::ResponseLost };
    store.nextFaults.resize(20, StoreFault::NotExecuted);
    EXPECT_FALSE(apply(store, request(0, "a", 10), 300ms));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_error.runState, Core::RunState::Unknown);

    // An earlier attempt of the same apply may have taken effect, which only a read can show.
    FakeObjectStore outage(m_runtime, 1, 0);
    outage.nextFaults.resize(50, StoreFault::NotExecuted);
    EXPECT_FALSE(apply(outage, request(0, "a", 10)));
    EXPECT_EQ(m_error.runState, Core::RunState::Unknown);
    EXPECT_EQ(outage.calls, ConfigurationStore::maximumAttempts);
}

// Guards against "unknown" for an apply whose id a read did not find and whose write was never sent.
TEST_F(StoreTest, ReportsAbsentApplyAsNotRun)
{
    FakeObjectStore store(m_runtime, 1, 0);
    ASSERT_TRUE(apply(store, request(0, "first", 10)));
    store.nextFaults = { StoreFault::None };
    store.nextFaults.resize(50, StoreFault::NotExecuted);
    EXPECT_FALSE(apply(store, request(1, "second", 11)));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_error.runState, Core::RunState::NotRun);
    EXPECT_EQ(store.history.size(), 1U);
}

// Guards against an invalid state being written, whichever client sends it.
TEST_F(StoreTest, RefusesInvalidState)
{
    FakeObjectStore store(m_runtime, 1, 0);
    auto invalid = request(0, "a", 10);
    invalid.desired.teams[0].services.emplace_back("unknown");
    EXPECT_FALSE(apply(store, invalid));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::InvalidConfiguration);
    EXPECT_EQ(store.calls, 0U);
}

// Guards against a lost update when two operators apply concurrently and responses are lost: each accepted apply is one generation of the
// history, no generation reverts, and no apply takes effect twice.
TEST_F(StoreTest, ConcurrentAppliesWithLostResponses)
{
    struct Outcome {
        std::vector<std::pair<std::string, std::uint64_t>> accepted;
        std::set<std::string> refused;
    };
    auto const operate = [](Core::Runtime& runtime, FakeObjectStore& store, std::string name, std::uint64_t seed, Outcome& outcome) -> Core::Awaitable<void> {
        ConfigurationStore configuration(runtime, store);
        Core::Random random(seed);
        for (int round = 0; round < 120; ++round) {
            Core::Error error;
            auto const deadline = runtime.now() + 5s;
            auto const current = co_await configuration.read(deadline, error);
            if (!current)
                continue;
            auto next = request(current->state.generation, name + std::to_string(round), static_cast<std::uint32_t>(1 + random.below(100000)), name);
            auto const id = next.applyId;
            auto const result = co_await configuration.apply(std::move(next), deadline, error);
            if (result && (result->outcome == ApplyOutcome::Accepted || result->outcome == ApplyOutcome::AlreadyAccepted))
                outcome.accepted.emplace_back(id, result->generation);
            else if (result || error.runState == Core::RunState::NotRun)
                outcome.refused.insert(id);
        }
    };
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FakeObjectStore store(m_runtime, seed, 30);
        Outcome outcome;
        std::vector<Core::Awaitable<void>> tasks;
        tasks.push_back(operate(m_runtime, store, "mirela-", seed * 2, outcome));
        tasks.push_back(operate(m_runtime, store, "joost-", seed * 2 + 1, outcome));
        run(std::move(tasks));

        std::map<std::string, std::uint64_t> generationOf;
        for (std::size_t index = 0; index < store.history.size(); ++index) {
            auto const state = appliedStateFromJsonText(store.history[index], m_error);
            ASSERT_TRUE(state) << m_error.message;
            ASSERT_EQ(state->generation, index + 1);
            ASSERT_TRUE(generationOf.emplace(state->audit.back().applyId, state->generation).second);
        }
        EXPECT_GT(outcome.accepted.size(), 10U);
        EXPECT_FALSE(outcome.refused.empty());
        for (auto const& [id, generation] : outcome.accepted)
            EXPECT_EQ(generationOf[id], generation) << id;
        for (auto const& id : outcome.refused)
            EXPECT_FALSE(generationOf.contains(id)) << id;

        // Every generation is in the object or in an archive.
        std::set<std::uint64_t> kept;
        auto const last = appliedStateFromJsonText(store.history.back(), m_error);
        for (auto const& entry : last->audit)
            kept.insert(entry.generation);
        for (auto const& [key, object] : store.objects) {
            if (key.kind != auditArchiveKind)
                continue;
            auto const archive = boost::json::parse(object.value);
            for (auto const& entry : archive.as_array())
                kept.insert(entry.at("generation").to_number<std::uint64_t>());
        }
        EXPECT_EQ(kept.size(), store.history.size());
        EXPECT_GT(kept.size(), last->audit.size()) << "nothing was archived";
    }
}
