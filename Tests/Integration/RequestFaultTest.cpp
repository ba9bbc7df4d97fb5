#include <Integration/FaultMatrix.h>
#include <Integration/Figures.h>
#include <csignal>
#include <future>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::AnswerReader;
using Integration::Fault;
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

/// One model request at one node of the first data centre, hit by a fault at a step.
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

    Integration::ClusterNode& server() { return m_cluster.node(0); }
    Integration::ClusterNode& replica() { return m_cluster.node(1); }

    [[nodiscard]] bool hitsEntryHost() const
    {
        auto const fault = GetParam().fault;
        return fault == Fault::EntryHostReclaimed || fault == Fault::EntryHostKilled || fault == Fault::ProcessFrozen;
    }

    /// The engine that runs the request, or any.
    std::size_t engine()
    {
        auto const attempts = m_reader ? m_cluster.attemptsOf(m_reader->requestId()) : std::vector<Integration::EngineAttempt> {};
        return attempts.empty() ? 0 : attempts.back().engine;
    }

    void inject();
    void open();
    void bringToStep();
    void complete();
    void wakeUp(std::size_t shownBefore);

    Integration::Cluster m_cluster;
    HTTP::Request m_request = Integration::chatRequest("report length=" + std::to_string(length), true, Integration::newKey());
    std::unique_ptr<AnswerReader> m_reader;
    /// The connection to a node that was frozen.
    std::unique_ptr<AnswerReader> m_frozen;
    bool m_allStalled { false };
    /// Ends the engine whose host is reclaimed. Last, so that it ends before the cluster does.
    std::future<void> m_hostGone;
};

void RequestFaultTest::inject()
{
    switch (GetParam().fault) {
    case Fault::EntryHostReclaimed:
        (void)m_cluster.platform().reclaim({ { server().id }, "", "", 3s });
        break;
    case Fault::ProcessFrozen:
        server().process->sendSignal(SIGSTOP);
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
        // The platform takes the host when the notice has passed.
        m_hostGone = std::async(std::launch::async, [this, index, reclaimAt = std::chrono::steady_clock::now() + 1s] {
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
        // The host list goes on naming the engine as live.
        auto const index = engine();
        m_cluster.setEngineFaults({ { "leaving", true } }, index);
        m_cluster.setEngineFaults({ { "crash", true }, { "restartMs", 4000 } }, index);
        break;
    }
    default:
        break;
    }
    // Without the platform, or the other data centre, a second fault has to be survived too.
    static std::set<Fault> const killsToo { Fault::EntryHostKilled, Fault::DataCentresCut, Fault::PlatformCut, Fault::PlatformDown, Fault::PlatformSlow };
    if (killsToo.contains(GetParam().fault))
        server().process->sendSignal(SIGKILL);
}

void RequestFaultTest::open()
{
    if (GetParam().step != Step::Received) {
        m_reader = std::make_unique<AnswerReader>(server().client, m_request);
        return;
    }
    if (!hitsEntryHost()) {
        inject();
        m_reader = std::make_unique<AnswerReader>(server().client, m_request);
        return;
    }
    // Without an answer of the replica the request is not accepted yet.
    replica().process->sendSignal(SIGSTOP);
    auto opened = std::async(std::launch::async, [&] { return std::make_unique<AnswerReader>(server().client, m_request); });
    auto const isReceived = [&] {
        auto const status = m_cluster.status(server());
        return status.is_object() && status.at("streamsHeld").to_number<int>() > 0;
    };
    EXPECT_TRUE(TestSupport::waitUntil(isReceived));
    inject();
    replica().process->sendSignal(SIGCONT);
    if (GetParam().fault == Fault::ProcessFrozen) {
        EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), server().id) == "dead"; }));
        m_reader = std::make_unique<AnswerReader>(replica().client, m_request);
        server().process->sendSignal(SIGCONT);
        m_frozen = opened.get();
        return;
    }
    m_reader = opened.get();
}

