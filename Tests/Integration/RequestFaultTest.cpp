#include <Integration/FaultMatrix.h>
#include <Integration/LoadClients.h>
#include <csignal>
#include <future>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Fault;
using Integration::ResponseReader;
using Integration::Step;

namespace {

struct Cell {
    Fault fault;
    Step step;
};

std::string cellName(testing::TestParamInfo<Cell> const& info)
{
    return Integration::requestTestName(info.param.fault, info.param.step);
}

/// Sends one model request to a node of the first data centre and injects a fault at a step of the request.
class RequestFaultTest : public testing::TestWithParam<Cell> {
protected:
    static constexpr std::size_t length = 300;
    static constexpr std::size_t tokensBeforeFault = 20;

    RequestFaultTest()
        : m_cluster({ .servicesPerDataCentre = 0, .peerLinks = GetParam().fault == Fault::DataCentresCut ? Integration::PeerLinks::ThroughProxy : Integration::PeerLinks::Direct })
    {
    }

    void SetUp() override { m_cluster.start(); }

    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    Integration::ClusterNode& servingNode() { return m_cluster.node(0); }
    Integration::ClusterNode& replica() { return m_cluster.node(1); }

    [[nodiscard]] bool affectsEntryHost() const
    {
        auto const fault = GetParam().fault;
        return fault == Fault::EntryHostReclaimed || fault == Fault::EntryHostKilled || fault == Fault::ProcessFrozen;
    }

    /// Returns the index of the engine that runs the request, or 0 if there is none yet.
    std::size_t engine()
    {
        auto const attempts = m_reader ? m_cluster.attemptsOf(m_reader->requestId()) : std::vector<Integration::EngineAttempt> {};
        return attempts.empty() ? 0 : attempts.back().engine;
    }

    void inject();
    void sendRequest();
    void advanceToStep();
    void complete();
    void resumeFrozenNode(std::size_t tokensBeforeFreeze);

    Integration::Cluster m_cluster;
    HTTP::Request m_request = Integration::chatRequest("report length=" + std::to_string(length), true, Integration::newKey());
    std::unique_ptr<ResponseReader> m_reader;
    /// The client that is connected to the frozen node.
    std::unique_ptr<ResponseReader> m_frozenReader;
    bool m_allEnginesStalled { false };
    /// Crashes the engine whose host is reclaimed. Declared last, so that the task ends
    /// before m_cluster is destroyed.
    std::future<void> m_hostTermination;
};

void RequestFaultTest::inject()
{
    switch (GetParam().fault) {
    case Fault::EntryHostReclaimed:
        (void)m_cluster.platform().reclaim({ { servingNode().id }, "", "", 3s });
        break;
    case Fault::ProcessFrozen:
        servingNode().process->sendSignal(SIGSTOP);
        break;
    case Fault::DataCentresCut:
        m_cluster.setPeerFaults({ .cut = true });
        break;
    case Fault::PlatformCut:
        m_cluster.platformProxy().setFaults({ .cut = true }, 0);
        break;
    case Fault::PlatformDown:
        m_cluster.platform().setFaults({ .down = true });
        break;
    case Fault::PlatformSlow:
        m_cluster.platform().setFaults({ .slowMs = 5000 });
        break;
    case Fault::BackEndReclaimed: {
        auto const index = engine();
        (void)m_cluster.platform().reclaim({ { m_cluster.engines()[index].id }, "", "", 1s });
        // The platform takes the host away at the end of the notice.
        m_hostTermination = std::async(std::launch::async, [this, index, reclaimAt = std::chrono::steady_clock::now() + 1s] {
            (void)TestSupport::waitUntil([&] { return std::chrono::steady_clock::now() >= reclaimAt; });
            m_cluster.setEngineFaults({ { "crash", true }, { "restartMs", 2000 } }, index);
        });
        break;
    }
    case Fault::BackEndKilled:
        m_cluster.setEngineFaults({ { "crash", true }, { "restartMs", 500 } }, engine());
        break;
    case Fault::BackEndFrozen:
        m_cluster.setEngineFaults({ { "stalled", true } }, engine());
        break;
    case Fault::Straggler:
        m_cluster.setEngineFaults({ { "stragglerFactor", 3 } }, engine());
        break;
    case Fault::HostListLate: {
        // The host list still contains the engine as live.
        auto const index = engine();
        m_cluster.setEngineFaults({ { "leaving", true } }, index);
        m_cluster.setEngineFaults({ { "crash", true }, { "restartMs", 4000 } }, index);
        break;
    }
    default:
        break;
    }
    // While the platform or the other data centre is unavailable, the request also has to survive the loss of its node.
    static std::set<Fault> const faultsWithEntryHostKill { Fault::EntryHostKilled, Fault::DataCentresCut, Fault::PlatformCut, Fault::PlatformDown, Fault::PlatformSlow };
    if (faultsWithEntryHostKill.contains(GetParam().fault))
        servingNode().process->sendSignal(SIGKILL);
}

void RequestFaultTest::sendRequest()
{
    if (GetParam().step != Step::Received) {
        m_reader = std::make_unique<ResponseReader>(servingNode().clientEndpoint, m_request);
        return;
    }
    if (!affectsEntryHost()) {
        inject();
        m_reader = std::make_unique<ResponseReader>(servingNode().clientEndpoint, m_request);
        return;
    }
    // The node does not accept the request until the replica replies.
    replica().process->sendSignal(SIGSTOP);
    auto opened = std::async(std::launch::async, [&] { return std::make_unique<ResponseReader>(servingNode().clientEndpoint, m_request); });
    auto const isReceived = [&] {
        auto const status = m_cluster.status(servingNode());
        return status.is_object() && status.at("streamsHeld").to_number<int>() > 0;
    };
    EXPECT_TRUE(TestSupport::waitUntil(isReceived));
    inject();
    replica().process->sendSignal(SIGCONT);
    if (GetParam().fault == Fault::ProcessFrozen) {
        EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), servingNode().id) == "dead"; }));
        m_reader = std::make_unique<ResponseReader>(replica().clientEndpoint, m_request);
        servingNode().process->sendSignal(SIGCONT);
        m_frozenReader = opened.get();
        return;
    }
    m_reader = opened.get();
}

