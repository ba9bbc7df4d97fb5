#include <LibAdmission/AdmissionDecision.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

static constexpr Core::MonotonicTime start { 1000s };

// Guards against refusals before anything is known of a service.
TEST(AdmissionDecisionTest, WithoutSamplesOrServersAllIsAdmitted)
{
    Admission::ServiceState state;
    Core::Random random(1);
    Admission::RequestProfile const request { .route = "review", .objectiveSeconds = 0.1, .tokens = 1000, .timeLeftSeconds = 0.01 };
    for (std::size_t servers : { 0u, 3u }) {
        for (int i = 0; i < 100; ++i) {
            Admission::recordArrival(state, request, start);
            auto const decision = Admission::decideAdmission(state, request, {}, { servers, 1000, 0 }, {}, random, start);
            EXPECT_EQ(decision.verdict, Admission::Verdict::Admit);
        }
    }
}

// Guards against clients that come back at the same time, after their time has passed, or before anything has changed.
TEST(AdmissionDecisionTest, RetryAfterIsSpreadWithinItsBounds)
{
    Core::Random random(1);
    for (double const timeLeft : { 0.3, 6.0, 30.0 }) {
        Admission::RequestProfile const request { .objectiveSeconds = 3, .timeLeftSeconds = timeLeft };
        std::map<std::int64_t, int> tenths;
        auto const longest = std::chrono::milliseconds(std::min(static_cast<int>(timeLeft * 1000 / 3), 2000));
        for (int i = 0; i < 1000; ++i) {
            auto const retryAfter = Admission::chooseRetryAfter(1, request, {}, random);
            EXPECT_GE(retryAfter, 50ms);
            EXPECT_LE(retryAfter, longest);
            ++tenths[10 * retryAfter / longest];
        }
        for (auto const& [tenth, count] : tenths)
            EXPECT_LT(count, 400) << timeLeft << " " << tenth;
    }
}

// Guards against a kind or team that gets nothing, and a more urgent kind that is refused more often than a less urgent one.
TEST(AdmissionDecisionTest, SharesGrowWithThePressureAndLeaveSomethingForAll)
{
    Admission::TeamStanding const usual { .demandAboveUsual = 0.5 };
    Admission::TeamStanding const flooding { .aboveUsual = 1, .demandAboveUsual = 0.5 };
    for (auto const& team : { usual, flooding }) {
        double before = 0;
        for (double level = 0; level <= 1; level += 0.01) {
            double const urgent = Admission::refusedShare(level, 0, 1, team, {});
            double const other = Admission::refusedShare(level, 1, 1, team, {});
            EXPECT_LE(urgent, other);
            EXPECT_LE(other, urgent + 0.61);
            EXPECT_LE(Admission::refusedShare(level, 1, 0.5, team, {}), other);
            EXPECT_LE(Admission::refusedShare(level, 1, 1, usual, {}), Admission::refusedShare(level, 1, 1, flooding, {}));
            EXPECT_GE(other, before);
            EXPECT_LT(other, before + 0.1);
            EXPECT_LT(other, 0.95);
            before = other;
        }
    }
}

// Guards against requests that are sent to servers although their clients will have left.
TEST(AdmissionDecisionTest, RequestsThatCannotBeServedInTimeAreRefusedAtOnce)
{
    Admission::ServiceState state;
    Core::Random random(1);
    Admission::RequestProfile request { .route = "review", .objectiveSeconds = 1, .tokens = 1000, .timeLeftSeconds = 10, .isResumed = true };
    for (int i = 0; i < 20; ++i) {
        Admission::recordArrival(state, request, start);
        Admission::recordFirstEvent(state, Admission::recordSent(state, start), request, 2.5, 1, {}, start);
    }
    auto const refusedOf = [&](double timeLeft) {
        request.timeLeftSeconds = timeLeft;
        int refused = 0;
        for (int i = 0; i < 100; ++i)
            refused += Admission::decideAdmission(state, request, {}, { 2, 1 }, {}, random, start).reason == Admission::Reason::TooLate ? 1 : 0;
        return refused;
    };
    EXPECT_EQ(refusedOf(10), 0);
    EXPECT_GT(refusedOf(1), 85);
}
