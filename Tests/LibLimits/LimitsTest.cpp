#include <LibLimits/QuarantineTable.h>
#include <LibLimits/RetryBudget.h>
#include <LibLimits/TeamLimitTable.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

static constexpr Core::MonotonicTime start { 1000s };

// Guards against a limit that grows with the number of nodes, whatever the demand at each.
TEST(TeamLimitTest, SharesAddUpToTheLimit)
{
    std::vector<double> const demands { 90, 10, 0, 0 };
    double total = 0;
    for (std::size_t node = 0; node < demands.size(); ++node) {
        Limits::DemandView view { demands[node], {}, 4, 8 };
        for (std::size_t other = 0; other < demands.size(); ++other) {
            if (other != node)
                view.otherDemands.push_back(demands[other]);
        }
        auto const share = Limits::nodeShare(view);
        EXPECT_GT(share, 0);
        total += share;
    }
    EXPECT_NEAR(total, 0.5, 1e-9);
}

// Guards against admitting more than the rate over time, and against a Retry-After that is too early.
TEST(TeamLimitTest, RateHoldsAndRetryAfterIsTrue)
{
    Limits::TeamLimitTable table;
    Limits::TeamLimit const limit { 10, 0, 0 };
    Core::LastReason reason;
    int admitted = 0;
    auto now = start;
    for (int step = 0; step < 10000; ++step, now += 1ms) {
        if (!Limits::admit(table, "classroom", limit, 0.5, 1, now, reason))
            continue;
        Limits::release(table, "classroom", 1, 1);
        ++admitted;
    }
    EXPECT_LE(admitted, 56);
    EXPECT_GE(admitted, 50);
    while (Limits::admit(table, "classroom", limit, 0.5, 1, now, reason))
        ASSERT_LT(++admitted, 100);
    EXPECT_EQ(reason.kind, Core::ErrorKind::TeamLimitExceeded);
    EXPECT_TRUE(Limits::admit(table, "classroom", limit, 0.5, 1, now + *reason.retryAfter, reason));
}

// Guards against retries that multiply an outage.
TEST(RetryBudgetTest, RetriesAreAShareOfRequests)
{
    Limits::RetryBudget budget(0.1, 0);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest(start);
        retries += budget.tryTake(start) ? 1 : 0;
    }
    EXPECT_LE(retries, 100 + 32);
}

// Guards against blaming the neighbours of a request that crashes servers, and against never stopping it.
TEST(QuarantineTest, OnlyTheCauseIsQuarantined)
{
    Limits::QuarantineTable table;
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        Limits::recordCrash(table, { start + crash * 1s, "s" + std::to_string(crash), { 7, 100 + crash, 200 + crash } });
    EXPECT_TRUE(Limits::isQuarantined(table, 7, start + 4s));
    EXPECT_FALSE(Limits::isQuarantined(table, 101, start + 4s));
    EXPECT_TRUE(Limits::isSuspect(table, 101));
    Limits::recordFinished(table, 101);
    EXPECT_FALSE(Limits::isSuspect(table, 101));
    EXPECT_FALSE(Limits::isQuarantined(table, 7, start + 2h));
}

// Guards against quarantining an innocent request that lost three servers to a wave of reclaimed hosts.
TEST(QuarantineTest, WaveOfLostServersIsNoEvidence)
{
    Limits::QuarantineTable table;
    for (std::uint64_t crash = 1; crash <= 6; ++crash) {
        std::vector<Limits::RequestFingerprint> const batch { crash % 2 == 0 ? 7U : 8U };
        Limits::recordCrash(table, { start + crash * 1s, "s" + std::to_string(crash), batch });
    }
    EXPECT_FALSE(Limits::isQuarantined(table, 7, start + 7s));
    EXPECT_FALSE(Limits::isQuarantined(table, 8, start + 7s));
}
