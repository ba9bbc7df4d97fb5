#include <Integration/Cluster.h>
#include <algorithm>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>
#include <set>

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

    // Whether a node lists a server as leaving; nothing if the node does not list the server.
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

    std::set<std::size_t> relayNodes()
    {
        std::set<std::size_t> relays;
        for (std::size_t node = 0; node < m_cluster.nodes().size(); ++node) {
            auto const status = m_cluster.status(m_cluster.node(node));
            if (status.is_object() && status.at("relay").as_bool())
                relays.insert(node);
        }
        return relays;
    }

    // Returns the sum of the platform calls in the metrics of all nodes but the excluded ones.
    double countPlatformCallsExcept(std::set<std::size_t> const& excludedNodes)
    {
        static constexpr std::string_view series = "hyssopstep_traffic_calls{channel=\"platform\"} ";
        double calls = 0;
        for (std::size_t node = 0; node < m_cluster.nodes().size(); ++node) {
            if (excludedNodes.contains(node))
                continue;
            Core::Error error;
            HTTP::Request request { "GET", "/metrics", {}, "" };
            auto const response = TestSupport::blockingCall(m_cluster.node(node).operatorEndpoint, std::move(request), error);
            auto const at = response ? response->body.find(series) : std::string::npos;
            EXPECT_NE(at, std::string::npos);
            if (at != std::string::npos)
                calls += std::stod(response->body.substr(at + series.size()));
        }
        return calls;
    }

    Integration::Cluster m_cluster { { .dataCentres = 2, .nodesPerDataCentre = 4, .enginesPerDataCentre = 1, .servicesPerDataCentre = 0 } };
};

}

// Guards against nodes that miss new servers and reclaim notices, for servers and for themselves, while only peers in another data
// centre can reach the platform.
TEST_F(PlatformFeedTest, NodesWithoutPlatformLearnFromPeers)
{
    m_cluster.start();
    TestSupport::ProxyFaults cut;
    cut.cut = true;
    m_cluster.platformProxy().setFaults(cut, 1);
    registerEngine("late-engine");
    auto const& drained = m_cluster.node(6);
    m_cluster.platform().registerHosts({ { drained.id, Platform::HostRole::Entry, drained.clientEndpoint, "", "", "dc2", "dc2-zone", "small", true, Platform::HostState::Live, 1 } });
    // Relays detect an unreachable platform after 12 s and then fetch from relays of other data centres.
    EXPECT_TRUE(TestSupport::waitUntil([&] {
        for (std::size_t node = 4; node < 8; ++node) {
            if (!isLeaving(node, "late-engine"))
                return false;
        }
        return true;
    },
        40s));
    m_cluster.platform().reclaim({ .hostIds = { "late-engine", drained.id }, .zone = "", .dataCentre = "", .noticePeriod = 60s });
    EXPECT_TRUE(TestSupport::waitUntil([&] { return isLeaving(4, "late-engine").value_or(true) && isLeaving(7, "late-engine").value_or(true) && isDraining(6); }, 5s));
}

// Guards against nodes that poll the platform although they are not relays, and against notices that reach a node later than 3 s,
// the time within which a leaving server has to stop getting new work.
TEST_F(PlatformFeedTest, OnlyRelaysReadAndNoticesArriveInTime)
{
    m_cluster.start();
    // Retries, because each node polls the platform once before it knows its relays, and this poll may still be in progress.
    EXPECT_TRUE(TestSupport::waitUntil([&] {
        static constexpr std::uint64_t polls = 12;
        auto const relays = relayNodes();
        auto const memberCalls = countPlatformCallsExcept(relays);
        auto const before = m_cluster.platform().callCount("hostList");
        bool const havePolled = TestSupport::waitUntil([&] { return m_cluster.platform().callCount("hostList") >= before + polls; });
        return havePolled && relays.size() == 4 && relays == relayNodes() && countPlatformCallsExcept(relays) == memberCalls;
    }));

    static constexpr auto noticePropagationBound = 3s;
    auto const engine = m_cluster.engines().front().id;
    auto const postedAt = std::chrono::steady_clock::now();
    m_cluster.platform().reclaim({ .hostIds = { engine }, .zone = "", .dataCentre = "", .noticePeriod = 60s });
    EXPECT_TRUE(TestSupport::waitUntil([&] {
        for (std::size_t node = 0; node < 8; ++node) {
            if (!isLeaving(node, engine).value_or(true))
                return false;
        }
        return true;
    }));
    EXPECT_LE(std::chrono::steady_clock::now() - postedAt, noticePropagationBound);
}
