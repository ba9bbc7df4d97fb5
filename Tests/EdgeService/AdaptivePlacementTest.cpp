#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

namespace {

// A service of engines whose only streaming route has the given objective, and two servers that state their load.
class AdaptivePlacementTest : public EdgeServiceTest {
protected:
    void startWithObjective(std::string const& milliseconds)
    {
        for (int i = 0; i < 2; ++i) {
            addServer([](auto const& request) {
                auto head = streamHead(attemptIdOf(request));
                head.insert(head.find("Transfer-Encoding"), "X-Hyssopstep-Server-Load: 1,0,64,250\r\n");
                return Reply { head + chunk(event(1)) + "0\r\n\r\n" };
            });
        }
        start();
        m_store.put("config", "main", R"({"version":2,"routes":[{"name":"stream","host":"h.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":6000,"target-latency-ms":)" + milliseconds + R"(,"service":"app","max-attempts":2}],"services":[{"name":"app","engine":{"slots":64,"kv-cache-tokens":500000}}],"tenants":[{"name":"team","api-keys":["k1"]}]})");
        waitFor([&] { return m_service->tables().routes->version == 2; });
        // The services are updated on the next tick.
        waitFor([&, end = m_loop.runtime().now() + 300ms] { return m_loop.runtime().now() >= end; });
    }

    std::string sendLongPrompt(std::string const& id)
    {
        return statusOf(exchange(request("/stream/" + id, id, "GET", "Connection: close\r\nX-Hyssopstep-Token-Usage: 17020,30\r\nX-Hyssopstep-Prompt-Prefix: base:3300,doc:10000,own" + id + ":3720\r\n")));
    }

    std::string operate(std::string const& target)
    {
        return exchangeWith(m_service->settings().metricsListen, "GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
};

}

// Guards against measurements that do not reach the placement: the speed, the slowness that servers state, and the prefixes they hold.
TEST_F(AdaptivePlacementTest, FirstEventsTeachSpeedSlownessAndPrefixes)
{
    startWithObjective("1000");
    for (auto const* id : { "1", "2", "3", "4" })
        EXPECT_EQ(sendLongPrompt(id), "200");
    auto const& tables = m_service->tables();
    EXPECT_TRUE(Routing::isSpeedKnown(tables.engineSpeeds, "app"));
    ASSERT_FALSE(tables.engineSpeeds.servers.empty());
    EXPECT_GT(tables.engineSpeeds.servers.begin()->second.stated, 1.5);
    // Both depths of the prompt.
    EXPECT_EQ(tables.adaptiveServices.at("app").residency.servers.begin()->second.lastUse.size(), 2u);
    auto const metrics = operate("/metrics");
    EXPECT_NE(metrics.find("hyssopstep_prefix_tokens_total{service=\"app\",result=\"held\"}"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("hyssopstep_engine_tokens_per_second{service=\"app\"}"), std::string::npos) << metrics;
}

// Guards against an explanation that differs from the placement, or that changes it.
TEST_F(AdaptivePlacementTest, ExplanationNamesTheServerThatGetsTheRequest)
{
    startWithObjective("1000");
    for (auto const* id : { "1", "2", "3", "4" })
        EXPECT_EQ(sendLongPrompt(id), "200");
    auto const& residency = m_service->tables().adaptiveServices.at("app").residency;
    auto const before = residency;
    auto const explanation = operate("/placement?host=h.example&path=/stream/5&prompt=base:3300,doc:10000,own5:3720");
    EXPECT_EQ(statusOf(explanation), "200");
    EXPECT_EQ(residency, before);
    auto const home = residency.servers.begin()->first;
    EXPECT_NE(explanation.find("\"is_adaptive\":true"), std::string::npos) << explanation;
    EXPECT_NE(explanation.find("\"servers\":[{\"server\":\"" + home + "\""), std::string::npos) << explanation;
    EXPECT_NE(explanation.find("\"held_tokens\":13300"), std::string::npos) << explanation;
    EXPECT_EQ(statusOf(operate("/placement?host=other&path=/")), "404");
    EXPECT_EQ(statusOf(operate("/placement?host=h.example&path=/stream/5&prompt=base")), "400");
}

// Guards against a change of deployments whose objectives are too short to wait for a better server.
TEST_F(AdaptivePlacementTest, ShortObjectivesArePlacedAsBefore)
{
    startWithObjective("700");
    EXPECT_EQ(sendLongPrompt("1"), "200");
    EXPECT_TRUE(m_service->tables().adaptiveServices.empty());
    EXPECT_TRUE(m_service->tables().engineSpeeds.services.empty());
}
