#include <Integration/LoadClients.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ResponseReader;

namespace {

class EngineFaultTest : public testing::Test {
protected:
    /// Reads the answer to the end and counts what is wrong with it.
    void finish(ResponseReader& reader, std::size_t length)
    {
        reader.readAll();
        ++m_counts.sent;
        m_counts.lost += reader.complete() ? 0 : 1;
        auto const answer = Integration::isCompleteOutput(m_cluster, reader.requestId(), reader.tokens(), length);
        m_counts.wrong += answer ? 0 : 1;
        EXPECT_TRUE(reader.complete()) << reader.error();
        EXPECT_TRUE(answer);
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

// Guards against a truncated answer that is taken for a complete one or for a crash caused by the request, on every engine.
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

// Guards against showing the tokens of another request or a token twice, and against quarantining a request because several
// engines sent it events of others.
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

// Guards against computing prompt and answer again when an engine leaves by notice. The state travels only if the rest is
// continued from the token where it was exported.
TEST_F(EngineFaultTest, AttentionStateMovesWithTheRequest)
{
    m_cluster.start();
    static constexpr std::size_t length = 400;
    static constexpr std::size_t promptTokens = 1500;
    std::string prompt;
    for (std::size_t index = 0; index < promptTokens; ++index)
        prompt += "log" + std::to_string(index) + " ";
    // The tokens prefilled by the attempt that continued, after an announced and an unannounced loss of the engine.
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

// Guards against giving an answer up at an engine that leaves while no other engine takes work: it finishes where it runs.
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
