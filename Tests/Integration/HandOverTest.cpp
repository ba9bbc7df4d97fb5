#include <Integration/LoadClients.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ResponseReader;

namespace {

/// Opens long streams whose nodes then stop or fail.
class HandOverTest : public testing::Test {
protected:
    static constexpr std::size_t length = 400;

    void TearDown() override
    {
        if (m_cluster && HasFailure())
            std::fputs(m_cluster->nodeLogs().c_str(), stderr);
    }

    void start(Integration::ClusterOptions options)
    {
        m_cluster = std::make_unique<Cluster>(std::move(options));
        m_cluster->start();
    }

    /// Opens streams at a node and waits until each has delivered its first ten tokens.
    void openStreams(Integration::ClusterNode const& node, unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            auto const prompt = "long " + std::to_string(m_readers.size()) + " length=" + std::to_string(length);
            m_readers.push_back(std::make_unique<ResponseReader>(node.clientEndpoint, Integration::chatRequest(prompt, true)));
        }
        for (auto& reader : m_readers) {
            reader->readTokens(10);
            ASSERT_GE(reader->tokens().size(), 10u) << reader->error();
        }
    }

    /// Sends SIGTERM twice to end the drain early. Waits in between, because equal pending signals are merged.
    static void requestImmediateStop(TestSupport::ChildProcess& process)
    {
        process.sendSignal(SIGTERM);
        EXPECT_TRUE(TestSupport::waitUntil([&] { return process.log().find("event=drain_started") != std::string::npos; }));
        process.sendSignal(SIGTERM);
    }

    /// Resumes all streams at the endpoints and checks their output.
    void completeAll(std::vector<Core::Endpoint> const& endpoints, std::uint64_t faults)
    {
        Integration::RequestCounts counts { .sent = m_readers.size(), .faults = faults };
        for (auto& reader : m_readers) {
            reader->readAll();
            counts.sentAgain += reader->complete() ? 0 : 1;
            reader->completeAt(endpoints);
            auto const outputIsComplete = Integration::isCompleteOutput(*m_cluster, reader->requestId(), reader->tokens(), length);
            counts.lost += reader->complete() ? 0 : 1;
            counts.wrong += outputIsComplete ? 0 : 1;
            EXPECT_TRUE(reader->complete()) << reader->requestId() << ": " << reader->error();
            EXPECT_TRUE(outputIsComplete);
        }
        Integration::printCounts("I1,I6", counts);
    }

    std::unique_ptr<Cluster> m_cluster;
    std::vector<std::unique_ptr<ResponseReader>> m_readers;
};

}

// Guards against a stop that waits for long streams, or loses them, after a second SIGTERM.
TEST_F(HandOverTest, SecondSignalHandsOver)
{
    start({ .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 12);
    auto& process = *m_cluster->node(0).process;
    requestImmediateStop(process);
    EXPECT_EQ(process.waitForExit(), 0);
    EXPECT_NE(process.log().find("streams_left=0"), std::string::npos);
    completeAll(m_cluster->clientEndpointsExcept(&m_cluster->node(0)), 1);
}

// Guards against losing streams that are still running at the drain deadline.
TEST_F(HandOverTest, DrainDeadlineHandsOver)
{
    start({ .servicesPerDataCentre = 0, .nodeFlags = { "--drain_timeout_ms=1000" } });
    openStreams(m_cluster->node(0), 12);
    m_cluster->node(0).process->sendSignal(SIGTERM);
    EXPECT_EQ(m_cluster->node(0).process->waitForExit(), 0);
    EXPECT_NE(m_cluster->node(0).process->log().find("streams_left=0 requests_cut_off=0"), std::string::npos);
    completeAll(m_cluster->clientEndpointsExcept(&m_cluster->node(0)), 1);
}

// Guards against losing streams when the node is killed while it hands them over.
TEST_F(HandOverTest, NodeDiesDuringHandOver)
{
    start({ .enginesPerDataCentre = 3, .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 20);
    auto& process = *m_cluster->node(0).process;
    requestImmediateStop(process);
    EXPECT_TRUE(TestSupport::waitUntil([&] { return process.log().find("event=stream_handed_over") != std::string::npos; }));
    process.sendSignal(SIGKILL);
    completeAll(m_cluster->clientEndpointsExcept(&m_cluster->node(0)), 2);
}

// Guards against a hand-over that fails when the first successor does not respond.
TEST_F(HandOverTest, SuccessorIsFrozen)
{
    start({ .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 12);
    auto& process = *m_cluster->node(0).process;
    m_cluster->node(1).process->sendSignal(SIGSTOP);
    requestImmediateStop(process);
    EXPECT_EQ(process.waitForExit(), 0);
    EXPECT_NE(process.log().find("streams_left=0"), std::string::npos);
    auto endpoints = m_cluster->clientEndpointsExcept(&m_cluster->node(0));
    endpoints.erase(endpoints.begin());
    completeAll(endpoints, 2);
    m_cluster->node(1).process->sendSignal(SIGCONT);
}

// Guards against losing requests when all engines and nodes of a data centre are reclaimed with a notice of 4 s.
TEST_F(HandOverTest, DataCentreIsReclaimed)
{
    start({ .enginesPerDataCentre = 3, .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 8);
    openStreams(m_cluster->node(1), 8);
    (void)m_cluster->platform().reclaim({ {}, "", "dc1", 4s });
    for (std::size_t index = 0; index < 2; ++index)
        EXPECT_EQ(m_cluster->node(index).process->waitForExit(), 0);
    // The platform takes the hosts away at the end of the notice.
    for (std::size_t index = 0; index < 3; ++index)
        m_cluster->setEngineFaults({ { "crash", true }, { "restartMs", 5000 } }, index);
    std::vector<Core::Endpoint> const endpoints { m_cluster->node(2).clientEndpoint, m_cluster->node(3).clientEndpoint };
    completeAll(endpoints, 5);
}

// Guards against a node that was paused until its replica took over its streams, and that sends output of the old attempt when it
// resumes, because it cannot reach the replica and knows no other node.
TEST_F(HandOverTest, FrozenNodeSendsNothingAfterTakeOver)
{
    start({ .dataCentres = 1, .enginesPerDataCentre = 3, .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 8);
    auto& server = m_cluster->node(0);
    auto& replica = m_cluster->node(1);
    // Stopping the replica first leaves a call to it in progress when the node freezes.
    replica.process->sendSignal(SIGSTOP);
    std::vector<std::unique_ptr<ResponseReader>> staleReaders;
    for (auto& reader : m_readers) {
        staleReaders.push_back(std::move(reader));
        reader = std::make_unique<ResponseReader>(*staleReaders.back());
    }
    auto const computed = m_cluster->engineTotal("computed");
    ASSERT_TRUE(TestSupport::waitUntil([&] { return m_cluster->engineTotal("computed") > computed + staleReaders.size(); }));
    server.process->sendSignal(SIGSTOP);
    replica.process->sendSignal(SIGCONT);
    ASSERT_TRUE(TestSupport::waitUntil([&] { return m_cluster->livenessOf(replica, server.id) == "dead"; }));
    auto const isTakenOver = [&] { return m_cluster->status(replica).at("streamsRunning").to_number<std::size_t>() == staleReaders.size(); };
    ASSERT_TRUE(TestSupport::waitUntil(isTakenOver));
    server.process->sendSignal(SIGCONT);
    std::size_t completed = 0;
    for (auto& reader : staleReaders) {
        reader->readAll();
        completed += reader->complete() ? 1 : 0;
    }
    EXPECT_EQ(completed, 0u);
    completeAll({ replica.clientEndpoint }, 2);
}
