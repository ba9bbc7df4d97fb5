#include <Integration/LoadClients.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ResponseReader;

namespace {

/// Long answers at one node whose streams move to others.
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

    /// Opens answers at a node and waits until each has begun.
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

    /// Two signals, the second once the first has been handled, since equal signals that are pending merge.
    static void requestImmediateStop(TestSupport::ChildProcess& process)
    {
        process.sendSignal(SIGTERM);
        EXPECT_TRUE(TestSupport::waitUntil([&] { return process.log().find("event=drain_started") != std::string::npos; }));
        process.sendSignal(SIGTERM);
    }

    /// Continues all answers at the endpoints and checks them.
    void completeAll(std::vector<Core::Endpoint> const& endpoints, std::uint64_t faults)
    {
        Integration::RequestCounts counts { .sent = m_readers.size(), .faults = faults };
        for (auto& reader : m_readers) {
            reader->readAll();
            counts.sentAgain += reader->complete() ? 0 : 1;
            reader->completeAt(endpoints);
            auto const answer = Integration::isCompleteOutput(*m_cluster, reader->requestId(), reader->tokens(), length);
            counts.lost += reader->complete() ? 0 : 1;
            counts.wrong += answer ? 0 : 1;
            EXPECT_TRUE(reader->complete()) << reader->requestId() << ": " << reader->error();
            EXPECT_TRUE(answer);
        }
        Integration::printCounts("I1,I6", counts);
    }

    std::unique_ptr<Cluster> m_cluster;
    std::vector<std::unique_ptr<ResponseReader>> m_readers;
};

}

// Guards against a stop that hangs on long answers, or loses them, when it is asked for twice.
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

// Guards against losing what still runs at the drain deadline.
TEST_F(HandOverTest, DrainDeadlineHandsOver)
{
    start({ .servicesPerDataCentre = 0, .nodeFlags = { "--drain_timeout_ms=1000" } });
    openStreams(m_cluster->node(0), 12);
    m_cluster->node(0).process->sendSignal(SIGTERM);
    EXPECT_EQ(m_cluster->node(0).process->waitForExit(), 0);
    EXPECT_NE(m_cluster->node(0).process->log().find("streams_left=0 requests_cut_off=0"), std::string::npos);
    completeAll(m_cluster->clientEndpointsExcept(&m_cluster->node(0)), 1);
}

// Guards against streams that are neither at the node that died while it handed them over nor at its successor.
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

// Guards against a hand-over that stops at the first successor that does not answer.
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

// Guards against losing requests when all engines and nodes of a data centre are reclaimed with a few seconds of notice.
TEST_F(HandOverTest, DataCentreIsReclaimed)
{
    start({ .enginesPerDataCentre = 3, .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 8);
    openStreams(m_cluster->node(1), 8);
    (void)m_cluster->platform().reclaim({ {}, "", "dc1", 4s });
    for (std::size_t index = 0; index < 2; ++index)
        EXPECT_EQ(m_cluster->node(index).process->waitForExit(), 0);
    // The hosts are gone once the notice has passed.
    for (std::size_t index = 0; index < 3; ++index)
        m_cluster->setEngineFaults({ { "crash", true }, { "restartMs", 5000 } }, index);
    std::vector<Core::Endpoint> const endpoints { m_cluster->node(2).clientEndpoint, m_cluster->node(3).clientEndpoint };
    completeAll(endpoints, 5);
}

// Guards against a node that shows its old run of an answer, after it was paused for so long that another took the answer
// over, because it cannot reach its replica and knows no other node.
TEST_F(HandOverTest, FrozenNodeSendsNothingAfterTakeOver)
{
    start({ .dataCentres = 1, .enginesPerDataCentre = 3, .servicesPerDataCentre = 0 });
    openStreams(m_cluster->node(0), 8);
    auto& server = m_cluster->node(0);
    auto& replica = m_cluster->node(1);
    // With the replica stopped first, a call to it is under way when the node freezes.
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
