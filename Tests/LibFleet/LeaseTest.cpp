#include <LibFleet/Lease.h>
#include <Support/MemoryObjectStore.h>
#include <boost/json.hpp>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

struct Candidate {
    Candidate(boost::asio::io_context& context, std::shared_ptr<TestSupport::MemoryObjects> objects, Core::Runtime& network, std::string const& id, std::uint64_t seed)
        : runtime(context)
        , random(seed)
        , store(runtime, random, std::move(objects), &network)
        , leaseManager(runtime, store, random, metrics, "planner", id, { 1000ms, 300ms, 200ms })
    {
        runtime.pause();
        leaseManager.start();
    }

    Core::Runtime runtime;
    Core::Random random;
    Core::Metrics metrics;
    TestSupport::MemoryObjectStore store;
    Fleet::LeaseManager leaseManager;
    int pausedSteps { 0 };
    bool isStopping { false };
    Core::Duration clockLag { 0 };

    /// The epoch that this candidate holds by its own clock, which stands still while it is paused.
    [[nodiscard]] std::optional<std::uint64_t> epoch() const { return leaseManager.lease().epoch(); }
};

class LeaseTest : public testing::Test {
protected:
    explicit LeaseTest(std::uint64_t seed = 1)
        : m_random(seed)
    {
        m_network.pause();
        for (std::size_t index = 0; index < 3; ++index)
            m_candidates.push_back(std::make_unique<Candidate>(m_context, m_objects, m_network, "node-" + std::to_string(index), m_random.bits()));
    }

    void advance(std::chrono::milliseconds duration)
    {
        for (; duration > 0ms; duration -= 10ms) {
            m_network.advance(10ms);
            for (auto& candidate : m_candidates) {
                candidate->clockLag += 10ms;
                if (candidate->pausedSteps > 0) {
                    --candidate->pausedSteps;
                    continue;
                }
                candidate->runtime.advance(candidate->clockLag);
                candidate->clockLag = Core::Duration::zero();
            }
            m_context.restart();
            m_context.poll();
            checkInvariants();
        }
    }

    // At most one running candidate considers itself the holder, and paused ones that do have an older epoch. Epochs never decrease,
    // and no epoch has two holders.
    void checkInvariants()
    {
        std::vector<std::uint64_t> running;
        std::vector<std::uint64_t> paused;
        for (std::size_t index = 0; index < m_candidates.size(); ++index) {
            auto const epoch = m_candidates[index]->epoch();
            if (!epoch)
                continue;
            auto const [holder, isNew] = m_holderOfEpoch.emplace(*epoch, index);
            EXPECT_EQ(holder->second, index) << "epoch " << *epoch << " has two holders";
            m_changesOfHolder += isNew ? 1 : 0;
            (m_candidates[index]->clockLag > Core::Duration::zero() ? paused : running).push_back(*epoch);
            if (m_candidates[index]->clockLag == Core::Duration::zero())
                checkOrderOfHolders(index);
        }
        EXPECT_LE(running.size(), 1U);
        for (auto const epoch : running) {
            EXPECT_GE(epoch, m_newestEpoch) << "an older epoch is used after a newer one";
            m_newestEpoch = epoch;
        }
        for (auto const epoch : paused)
            EXPECT_TRUE(running.empty() || epoch < running[0]);
    }

    // No holder acts again within the lease's duration after another one did, whatever process of the node it is.
    void checkOrderOfHolders(std::size_t index)
    {
        static constexpr Core::Duration duration = 1000ms;
        auto const previous = m_lastActs.find(index);
        bool const isSoon = previous != m_lastActs.end() && m_network.now() - previous->second < duration;
        EXPECT_FALSE(isSoon && m_lastActor != index) << "node-" << index << " acts again after node-" << m_lastActor;
        m_lastActs[index] = m_network.now();
        m_lastActor = index;
    }

    // What the process has sent still takes effect.
    void startAgain(std::size_t index)
    {
        m_ended.push_back(std::move(m_candidates[index]));
        m_candidates[index] = std::make_unique<Candidate>(m_context, m_objects, m_network, "node-" + std::to_string(index), m_random.bits());
    }

    std::optional<std::size_t> holder() const
    {
        for (std::size_t index = 0; index < m_candidates.size(); ++index) {
            if (m_candidates[index]->epoch())
                return index;
        }
        return std::nullopt;
    }

