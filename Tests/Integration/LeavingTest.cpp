#include <Integration/LoadClients.h>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;

namespace {

/// How the nodes learn that a server is leaving.
enum class LeavingSource {
    ReclaimNotice,
    /// The load report of the server itself.
    LoadReport,
    /// Nodes of the other data centre, the only ones that can reach the platform.
    Peer,
};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Runs load on all nodes while an engine and a plain server of the first data centre are leaving.
class LeavingTest : public testing::Test {
protected:
    static constexpr std::int64_t leavingBoundMilliseconds = 3000;

    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    /// Makes the platform return the host list from before the servers were announced as leaving.
    void freezeHostList() const
    {
        auto const lag = static_cast<std::uint64_t>(unixMilliseconds() - m_registeredAt);
        m_cluster.platform().setFaults({ .hostListLagMs = lag });
    }

    boost::json::value serviceRecord(std::size_t index) const { return TestSupport::callStandIn(m_cluster.services()[index].endpoint, "GET", "/stand-in/record"); }

    /// Returns when the last attempt or execution started, in Unix milliseconds, by the records of the leaving servers or of all
    /// others; 0 if there is none.
    std::int64_t lastWorkAt(bool atLeaving) const
    {
        std::int64_t last = 0;
        for (auto const& attempt : m_cluster.attemptsOf("")) {
            if ((attempt.engine == m_leavingEngine) == atLeaving)
                last = std::max(last, attempt.startedAtMs);
        }
        for (std::size_t index = 0; index < m_cluster.services().size(); ++index) {
            auto const record = serviceRecord(index);
            for (auto const& execution : record.at("executions").as_array()) {
                if ((index == m_leavingService) == atLeaving)
                    last = std::max(last, execution.at("atMs").to_number<std::int64_t>());
            }
        }
        return last;
    }

    std::uint64_t refusedAtLeaving() const
    {
        auto const engine = TestSupport::callStandIn(m_cluster.engines()[m_leavingEngine].endpoint, "GET", "/stand-in/record");
        return engine.at("totals").at("refused").to_number<std::uint64_t>() + serviceRecord(m_leavingService).at("totals").at("refused").to_number<std::uint64_t>();
    }

    void runUnderLoad(LeavingSource);

    Cluster m_cluster { { .enginesPerDataCentre = 3, .servicesPerDataCentre = 2 } };
    std::int64_t m_registeredAt { 0 };
    /// Indices of the leaving servers, both in the first data centre. Of its plain servers, the busier one leaves.
    std::size_t m_leavingEngine { 0 };
    std::size_t m_leavingService { 0 };
};

void LeavingTest::runUnderLoad(LeavingSource source)
{
    m_cluster.start();
    m_registeredAt = unixMilliseconds() - 100;
    freezeHostList();
    Integration::LoadClients load(m_cluster, { .streamingClients = 6, .bufferedClients = 2, .serviceClients = 4, .length = 10, .serviceCalls = Configuration::Idempotency::Idempotent });
    // Waits until both kinds of servers have work.
    auto const executions = [&](std::size_t index) { return serviceRecord(index).at("totals").at("executions").to_number<int>(); };
    ASSERT_TRUE(TestSupport::waitUntil([&] { return executions(0) + executions(1) > 10 && m_cluster.engineTotal("attempts") > 50; }));
    m_leavingService = executions(0) > executions(1) ? 0 : 1;

    if (source == LeavingSource::Peer)
        m_cluster.platformProxy().setFaults({ .cut = true }, 0);
    auto const announcedAt = unixMilliseconds();
    if (source == LeavingSource::LoadReport) {
        TestSupport::callStandIn(m_cluster.engines()[m_leavingEngine].endpoint, "PUT", "/stand-in/faults", boost::json::object { { "leaving", true } });
        TestSupport::callStandIn(m_cluster.services()[m_leavingService].endpoint, "PUT", "/stand-in/faults", boost::json::object { { "leaving", true } });
    } else {
        (void)m_cluster.platform().reclaim({ { m_cluster.engines()[m_leavingEngine].id, m_cluster.services()[m_leavingService].id }, "", "", 60s });
    }
    auto const holdUntil = [&](std::int64_t time) {
        return TestSupport::waitUntil([&] {
            freezeHostList();
            return unixMilliseconds() > time;
        });
    };
    ASSERT_TRUE(holdUntil(announcedAt + leavingBoundMilliseconds));
    auto const refusedInTime = refusedAtLeaving();
    // For another 1500 ms, no work may start at the leaving servers.
    ASSERT_TRUE(holdUntil(announcedAt + leavingBoundMilliseconds + 1500));
    auto counts = load.stop();
    counts.faults = 2;
    Integration::printCounts("I5", counts);
    auto const last = lastWorkAt(true);
    std::printf("figures: last_work_after_announcement_ms=%lld\n", static_cast<long long>(last - announcedAt));
    EXPECT_GT(last, 0);
    EXPECT_LE(last, announcedAt + leavingBoundMilliseconds);
    EXPECT_GT(lastWorkAt(false), announcedAt + leavingBoundMilliseconds);
    EXPECT_EQ(refusedAtLeaving(), refusedInTime);
    EXPECT_EQ(counts.lost, 0u);
    EXPECT_EQ(counts.wrong, 0u);
    EXPECT_EQ(counts.cutOff, 0u);
}

}

// Guard against new work for a leaving server while the host list is outdated (I5), one test for each LeavingSource.
TEST_F(LeavingTest, ByNotice)
{
    runUnderLoad(LeavingSource::ReclaimNotice);
}

TEST_F(LeavingTest, ByItsOwnReport)
{
    runUnderLoad(LeavingSource::LoadReport);
}

TEST_F(LeavingTest, ByPeersWhileCutFromThePlatform)
{
    runUnderLoad(LeavingSource::Peer);
}

// Guards against a node that drops a reclaim notice because its host list does not contain the server yet.
TEST_F(LeavingTest, NodeStartedAfterTheNotice)
{
    m_cluster.start();
    m_registeredAt = unixMilliseconds() - 100;
    auto const& leaving = m_cluster.engines()[m_leavingEngine];
    (void)m_cluster.platform().reclaim({ { leaving.id }, "", "", 60s });
    // The host list from before any host was registered.
    m_cluster.platform().setFaults({ .hostListLagMs = 3'600'000 });
    auto& node = m_cluster.addNode("node3", "dc1");
    ASSERT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(node, "node2a") == "live"; }));
    auto const isMarked = [&] {
        freezeHostList();
        auto const status = m_cluster.status(node);
        for (auto const& server : status.at("servers").as_array()) {
            if (server.at("id").as_string() == leaving.id)
                return server.at("leaving").as_bool();
        }
        return false;
    };
    EXPECT_TRUE(TestSupport::waitUntil(isMarked));
    Integration::printCounts("I5", { .faults = 1 });
}
