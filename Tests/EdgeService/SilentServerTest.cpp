#include <EdgeService/EdgeServiceFixture.h>
#include <boost/asio/read_until.hpp>

using namespace EdgeServiceTests;

// A sound server may send nothing for a second or so within a stream and go on. The node asks another server to continue the stream
// in the meantime, which may fail.
class SilentServerTest : public EdgeServiceTest {
protected:
    static bool isContinuation(std::string const& request) { return request.find("Last-Event-Id: 1\r\n") != std::string::npos; }

    // The silence begins within the second event.
    static Reply silentStream(std::string const& request, Core::Duration silence = 1400ms)
    {
        return { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1) + "id: 2\nda"), .trailingBytes = chunk("ta: e2\n\n" + event(3)) + "0\r\n\r\n", .trailingDelay = silence };
    }

    void addServers(std::size_t count, RawServer::Script const& continuation = {})
    {
        for (std::size_t i = 0; i < count; ++i)
            addServer([continuation](auto const& request) { return isContinuation(request) ? continuation(request) : silentStream(request); });
    }

    std::size_t continuations() const
    {
        std::size_t count = 0;
        for (auto const& server : m_servers)
            count += static_cast<std::size_t>(std::count_if(server->requests.begin(), server->requests.end(), isContinuation));
        return count;
    }

    Core::Awaitable<void> receive(std::string bytes)
    {
        auto response = co_await exchangeTask(std::move(bytes), 2500ms);
        m_responses.push_back(std::move(response));
    }

    static void expectWholeStream(std::string const& response)
    {
        EXPECT_TRUE(response.ends_with(chunk(event(1)) + chunk(event(2) + event(3)) + "0\r\n\r\n")) << response;
    }

    std::vector<std::string> m_responses;
};

// Guards against a stream that is broken off because a silent server is the only one (LOST).
TEST_F(SilentServerTest, StreamOfTheOnlyServerIsNotBrokenOff)
{
    addServers(1);
    start();
    expectWholeStream(exchange(request("/resume/1", "s", "POST"), 2s));
}

// Guards against a stream that is broken off because another server rejects its continuation (LOST).
TEST_F(SilentServerTest, StreamIsNotBrokenOffIfItsContinuationIsRejected)
{
    addServers(2, [](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "full", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable") }; });
    start();
    expectWholeStream(exchange(request("/resume/1", "s", "POST"), 2s));
    EXPECT_EQ(continuations(), 1u);
}

// Guards against a stream that is broken off because another server fails to continue it, by an error or a broken connection (LOST).
TEST_F(SilentServerTest, StreamIsNotBrokenOffIfItsContinuationFails)
{
    addServers(2, [](auto const& request) {
        if (request.find("/resume/error") != std::string::npos)
            return Reply { httpResponse(attemptIdOf(request), "failed", {}, "500 Internal Server Error") };
        return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk("id: 2\n"), .ending = Reply::Ending::Reset };
    });
    start();
    expectWholeStream(exchange(request("/resume/error", "s1", "POST"), 2s));
    expectWholeStream(exchange(request("/resume/reset", "s2", "POST"), 2s));
    EXPECT_EQ(continuations(), 2u);
}

// Guards against streams that are broken off because all streams of a silent server stall at once, but the retry budget is only enough to
// continue some of them (LOST).
TEST_F(SilentServerTest, StreamsThatStallAtOnceAreNotBrokenOffWithoutRetryBudget)
{
    m_retrySlack = 0;
    addServers(2, [](auto const& request) { return Reply { streamHead(attemptIdOf(request)) + chunk(event(2) + event(3)) + "0\r\n\r\n" }; });
    start();
    for (int i = 0; i < 4; ++i)
        m_loop.runtime().spawn(receive(request("/resume/1", "s" + std::to_string(i), "POST")));
    waitFor([&] { return m_responses.size() == 4; });
    for (auto const& response : m_responses)
        expectWholeStream(response);
    EXPECT_EQ(continuations(), 1u);
}

// Guards against streams that are broken off because the other server is silent as well, and rejects their continuation once it goes on (LOST).
TEST_F(SilentServerTest, StreamIsNotBrokenOffIfItsContinuationIsRejectedLate)
{
    addServers(2, [](auto const& request) { return Reply { .bytes = httpResponse(attemptIdOf(request), "full", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable"), .delay = 500ms }; });
    start();
    for (int i = 0; i < 4; ++i)
        m_loop.runtime().spawn(receive(request("/resume/1", "s" + std::to_string(i), "POST")));
    waitFor([&] { return m_responses.size() == 4; });
    for (auto const& response : m_responses)
        expectWholeStream(response);
}

// Guards against a stream that stays with a hung server because the one that continues it is slow to begin.
TEST_F(SilentServerTest, StreamOfAHungServerContinuesAtASlowOne)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (isContinuation(request))
                return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(2) + event(3)) + "0\r\n\r\n", .delay = 800ms };
            return silentStream(request, 5s);
        });
    }
    start();
    expectWholeStream(exchange(request("/resume/1", "s", "POST"), 2500ms));
    EXPECT_EQ(continuations(), 1u);
    waitFor([&] { return m_servers[0]->abortedConnections + m_servers[1]->abortedConnections == 1; });
}