    boost::asio::io_context m_context;
    Core::Random m_random;
    Core::Runtime m_network { m_context };
    std::shared_ptr<TestSupport::MemoryObjects> m_objects = std::make_shared<TestSupport::MemoryObjects>();
    std::vector<std::unique_ptr<Candidate>> m_ended;
    std::vector<std::unique_ptr<Candidate>> m_candidates;
    std::map<std::size_t, Core::MonotonicTime> m_lastActs;
    std::size_t m_lastActor { 0 };
    std::map<std::uint64_t, std::size_t> m_holderOfEpoch;
    std::uint64_t m_newestEpoch { 0 };
    int m_changesOfHolder { 0 };
};

enum class Restorations {
    No,
    Yes,
};

enum class Restarts {
    No,
    Yes,
};

class LeaseSchedule : public LeaseTest {
public:
    LeaseSchedule(std::uint64_t seed, Restorations restorations, Restarts restarts)
        : LeaseTest(seed)
        , m_restorations(restorations)
        , m_restarts(restarts)
    {
    }

    int run()
    {
        for (int step = 0; step < 1000; ++step) {
            auto& candidate = *m_candidates[m_random.below(3)];
            if (step % 30 == 0) {
                candidate.store.faults.isDown = m_random.below(5) == 0;
                candidate.store.faults.responseLossProbability = m_random.below(3) == 0 ? 0.4 : 0;
                candidate.store.faults.requestDelay = m_random.below(3) == 0 ? 800ms : 20ms;
                candidate.store.faults.responseDelay = m_random.below(3) == 0 ? 800ms : 20ms;
            }
            if (m_restorations == Restorations::Yes && m_random.below(60) == 0)
                m_copy = *m_objects;
            if (m_restorations == Restorations::Yes && m_random.below(150) == 0)
                m_objects->restore(m_copy);
            if (m_random.below(100) == 0)
                candidate.pausedSteps = static_cast<int>(m_random.below(250));
            if (m_restarts == Restarts::Yes)
                stopOrStartAgain();
            advance(10ms);
        }
        for (std::size_t index = 0; index < m_candidates.size(); ++index) {
            if (m_candidates[index]->isStopping)
                startAgain(index);
            m_candidates[index]->store.faults = {};
        }
        advance(6s);
        EXPECT_TRUE(holder()) << "no candidate acquired the lease after the faults ended";
        return m_changesOfHolder;
    }

private:
    void TestBody() override { }

    // Stops a candidate, a holder more often, or ends its process, as a kill does if it was not stopped.
    void stopOrStartAgain()
    {
        auto const index = m_random.below(m_candidates.size());
        auto& candidate = *m_candidates[index];
        if (candidate.pausedSteps == 0 && m_random.below(candidate.epoch() ? 30 : 300) == 0) {
            candidate.isStopping = true;
            candidate.runtime.spawn(candidate.leaseManager.stop());
        }
        if (m_random.below(candidate.isStopping ? 10 : 300) == 0)
            startAgain(index);
    }

    Restorations m_restorations;
    Restarts m_restarts;
    TestSupport::MemoryObjects m_copy;
};

}

// Guards against a lease that no candidate acquires, or whose holder changes unnecessarily.
TEST_F(LeaseTest, HolderKeepsRenewingItsLease)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    advance(10s);
    EXPECT_EQ(holder(), first);
    EXPECT_EQ(m_newestEpoch, 1U);
}

// Guards against a paused holder that uses its successor's token, or acts as holder after it resumes.
TEST_F(LeaseTest, PausedHolderIsReplacedWithANewerEpoch)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    auto& paused = *m_candidates[*first];
    paused.pausedSteps = 400;
    advance(3900ms);
    // The paused candidate still considers itself the holder, since its clock stands still.
    EXPECT_EQ(paused.epoch(), 1U);
    EXPECT_EQ(m_newestEpoch, 2U);
    paused.pausedSteps = 0;
    advance(10ms);
    EXPECT_FALSE(paused.epoch());
    advance(3s);
    EXPECT_FALSE(paused.epoch());
}

// Guards against a successor that acquires the lease before it has expired for the holder.
TEST_F(LeaseTest, HolderWithoutStoreExpiresBeforeSuccessorAcquires)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    m_candidates[*first]->store.faults.isDown = true;
    advance(3s);
    ASSERT_TRUE(holder());
    EXPECT_NE(holder(), first);
    EXPECT_EQ(m_newestEpoch, 2U);
}

