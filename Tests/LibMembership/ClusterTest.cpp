#include "Cluster.h"

#include <algorithm>
#include <cstdlib>

using namespace std::chrono_literals;
using Membership::Liveness;

namespace {

double seconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The parameter is the seed, so that a failure names it. HYSSOPSTEP_TEST_SEED replaces all of them.
std::vector<std::uint64_t> seeds()
{
    if (auto const* const seed = std::getenv("HYSSOPSTEP_TEST_SEED"))
        return { std::strtoull(seed, nullptr, 10) };
    return { 1, 2, 3 };
}

class ClusterTest : public testing::TestWithParam<std::uint64_t> {
protected:
    Cluster m_cluster { GetParam() };
    testing::ScopedTrace m_trace { __FILE__, __LINE__, "seed " + std::to_string(GetParam()) };
};

}

INSTANTIATE_TEST_SUITE_P(Seeds, ClusterTest, testing::ValuesIn(seeds()));

// Guards against a data centre of the design size that learns nodes, configuration, marks or deaths too slowly under loss.
TEST_P(ClusterTest, OneDataCentreConverges)
{
    m_cluster.m_loss = 0.05;
    m_cluster.build(1, 60);
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.tablesConverged() && m_cluster.allHaveGeneration(1); }, 13s), 13s);
    FakeStore::generation = 2;
    auto const configured = m_cluster.advanceUntil([&] { return m_cluster.allHaveGeneration(2); }, 13s);
    EXPECT_LT(configured, 13s);

    m_cluster.m_nodes[7]->service->markServerLeaving("server-1", 4);
    m_cluster.m_nodes[9]->service->quarantine("fingerprint", 10min);
    auto const marked = m_cluster.advanceUntil([&] { return m_cluster.all([](auto& node) { return node.service->isServerLeaving("server-1", 4) && node.service->isQuarantined("fingerprint"); }); }, 3s);
    EXPECT_LT(marked, 3s);
    EXPECT_FALSE(m_cluster.m_nodes[0]->service->isServerLeaving("server-1", 5));

    auto& dead = *m_cluster.m_nodes[11];
    m_cluster.pause(dead);
    auto const found = m_cluster.advanceUntil([&] { return m_cluster.tablesConverged(); }, 13s);
    EXPECT_LT(found, 13s);
    std::printf("seed %lu: configured in %.1f s, marked in %.1f s, death found in %.1f s\n", static_cast<unsigned long>(GetParam()), seconds(configured), seconds(marked), seconds(found));

    // The resumed node must not mark the others dead or keep an old configuration.
    FakeStore::generation = 3;
    m_cluster.advance(20s);
    m_cluster.resume(dead);
    m_cluster.advance(200ms);
    auto const& rows = dead.service->nodes().rows;
    EXPECT_TRUE(std::none_of(rows.begin(), rows.end(), [](auto const& entry) { return entry.second.liveness == Liveness::Dead; }));
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.tablesConverged() && m_cluster.allHaveGeneration(3); }, 13s), 13s);
    m_cluster.advance(605s);
    EXPECT_TRUE(m_cluster.all([](auto& node) { return !node.service->isServerLeaving("server-1", 4); })) << "marks expire";
}

// Guards against changes that do not reach other data centres, also when only one data centre can reach the platform.
TEST_P(ClusterTest, SevenDataCentresConverge)
{
    m_cluster.m_loss = 0.02;
    m_cluster.build(7, 12);
    auto const known = m_cluster.advanceUntil([&] { return m_cluster.tablesConverged() && m_cluster.allHaveGeneration(1); }, 13s);
    EXPECT_LT(known, 13s);
    FakeStore::generation = 2;
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.allHaveGeneration(2); }, 13s), 13s);
    for (auto& [name, reachable] : m_cluster.m_storeReachable)
        reachable = name == "dc-3";
    FakeStore::generation = 3;
    auto const configured = m_cluster.advanceUntil([&] { return m_cluster.allHaveGeneration(3); }, 13s);
    EXPECT_LT(configured, 13s);
    std::printf("seed %lu: nodes known in %.1f s, configured through one data centre in %.1f s\n", static_cast<unsigned long>(GetParam()), seconds(known), seconds(configured));
}

// Guards against a partitioned data centre that loses its own nodes, and against a partition that does not heal, also after
// the rows of the other side were dropped.
TEST_P(ClusterTest, PartitionedDataCentreRejoins)
{
    m_cluster.build(3, 8);
    m_cluster.advance(13s);
    m_cluster.m_partitioned = { "dc-1" };
    m_cluster.m_storeReachable["dc-1"] = false;
    FakeStore::generation = 2;
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.tablesConverged(); }, 120s), 120s);
    m_cluster.advance(180s);
    EXPECT_TRUE(m_cluster.tablesConverged());
    EXPECT_TRUE(m_cluster.all([](auto& node) { return node.service->configuration().generation() == (node.dataCentre == "dc-1" ? 1U : 2U); }));
    m_cluster.m_partitioned.clear();
    auto const healed = m_cluster.advanceUntil([&] { return m_cluster.tablesConverged() && m_cluster.allHaveGeneration(2); }, 30s);
    EXPECT_LT(healed, 30s);
    std::printf("seed %lu: healed in %.1f s\n", static_cast<unsigned long>(GetParam()), seconds(healed));
}

// Guards against a node that cannot start, or applies an old configuration, while the platform is down.
TEST_P(ClusterTest, NodeStartsWhileThePlatformIsDown)
{
    m_cluster.build(1, 10);
    m_cluster.advance(5s);
    FakeStore::generation = 5;
    m_cluster.advance(5s);
    m_cluster.m_storeReachable["dc-0"] = false;
    m_cluster.add("late", "dc-0");
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.allHaveGeneration(5) && m_cluster.tablesConverged(); }, 13s), 13s);
    // A restart with a higher incarnation replaces the row everywhere.
    m_cluster.pause(*m_cluster.m_nodes[3]);
    m_cluster.add(m_cluster.m_nodes[3]->id, "dc-0", 2);
    auto const replaced = [&](Cluster::Node& node) {
        auto const* const row = node.service->nodes().find(m_cluster.m_nodes[3]->id);
        return row && row->incarnation == 2;
    };
    EXPECT_LT(m_cluster.advanceUntil([&] { return m_cluster.all(replaced); }, 13s), 13s);
}

// Guards against exchanges that grow with the number of idle teams, and against usage that is kept after its removal.
TEST_P(ClusterTest, IdleTeamsAreNotGossiped)
{
    m_cluster.build(1, 2);
    auto& sender = *m_cluster.m_nodes[0]->service;
    auto const& receiver = *m_cluster.m_nodes[1]->service;
    sender.setOwnUsage("busy", 2, 0);
    sender.setOwnUsage("idle", 0.001, 0);
    EXPECT_LT(m_cluster.advanceUntil([&] { return receiver.usageOfOtherNodes("busy").nodes == 1; }, 5s), 5s);
    EXPECT_EQ(receiver.usageOfOtherNodes("idle").nodes, 0U);
    sender.setOwnUsage("busy", 0, 0);
    EXPECT_LT(m_cluster.advanceUntil([&] { return receiver.usageOfOtherNodes("busy").nodes == 0; }, 60s), 60s);
}
