#include <LibRouting/ReportSchedule.h>

#include <gmock/gmock.h>
#include <set>

using namespace std::chrono_literals;
using testing::SizeIs;

namespace {

Routing::ServerTable tableOf(std::size_t local, std::size_t remote)
{
    Routing::ServerTable table;
    for (std::size_t index = 0; index < local + remote; ++index) {
        Routing::ServerRow row;
        row.id = "server-" + std::to_string(index);
        row.service = "advisor";
        row.dataCentre = index < local ? "dc1" : "dc2";
        row.incarnation = 1;
        table.rows.push_back(row);
    }
    return table;
}

class ReportScheduleTest : public testing::Test {
protected:
    void update(Routing::ServerTable const& table, std::size_t nodes) { Routing::updateSample(m_schedule, table, m_settings, nodes, m_now, m_random); }

    std::set<std::string> sampledIds() const
    {
        std::set<std::string> ids;
        for (auto const& member : m_schedule.sample)
            ids.insert(member.id);
        return ids;
    }

    Routing::ReportScheduleSettings m_settings { "dc1" };
    Routing::ReportSchedule m_schedule;
    Core::Random m_random { 7 };
    Core::MonotonicTime m_now { 100s };
};

}

// Guards against every node polling every server in a large data centre.
TEST_F(ReportScheduleTest, SampleIsBoundedWithManyNodes)
{
    update(tableOf(96, 500), 59);
    EXPECT_THAT(m_schedule.sample, SizeIs(m_settings.localPerService + m_settings.remotePerService));
    EXPECT_THAT(sampledIds(), SizeIs(m_settings.localPerService + m_settings.remotePerService));
}

// Guards against servers that no node polls, so that no node notices when they leave.
TEST_F(ReportScheduleTest, FewNodesCoverAllServers)
{
    update(tableOf(96, 0), 2);
    EXPECT_THAT(sampledIds(), SizeIs(96));
    update(tableOf(96, 0), 12);
    m_schedule = {};
    update(tableOf(96, 0), 12);
    EXPECT_THAT(sampledIds(), SizeIs(24));
}

// Guards against a node that never polls the servers outside its first sample, and against a sample that keeps a server which is
// leaving or has restarted.
TEST_F(ReportScheduleTest, SampleRotatesAndDropsServers)
{
    auto table = tableOf(40, 0);
    update(table, 59);
    auto sampledOverTime = sampledIds();
    for (int round = 0; round < 400; ++round) {
        m_now += 10s;
        update(table, 59);
        EXPECT_THAT(m_schedule.sample, SizeIs(m_settings.localPerService));
        sampledOverTime.merge(sampledIds());
    }
    EXPECT_THAT(sampledOverTime, SizeIs(40));
    auto const leaving = m_schedule.sample.at(0).id;
    auto const restarted = m_schedule.sample.at(1).id;
    for (auto& row : table.rows) {
        if (row.id == leaving)
            row.lifecycle = Routing::Lifecycle::Leaving;
        if (row.id == restarted)
            row.incarnation = 2;
    }
    update(table, 59);
    EXPECT_FALSE(sampledIds().contains(leaving));
    for (auto const& member : m_schedule.sample)
        EXPECT_TRUE(member.id != restarted || member.incarnation == 2);
}

// Guards against polling one server repeatedly while others are overdue.
TEST_F(ReportScheduleTest, ServersArePolledInTurn)
{
    update(tableOf(4, 0), 59);
    std::set<std::string> polled;
    for (int call = 0; call < 4; ++call)
        polled.insert(Routing::takeDueReport(m_schedule, m_settings, m_now)->id);
    EXPECT_THAT(polled, SizeIs(4));
    EXPECT_EQ(Routing::takeDueReport(m_schedule, m_settings, m_now), nullptr);
    EXPECT_NE(Routing::takeDueReport(m_schedule, m_settings, m_now + m_settings.minimumInterval), nullptr);
    auto const* events = Routing::takeDueCacheEvents(m_schedule, { "server-2" }, 500ms, m_now);
    ASSERT_NE(events, nullptr);
    EXPECT_EQ(events->id, "server-2");
    EXPECT_EQ(Routing::takeDueCacheEvents(m_schedule, { "server-2" }, 500ms, m_now), nullptr);
}

// Guards against reports that exceed their mean byte rate, also when single responses are large.
TEST_F(ReportScheduleTest, BudgetEnforcesTheMeanRate)
{
    Routing::ByteBudget budget { 1000, 1000 };
    std::size_t spent = 0;
    for (int step = 0; step < 1000; ++step) {
        m_now += 100ms;
        if (Routing::maySpend(budget, m_now)) {
            Routing::spend(budget, 700);
            spent += 700;
        }
    }
    EXPECT_LE(spent, 102'000u);
    EXPECT_GE(spent, 95'000u);
}

// Guards against reports that, together with the other control traffic, exceed a node's budget.
TEST(ReportBudgetTest, ReportsUseTheRemainingControlBudget)
{
    EXPECT_EQ(Routing::reportBytesPerSecond(2'000), 5'000);
    EXPECT_EQ(Routing::reportBytesPerSecond(8'000), 2'500);
    EXPECT_EQ(Routing::reportBytesPerSecond(10'900), 500);
}
