#include <Integration/Cluster.h>
#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ResponseReader;
using TestSupport::blockingCall;

namespace {

class ServingTest : public testing::Test {
protected:
    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    std::vector<Core::Endpoint> otherClientEndpoints(std::size_t index)
    {
        std::vector<Core::Endpoint> endpoints;
        for (auto const& node : m_cluster.nodes()) {
            if (node.get() != &m_cluster.node(index))
                endpoints.push_back(node->clientEndpoint);
        }
        return endpoints;
    }

    Cluster m_cluster;
    Core::Error m_error;
};

}

// Guards against failures on the path from client to back end and back, without injected faults.
TEST_F(ServingTest, RequestsReachBackEndsAndReturn)
{
    m_cluster.start();
    ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("hello length=40", true));
    reader.readAll();
    EXPECT_TRUE(reader.complete()) << reader.error();
    EXPECT_EQ(reader.tokens().size(), 40u);

    auto const whole = blockingCall(m_cluster.node(1).clientEndpoint, Integration::chatRequest("hello length=12", false), m_error);
    ASSERT_TRUE(whole) << m_error.message;
    EXPECT_EQ(whole->status, 200u) << whole->body;
    EXPECT_NE(whole->body.find("\"completion_tokens\":12"), std::string::npos) << whole->body;

    auto const key = Integration::newKey();
    auto const first = blockingCall(m_cluster.node(2).clientEndpoint, Integration::refundRequest(key), m_error);
    ASSERT_TRUE(first) << m_error.message;
    EXPECT_EQ(first->status, 200u) << first->body;
    auto const repeated = blockingCall(m_cluster.node(0).clientEndpoint, Integration::refundRequest(key), m_error);
    ASSERT_TRUE(repeated) << m_error.message;
    EXPECT_EQ(repeated->body, first->body);
    EXPECT_EQ(repeated->headers.find("Hyssopstep-Replayed"), "true");
    auto const other = blockingCall(m_cluster.node(0).clientEndpoint, Integration::refundRequest(key, "{\"order\":2}"), m_error);
    ASSERT_TRUE(other) << m_error.message;
    EXPECT_EQ(other->status, 422u) << other->body;
    EXPECT_EQ(m_cluster.executionsOf(key), 1u);
}

// Guards against losing an accepted request with the node that served it (I1), and against resuming with the output of another
// attempt, or with repeated or missing tokens (I2).
TEST_F(ServingTest, AnswerContinuesAfterTheNodeIsKilled)
{
    m_cluster.start();
    ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("report length=300", true));
    reader.readTokens(50);
    ASSERT_GE(reader.tokens().size(), 50u) << reader.error();
    m_cluster.node(0).process->sendSignal(SIGKILL);
    reader.readAll();
    reader.completeAt(otherClientEndpoints(0));
    EXPECT_TRUE(reader.complete()) << reader.error();
    EXPECT_EQ(reader.tokens().size(), 300u);
}

// Guards against a graceful stop that cuts off a request in flight (I6).
TEST_F(ServingTest, GracefulStopFinishesRequests)
{
    m_cluster.start();
    ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("report length=200", true));
    reader.readTokens(20);
    ASSERT_GE(reader.tokens().size(), 20u) << reader.error();
    m_cluster.node(0).process->sendSignal(SIGTERM);
    reader.readAll();
    EXPECT_TRUE(reader.complete()) << reader.error();
    EXPECT_EQ(reader.tokens().size(), 200u);
    EXPECT_EQ(m_cluster.node(0).process->waitForExit(), 0);
}
