#include <LibCore/Log.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

// Guards against a log that grows without bound under load, and against request lines that use up the budget for warnings.
TEST(LogBudgetTest, LimitsLinesAndDropsWarningsLast)
{
    Core::LogBudget budget;
    std::chrono::steady_clock::time_point now { 100s };
    std::size_t written = 0;
    for (int i = 0; i < 5000; ++i)
        written += Core::tryConsumeLogLine(budget, Core::LogLevel::Info, now) ? 1 : 0;
    EXPECT_EQ(written, 800u);
    EXPECT_EQ(budget.dropped, 4200u);
    EXPECT_TRUE(Core::tryConsumeLogLine(budget, Core::LogLevel::Warning, now));
    now += 1s;
    written = 0;
    for (int i = 0; i < 5000; ++i)
        written += Core::tryConsumeLogLine(budget, Core::LogLevel::Info, now) ? 1 : 0;
    EXPECT_LE(written, 200u);
    EXPECT_GT(written, 100u);
}

// Guards against a process that stops at a long line, for example one with an odd name, until someone reads its log.
TEST(LogLineTest, LinesFitIntoAPipeThatIsReportedAsWritable)
{
    for (auto const& value : { std::string(8'000'000, 'x'), std::string(8'000'000, '"'), std::string(8'000'000, '\n') }) {
        auto const line = Core::formatLogLine("refused", { { "entry", value }, { "reason", value }, { "count", 7 } });
        EXPECT_LT(line.size(), 4000u);
        EXPECT_TRUE(line.ends_with(" count=7"));
    }
}
