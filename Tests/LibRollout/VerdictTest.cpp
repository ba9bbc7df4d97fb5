#include <LibRollout/RolloutFixture.h>

using namespace RolloutTests;

// Some failures and a wide range of times, as under load.
static Response ordinary(double random)
{
    return { random < 0.01 ? ResponseKind::Failure : ResponseKind::Sound, 40ms + std::chrono::milliseconds(static_cast<int>(60 * random)) };
}

static Simulation simulate(Simulation::Behaviour behaviour)
{
    Simulation simulation;
    simulation.behaviour = std::move(behaviour);
    return simulation;
}

// Guards against a bad version that gets more than a tenth of the requests and 50 more, and against a verdict that comes too late.
static void expectBounded(Simulation const& simulation)
{
    EXPECT_LE(static_cast<double>(simulation.candidateRequests), 0.1 * static_cast<double>(simulation.requests) + 50);
    ASSERT_TRUE(simulation.badAt);
}

TEST(VerdictTest, GoodVersionIsGoodBeforeTheDeadlineAndNeverBad)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto simulation = simulate([](Group, std::string const&, double, double random) { return ordinary(random); });
        simulation.seed = seed;
        EXPECT_EQ(simulation.run(), Verdict::Good) << seed;
        EXPECT_FALSE(simulation.badAt) << seed << simulation.last.reason;
        ASSERT_TRUE(simulation.goodAt);
        EXPECT_GE(*simulation.goodAt, 0.5 * 12);
        EXPECT_LE(*simulation.goodAt, 0.9 * 12) << seed;
    }
}

// Guards against a false verdict while both versions fail and slow down under load, or the new servers start with cold caches.
TEST(VerdictTest, GoodVersionWithColdCachesUnderLoadIsNotBad)
{
    auto simulation = simulate([](Group group, std::string const& route, double second, double random) {
        if (group == Group::Candidate && second < 2 && route != "call")
            return Response { ResponseKind::Sound, 300ms };
        if (second > 5 && second < 8)
            return Response { random < 0.2 ? ResponseKind::Broken : ResponseKind::Sound, 200ms + std::chrono::milliseconds(static_cast<int>(2000 * random)) };
        return ordinary(random);
    });
    EXPECT_EQ(simulation.run(), Verdict::Good) << simulation.last.reason;
    EXPECT_FALSE(simulation.badAt) << simulation.last.reason;
}

// A host that crashes breaks the responses of one server at once; the version is not to blame.
TEST(VerdictTest, BurstOfBrokenResponsesIsNotBad)
{
    auto simulation = simulate([](Group group, std::string const&, double second, double random) {
        if (group == Group::Candidate && second >= 3 && second < 3.5)
            return Response { ResponseKind::Broken, 50ms };
        return ordinary(random);
    });
    EXPECT_EQ(simulation.run(), Verdict::Good) << simulation.last.reason;
}

// A part of the candidate's responses on a route, or on all, is of that kind in the given seconds.
static Simulation::Behaviour faulty(
    ResponseKind kind, double part, std::function<bool(std::string const&, double)> const& applies = [](auto const&, double) { return true; })
{
    return [=](Group group, std::string const& route, double second, double random) {
        return group == Group::Candidate && random < part && applies(route, second) ? Response { kind, 50ms } : ordinary(random);
    };
}

TEST(VerdictTest, VersionThatIsBadFromTheStartIsFoundWithinSeconds)
{
    auto simulation = simulate(faulty(ResponseKind::Failure, 0.3));
    EXPECT_EQ(simulation.run(), Verdict::Bad);
    expectBounded(simulation);
    EXPECT_LE(*simulation.badAt, 5);
}

TEST(VerdictTest, VersionThatBecomesBadIsFoundBeforeItIsCompleted)
{
    auto simulation = simulate(faulty(ResponseKind::Failure, 0.4, [](auto const&, double second) { return second >= 6; }));
    EXPECT_EQ(simulation.run(), Verdict::Bad);
    expectBounded(simulation);
    EXPECT_FALSE(simulation.goodAt);
}

TEST(VerdictTest, VersionThatIsBadUnderLoadOrOnOneRouteIsFound)
{
    auto const underLoad = faulty(ResponseKind::Failure, 0.5, [](auto const&, double second) { return static_cast<int>(second) % 4 >= 2; });
    auto const onOneRoute = faulty(ResponseKind::Failure, 0.3, [](auto const& route, double) { return route == "advice"; });
    for (auto const& behaviour : { underLoad, onOneRoute }) {
        auto simulation = simulate(behaviour);
        EXPECT_EQ(simulation.run(), Verdict::Bad);
        expectBounded(simulation);
    }
}

