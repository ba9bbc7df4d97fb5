#include <LibForward/UsageTable.h>
#include <gtest/gtest.h>

// Guards against counts that grow when a report is repeated, or are lost when a node restarts.
TEST(UsageTableTest, CountsOfAllNodesAndStartsAddUp)
{
    Forward::UsageTable table;
    auto const window = Forward::usageWindow(1'767'225'603'000, 5000);
    EXPECT_EQ(window, 353'445'120);
    Forward::recordRequestStart(table, "own", 1, "a", window);
    Forward::recordRequestStart(table, "own", 1, "a", window);
    Forward::mergeCounts(table, "peer", 1, { { window, { { "a", 5 }, { "b", 1 } } } });
    Forward::mergeCounts(table, "peer", 1, { { window, { { "a", 4 } } } });
    Forward::mergeCounts(table, "peer", 2, { { window, { { "a", 1 } } } });
    EXPECT_EQ(Forward::totalCounts(table, window), (Forward::TeamCounts { { "a", 8 }, { "b", 1 } }));
    Forward::dropWindowsOutside(table, window + 1, window + 10);
    EXPECT_TRUE(Forward::totalCounts(table, window).empty());
    EXPECT_TRUE(table.nodes.empty());
}

// Guards against counts that are not reported any more because a report has a window far ahead.
TEST(UsageTableTest, WindowsFarAheadAreDropped)
{
    Forward::UsageTable table;
    for (std::int64_t const window : { INT64_MIN, std::int64_t(7), std::int64_t(8), INT64_MAX - 1, INT64_MAX }) {
        Forward::mergeCounts(table, "peer", 1, { { window, { { "a", 1 } } } }, "east");
        Forward::mergeSums(table, "west", { { window, { { "a", 2 } } } });
    }
    Forward::dropWindowsOutside(table, 4, 14);
    EXPECT_EQ(Forward::totalCountsByWindow(table), (Forward::CountsByWindow { { 7, { { "a", 3 } } }, { 8, { { "a", 3 } } } }));
}