// Guards against two servers that work on a stream at the same time (TWICE) while the second prepares its first event.
TEST_F(SilentServerTest, SilentServerIsLeftSoonAfterAnotherAcceptedTheContinuation)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (isContinuation(request))
                return Reply { .bytes = streamHead(attemptIdOf(request)), .trailingBytes = chunk(event(2) + event(3)) + "0\r\n\r\n", .trailingDelay = 900ms };
            return silentStream(request, 5s);
        });
    }
    start();
    auto const startedAt = m_loop.runtime().now();
    m_loop.runtime().spawn(receive(request("/resume/1", "s", "POST")));
    waitFor([&] { return m_servers[0]->abortedConnections + m_servers[1]->abortedConnections == 1; });
    EXPECT_LT(m_loop.runtime().now() - startedAt, 1400ms);
    waitFor([&] { return m_responses.size() == 1; });
    expectWholeStream(m_responses[0]);
}

// Guards against a request that is given up because its server reads the body late.
TEST_F(SilentServerTest, RequestIsNotGivenUpWhileItsServerReadsNothing)
{
    static constexpr std::size_t bodyBytes = 3'000'000;
    static constexpr int receiveBufferBytes = 4096;
    tcp::acceptor acceptor(m_loop.runtime().context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor.set_option(tcp::acceptor::receive_buffer_size(receiveBufferBytes));
    m_servers.push_back(nullptr);
    m_store.put("servers", "s1", R"({"service":"app","address":"127.0.0.1:)" + std::to_string(acceptor.local_endpoint().port()) + R"(","zone":"a","version":"v1","slots":6,"state":"ready","seq":1})");
    start();
    m_loop.runtime().spawn([](Core::Runtime& runtime, tcp::acceptor& listening) -> Core::Awaitable<void> {
        auto [acceptError, socket] = co_await listening.async_accept(useTuple);
        co_await runtime.sleepFor(2s);
        std::string bytes;
        auto [headError, headLength] = co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", useTuple);
        auto const missing = headLength + bodyBytes - bytes.size();
        (void)co_await asio::async_read(socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(missing), useTuple);
        (void)co_await asio::async_write(socket, asio::buffer(httpResponse("u", "late")), useTuple);
    }(m_loop.runtime(), acceptor));
    auto const response = exchange(request("/unsafe/1", "u", "POST", "Content-Length: " + std::to_string(bodyBytes) + "\r\n") + std::string(bodyBytes, 'x'), 3s);
    EXPECT_EQ(statusOf(response), "200") << response;
}