// Guards against a call that a paused process sends after its lease has ended.
TEST_F(LeaseTest, CallsOfTheHolderEndWithItsLease)
{
    static constexpr Core::Duration timeout = 800ms;
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    auto& candidate = *m_candidates[*first];
    EXPECT_EQ(candidate.leaseManager.lease().callDeadline(timeout), candidate.runtime.now() + timeout);
    candidate.store.faults.isDown = true;
    auto const end = candidate.runtime.now() + candidate.leaseManager.lease().remaining();
    for (int step = 0; step < 40 && candidate.epoch(); ++step) {
        EXPECT_LE(candidate.leaseManager.lease().callDeadline(timeout), end);
        advance(100ms);
    }
    EXPECT_EQ(candidate.leaseManager.lease().callDeadline(timeout), candidate.runtime.now());
}

// Guards against a lost response that makes a holder abandon its lease or start a new epoch.
TEST_F(LeaseTest, LostResponsesAreReadBack)
{
    for (auto& candidate : m_candidates)
        candidate->store.faults.lostWriteResponses = 10;
    advance(4s);
    EXPECT_TRUE(holder());
    EXPECT_EQ(m_newestEpoch, 1U);
}

// Guards against waiting for the whole duration after a release.
TEST_F(LeaseTest, ReleasedLeaseIsAcquiredImmediately)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    auto& leaseManager = m_candidates[*first]->leaseManager;
    m_candidates[*first]->runtime.spawn(leaseManager.stop());
    advance(400ms);
    ASSERT_TRUE(holder());
    EXPECT_NE(holder(), first);
    EXPECT_EQ(m_newestEpoch, 2U);
}

// Guards against a fencing token that two holders send: the store returned from a copy without the second holder's record, and the first
// one, whose record the copy had, took the second one's token.
TEST_F(LeaseTest, RestoredStoreAssignsNoEpochTwice)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    auto const copy = *m_objects;
    m_candidates[*first]->pausedSteps = 200;
    advance(2s);
    ASSERT_TRUE(holder());
    EXPECT_EQ(m_newestEpoch, 2U);
    for (auto& candidate : m_candidates)
        candidate->store.faults.isDown = true;
    advance(2s);
    m_objects->restore(copy);
    for (auto& candidate : m_candidates)
        candidate->store.faults.isDown = false;
    advance(3s);
    EXPECT_TRUE(holder());
    EXPECT_GE(m_newestEpoch, Fleet::firstEpochOfEra(1));
    EXPECT_LT(m_newestEpoch, Fleet::firstEpochOfEra(2));
}

// Guards against a second holder while the first one's lease lasts: the restored store has no record, or that of an earlier release, or one
// whose version number another candidate has known for long.
TEST_F(LeaseTest, RestoredStoreDoesNotEndALease)
{
    auto copy = *m_objects;
    for (int i = 0; i < 3; ++i) {
        advance(1200ms);
        auto const before = holder();
        ASSERT_TRUE(before);
        m_candidates[*before]->store.faults.isDown = i == 1;
        m_objects->restore(copy);
        advance(500ms);
        EXPECT_EQ(holder(), before);
        m_candidates[*before]->store.faults.isDown = false;
        advance(500ms);
        EXPECT_EQ(holder(), before);
        copy = *m_objects;
    }
    EXPECT_EQ(m_changesOfHolder, 1);
}

// Guards against two holders of one epoch: a write from before the restoration takes effect late, on a version number that was assigned
// again, and hides the record of a holder that then stops.
TEST_F(LeaseTest, LateWriteFromBeforeARestorationDoesNotHideAnEpoch)
{
    advance(500ms);
    auto const first = holder();
    ASSERT_TRUE(first);
    Platform::ObjectKey const key { "leases", "planner" };
    auto const late = m_objects->objects.at(key).value;
    auto const copy = *m_objects;
    m_objects->restore(copy);
    m_candidates[*first]->store.faults.isDown = true;
    advance(3s);
    auto const second = holder();
    ASSERT_TRUE(second && second != first);
    auto const epochOfSecond = m_newestEpoch;
    m_objects->put(key, late);
    m_candidates[*second]->store.faults.isDown = true;
    advance(4s);
    EXPECT_TRUE(holder());
    EXPECT_GT(m_newestEpoch, epochOfSecond);
}

