#include <Integration/LoadClients.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;

namespace {

class GracefulStopTest : public testing::Test {
protected:
    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    // Executions of 200 ms keep calls in flight at any time.
    Cluster m_cluster { { .enginesPerDataCentre = 3, .serviceFlags = { "--execution_ms=200" } } };
};

void expectNoRequestsCutOff(Integration::RequestCounts const& counts)
{
    Integration::printCounts("I6", counts);
    EXPECT_EQ(counts.cutOff, 0u);
    EXPECT_EQ(counts.lost, 0u);
    EXPECT_EQ(counts.wrong, 0u);
}

}

// Guards against a graceful stop that cuts off streamed requests, buffered requests or service calls in flight (I6).
TEST_F(GracefulStopTest, StopUnderLoad)
{
    m_cluster.start();
    Integration::LoadClients load(m_cluster, { .streamingClients = 8, .bufferedClients = 4, .serviceClients = 4 });
    ASSERT_TRUE(load.waitForFinishedRequests(50));
    m_cluster.node(0).process->sendSignal(SIGTERM);
    EXPECT_EQ(m_cluster.node(0).process->waitForExit(), 0);
    EXPECT_TRUE(load.waitForFinishedRequests(50));
    auto counts = load.stop();
    counts.faults = 1;
    expectNoRequestsCutOff(counts);
    EXPECT_NE(m_cluster.node(0).process->log().find("requests_cut_off=0"), std::string::npos);
}

// Guards against requests that are cut off or lost during a rolling restart of all nodes (I6).
TEST_F(GracefulStopTest, RollingRestartUnderLoad)
{
    m_cluster.start();
    Integration::LoadClients load(m_cluster, { .streamingClients = 8, .bufferedClients = 4, .serviceClients = 4 });
    auto const initial = m_cluster.nodes().size();
    for (std::size_t index = 0; index < initial; ++index) {
        ASSERT_TRUE(load.waitForFinishedRequests(20));
        auto const dataCentre = m_cluster.node(index).dataCentre;
        m_cluster.node(index).process->sendSignal(SIGTERM);
        EXPECT_EQ(m_cluster.node(index).process->waitForExit(), 0);
        auto& replacement = m_cluster.addNode("next" + std::to_string(index), dataCentre);
        auto const serves = [&] {
            auto const status = m_cluster.status(replacement);
            return status.is_object() && status.at("phase").as_string() == "serving";
        };
        ASSERT_TRUE(TestSupport::waitUntil(serves));
        std::vector<Core::Endpoint> endpoints;
        for (std::size_t live = index + 1; live < m_cluster.nodes().size(); ++live)
            endpoints.push_back(m_cluster.node(live).clientEndpoint);
        load.setEndpoints(std::move(endpoints));
    }
    EXPECT_TRUE(load.waitForFinishedRequests(20));
    auto counts = load.stop();
    counts.faults = initial;
    expectNoRequestsCutOff(counts);
}