void RequestFaultTest::bringToStep()
{
    auto const step = GetParam().step;
    if (step == Step::Accepted) {
        m_cluster.setEngineFaults({ { "stalled", true } });
        m_allStalled = true;
    }
    open();
    if (step == Step::Received)
        return;
    ASSERT_TRUE(m_reader->connected()) << m_reader->error();
    auto const computed = step == Step::Running ? tokensBeforeFault : 0;
    auto const runs = [&] {
        auto const attempts = m_cluster.attemptsOf(m_reader->requestId());
        return !attempts.empty() && attempts.back().computed >= computed;
    };
    ASSERT_TRUE(TestSupport::waitUntil(runs));
    if (step == Step::Streaming)
        m_reader->readTokens(tokensBeforeFault);
    if (step == Step::Finishing)
        m_reader->readTokens(length - 2);
    inject();
    // Lifts the stall of the engines that the fault does not concern.
    auto const fault = GetParam().fault;
    auto const concerned = fault == Fault::BackEndKilled || fault == Fault::BackEndFrozen || fault == Fault::Straggler || fault == Fault::HostListLate ? std::optional(engine()) : std::nullopt;
    for (std::size_t index = 0; m_allStalled && index < m_cluster.engines().size(); ++index) {
        if (index != concerned)
            m_cluster.setEngineFaults({}, index);
    }
}

// The old node wakes up: what it still shows must be a part of what the other nodes had when they took the stream over.
void RequestFaultTest::wakeUp(std::size_t shownBefore)
{
    server().process->sendSignal(SIGCONT);
    m_frozen->readAll();
    if (m_frozen->complete() && m_frozen->tokens() == m_reader->tokens() && GetParam().step == Step::Finishing)
        return;
    EXPECT_FALSE(m_frozen->complete());
    auto const logs = m_cluster.node(1).process->log() + m_cluster.node(2).process->log() + m_cluster.node(3).process->log();
    auto const at = logs.find("request_id=" + m_reader->requestId() + " epoch=2 tokens=");
    ASSERT_NE(at, std::string::npos);
    auto const takenOver = std::stoul(logs.substr(logs.find("tokens=", at) + 7));
    EXPECT_LE(m_frozen->tokens().size(), std::max(takenOver, shownBefore));
}

void RequestFaultTest::complete()
{
    auto others = m_cluster.clientsExcept(hitsEntryHost() ? &server() : nullptr);
    if (GetParam().fault == Fault::ProcessFrozen && GetParam().step != Step::Received) {
        auto const shownBefore = m_reader->tokens().size();
        m_frozen = std::exchange(m_reader, std::make_unique<AnswerReader>(*m_reader));
        bool const waitsForDeath = GetParam().step != Step::Accepted;
        if (waitsForDeath) {
            EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), server().id) == "dead"; }));
        }
        m_reader->completeAt(others);
        EXPECT_TRUE(TestSupport::waitUntil([&] { return m_cluster.livenessOf(replica(), server().id) == "dead"; }));
        wakeUp(shownBefore);
        return;
    }
    if (m_reader->requestId().empty()) {
        // It was not accepted, so the client sends it again.
        auto next = others.begin();
        auto const accepted = [&] {
            m_reader = std::make_unique<AnswerReader>(*next, m_request);
            next = std::next(next) == others.end() ? others.begin() : std::next(next);
            return m_reader->connected();
        };
        ASSERT_TRUE(TestSupport::waitUntil(accepted)) << m_reader->error();
    }
    m_reader->readAll();
    m_reader->completeAt(others);
    if (GetParam().fault == Fault::EntryHostReclaimed) {
        EXPECT_EQ(server().process->waitForExit(), 0);
    }
}

}

// Guards against losing an accepted request (I1), and against an answer with tokens that are wrong, missing or repeated (I2),
// whatever breaks at whatever step.
TEST_P(RequestFaultTest, AnswerIsComplete)
{
    bringToStep();
    ASSERT_FALSE(HasFatalFailure());
    complete();
    ASSERT_FALSE(HasFatalFailure());
    Integration::Figures figures { .sent = 1, .faults = 1 };
    figures.lost = m_reader->complete() ? 0 : 1;
    auto const answer = Integration::isWholeAnswer(m_cluster, m_reader->requestId(), m_reader->tokens(), length);
    figures.wrong = answer ? 0 : 1;
    Integration::printFigures("I1,I2", figures);
    EXPECT_TRUE(m_reader->complete()) << m_reader->requestId() << ": " << m_reader->error();
    EXPECT_TRUE(answer);
}

static std::vector<Cell> testedCells()
{
    std::vector<Cell> cells;
    for (auto const fault : Integration::requestFaults()) {
        for (auto const step : Integration::requestSteps())
            cells.push_back({ fault, step });
    }
    return cells;
}

INSTANTIATE_TEST_SUITE_P(Cells, RequestFaultTest, testing::ValuesIn(testedCells()), cellName);