// Guards against duties that nobody performs for a lease time when the whole system starts, and against taking a lease whose record a
// restored store has lost.
TEST_F(LeaseTest, AbsentLeaseIsFreeOnlyAtTheFirstStartOfTheSystem)
{
    for (auto const systemStart : { Fleet::SystemStart::First, Fleet::SystemStart::Unknown }) {
        auto objects = std::make_shared<TestSupport::MemoryObjects>();
        objects->era = 1;
        TestSupport::MemoryObjectStore store(m_network, m_random, objects);
        Fleet::Lease lease(m_network, store, m_random, "planner", "n1", 1000ms, systemStart);
        auto const acquire = [&] {
            Core::Error error;
            auto const call = [&]() -> Core::Awaitable<void> { (void)co_await lease.acquire(m_network.now() + 1s, error); };
            m_network.spawn(call());
            m_context.restart();
            m_context.poll();
            return lease.epoch().has_value();
        };
        auto const empty = *objects;
        EXPECT_EQ(acquire(), systemStart == Fleet::SystemStart::First);
        lease.abandon();
        objects->restore(empty);
        EXPECT_FALSE(acquire());
        advance(1010ms);
        EXPECT_TRUE(acquire());
    }
}

// Guards against a node that acts as holder, is restarted, and acts again soon after another holder did.
TEST_F(LeaseTest, RestartedHolderWaitsIfAnotherHolderFollowedIt)
{
    auto objects = std::make_shared<TestSupport::MemoryObjects>();
    TestSupport::MemoryObjectStore store(m_network, m_random, objects);
    auto const start = [&](std::string const& id) { return Fleet::Lease(m_network, store, m_random, "planner", id, 1000ms); };
    auto const acquires = [&](Fleet::Lease& lease) {
        Core::Error error;
        auto const call = [&]() -> Core::Awaitable<void> { (void)co_await lease.acquire(m_network.now() + 1s, error); };
        m_network.spawn(call());
        m_context.restart();
        m_context.poll();
        return lease.epoch().has_value();
    };
    auto const holdAndRelease = [&](std::string const& id) {
        auto lease = start(id);
        bool const isAcquired = acquires(lease);
        Core::Error error;
        auto const call = [&]() -> Core::Awaitable<void> { (void)co_await lease.release(m_network.now() + 1s, error); };
        m_network.spawn(call());
        m_context.restart();
        m_context.poll();
        return isAcquired;
    };
    EXPECT_TRUE(holdAndRelease("n1"));
    EXPECT_TRUE(holdAndRelease("n1"));
    EXPECT_TRUE(holdAndRelease("n2"));
    EXPECT_TRUE(holdAndRelease("n3"));
    for (auto const* id : { "n1", "n2" }) {
        auto restarted = start(id);
        EXPECT_FALSE(acquires(restarted)) << id;
        advance(990ms);
        EXPECT_FALSE(acquires(restarted)) << id;
        advance(10ms);
        EXPECT_TRUE(acquires(restarted)) << id;
        advance(1010ms);
    }
}

// Guards against the same after the store returned from a copy that lacks the first holder's record: the second holder cannot name it.
TEST_F(LeaseTest, HolderThatARestoredStoreForgotWaitsIfAnotherHolderFollowedIt)
{
    for (bool const isRestarted : { false, true }) {
        auto objects = std::make_shared<TestSupport::MemoryObjects>();
        objects->era = 1;
        TestSupport::MemoryObjectStore store(m_network, m_random, objects);
        auto const run = [&](Core::Awaitable<bool> call) {
            m_network.spawn([](Core::Awaitable<bool> task) -> Core::Awaitable<void> { (void)co_await std::move(task); }(std::move(call)));
            m_context.restart();
            m_context.poll();
        };
        Core::Error error;
        auto const acquires = [&](Fleet::Lease& lease) { return run(lease.acquire(m_network.now() + 1s, error)), lease.epoch().has_value(); };
        Fleet::Lease first(m_network, store, m_random, "planner", "n1", 1000ms, Fleet::SystemStart::First);
        Fleet::Lease second(m_network, store, m_random, "planner", "n2", 1000ms);
        auto const copy = *objects;
        EXPECT_TRUE(acquires(first));
        objects->restore(copy);
        EXPECT_FALSE(acquires(second));
        advance(990ms);
        EXPECT_TRUE(first.epoch());
        Fleet::Lease restarted(m_network, store, m_random, "planner", "n1", 1000ms);
        auto& again = isRestarted ? restarted : first;
        advance(10ms);
        EXPECT_TRUE(acquires(second));
        run(second.release(m_network.now() + 1s, error));
        EXPECT_FALSE(acquires(again)) << (isRestarted ? "restarted" : "the same process");
        advance(1000ms);
        EXPECT_TRUE(acquires(again));
    }
}

