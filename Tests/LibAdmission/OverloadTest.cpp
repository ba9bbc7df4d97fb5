#include <LibAdmission/OverloadModel.h>
#include <gtest/gtest.h>

using namespace AdmissionTests;

// The least urgent kind has the smallest prompts, as in the deployments.
static std::vector<Kind> threeKinds(double factor)
{
    return { { "review", 0, 1.5, 12, 3720, 13300, 11 * factor }, { "check", 1, 2.5, 6, 2890, 6300, 8 * factor }, { "question", 2, 3, 15, 1110, 350, 13 * factor } };
}

// The sum of several runs.
static OverloadModel runModel(bool isControlled, std::function<void(OverloadModel&)> const& configure)
{
    OverloadModel sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        OverloadModel model;
        model.isControlled = isControlled;
        model.arrivals = Core::Random(seed);
        model.kinds = threeKinds(1);
        model.countFrom = 10;
        configure(model);
        model.run(22);
        sum += model;
    }
    return sum;
}

// Guards against refusals while all requests can be on time, also of a node that sees few of them.
TEST(OverloadTest, InCalmNothingIsRefused)
{
    for (std::size_t nodes : { 1, 4, 16 }) {
        auto const model = runModel(true, [&](auto& configured) { configured.nodeCount = nodes; });
        EXPECT_GT(model.total.offered, 300);
        EXPECT_EQ(model.total.refusedOnce, 0) << nodes;
    }
}

// Guards against too little room being spent on requests that are late anyway, and against a kind that gets nothing.
TEST(OverloadTest, UrgentRequestsAreOnTimeAndTheOthersAreServedToo)
{
    auto const configure = [](auto& model) { model.rateFactor = [](std::size_t, double time) { return time < 10 ? 1 : 2.5; }; };
    auto before = runModel(false, configure);
    auto after = runModel(true, configure);
    EXPECT_GT(after.byKind["review"].onTimeShare(), 1.5 * before.byKind["review"].onTimeShare());
    EXPECT_GT(after.total.onTimeShare(), before.total.onTimeShare());
    double refused = 0;
    for (auto const* name : { "review", "check", "question" }) {
        EXPECT_GT(after.byKind[name].onTimeShare(), 0.25) << name;
        // A more urgent kind is refused less often.
        EXPECT_GT(after.byKind[name].refusedShare(), refused - 0.05) << name;
        EXPECT_LT(after.byKind[name].refusedShare(), refused + 0.45) << name;
        refused = after.byKind[name].refusedShare();
    }
}

// Guards against a team that takes the room of the others.
TEST(OverloadTest, TeamThatFloodsGivesWayFirst)
{
    auto const configure = [](auto& model) {
        model.kinds = threeKinds(1.4);
        model.rateFactor = [](std::size_t team, double time) { return team == 3 && time >= 10 ? 8 : 1; };
    };
    auto before = runModel(false, configure);
    auto after = runModel(true, configure);
    Outcome others;
    Outcome othersBefore;
    for (auto const& [team, outcome] : after.byTeam) {
        others.offered += team == 3 ? 0 : outcome.offered;
        others.onTime += team == 3 ? 0 : outcome.onTime;
        others.refused += team == 3 ? 0 : outcome.refused;
        othersBefore.offered += team == 3 ? 0 : before.byTeam[team].offered;
        othersBefore.onTime += team == 3 ? 0 : before.byTeam[team].onTime;
    }
    EXPECT_GT(others.onTimeShare(), othersBefore.onTimeShare() + 0.2);
    EXPECT_LT(2 * others.refusedShare(), after.byTeam[3].refusedShare());
    EXPECT_GT(after.byTeam[3].onTimeShare(), 0.2);
}

// Guards against refusals that cost more urgent requests than they save when only part of the servers is slow.
TEST(OverloadTest, SlowServersCauseNoMoreLateRequestsThanBefore)
{
    auto const configure = [](auto& model) {
        model.kinds = threeKinds(1.5);
        model.speedFactor = [](std::size_t server, double time) { return server < 3 && time >= 10 ? 0.4 : 1; };
    };
    auto before = runModel(false, configure);
    auto after = runModel(true, configure);
    EXPECT_GT(after.byKind["review"].onTimeShare(), before.byKind["review"].onTimeShare());
    EXPECT_LT(after.total.late + after.total.left, before.total.late + before.total.left);
}

// Guards against clients that come back in step after a burst, and so cause a second one.
TEST(OverloadTest, RefusedClientsCauseNoSecondPeak)
{
    auto const configure = [](auto& model) {
        model.rateFactor = [](std::size_t, double time) { return time >= 10 && time < 11.5 ? 6 : 1; };
    };
    auto before = runModel(false, configure);
    auto after = runModel(true, configure);
    auto const largest = [](std::map<int, int> const& counts) { return std::max_element(counts.begin(), counts.end(), [](auto const& left, auto const& right) { return left.second < right.second; })->second; };
    EXPECT_GT(after.total.refusedOnce, 50);
    EXPECT_LT(largest(after.returns), largest(after.refusals));
    EXPECT_LT(after.total.late + after.total.left, 0.8 * (before.total.late + before.total.left));
    EXPECT_GT(after.byKind["review"].onTimeShare(), before.byKind["review"].onTimeShare());
}
