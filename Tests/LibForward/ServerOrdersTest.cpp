#include <LibForward/ServerOrders.h>
#include <gtest/gtest.h>
#include <numeric>

using namespace std::chrono_literals;

namespace {

// Simulates the platform's handling of orders: servers start after four seconds; a reclaim removes all reclaimable servers of a
// data centre at once, and none are available there for a given time.
class OrderSimulation {
public:
    OrderSimulation()
    {
        m_service.name = "model";
        m_service.scale = Forward::ScaleRange { .minimum = 1, .maximum = 6, .bootTime = 4s, .reclaimablePrice = 0.15, .prices = { { "a", 1.0 }, { "b", 0.8 }, { "c", 1.25 }, { "d", 0.9 } } };
        m_serverCounts = { { "a", { .onDemand = 3 } }, { "b", { .onDemand = 2 } }, { "c", { .onDemand = 2 } }, { "d", { .onDemand = 2 } } };
    }

    void run(Core::Duration time, std::uint32_t requestsInProgress)
    {
        for (auto const end = m_now + time; m_now < end; m_now += 500ms) {
            startServers();
            Forward::observeDemand(m_demand, requestsInProgress, m_serverCounts, m_now);
            for (auto const& order : Forward::decideOrders(m_service, m_serverCounts, m_demand, m_orderTable, m_policy, m_now))
                handleOrder(order);
            m_minimumPresent = std::min(m_minimumPresent, present());
        }
    }

    void reclaim(std::string const& dataCentre, Core::Duration time)
    {
        m_serverCounts[dataCentre].reclaimable = 0;
        m_refusedUntil[dataCentre] = m_now + time;
    }

    [[nodiscard]] std::uint32_t present() const
    {
        return std::accumulate(m_serverCounts.begin(), m_serverCounts.end(), 0U, [](std::uint32_t sum, auto const& item) { return sum + item.second.onDemand + item.second.reclaimable; });
    }

    [[nodiscard]] std::uint32_t onDemand() const
    {
        return std::accumulate(m_serverCounts.begin(), m_serverCounts.end(), 0U, [](std::uint32_t sum, auto const& item) { return sum + item.second.onDemand; });
    }

    void resetMinimumPresent() { m_minimumPresent = present(); }
    [[nodiscard]] std::uint32_t minimumPresent() const { return m_minimumPresent; }
    [[nodiscard]] std::size_t orders() const { return m_orders; }
    [[nodiscard]] Forward::ScalingPolicy const& policy() const { return m_policy; }

private:
    struct Booting {
        Forward::ServerOrder order;
        Core::MonotonicTime readyAt;
    };

    void handleOrder(Forward::ServerOrder const& order)
    {
        ++m_orders;
        auto const refused = m_refusedUntil.find(order.dataCentre);
        bool const isAccepted = !order.reclaimable || refused == m_refusedUntil.end() || m_now >= refused->second;
        Forward::recordOrder(m_orderTable, order, isAccepted, m_now);
        if (!isAccepted)
            return;
        auto& row = m_serverCounts[order.dataCentre];
        auto& count = order.reclaimable ? row.reclaimable : row.onDemand;
        std::erase_if(m_booting, [&](Booting const& other) { return other.order.dataCentre == order.dataCentre && other.order.reclaimable == order.reclaimable; });
        if (order.desired < count)
            count = order.desired;
        else if (order.desired > count)
            m_booting.push_back({ order, m_now + 4s });
    }

    void startServers()
    {
        std::erase_if(m_booting, [&](Booting const& booting) {
            if (booting.readyAt > m_now)
                return false;
            auto& row = m_serverCounts[booting.order.dataCentre];
            (booting.order.reclaimable ? row.reclaimable : row.onDemand) = booting.order.desired;
            return true;
        });
    }

    Forward::Service m_service;
    std::map<std::string, Forward::ServerCounts> m_serverCounts;
    std::map<std::string, Core::MonotonicTime> m_refusedUntil;
    std::vector<Booting> m_booting;
    Forward::ServiceDemand m_demand;
    Forward::OrderTable m_orderTable;
    Forward::ScalingPolicy m_policy;
    Core::MonotonicTime m_now { 100s };
    std::uint32_t m_minimumPresent { 9 };
    std::size_t m_orders { 0 };
};

}

TEST(ServerOrdersTest, ReclaimableServersReplaceOnDemandOnesOnceTheyServe)
{
    OrderSimulation simulation;
    simulation.run(12s, 0);
    EXPECT_GE(simulation.minimumPresent(), 9u);
    simulation.run(20s, 40);
    EXPECT_EQ(simulation.onDemand(), simulation.policy().minimumOnDemand);
    auto const ordered = simulation.orders();
    // Each call is billed, so nothing is ordered while nothing changes.
    simulation.run(60s, 40);
    EXPECT_EQ(simulation.orders(), ordered);
}

// Load pattern: the four data centres lose their reclaimable servers one after the other within seven seconds, and none are
// available for thirteen seconds.
TEST(ServerOrdersTest, OnDemandServersReplaceReclaimedOnes)
{
    OrderSimulation simulation;
    simulation.run(12s, 0);
    simulation.run(10s, 90);
    simulation.resetMinimumPresent();
    for (std::string const dataCentre : { "d", "c", "b", "a" }) {
        simulation.reclaim(dataCentre, 13s);
        simulation.run(2s, 90);
    }
    simulation.run(4s, 90);
    EXPECT_GE(simulation.present(), 5u);
    simulation.run(20s, 90);
    EXPECT_GE(simulation.present(), 16u);
    simulation.run(20s, 90);
    EXPECT_LE(simulation.onDemand(), simulation.policy().minimumOnDemand + 1);
}

// A node that takes over the lease while requests are in progress does not know the earlier demand and must not order many servers
// (scale-1 of cypress-grow: twenty on-demand servers were ordered after the holder was killed).
TEST(ServerOrdersTest, ANewLeaseHolderChangesOnDemandServersOnlyOnceItKnowsTheDemand)
{
    Forward::Service service;
    service.engine = Forward::EngineCapacity { .slots = 24 };
    Forward::ServiceDemand demand;
    std::map<std::string, Forward::ServerCounts> const serverCounts { { "a", { .onDemand = 1, .reclaimable = 4 } } };
    Core::MonotonicTime now { 100s };
    Forward::observeDemand(demand, 30, serverCounts, now);
    EXPECT_FALSE(Forward::neededServers(service, demand, {}, now + 3s));
    for (int i = 0; i < 10; ++i)
        Forward::observeDemand(demand, 30, serverCounts, now += 500ms);
    EXPECT_EQ(Forward::neededServers(service, demand, { .requestsPerServer = 10 }, now), 4u);
    // Servers with more slots run more requests each.
    service.engine->slots = 128;
    EXPECT_EQ(Forward::neededServers(service, demand, { .requestsPerServer = 10 }, now), 3u);
}