// Guards against treating a damaged record as a free lease.
TEST(LeaseCodec, RoundTripsAndRejectsDamagedRecords)
{
    Core::Error error;
    Fleet::LeaseRecord const record { "node-1", 7, 1000ms, "id", 2, { "node-2", "node-3" }, true };
    EXPECT_EQ(Fleet::decodeLease(Fleet::encodeLease(record), error), record);
    auto const earlier = Fleet::decodeLease(R"({"holder":"","epoch":7,"durationMs":1000,"writeId":"id"})", error);
    EXPECT_TRUE(earlier && !earlier->hasAllFormerHolders);
    for (auto const* text : { "", "{}", "[]", R"({"holder":"a","epoch":"x","durationMs":1,"writeId":""})" })
        EXPECT_FALSE(Fleet::decodeLease(text, error)) << text;
}

// Guards against an epoch that wraps around, and a lease that lasts for years, by a record of another writer.
TEST(LeaseCodec, RejectsRecordsWithValuesOutOfRange)
{
    std::string const odd[] { "1e308", "-1", "18446744073709551615", "18446744073709551616", "9223372036854775808", "1.5", "null", "[\"" + std::string(8'000'000, 'x') + "\"]", std::string(100'000, '[') };
    for (auto const& value : odd) {
        for (auto const* field : { "holder", "epoch", "durationMs", "writeId", "formerHolders" }) {
            auto record = boost::json::object { { "holder", "a" }, { "epoch", 1 }, { "durationMs", 1 }, { "writeId", "b" } };
            record.erase(field);
            auto text = boost::json::serialize(record);
            text.back() = ',';
            text.append("\"").append(field).append("\":").append(value).append("}");
            Core::Error error;
            EXPECT_FALSE(Fleet::decodeLease(text, error)) << field << value.substr(0, 30);
        }
    }
}

// Guards against duties that nobody performs any more, or that another node performs at once, because another writer damaged the record.
TEST_F(LeaseTest, DamagedRecordIsReplacedAfterTheWholeDuration)
{
    std::string const start = R"({"holder":"a","writeId":"b",)";
    std::string const damaged[] {
        "null",
        std::string(100'000, '['),
        start + R"("epoch":18446744073709551615,"durationMs":1000})",
        start + R"("epoch":18446744073709551616,"durationMs":1000})",
        start + R"("epoch":1,"durationMs":9223372036854775807})",
        start + R"("epoch":1,"durationMs":-1})",
        start + R"("epoch":1,"durationMs":1000,"formerHolders":[")" + std::string(1'100'000, 'x') + R"("]})",
    };
    Platform::ObjectKey const key { "leases", "planner" };
    advance(500ms);
    for (auto const& value : damaged) {
        SCOPED_TRACE(value.substr(0, 100));
        ASSERT_TRUE(holder());
        auto const before = m_newestEpoch;
        for (int i = 0; i < 3; ++i) {
            m_objects->put(key, value);
            advance(900ms);
            EXPECT_EQ(m_newestEpoch, before);
        }
        advance(2s);
        EXPECT_TRUE(holder());
        EXPECT_GT(m_newestEpoch, before);
    }
}

static void playSchedules(Restorations restorations, Restarts restarts, int minimumChanges)
{
    auto const* seedText = std::getenv("HYSSOPSTEP_TEST_SEED");
    std::uint64_t const first = seedText ? std::strtoull(seedText, nullptr, 10) : 1;
    std::uint64_t const last = seedText ? first : 300;
    int changes = 0;
    for (std::uint64_t seed = first; seed <= last && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("HYSSOPSTEP_TEST_SEED=" + std::to_string(seed));
        LeaseSchedule schedule(seed, restorations, restarts);
        changes += schedule.run();
    }
    EXPECT_TRUE(seedText || changes > minimumChanges) << changes;
}

// Guards against two holders during pauses, outages, and delayed or lost writes. HYSSOPSTEP_TEST_SEED=<n> runs one seed.
TEST(LeaseInterleaving, NeverTwoHolders)
{
    playSchedules(Restorations::No, Restarts::No, 600);
}

// Guards against the same beside restorations of the store from copies.
TEST(LeaseInterleaving, NeverTwoHoldersInARestoredStore)
{
    playSchedules(Restorations::Yes, Restarts::No, 600);
}

// Guards against a holder that acts, is stopped or killed, and acts again soon after another one did.
TEST(LeaseInterleaving, NoHolderActsAgainSoonAfterAnotherOne)
{
    playSchedules(Restorations::No, Restarts::Yes, 1200);
}

// Guards against the same beside restorations of the store from copies.
TEST(LeaseInterleaving, NoHolderActsAgainSoonAfterAnotherOneInARestoredStore)
{
    playSchedules(Restorations::Yes, Restarts::Yes, 1200);
}
