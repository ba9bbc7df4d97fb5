#include <LibForward/NodeExchange.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using namespace Forward;

static Rollout::Evidence evidenceOf(std::uint32_t failures)
{
    Rollout::Evidence evidence;
    evidence[{ Rollout::Group::Candidate, "call" }] = { .responses = 10, .failures = failures, .broken = 1, .times = { 4, 6 } };
    return evidence;
}

static NodeReport reportOf(std::string const& node, std::uint32_t failures)
{
    NodeReport report;
    report.node = node;
    report.dataCentre = "a";
    report.rollouts.push_back({ { .id = { "app", "v2", 12s }, .state = Rollout::State::Completing, .startedAt = 99, .revision = { 2, 7 }, .isFoundBad = true, .reason = "r", .rejectedVersions = { "v0" } }, evidenceOf(failures) });
    report.rolloutsRevision = { 2, 8 };
    return report;
}

static Rollout::OrderId const id { "app", "v2", 12s };

// Guards against a node that learns of an order, or of a bad version, only from the next full report.
TEST(RolloutReportTest, BriefReportsHaveOrdersAndEvidence)
{
    auto const report = reportOf("n1", 3);
    auto const decoded = decodeReport(encodeReport(briefReport(report, report)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->rollouts, report.rollouts);
    EXPECT_EQ(decoded->rolloutsRevision, report.rolloutsRevision);
}

// Reports are sent a few times a second, also long after the last order.
TEST(RolloutReportTest, BriefReportsHaveNoOrdersThatNoLongerChange)
{
    auto report = reportOf("n1", 3);
    report.rollouts[0].order.state = Rollout::State::RolledBack;
    EXPECT_TRUE(briefReport(report, report).rollouts.empty());
    EXPECT_EQ(briefReport(report, reportOf("n1", 3)).rollouts, report.rollouts);
}

// Each node sends reports to up to 80 others a few times a second, in all deployments.
TEST(RolloutReportTest, ReportsWithoutOrdersAreAsSmallAsBefore)
{
    auto report = reportOf("n1", 3);
    auto const size = encodeReport(report).size();
    report.rollouts.clear();
    report.rolloutsRevision = {};
    // The size before reports had rollouts.
    EXPECT_LE(encodeReport(report).size(), 75U);
    EXPECT_LE(size, 160U);
}

TEST(RolloutReportTest, EvidenceOfAllNodesIsSummedOnce)
{
    auto const now = Core::MonotonicTime {} + 1000s;
    PeerTable table;
    table.own = reportOf("n0", 1);
    for (auto const* node : { "n1", "n2" })
        ASSERT_TRUE(mergeReport(table, reportOf(node, 2), 0, now));
    EXPECT_EQ((summedEvidence(table, id, evidenceOf(1)).at({ Rollout::Group::Candidate, "call" }).failures), 5U);
    auto const sums = sumReports(table, {}, ReportScope::Deployment, now);
    ASSERT_EQ(sums.rollouts.size(), 1U);
    EXPECT_EQ((sums.rollouts[0].evidence.at({ Rollout::Group::Candidate, "call" }).failures), 5U);
    // A node that uses the sums of another one does not count itself twice, and adds what it observed since.
    PeerTable user;
    user.own = reportOf("n1", 2);
    user.isAggregated = true;
    auto received = sums;
    received.node = "n0";
    ASSERT_TRUE(mergeReport(user, received, 0, now));
    user.aggregator = "n0";
    EXPECT_EQ((summedEvidence(user, id, evidenceOf(4)).at({ Rollout::Group::Candidate, "call" }).failures), 7U);
}

TEST(RolloutReportTest, EvidenceOnAnotherOrderIsNotCounted)
{
    auto const now = Core::MonotonicTime {} + 1000s;
    PeerTable table;
    table.own = reportOf("n0", 1);
    auto other = reportOf("n1", 2);
    other.rollouts[0].order.id.to = "v3";
    ASSERT_TRUE(mergeReport(table, other, 0, now));
    EXPECT_EQ(summedEvidence(table, id, evidenceOf(1)), evidenceOf(1));
}
