#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

// Two servers that refuse each request, so that each one could be sent a second time.
class RetryBudgetOfANodeTest : public EdgeServiceTest {
protected:
    void startNode(bool isFirstStart)
    {
        m_retrySlack = 20;
        m_isFirstStart = isFirstStart;
        for (int i = 0; i < 2; ++i)
            addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "full", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable") }; });
        start();
    }

    // Returns how many of the requests reached a server more often than once.
    std::size_t countRetries(int requests)
    {
        auto const before = m_servers[0]->requests.size() + m_servers[1]->requests.size();
        for (int i = 0; i < requests; ++i)
            (void)exchange(request("/unsafe/1", "id" + std::to_string(++m_requests), "POST", "Connection: close\r\nContent-Length: 0\r\n"));
        return m_servers[0]->requests.size() + m_servers[1]->requests.size() - before - static_cast<std::size_t>(requests);
    }

    int m_requests { 0 };
};

// Guards against a reload of the settings that makes what was spent of the retry budget available again (BUDGET).
TEST_F(RetryBudgetOfANodeTest, ReloadDoesNotRefillTheRetryBudget)
{
    startNode(true);
    auto const startedAt = m_loop.runtime().now();
    std::size_t retries = countRetries(30);
    for (int i = 0; i < 20; ++i) {
        m_service->reload(m_service->settings());
        retries += countRetries(10);
    }
    ASSERT_LT(m_loop.runtime().now() - startedAt, m_service->settings().retryWindow);
    EXPECT_GT(retries, 0u);
    EXPECT_LE(static_cast<double>(retries), m_retrySlack + m_service->settings().retryRatio * m_requests);
}

// Guards against a node that spends its share again in each process, when it is stopped or killed in series (BUDGET).
TEST_F(RetryBudgetOfANodeTest, NodeThatStartsAgainDoesNotHaveAFullRetryBudget)
{
    startNode(false);
    EXPECT_EQ(countRetries(1), 0u);
}

TEST_F(RetryBudgetOfANodeTest, NodeThatStartsForTheFirstTimeMayRetryAtOnce)
{
    startNode(true);
    EXPECT_EQ(countRetries(1), 1u);
}
