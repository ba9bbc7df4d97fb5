#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

// Server s2 turns requests away with 503 and a Retry-After header. Server s1, if there is one, serves them. With equal load, requests go to s2,
// whose id has the greater hash.
class ServerPauseTest : public EdgeServiceTest {
protected:
    static constexpr std::uint64_t born = 1000;
    // Of each pause. The platform counts requests that arrive later than half a second after the response that asked for it.
    static constexpr Core::Duration pause = 1500ms;

    static RawServer::Script turnAway(std::string const& retryAfter = "1.5", std::string const& status = "503 Service Unavailable")
    {
        return [=](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "busy", "X-Hyssopstep-Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\n", status) }; };
    }

    static Reply serve(std::string const& request) { return { httpResponse(attemptIdOf(request), "body") }; }

    void startWithTwoServers(RawServer::Script script)
    {
        addServer(serve);
        addServer(std::move(script));
        putServerState("s2", "ready", born);
        start();
    }

    std::string send(std::string const& path)
    {
        return exchange(request(path, "id" + std::to_string(++m_requests), "POST", "Connection: close\r\nContent-Length: 0\r\n"));
    }

    // Sends requests until the time, and returns how many the last server received meanwhile.
    std::size_t countRequestsUntil(Core::MonotonicTime end)
    {
        auto const before = m_servers.back()->requests.size();
        while (m_loop.runtime().now() < end)
            (void)send("/unsafe/1");
        return m_servers.back()->requests.size() - before;
    }

    int m_requests { 0 };
};

// Guards against requests for a server during the time for which it asked this node, by 503 with Retry-After, to send none (BUDGET).
TEST_F(ServerPauseTest, ServerThatTurnedARequestAwayGetsNoneForTheTimeThatItAskedFor)
{
    startWithTwoServers(turnAway());
    EXPECT_EQ(statusOf(send("/unsafe/1")), "200");
    ASSERT_EQ(m_servers[1]->requests.size(), 1u);
    auto const end = m_loop.runtime().now() + pause;
    EXPECT_EQ(countRequestsUntil(end - 100ms), 0u);
    EXPECT_GT(countRequestsUntil(end + 300ms), 0u);
}

// Guards against the same if no other server can take the requests, which are then refused at once and may come back when the pause ends (BUDGET).
TEST_F(ServerPauseTest, RequestsAreRefusedAtOnceWhileAllServersOfTheServiceArePaused)
{
    addServer(turnAway("0.8"));
    start();
    EXPECT_EQ(statusOf(send("/safe/1")), "503");
    auto const sentAt = m_loop.runtime().now();
    auto const response = send("/safe/1");
    EXPECT_LT(m_loop.runtime().now() - sentAt, 300ms);
    EXPECT_EQ(statusOf(response), "503") << response;
    auto const header = std::string("Retry-After: ");
    auto const at = response.find(header);
    ASSERT_NE(at, std::string::npos) << response;
    auto const retryAfter = std::stod(response.substr(at + header.size()));
    EXPECT_GT(retryAfter, 0.4);
    EXPECT_LE(retryAfter, 0.8);
    EXPECT_EQ(m_servers[0]->requests.size(), 1u);
}

// Guards against a pause that outlasts the process that asked for it.
TEST_F(ServerPauseTest, RestartedServerIsUsedAtOnce)
{
    startWithTwoServers(turnAway("60"));
    (void)send("/safe/1");
    putServerState("s2", "ready", born + 1);
    waitFor([&] {
        auto const* row = Routing::findServer(std::as_const(m_service->tables().servers), "s2");
        return row && row->incarnation == born + 1;
    });
    EXPECT_EQ(countRequestsUntil(m_loop.runtime().now() + 50ms), 1u);
}

// Guards against a pause that is forgotten while the server's entry is missing for a moment, as when the store is away (BUDGET).
TEST_F(ServerPauseTest, PauseOutlastsTheEntryOfTheServer)
{
    startWithTwoServers(turnAway());
    (void)send("/safe/1");
    auto const end = m_loop.runtime().now() + pause;
    m_store.erase("servers", "s2");
    waitFor([&] { return !isLive("s2"); });
    putServerState("s2", "ready", born);
    waitFor([&] { return isLive("s2"); });
    EXPECT_EQ(countRequestsUntil(end - 100ms), 0u);
}

// Guards against a stalled stream that is never continued because the other servers were paused when it was first offered to them.
TEST_F(ServerPauseTest, StalledStreamContinuesAfterThePauseOfTheOtherServer)
{
    addServer([](auto const& request) {
        auto const id = attemptIdOf(request);
        if (request.find(" /resume/") == std::string::npos)
            return Reply { httpResponse(id, "busy", "X-Hyssopstep-Not-Executed: 1\r\nRetry-After: 1.8\r\n", "503 Service Unavailable") };
        return Reply { streamHead(id) + chunk(event(2)) + "0\r\n\r\n" };
    });
    addServer([](auto const& request) {
        auto const id = attemptIdOf(request);
        if (request.find(" /resume/") == std::string::npos)
            return Reply { httpResponse(id, "full", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable") };
        return Reply { .bytes = streamHead(id) + chunk(event(1)), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = 4500ms };
    });
    start();
    EXPECT_EQ(statusOf(send("/unsafe/1")), "503");
    ASSERT_EQ(m_servers[0]->requests.size(), 1u);
    auto const response = exchange(request("/resume/1", "stream", "POST", "Connection: close\r\n"), 5s);
    EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << response;
    EXPECT_EQ(m_servers[0]->requests.size(), 2u);
}

// Guards against values that take a server out of use by mistake, or for ever.
TEST_F(ServerPauseTest, OtherResponsesAndOddValuesCauseNoPause)
{
    for (auto const* value : { "", "0", "-1", "soon", "inf", "nan", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT" })
        EXPECT_EQ(m_requestCodec.decodeResponse(503, { { "Retry-After", value } }).pause.value_or(0ms), 0ms) << value;
    for (unsigned status : { 200u, 421u, 429u, 500u })
        EXPECT_FALSE(m_requestCodec.decodeResponse(status, { { "Retry-After", "3" } }).pause) << status;
    EXPECT_EQ(m_requestCodec.decodeResponse(503, { { "Retry-After", " 0.0304 " } }).pause, 31ms);
    EXPECT_EQ(m_requestCodec.decodeResponse(503, { { "Retry-After", "3" } }).pause, 3s);
    EXPECT_EQ(m_requestCodec.decodeResponse(503, { { "Retry-After", std::string(400, '9') } }).pause, 24h);
    EXPECT_EQ(m_requestCodec.decodeResponse(503, { { "Retry-After", "0." + std::string(400, '0') + "1" } }).pause, 1ms);
}
