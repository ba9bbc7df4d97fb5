#include <EdgeService/EdgeServiceFixture.h>

namespace EdgeServiceTests {

namespace {

class UnwantedBodyTest : public EdgeServiceTest {
protected:
    static std::string post(std::string const& path, std::string const& id, std::size_t length)
    {
        return request(path, id, "POST", "Content-Length: " + std::to_string(length) + "\r\n") + std::string(length, 'x');
    }

    // Sends bytes and keeps the connection.
    Core::Awaitable<bool> sendTask(tcp::socket& socket, std::string bytes)
    {
        (void)co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), m_service->settings().clientListen.port }, useTuple);
        auto [error, length] = co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
        co_return !error;
    }
};

}

// Guards against refusals that change because the body is not kept: two requests on one connection get the same two responses.
TEST_F(UnwantedBodyTest, RefusalsOfOrdinaryRequestsKeepTheConnection)
{
    start();
    auto const noRoute = post("/nowhere", "id1", 20'000);
    auto const noKey = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x');
    auto const received = exchange(noRoute + noKey + noRoute);
    auto const second = received.find("HTTP/1.1", 1);
    auto const third = received.find("HTTP/1.1", second + 1);
    ASSERT_NE(third, std::string::npos) << received;
    EXPECT_EQ(statusOf(received), "404");
    EXPECT_EQ(statusOf(received.substr(second)), "401");
    EXPECT_EQ(received.substr(0, second), received.substr(third));
    EXPECT_EQ(received.find("Connection: close"), std::string::npos);
}

// Guards against a long body without a route that is awaited: the refusal comes before it.
TEST_F(UnwantedBodyTest, LongBodyWithoutARouteIsNotAwaited)
{
    start();
    auto const received = exchange(request("/nowhere", "id1", "POST", "Content-Length: 1000000\r\n"));
    EXPECT_EQ(statusOf(received), "404");
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against a request that reaches a server although its body was refused, and against one that is refused in calm.
TEST_F(UnwantedBodyTest, RequestWhoseBodyIsRefusedReachesNoServer)
{
    // The first request stays in progress until its client leaves.
    auto& server = addServer([](std::string const& received) { return Reply { .bytes = httpResponse(attemptIdOf(received), "done"), .delay = attemptIdOf(received) == "first" ? 20s : 0s }; });
    start();
    // The smallest host: 6 MB for large bodies.
    auto settings = m_service->settings();
    settings.memoryMegabytes = 16;
    m_service->reload(settings);
    static constexpr std::size_t length = 4'000'000;
    auto const whole = post("/unsafe/x", "id1", length);
    {
        tcp::socket first(m_loop.runtime().context());
        EXPECT_TRUE(m_loop.run(sendTask(first, post("/unsafe/x", "first", length))));
        waitFor([&] { return server.requests.size() == 1; });
        auto const refused = exchange(whole);
        EXPECT_EQ(statusOf(refused), "503");
        EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
        EXPECT_NE(refused.find("Connection: close"), std::string::npos);
        EXPECT_NE(refused.find("\"not_run\""), std::string::npos);
        EXPECT_EQ(server.requests.size(), 1u);
    }
    waitFor([&] { return server.abortedConnections == 1; });
    EXPECT_EQ(statusOf(exchange(whole)), "200");
    ASSERT_EQ(server.requests.size(), 2u);
    EXPECT_EQ(server.requests.back().size() - server.requests.back().find("\r\n\r\n") - 4, length);
}

}
