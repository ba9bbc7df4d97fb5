#include <Integration/Cluster.h>
#include <algorithm>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

class PlatformFeedTest : public testing::Test {
protected:
    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    void registerEngine(std::string const& id)
    {
        auto const endpoint = m_cluster.engines().front().endpoint;
        m_cluster.platform().registerHosts({ { id, Platform::HostRole::Backend, endpoint, "advisor", "v1", "dc1", "dc1-zone", "small", true, Platform::HostState::Live, 1 } });
    }

    // The value of a field of a server's row at a node; nothing if the node does not list the server.
    std::optional<bool> isLeaving(std::size_t node, std::string const& id)
    {
        auto const status = m_cluster.status(m_cluster.node(node));
        if (!status.is_object())
            return std::nullopt;
        for (auto const& row : status.at("servers").as_array()) {
            if (row.at("id") == json::string(id))
                return row.at("leaving").as_bool();
        }
        return std::nullopt;
    }

    bool isDraining(std::size_t node)
    {
        auto const status = m_cluster.status(m_cluster.node(node));
        return status.is_object() && status.at("phase") == "draining";
    }

    std::uint64_t platformReads() const
    {
        return m_cluster.platform().callCount("hostList") + m_cluster.platform().callCount("notices");
    }

    Integration::Cluster m_cluster { { .dataCentres = 2, .nodesPerDataCentre = 4, .enginesPerDataCentre = 1, .servicesPerDataCentre = 0 } };
};

}

// Guards against nodes that stay without new servers and reclaim notices, for servers and for themselves, while they cannot
// reach the platform but have peers in another data centre that can.
TEST_F(PlatformFeedTest, NodesWithoutPlatformLearnFromPeers)
{
    m_cluster.start();
    TestSupport::ProxyFaults cut;
    cut.cut = true;
    m_cluster.platformProxy().setFaults(cut, 1);
    registerEngine("late-engine");
    auto const& drained = m_cluster.node(6);
    m_cluster.platform().registerHosts({ { drained.id, Platform::HostRole::Entry, drained.client, "", "", "dc2", "dc2-zone", "small", true, Platform::HostState::Live, 1 } });
    // Relays notice an unreachable platform after 12 s and then ask relays of other data centres.
    EXPECT_TRUE(TestSupport::waitUntil([&] {
        for (std::size_t node = 4; node < 8; ++node) {
            if (!isLeaving(node, "late-engine"))
                return false;
        }
        return true;
    },
        40s));
    m_cluster.platform().reclaim({ .hostIds = { "late-engine", drained.id }, .zone = "", .dataCentre = "", .notice = 60s });
    EXPECT_TRUE(TestSupport::waitUntil([&] { return isLeaving(4, "late-engine").value_or(true) && isLeaving(7, "late-engine").value_or(true) && isDraining(6); }, 5s));
}

// Guards against every node polling the platform, and against a notice that takes longer than a second to reach the nodes.
TEST_F(PlatformFeedTest, OnlyRelaysReadAndNoticesArriveWithinASecond)
{
    m_cluster.start();
    // The first reading of each node, before it knows its relays, is over.
    std::this_thread::sleep_for(3s);
    auto const before = platformReads();
    std::this_thread::sleep_for(4s);
    // Two relays in each of two data centres read the list about once a second; 8 polling nodes would be twice as many.
    EXPECT_LE(platformReads() - before, 2u * 2u * 4u * 4u / 3u + 4u);

    auto const engine = m_cluster.engines().front().id;
    auto const postedAt = std::chrono::steady_clock::now();
    m_cluster.platform().reclaim({ .hostIds = { engine }, .zone = "", .dataCentre = "", .notice = 60s });
    EXPECT_TRUE(TestSupport::waitUntil([&] {
        for (std::size_t node = 0; node < 8; ++node) {
            if (!isLeaving(node, engine).value_or(true))
                return false;
        }
        return true;
    }));
    EXPECT_LE(std::chrono::steady_clock::now() - postedAt, 1s);
}
