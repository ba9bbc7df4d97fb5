#include "Cluster.h"

using namespace std::chrono_literals;
using Membership::Liveness;

/// Bytes of one call besides the message: headers of call, return and finish messages (about 220 bytes), and TCP/IP headers of
/// 52 bytes for six packets (three with data, three acknowledgements).
static constexpr double envelopeBytes = 220 + 6 * 52;

// Guards against control traffic above 11 KB/s per node at the design size, counting bytes sent and received, and against
// live nodes that are declared dead at that size.
TEST(BudgetTest, TrafficAtTheDesignSizeStaysWithinTheBudget)
{
    Cluster cluster(11);
    cluster.build(7, 59);
    auto const known = cluster.advanceUntil([&] { return cluster.tablesConverged(); }, 30s);
    cluster.advance(5s);
    auto const update = [&] {
        for (auto& node : cluster.m_nodes) {
            for (auto const* team : { "a", "b", "c", "d", "e" })
                node->service->setOwnUsage(team, 2, 800);
        }
    };
    std::vector<std::uint64_t> before;
    for (auto const& node : cluster.m_nodes) {
        before.push_back(node->service->exchangedBytes());
        node->exchanges = 0;
    }
    unsigned dead = 0;
    unsigned suspected = 0;
    unsigned suspectedRemote = 0;
    for (int second = 0; second < 15; ++second) {
        update();
        cluster.advance(1s);
        for (auto const& node : cluster.m_nodes) {
            for (auto const& [id, row] : node->service->nodes().rows) {
                dead += row.liveness == Liveness::Dead ? 1 : 0;
                suspected += row.liveness == Liveness::Suspected && row.dataCentre == node->dataCentre ? 1 : 0;
                suspectedRemote += row.liveness == Liveness::Suspected && row.dataCentre != node->dataCentre ? 1 : 0;
            }
        }
    }
    double total = 0;
    double highest = 0;
    double relayTotal = 0;
    unsigned relays = 0;
    for (std::size_t i = 0; i < cluster.m_nodes.size(); ++i) {
        auto const& node = *cluster.m_nodes[i];
        // A node answers about as many calls as it makes.
        auto const bytes = static_cast<double>(node.service->exchangedBytes() - before[i]) + 2 * envelopeBytes * static_cast<double>(node.exchanges);
        total += bytes / 15;
        if (node.service->isRelay()) {
            relayTotal += bytes / 15;
            ++relays;
        }
        highest = std::max(highest, bytes / 15);
    }
    auto const mean = total / static_cast<double>(cluster.m_nodes.size());
    auto const usage = cluster.m_nodes[5]->service->usageOfOtherNodes("a");
    std::printf("413 nodes known after %.1f s; control traffic %.0f bytes/s on average, %.0f on %u relays, %.0f at most; %u local suspected, %u remote suspected and %u dead samples of %u; usage of %u nodes\n",
        std::chrono::duration<double>(known).count(), mean, relayTotal / relays, relays, highest, suspected, suspectedRemote, dead, 15U * 413 * 413, usage.nodes);
    EXPECT_LT(mean, 11000);
    EXPECT_LT(relayTotal / relays, 11000) << "relays also exchange with other data centres";
    EXPECT_LT(highest, 11000) << "the budget also applies to nodes that answer more calls than others";
    EXPECT_EQ(dead, 0U);
    EXPECT_GT(usage.nodes, 35U);

    for (auto& [name, reachable] : cluster.m_storeReachable)
        reachable = name == "dc-0";
    FakeStore::generation = 2;
    auto const configured = cluster.advanceUntil([&] { return cluster.allHaveGeneration(2); }, 13s);
    std::printf("configured through one data centre in %.1f s\n", std::chrono::duration<double>(configured).count());
    EXPECT_LT(configured, 13s);
}
