#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

// Two servers whose streams begin after 900 ms and last for some seconds. That is late for the less urgent route and in time for the urgent one.
class AdmissionControlTest : public EdgeServiceTest {
protected:
    void startOverloaded(Edge::FeatureMode mode)
    {
        m_admissionControl = mode;
        for (int i = 0; i < 2; ++i) {
            addServer([](auto const& request) {
                auto const id = attemptIdOf(request);
                return Reply { .bytes = streamHead(id) + chunk(event(1)), .delay = 900ms, .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = 5s };
            });
        }
        start();
        putRoutes();
        for (int i = 0; i < 16; ++i)
            m_loop.runtime().spawn(sendInBackground(i % 2 ? "/urgent/" : "/other/", "first" + std::to_string(i), 6s));
        waitFor([&] {
            auto const found = m_service->tables().admission.find("app");
            return found == m_service->tables().admission.end() ? countRequests() == 16 && m_loop.runtime().now() > m_startedAt + 2s : found->second.samples == 16;
        });
    }

    void putRoutes()
    {
        m_store.put("config", "main", R"({"version":2,"routes":[
{"name":"urgent","host":"h.example","path-prefix":"/urgent/","kind":"streaming","timeout-ms":9000,"target-latency-ms":5000,"priority":0,"service":"app"},
{"name":"other","host":"h.example","path-prefix":"/other/","kind":"streaming","timeout-ms":9000,"target-latency-ms":500,"priority":2,"service":"app"}],
"services":[{"name":"app"}],"tenants":[{"name":"team","api-keys":["k1"]}]})");
        waitFor([&] { return m_service->tables().routes->version == 2; });
    }

    // The handlers of requests in progress must not outlive the service.
    void TearDown() override
    {
        waitFor([&] { return m_inBackground == 0 && std::all_of(m_service->tables().servers.rows.begin(), m_service->tables().servers.rows.end(), [](auto const& row) { return row.outstanding == 0; }); });
    }

    Core::Awaitable<void> sendInBackground(std::string path, std::string id, Core::Duration idleTimeout = 1500ms)
    {
        ++m_inBackground;
        (void)co_await exchangeTask(request(path + id, id), idleTimeout);
        --m_inBackground;
    }

    // Sends several, since a less urgent request is refused with some probability only.
    std::vector<std::string> send(std::string const& path, int count)
    {
        std::vector<std::string> responses(static_cast<std::size_t>(count));
        int received = 0;
        for (int i = 0; i < count; ++i)
            m_loop.runtime().spawn(receive(path, path.substr(1, 1) + std::to_string(i), responses[static_cast<std::size_t>(i)], received));
        waitFor([&] { return received == count; });
        return responses;
    }

    Core::Awaitable<void> receive(std::string path, std::string id, std::string& response, int& received)
    {
        response = co_await exchangeTask(request(path + id, id), 2500ms);
        ++received;
    }

    std::size_t countRequests() const { return m_servers[0]->requests.size() + m_servers[1]->requests.size(); }

    bool hasReachedAServer(std::string const& id) const
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](auto const& server) {
            return std::any_of(server->requests.begin(), server->requests.end(), [&](auto const& received) { return attemptIdOf(received) == id; });
        });
    }

    int m_inBackground { 0 };
    Core::MonotonicTime m_startedAt { m_loop.runtime().now() };
};

// Guards against less urgent requests that delay urgent ones, refusals without Retry-After, and refused requests that have been sent to a server.
TEST_F(AdmissionControlTest, UrgentRequestsAreServedAndOthersAreRefusedBeforeTheyReachAServer)
{
    startOverloaded(Edge::FeatureMode::On);
    auto const others = send("/other/", 16);
    int refused = 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
        if (statusOf(others[i]) == "200")
            continue;
        ++refused;
        EXPECT_EQ(statusOf(others[i]), "503") << others[i];
        EXPECT_NE(others[i].find(R"("run_state":"not_run")"), std::string::npos) << others[i];
        EXPECT_NE(others[i].find("Retry-After: "), std::string::npos) << others[i];
        EXPECT_FALSE(hasReachedAServer("o" + std::to_string(i)));
    }
    EXPECT_GT(refused, 0);
    for (auto const& response : send("/urgent/", 4))
        EXPECT_EQ(statusOf(response), "200") << response;
}

// Guards against a change for deployments that do not use admission control.
TEST_F(AdmissionControlTest, WithoutAdmissionControlAllRequestsAreSent)
{
    startOverloaded(Edge::FeatureMode::Off);
    for (auto const& response : send("/other/", 16))
        EXPECT_EQ(statusOf(response), "200") << response;
    EXPECT_EQ(countRequests(), 32u);
    EXPECT_TRUE(m_service->tables().admission.empty());
}

// Guards against requests that wait although a server has room again, and requests that are sent after their client has left.
TEST_F(AdmissionControlTest, RequestWaitsForRoomAndLeavesWithItsClient)
{
    m_admissionControl = Edge::FeatureMode::On;
    addServer([](auto const& request) {
        bool const isHeld = request.find("/hold") != std::string::npos;
        return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .trailingBytes = "0\r\n\r\n", .trailingDelay = isHeld ? 400ms : 1ms };
    });
    start();
    putRoutes();
    // The node learns the delays first.
    EXPECT_EQ(send("/urgent/", 10).size(), 10u);
    // As many as the server has slots.
    for (int i = 0; i < 6; ++i)
        m_loop.runtime().spawn(sendInBackground("/urgent/hold", std::to_string(i)));
    waitFor([&] { return m_servers[0]->requests.size() == 16; });
    auto const sentAt = m_loop.runtime().now();
    m_loop.runtime().spawn(sendInBackground("/urgent/", "gone", 100ms));
    m_loop.runtime().spawn(sendInBackground("/urgent/", "next"));
    auto const& queues = m_service->tables().waiting;
    waitFor([&] { return queues.contains("app") && queues.at("app").requests.size() == 2; });
    waitFor([&] { return queues.at("app").requests.size() == 1; });
    waitFor([&] { return hasReachedAServer("next"); });
    // At the latest it would have been sent after an eighth of the objective.
    EXPECT_LT(m_loop.runtime().now() - sentAt, 600ms);
    EXPECT_TRUE(queues.at("app").requests.empty());
    EXPECT_FALSE(hasReachedAServer("gone"));
}
