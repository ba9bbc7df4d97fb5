#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

// A planned stop with a grace period of 3 s: new connections are accepted for 1.5 s, and what is still in progress after 2.5 s is cut off.
class PlannedStopTest : public EdgeServiceTest {
protected:
    static constexpr Core::Duration lateInTheStop = 1800ms;

    void SetUp() override
    {
        addServer([](auto const& request) {
            auto const id = attemptIdOf(request);
            if (id.starts_with("first"))
                return Reply { .bytes = streamHead(id) + chunk(event(1)), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = lateInTheStop };
            if (id.starts_with("short"))
                return Reply { httpResponse(id, "done") };
            // Longer than the rest of the grace period.
            return Reply { .bytes = streamHead(id) + chunk(event(1)), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = 1500ms };
        });
        start();
    }

    tcp::socket connect()
    {
        tcp::socket socket(m_loop.runtime().context());
        auto const& endpoint = m_service->settings().clientListen;
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        return socket;
    }

    // Returns what arrives until the given bytes have arrived or the connection ends.
    static Core::Awaitable<std::string> receiveUntil(tcp::socket& socket, std::string_view end)
    {
        std::string received;
        while (received.find(end) == std::string::npos) {
            std::array<char, 4096> buffer {};
            auto [error, length] = co_await socket.async_read_some(asio::buffer(buffer), useTuple);
            received.append(buffer.data(), length);
            if (error)
                co_return received + " (" + error.message() + ")";
        }
        co_return received;
    }

    static Core::Awaitable<bool> send(tcp::socket& socket, std::string bytes)
    {
        auto [error, length] = co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
        co_return !error;
    }

    // Begins a stream on a connection that the node promises to keep open, and a planned stop.
    Core::Awaitable<void> beginStreamAndStop(tcp::socket& kept)
    {
        (void)co_await send(kept, request("/stream/1", "first", "POST"));
        auto const head = co_await receiveUntil(kept, chunk(event(1)));
        EXPECT_EQ(head.find("Connection: close"), std::string::npos);
        m_service->drain();
    }

    // Returns the response to a request that is sent as soon as the first stream has ended.
    Core::Awaitable<std::string> responseAfterTheFirstStream(std::string bytes)
    {
        auto kept = connect();
        co_await beginStreamAndStop(kept);
        auto const rest = co_await receiveUntil(kept, "0\r\n\r\n");
        EXPECT_TRUE(rest.ends_with("0\r\n\r\n")) << rest;
        (void)co_await send(kept, std::move(bytes));
        co_return co_await receiveUntil(kept, "\r\n\r\n");
    }

    struct LateResponses {
        std::string slowBody;
        std::string newConnection;
    };

    // Returns the responses to a request whose body was slow, and to one on a connection that was opened shortly before the end of the intake.
    Core::Awaitable<LateResponses> responsesOnOtherConnections()
    {
        auto kept = connect();
        auto slow = connect();
        (void)co_await send(slow, request("/stream/2", "slow", "POST", "Content-Length: 4\r\n") + "bo");
        co_await beginStreamAndStop(kept);
        auto const stopAt = m_loop.runtime().now();
        co_await m_loop.runtime().sleepUntil(stopAt + 1400ms);
        auto late = connect();
        co_await m_loop.runtime().sleepUntil(stopAt + 1700ms);
        (void)co_await send(slow, "dy");
        (void)co_await send(late, request("/stream/3", "late", "POST"));
        LateResponses responses;
        responses.slowBody = co_await receiveUntil(slow, "\r\n\r\n");
        responses.newConnection = co_await receiveUntil(late, "\r\n\r\n");
        (void)co_await receiveUntil(kept, "0\r\n\r\n");
        co_return responses;
    }

    void expectRefusedWithoutBeingSent(std::string const& response, std::string const& id)
    {
        EXPECT_EQ(statusOf(response), "503") << response;
        EXPECT_NE(response.find("Retry-After: 0.05\r\n"), std::string::npos) << response;
        EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
        EXPECT_TRUE(std::none_of(m_servers[0]->requests.begin(), m_servers[0]->requests.end(), [&](auto const& request) { return attemptIdOf(request) == id; }));
    }
};

// Guards against a stream that is cut off because its request came late in a planned stop, on a kept connection (LOST).
TEST_F(PlannedStopTest, StreamThatMayOutlastTheNodeIsNotBegunOnAKeptConnection)
{
    expectRefusedWithoutBeingSent(m_loop.run(responseAfterTheFirstStream(request("/stream/2", "second", "POST"))), "second");
}

// Guards against a request that must run at most once and is cut off with no answer at the end of a planned stop (LOST).
TEST_F(PlannedStopTest, NonIdempotentRequestThatMayOutlastTheNodeIsNotSent)
{
    expectRefusedWithoutBeingSent(m_loop.run(responseAfterTheFirstStream(request("/unsafe/2", "second", "POST", "Content-Length: 0\r\n"))), "second");
}

// Guards against refusals of late requests that the node still has time for.
TEST_F(PlannedStopTest, LateRequestThatEndsBeforeTheNodeIsServed)
{
    auto const response = m_loop.run(responseAfterTheFirstStream("POST /unsafe/3 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Hyssopstep-Deadline-Ms: 300\r\nX-Hyssopstep-Attempt-Id: short\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_EQ(statusOf(response), "200") << response;
}

// Guards against the same cut of a request whose connection is new, and of one whose body arrives late (LOST).
TEST_F(PlannedStopTest, RequestsThatArriveLateOnOtherConnectionsAreNotBegun)
{
    auto const responses = m_loop.run(responsesOnOtherConnections());
    expectRefusedWithoutBeingSent(responses.slowBody, "slow");
    expectRefusedWithoutBeingSent(responses.newConnection, "late");
}

// Guards against a process that ends while a response is still being written, to a client that does not read: what the response uses would
// be destroyed before it.
TEST_F(PlannedStopTest, ResponseToAClientThatDoesNotReadEndsWithTheGracePeriod)
{
    // More than the buffers of both sockets hold.
    static constexpr int events = 200'000;
    addServer([](auto const& request) {
        std::string body;
        for (int id = 1; id <= events; ++id)
            body += "id: " + std::to_string(id) + "\ndata: 0123456789012345678901234567890123456789\n\n";
        return Reply { streamHead(attemptIdOf(request)) + chunk(body) };
    });
    waitFor([&] { return isLive("s2"); });
    putServerState("s1", "draining");
    waitFor([&] { return !isLive("s1"); });
    auto client = connect();
    ASSERT_TRUE(m_loop.run(send(client, request("/stream/1", "unread", "POST"))));
    auto const isInProgress = [&] { return Routing::findServer(std::as_const(m_service->tables().servers), "s2")->outstanding > 0; };
    waitFor(isInProgress);
    auto const stopAt = m_loop.runtime().now();
    m_service->drain();
    waitFor([&] { return !isInProgress(); });
    EXPECT_LT(m_loop.runtime().now() - stopAt, m_service->settings().gracePeriod);
}
