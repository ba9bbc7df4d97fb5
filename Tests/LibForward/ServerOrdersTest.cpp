#include <LibForward/ServerOrders.h>
#include <gtest/gtest.h>
#include <numeric>

using namespace std::chrono_literals;

namespace {

// The platform as far as orders go: servers start after four seconds, reclaimable ones of a data centre leave at once and are
// not to be had for a while.
class OrderReplay {
public:
    OrderReplay()
    {
        m_service.name = "model";
        m_service.scale = Forward::ScaleRange { .minimum = 1, .maximum = 6, .bootTime = 4s, .reclaimablePrice = 0.15, .prices = { { "a", 1.0 }, { "b", 0.8 }, { "c", 1.25 }, { "d", 0.9 } } };
        m_stock = { { "a", { .onDemand = 3 } }, { "b", { .onDemand = 2 } }, { "c", { .onDemand = 2 } }, { "d", { .onDemand = 2 } } };
    }

    void run(Core::Duration time, std::uint32_t requestsInProgress)
    {
        for (auto const end = m_now + time; m_now < end; m_now += 500ms) {
            start();
            Forward::observeDemand(m_demand, requestsInProgress, m_stock, m_now);
            for (auto const& order : Forward::decideOrders(m_service, m_stock, m_demand, m_book, m_policy, m_now))
                take(order);
            m_fewest = std::min(m_fewest, present());
        }
    }

    void reclaim(std::string const& dataCentre, Core::Duration time)
    {
        m_stock[dataCentre].reclaimable = 0;
        m_refusedUntil[dataCentre] = m_now + time;
    }

    [[nodiscard]] std::uint32_t present() const
    {
        return std::accumulate(m_stock.begin(), m_stock.end(), 0U, [](std::uint32_t sum, auto const& item) { return sum + item.second.onDemand + item.second.reclaimable; });
    }

    [[nodiscard]] std::uint32_t onDemand() const
    {
        return std::accumulate(m_stock.begin(), m_stock.end(), 0U, [](std::uint32_t sum, auto const& item) { return sum + item.second.onDemand; });
    }

    void resetFewest() { m_fewest = present(); }
    [[nodiscard]] std::uint32_t fewest() const { return m_fewest; }
    [[nodiscard]] std::size_t orders() const { return m_orders; }
    [[nodiscard]] Forward::StockPolicy const& policy() const { return m_policy; }

private:
    struct Booting {
        Forward::ServerOrder order;
        Core::MonotonicTime readyAt;
    };

    void take(Forward::ServerOrder const& order)
    {
        ++m_orders;
        auto const refused = m_refusedUntil.find(order.dataCentre);
        bool const isAccepted = !order.reclaimable || refused == m_refusedUntil.end() || m_now >= refused->second;
        Forward::recordOrder(m_book, order, isAccepted, m_now);
        if (!isAccepted)
            return;
        auto& row = m_stock[order.dataCentre];
        auto& count = order.reclaimable ? row.reclaimable : row.onDemand;
        std::erase_if(m_booting, [&](Booting const& other) { return other.order.dataCentre == order.dataCentre && other.order.reclaimable == order.reclaimable; });
        if (order.desired < count)
            count = order.desired;
        else if (order.desired > count)
            m_booting.push_back({ order, m_now + 4s });
    }

    void start()
    {
        std::erase_if(m_booting, [&](Booting const& booting) {
            if (booting.readyAt > m_now)
                return false;
            auto& row = m_stock[booting.order.dataCentre];
            (booting.order.reclaimable ? row.reclaimable : row.onDemand) = booting.order.desired;
            return true;
        });
    }

    Forward::Service m_service;
    std::map<std::string, Forward::ServerStock> m_stock;
    std::map<std::string, Core::MonotonicTime> m_refusedUntil;
    std::vector<Booting> m_booting;
    Forward::ServiceDemand m_demand;
    Forward::OrderBook m_book;
    Forward::StockPolicy m_policy;
    Core::MonotonicTime m_now { 100s };
    std::uint32_t m_fewest { 9 };
    std::size_t m_orders { 0 };
};

}

TEST(ServerOrdersTest, ReclaimableServersReplaceOnDemandOnesOnceTheyServe)
{
    OrderReplay replay;
    replay.run(12s, 0);
    EXPECT_GE(replay.fewest(), 9u);
    replay.run(20s, 40);
    EXPECT_EQ(replay.onDemand(), replay.policy().leastOnDemand);
    auto const ordered = replay.orders();
    // Each call is charged, so that nothing is ordered while nothing changes.
    replay.run(60s, 40);
    EXPECT_EQ(replay.orders(), ordered);
}

// Load pattern: the four data centres lose their reclaimable servers one after the other within seven seconds, and none are to be
// had for thirteen seconds.
TEST(ServerOrdersTest, OnDemandServersFillUpWhatReclaimsTake)
{
    OrderReplay replay;
    replay.run(12s, 0);
    replay.run(10s, 90);
    replay.resetFewest();
    for (std::string const dataCentre : { "d", "c", "b", "a" }) {
        replay.reclaim(dataCentre, 13s);
        replay.run(2s, 90);
    }
    replay.run(4s, 90);
    EXPECT_GE(replay.present(), 5u);
    replay.run(20s, 90);
    EXPECT_GE(replay.present(), 16u);
    replay.run(20s, 90);
    EXPECT_LE(replay.onDemand(), replay.policy().leastOnDemand + 1);
}

// A node that takes the duty over among requests in progress knows no number for the time before, and must not order many servers
// (scale-1 of cypress-grow: twenty on-demand servers after the holder was killed).
TEST(ServerOrdersTest, ANewHolderChangesOnDemandServersOnlyWhenItKnowsTheDemand)
{
    Forward::Service service;
    service.engine = Forward::EngineShape { .slots = 24 };
    Forward::ServiceDemand demand;
    std::map<std::string, Forward::ServerStock> const stock { { "a", { .onDemand = 1, .reclaimable = 4 } } };
    Core::MonotonicTime now { 100s };
    Forward::observeDemand(demand, 30, stock, now);
    EXPECT_FALSE(Forward::neededServers(service, demand, {}, now + 3s));
    for (int i = 0; i < 10; ++i)
        Forward::observeDemand(demand, 30, stock, now += 500ms);
    EXPECT_EQ(Forward::neededServers(service, demand, { .requestsPerServer = 10 }, now), 4u);
    // Servers with more slots run more requests each.
    service.engine->slots = 128;
    EXPECT_EQ(Forward::neededServers(service, demand, { .requestsPerServer = 10 }, now), 3u);
}