void RequestFaultTest::advanceToStep()
{
    auto const step = GetParam().step;
    if (step == Step::Accepted) {
        m_cluster.setEngineFaults({ { "stalled", true } });
        m_allEnginesStalled = true;
    }
    sendRequest();
    if (step == Step::Received)
        return;
    ASSERT_TRUE(m_reader->connected()) << m_reader->error();
    auto const computed = step == Step::Running ? tokensBeforeFault : 0;
    auto const isRunning = [&] {
        auto const attempts = m_cluster.attemptsOf(m_reader->requestId());
        return !attempts.empty() && attempts.back().computed >= computed;
    };
    ASSERT_TRUE(TestSupport::waitUntil(isRunning));
    if (step == Step::Streaming)
        m_reader->readTokens(tokensBeforeFault);
    if (step == Step::Finishing)
        m_reader->readTokens(length - 2);
    inject();
    // Clears the stall of the engines that the fault does not affect.
    auto const fault = GetParam().fault;
    auto const affectedEngine = fault == Fault::BackEndKilled || fault == Fault::BackEndFrozen || fault == Fault::Straggler || fault == Fault::HostListLate ? std::optional(engine()) : std::nullopt;
    for (std::size_t index = 0; m_allEnginesStalled && index < m_cluster.engines().size(); ++index) {
        if (index != affectedEngine)
            m_cluster.setEngineFaults({}, index);
    }
}

// Resumes the frozen node. It may not send more of the output than the other nodes had at the take-over, or than the client had
// received before the freeze.
void RequestFaultTest::resumeFrozenNode(std::size_t tokensBeforeFreeze)
{
    servingNode().process->sendSignal(SIGCONT);
    m_frozenReader->readAll();
    if (m_frozenReader->complete() && m_frozenReader->tokens() == m_reader->tokens() && GetParam().step == Step::Finishing)
        return;
    EXPECT_FALSE(m_frozenReader->complete());
    auto const logs = m_cluster.node(1).process->log() + m_cluster.node(2).process->log() + m_cluster.node(3).process->log();
    auto const at = logs.find("request_id=" + m_reader->requestId() + " epoch=2 tokens=");
    ASSERT_NE(at, std::string::npos);
    auto const takeOverTokens = std::stoul(logs.substr(logs.find("tokens=", at) + 7));
    EXPECT_LE(m_frozenReader->tokens().size(), std::max(takeOverTokens, tokensBeforeFreeze));
}

void RequestFaultTest::complete()
{
    auto otherEndpoints = m_cluster.clientEndpointsExcept(affectsEntryHost() ? &servingNode() : nullptr);
    if (GetParam().fault == Fault::ProcessFrozen && GetParam().step != Step::Received) {
        auto const tokensBeforeFreeze = m_reader->tokens().size();
        m_frozenReader = std::exchange(m_reader, std::make_unique<ResponseReader>(*m_reader));
        bool const waitsUntilDead = GetParam().step != Step::Accepted;
        if (waitsUntilDead) {
            EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), servingNode().id) == "dead"; }));
        }
        m_reader->completeAt(otherEndpoints);
        EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), servingNode().id) == "dead"; }));
        resumeFrozenNode(tokensBeforeFreeze);
        return;
    }
    if (m_reader->requestId().empty()) {
        // The request was not accepted, so the client sends it again.
        auto next = otherEndpoints.begin();
        auto const accepted = [&] {
            m_reader = std::make_unique<ResponseReader>(*next, m_request);
            next = std::next(next) == otherEndpoints.end() ? otherEndpoints.begin() : std::next(next);
            return m_reader->connected();
        };
        ASSERT_TRUE(TestSupport::waitUntil(accepted)) << m_reader->error();
    }
    m_reader->readAll();
    m_reader->completeAt(otherEndpoints);
    if (GetParam().fault == Fault::EntryHostReclaimed) {
        EXPECT_EQ(servingNode().process->waitForExit(), 0);
    }
}

}

// Guards against losing an accepted request (I1), and against output with wrong, missing or repeated tokens (I2), for every fault at
// every step of the request.
TEST_P(RequestFaultTest, AnswerIsComplete)
{
    advanceToStep();
    ASSERT_FALSE(HasFatalFailure());
    complete();
    ASSERT_FALSE(HasFatalFailure());
    Integration::RequestCounts counts { .sent = 1, .faults = 1 };
    counts.lost = m_reader->complete() ? 0 : 1;
    auto const outputIsComplete = Integration::isCompleteOutput(m_cluster, m_reader->requestId(), m_reader->tokens(), length);
    counts.wrong = outputIsComplete ? 0 : 1;
    Integration::printCounts("I1,I2", counts);
    EXPECT_TRUE(m_reader->complete()) << m_reader->requestId() << ": " << m_reader->error();
    EXPECT_TRUE(outputIsComplete);
}

static std::vector<Cell> requestTestCells()
{
    std::vector<Cell> cells;
    for (auto const fault : Integration::requestFaults()) {
        for (auto const step : Integration::requestSteps())
            cells.push_back({ fault, step });
    }
    return cells;
}

INSTANTIATE_TEST_SUITE_P(Cells, RequestFaultTest, testing::ValuesIn(requestTestCells()), cellName);
