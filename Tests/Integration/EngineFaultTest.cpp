#include <Integration/LoadClients.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ResponseReader;

namespace {

class EngineFaultTest : public testing::Test {
protected:
    /// Reads the response to its end, and checks and counts the outcome.
    void finish(ResponseReader& reader, std::size_t length)
    {
        reader.readAll();
        ++m_counts.sent;
        m_counts.lost += reader.complete() ? 0 : 1;
        auto const outputIsComplete = Integration::isCompleteOutput(m_cluster, reader.requestId(), reader.tokens(), length);
        m_counts.wrong += outputIsComplete ? 0 : 1;
        EXPECT_TRUE(reader.complete()) << reader.error();
        EXPECT_TRUE(outputIsComplete);
    }

    void TearDown() override
    {
        Integration::printCounts("I1,I2", m_counts);
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    Cluster m_cluster { { .dataCentres = 1, .enginesPerDataCentre = 4, .servicesPerDataCentre = 0 } };
    Integration::RequestCounts m_counts;
};

}

// Guards against treating a truncated engine response as complete, or as a crash that the request caused. Every engine truncates.
TEST_F(EngineFaultTest, TruncatedAnswersContinue)
{
    m_cluster.start();
    static constexpr std::size_t length = 60;
    for (unsigned const after : { 0U, 20U, 59U }) {
        m_cluster.setEngineFaults({ { "truncateAfterTokens", after }, { "attempts", 1 } });
        m_counts.faults += m_cluster.engines().size();
        for (int request = 0; request < 6; ++request) {
            ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("cut length=" + std::to_string(length), true));
            finish(reader, length);
        }
    }
}

// Guards against sending a client the tokens of another request or a token twice, and against quarantining a request because
// several engines sent events of other requests for it.
TEST_F(EngineFaultTest, DuplicatedAndCrossedEvents)
{
    m_cluster.start();
    static constexpr std::size_t length = 60;
    ResponseReader other(m_cluster.node(1).clientEndpoint, Integration::chatRequest("other length=200", true));
    for (std::string const fault : { "duplicateEvents", "crossAttempts" }) {
        m_cluster.setEngineFaults({ { fault, true }, { "attempts", 1 } });
        m_counts.faults += m_cluster.engines().size();
        for (int request = 0; request < 6; ++request) {
            ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("crossed length=" + std::to_string(length), true));
            finish(reader, length);
        }
    }
    finish(other, 200);
}

// Guards against recomputing prompt and output when an engine leaves after a reclaim notice. The attention state is transferred
// only if generation resumes from the token at which the state was exported.
TEST_F(EngineFaultTest, AttentionStateMovesWithTheRequest)
{
    m_cluster.start();
    static constexpr std::size_t length = 400;
    static constexpr std::size_t promptTokens = 1500;
    std::string prompt;
    for (std::size_t index = 0; index < promptTokens; ++index)
        prompt += "log" + std::to_string(index) + " ";
    // The tokens that the second attempt prefilled, after an announced and an unannounced loss of the engine.
    std::map<std::string, std::uint64_t> recomputed;
    for (std::string const loss : { "notice", "crash" }) {
        auto text = loss + " ";
        text.append(prompt).append("length=").append(std::to_string(length));
        ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest(text, true));
        reader.readTokens(100);
        auto const attempts = m_cluster.attemptsOf(reader.requestId());
        ASSERT_EQ(attempts.size(), 1u);
        auto const engine = attempts.front().engine;
        ++m_counts.faults;
        if (loss == "notice")
            (void)m_cluster.platform().reclaim({ { m_cluster.engines()[engine].id }, "", "", 3s });
        else
            m_cluster.setEngineFaults({ { "crash", true } }, engine);
        finish(reader, length);
        auto const all = m_cluster.attemptsOf(reader.requestId());
        ASSERT_EQ(all.size(), 2u);
        recomputed[loss] = all.back().prefilled;
    }
    std::printf("figures: recomputed_tokens with_state=%llu without_state=%llu\n", static_cast<unsigned long long>(recomputed["notice"]), static_cast<unsigned long long>(recomputed["crash"]));
    EXPECT_LE(recomputed["notice"], 32u);
    EXPECT_GE(recomputed["crash"], promptTokens);
}

// Guards against abandoning a request at a leaving engine while no other engine accepts work. The request has to finish there.
TEST_F(EngineFaultTest, LastEngineFinishesItsWork)
{
    m_cluster.start();
    static constexpr std::size_t length = 400;
    ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("last length=" + std::to_string(length), true));
    reader.readTokens(20);
    auto const own = m_cluster.attemptsOf(reader.requestId()).back().engine;
    for (std::size_t index = 0; index < m_cluster.engines().size(); ++index) {
        if (index != own)
            m_cluster.setEngineFaults({ { "leaving", true } }, index);
    }
    auto const othersLeave = [&] {
        std::size_t leaving = 0;
        auto const status = m_cluster.status(m_cluster.node(0));
        for (auto const& server : status.at("servers").as_array())
            leaving += server.at("leaving").as_bool() ? 1 : 0;
        return leaving + 1 == m_cluster.engines().size();
    };
    ASSERT_TRUE(TestSupport::waitUntil(othersLeave));
    m_cluster.setEngineFaults({ { "leaving", true } }, own);
    m_counts.faults += m_cluster.engines().size();
    finish(reader, length);
    EXPECT_EQ(m_cluster.attemptsOf(reader.requestId()).size(), 1u);
}
