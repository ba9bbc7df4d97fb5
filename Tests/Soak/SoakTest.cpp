#include <Soak/BudgetRecord.h>
#include <Soak/DutyRecord.h>
#include <Soak/SoakRun.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

class SoakTest : public testing::TestWithParam<std::uint64_t> {
protected:
    static void expectNoViolations(Soak::SoakOptions const& options)
    {
        auto const result = Soak::runSoak(options);
        EXPECT_GT(result.answered, 100u);
        for (auto const& violation : result.violations)
            ADD_FAILURE() << violation;
        if (!result.violations.empty())
            std::fprintf(stderr, "%s\n", result.logs.c_str());
    }
};

class RestoredStoreSoakTest : public SoakTest { };
class RefusingServerSoakTest : public SoakTest { };

Soak::DutyCall usageCall(std::size_t node, std::uint64_t token, Core::Duration arrivedAt, std::string counts = "{}")
{
    return { .node = node, .duty = "usage", .token = token, .window = 1, .counts = std::move(counts), .arrivedAt = Core::MonotonicTime(arrivedAt) };
}

}

// Guards against a run that passes although the platform would count a violation.
TEST(DutyRecordTest, ViolationsOfEachRuleAreFound)
{
    auto const violations = [](std::vector<Soak::DutyCall> const& calls) { return Soak::findDutyViolations(calls, 3s).size(); };
    EXPECT_EQ(violations({ usageCall(0, 1, 1s), usageCall(1, 2, 2s), usageCall(0, 3, 5s) }), 0u);
    EXPECT_EQ(violations({ usageCall(0, 1, 1s), usageCall(0, 1, 2s, "other") }), 1u);
    EXPECT_EQ(violations({ usageCall(0, 1, 1s), usageCall(1, 1, 2s) }), 1u);
    EXPECT_EQ(violations({ usageCall(0, 2, 1s), usageCall(1, 1, 2s) }), 1u);
    EXPECT_EQ(violations({ usageCall(0, 1, 1s), usageCall(1, 2, 2s), usageCall(0, 3, 3s) }), 1u);
    auto excused = usageCall(1, 2, 2s);
    excused.isExcused = true;
    EXPECT_EQ(violations({ usageCall(0, 3, 1s), excused, usageCall(0, 4, 3s) }), 0u);
}

// Guards against a run that passes although a limit of repeats, times or pauses was broken.
TEST(BudgetRecordTest, ViolationsOfEachRuleAreFound)
{
    auto const at = [](Core::Duration time) { return Core::MonotonicTime(time); };
    auto const arrival = [&](Core::Duration time, std::chrono::milliseconds deadline = 1s) { return Soak::Arrival { .requestId = "1", .server = "s", .path = "/", .arrivedAt = at(time), .deadline = deadline }; };
    std::vector<Soak::SentRequest> const sent { { "1", at(20s), 2s }, { "2", at(20s), 2s } };

    Soak::RetryLimits const limits { .ratio = 0.5, .slack = 1, .window = 10s };
    EXPECT_EQ(Soak::findRetryViolations(sent, { arrival(20s), arrival(21s), arrival(22s) }, limits).size(), 0u);
    EXPECT_EQ(Soak::findRetryViolations(sent, { arrival(20s), arrival(21s), arrival(22s), arrival(30s) }, limits).size(), 1u);
    EXPECT_EQ(Soak::findRetryViolations(sent, { arrival(20s), arrival(21s), arrival(22s), arrival(31s) }, limits).size(), 0u);

    EXPECT_EQ(Soak::findDeadlineViolations(sent, { arrival(20s, 2500ms), arrival(21s, 1500ms) }).size(), 0u);
    EXPECT_EQ(Soak::findDeadlineViolations(sent, { arrival(20s, 2501ms) }).size(), 1u);
    EXPECT_EQ(Soak::findDeadlineViolations(sent, { arrival(20s), arrival(21s, 1501ms) }).size(), 1u);

    auto const serversOfRequest = [](std::size_t count) {
        std::map<std::string, std::set<std::string>> result;
        for (std::size_t i = 0; i < count; ++i)
            result[std::to_string(i)] = { "a", "b", "c" };
        return result;
    };
    EXPECT_EQ(Soak::findAttemptViolations(serversOfRequest(3), 2).size(), 0u);
    EXPECT_EQ(Soak::findAttemptViolations(serversOfRequest(4), 2).size(), 1u);
    EXPECT_EQ(Soak::findAttemptViolations(serversOfRequest(4), 3).size(), 0u);

    auto refused = arrival(20s);
    refused.retryAfter = 1500ms;
    EXPECT_EQ(Soak::findRetryAfterViolations({ refused, arrival(20400ms), arrival(20600ms), arrival(21400ms), arrival(21600ms) }, {}).size(), 0u);
    EXPECT_EQ(Soak::findRetryAfterViolations({ refused, arrival(20600ms), arrival(21s), arrival(21400ms) }, {}).size(), 1u);
    EXPECT_EQ(Soak::findRetryAfterViolations({ refused, arrival(20600ms), arrival(21s), arrival(21400ms) }, { { at(21s), at(22s) } }).size(), 0u);
}

// Guards against violated guarantees to callers and backend servers while processes are stopped, killed or paused and links fail.
TEST_P(SoakTest, PromisesAreKept)
{
    expectNoViolations({ .seed = GetParam() });
}

// Guards against two nodes with one fencing token, and other violated guarantees, after the store returned from an older copy.
TEST_P(RestoredStoreSoakTest, PromisesAreKept)
{
    expectNoViolations({ .seed = GetParam(), .restorations = 2 });
}

// Guards against requests to a server in the pause that it asked for; servers cannot tell several nodes apart.
TEST_P(RefusingServerSoakTest, PromisesAreKept)
{
    expectNoViolations({ .seed = GetParam(), .nodes = 1, .refusals = 5 });
}

INSTANTIATE_TEST_SUITE_P(Short, SoakTest, testing::Values(1, 2));
INSTANTIATE_TEST_SUITE_P(Short, RefusingServerSoakTest, testing::Values(11001));

// Seeds that failed before; docs/soak.md lists the causes.
INSTANTIATE_TEST_SUITE_P(Regression, SoakTest, testing::Values(3, 49, 51));
INSTANTIATE_TEST_SUITE_P(Regression, RestoredStoreSoakTest, testing::Values(5005, 5006));