TEST(VerdictTest, VersionThatIsSlowInsteadOfFailingIsFound)
{
    auto simulation = simulate([](Group group, std::string const&, double, double random) {
        auto response = ordinary(random);
        response.time *= group == Group::Candidate ? 3 : 1;
        return response;
    });
    EXPECT_EQ(simulation.run(), Verdict::Bad);
    expectBounded(simulation);
    EXPECT_LE(*simulation.badAt, 7);
}

TEST(VerdictTest, VersionThatIsSlowLateOnOneRouteIsFound)
{
    auto simulation = simulate([](Group group, std::string const& route, double second, double random) {
        auto response = ordinary(random);
        response.time *= group == Group::Candidate && route == "summary" && second >= 5 ? 5 : 1;
        return response;
    });
    EXPECT_EQ(simulation.run(), Verdict::Bad);
    expectBounded(simulation);
}

TEST(VerdictTest, VersionThatKeepsBreakingResponsesIsFound)
{
    auto simulation = simulate(faulty(ResponseKind::Broken, 0.3));
    EXPECT_EQ(simulation.run(), Verdict::Bad);
    expectBounded(simulation);
    EXPECT_LE(*simulation.badAt, 6);
}

// Guards against decisions on a small part of the evidence: with many nodes, none sees enough of a rare fault alone, but all together do.
TEST(VerdictTest, SumOfTheNodesShowsWhatASingleNodeDoesNot)
{
    auto alone = simulate(faulty(ResponseKind::Failure, 0.15));
    alone.nodes = 90;
    alone.sums = false;
    EXPECT_NE(alone.run(), Verdict::Bad);
    auto together = simulate(faulty(ResponseKind::Failure, 0.15));
    together.nodes = 90;
    EXPECT_EQ(together.run(), Verdict::Bad);
    expectBounded(together);
}

// The baseline, the behaviour without rollouts: a share of the traffic in proportion to the servers, and nobody who rolls back.
TEST(VerdictTest, WithoutRolloutsABadVersionExceedsTheBound)
{
    auto simulation = simulate(faulty(ResponseKind::Failure, 0.3));
    simulation.actsOnVerdict = false;
    simulation.share = 0.5 / 0.8;
    (void)simulation.run();
    EXPECT_GT(static_cast<double>(simulation.candidateRequests), 0.1 * static_cast<double>(simulation.requests) + 50);
}

TEST(VerdictTest, VersionWithoutAnyResponseIsNotProven)
{
    Observation observation { .total = {}, .recent = {}, .earlier = {}, .period = 12s, .elapsed = 10700ms };
    EXPECT_EQ(decideVerdict(observation).verdict, Verdict::Undecided);
    observation.elapsed = 10900ms;
    EXPECT_EQ(decideVerdict(observation).verdict, Verdict::NotProven);
}

// Guards against an order that its reader does not end in time, although others could.
TEST(VerdictTest, OrderIsOverdueIfItsReaderDoesNotGoOn)
{
    EXPECT_FALSE(isOverdue(order(), 9s, 9s));
    EXPECT_TRUE(isOverdue(order(), 10s, 10s));
    EXPECT_FALSE(isOverdue(order(State::Completing), 9s, 2s));
    EXPECT_TRUE(isOverdue(order(State::Completing), 9s, 3s));
    auto bad = order();
    bad.isFoundBad = true;
    EXPECT_FALSE(isOverdue(bad, 3s, 500ms));
    EXPECT_TRUE(isOverdue(bad, 3s, 1s));
    EXPECT_FALSE(isOverdue(order(State::RolledBack), 20s, 20s));
    EXPECT_EQ(drainTime(12s, 11s), Core::Duration(0));
    EXPECT_EQ(drainTime(12s, 8s), 2s);
}

// Guards against a rollback of good versions of services with a request every few seconds.
TEST(VerdictTest, FewSoundResponsesAreEnoughLateInThePeriod)
{
    Evidence evidence;
    evidence[{ Group::Candidate, "call" }] = { .responses = 3, .failures = 0, .broken = 0, .times = { 3 } };
    Observation observation { .total = evidence, .recent = {}, .earlier = {}, .period = 12s, .elapsed = 8s, .observed = 7s };
    EXPECT_EQ(decideVerdict(observation).verdict, Verdict::Undecided);
    observation.elapsed = 10300ms;
    EXPECT_EQ(decideVerdict(observation).verdict, Verdict::Good);
}
