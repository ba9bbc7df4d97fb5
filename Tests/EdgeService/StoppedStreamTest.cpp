#include <EdgeService/EdgeServiceFixture.h>
#include <map>
#include <thread>

using namespace EdgeServiceTests;

// Requests around a planned stop with a grace period of 3 s (intake for 1.5 s, cut after 2.5 s) that meet something else as well. Each gets its
// whole answer or a refusal without having been sent to a server.
class StoppedStreamTest : public EdgeServiceTest {
protected:
    static constexpr Core::Duration endOfIntake = 1500ms;
    // Longer than the intake.
    static constexpr Core::Duration streamTime = 1800ms;

    // The pause is between the first and the second event.
    static Reply stream(std::string const& request, Core::Duration pause)
    {
        return { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = pause };
    }

    void addStreamingServer(Core::Duration pause = streamTime)
    {
        addServer([pause](auto const& request) {
            if (request.find("/unsafe/") != std::string::npos)
                return Reply { .bytes = httpResponse(attemptIdOf(request), "done"), .delay = pause };
            return stream(request, pause);
        });
    }

    tcp::socket connect()
    {
        tcp::socket socket(m_loop.runtime().context());
        auto const& endpoint = m_service->settings().clientListen;
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        return socket;
    }

    Core::Awaitable<std::string> receiveToEnd(tcp::socket& socket)
    {
        auto timer = m_loop.runtime().callAt(m_loop.runtime().now() + 3s, [&socket] { socket.cancel(); });
        std::string received;
        (void)co_await asio::async_read(socket, asio::dynamic_buffer(received), useTuple);
        co_return received;
    }

    // Sends a request and stores what arrives until the connection ends.
    void spawnRequest(std::string const& id, std::string const& path, std::string const& method = "POST", std::string const& headers = {})
    {
        m_loop.runtime().spawn([](StoppedStreamTest& test, std::string name, std::string bytes) -> Core::Awaitable<void> {
            auto response = co_await test.exchangeTask(std::move(bytes), 3s);
            test.m_responses[name] = std::move(response);
        }(*this, id, request(path, id, method, headers)));
    }

    void spawnStreamAndUnsafeRequest(std::string const& id)
    {
        spawnRequest(id + "-stream", "/stream/" + id);
        spawnRequest(id + "-unsafe", "/unsafe/" + id, "POST", "Content-Length: 0\r\n");
        m_expected += 2;
    }

    std::size_t requestsAtServers() const
    {
        std::size_t count = 0;
        for (auto const& server : m_servers)
            count += server->requests.size();
        return count;
    }

    void waitForRequestsAtServers()
    {
        waitFor([&] { return requestsAtServers() == m_expected; });
    }

    void sleep(Core::Duration duration)
    {
        auto const end = m_loop.runtime().now() + duration;
        waitFor([&] { return m_loop.runtime().now() >= end; });
    }

    static bool isWhole(std::string const& response)
    {
        return statusOf(response) == "200" && (response.ends_with("\r\n\r\ndone") || response.ends_with("0\r\n\r\n"));
    }

    void expectWholeAnswers()
    {
        waitFor([&] { return m_responses.size() == m_expected; });
        for (auto const& [id, response] : m_responses)
            EXPECT_TRUE(isWhole(response)) << id << ": " << response;
    }

    // A refusal counts if the server has not received the request.
    void expectWholeAnswerOrRefusal(std::string const& id, std::string const& response)
    {
        auto const wasSent = std::any_of(m_servers[0]->requests.begin(), m_servers[0]->requests.end(), [&](auto const& request) { return attemptIdOf(request) == id; });
        if (wasSent)
            EXPECT_TRUE(isWhole(response)) << id << ": " << response;
        else
            EXPECT_EQ(statusOf(response), "503") << id << ": " << response;
    }

    std::map<std::string, std::string> m_responses;
    std::size_t m_expected { 0 };
};

// Guards against requests that are lost because their connections wait in the queue of the listening socket when it is closed (LOST).
TEST_F(StoppedStreamTest, RequestsInTheQueueOfTheListeningSocketAreServed)
{
    static constexpr int connections = 50;
    addStreamingServer(200ms);
    start();
    m_service->drain();
    // Nothing runs while the thread sleeps, so that the connections are still in the queue when the intake has ended.
    sleep(endOfIntake - 100ms);
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < connections; ++i) {
        sockets.push_back(connect());
        auto const id = "queued" + std::to_string(i);
        asio::write(sockets.back(), asio::buffer(request("/stream/1", id, "POST")));
    }
    std::this_thread::sleep_for(200ms);
    for (int i = 0; i < connections; ++i) {
        auto const id = "queued" + std::to_string(i);
        expectWholeAnswerOrRefusal(id, m_loop.run(receiveToEnd(sockets[i])));
    }
}

// Guards against requests that are lost because their bodies end late, before and after the end of the intake (LOST).
TEST_F(StoppedStreamTest, RequestsWhoseBodiesEndLateAreServedOrRefused)
{
    addStreamingServer(500ms);
    start();
    auto const receive = [this](std::string id, std::string path, Core::Duration delay) -> Core::Awaitable<void> {
        auto socket = connect();
        auto const startedAt = m_loop.runtime().now();
        (void)co_await asio::async_write(socket, asio::buffer(request(path, id, "POST", "Content-Length: 4\r\n") + "bo"), useTuple);
        co_await m_loop.runtime().sleepUntil(startedAt + delay);
        (void)co_await asio::async_write(socket, asio::buffer("dy", 2), useTuple);
        auto response = co_await receiveToEnd(socket);
        m_responses[id] = std::move(response);
    };
    for (auto const delay : { 700ms, 1400ms, 1490ms, 1510ms, 1900ms, 2400ms }) {
        for (std::string const path : { "/stream/", "/unsafe/" }) {
            m_loop.runtime().spawn(receive(path + std::to_string(delay.count()), path + "1", delay));
            ++m_expected;
        }
    }
    sleep(50ms);
    m_service->drain();
    waitFor([&] { return m_responses.size() == m_expected; });
    for (auto const& [id, response] : m_responses)
        expectWholeAnswerOrRefusal(id, response);
    EXPECT_TRUE(isWhole(m_responses["/stream/700"]));
    EXPECT_EQ(statusOf(m_responses["/unsafe/2400"]), "503");
}

// Guards against requests that are cut off because settings are read again just before or after the begin of the stop (LOST).
TEST_F(StoppedStreamTest, ReloadBesideTheStopCutsNothingOff)
{
    addStreamingServer();
    start();
    spawnStreamAndUnsafeRequest("before");
    waitForRequestsAtServers();
    auto shorter = m_service->settings();
    shorter.gracePeriod = 500ms;
    m_service->reload(m_service->settings());
    m_service->drain();
    m_service->reload(m_service->settings());
    m_service->reload(shorter);
    spawnStreamAndUnsafeRequest("after");
    expectWholeAnswers();
}

// Guards against requests that are cut off because the signal to stop is repeated (LOST).
TEST_F(StoppedStreamTest, RepeatedSignalToStopCutsNothingOff)
{
    addStreamingServer();
    start();
    spawnStreamAndUnsafeRequest("before");
    waitForRequestsAtServers();
    m_service->drain();
    sleep(100ms);
    m_service->drain();
    spawnStreamAndUnsafeRequest("after");
    sleep(endOfIntake);
    m_service->drain();
    expectWholeAnswers();
}

// Guards against requests that are cut off because a new configuration drops their route, shortens its timeout or lowers the limits on
// connections while the node stops (LOST).
TEST_F(StoppedStreamTest, ConfigurationDuringTheStopCutsNothingOff)
{
    addStreamingServer();
    start();
    spawnStreamAndUnsafeRequest("before");
    waitForRequestsAtServers();
    m_service->drain();
    m_store.put("config", "main", R"({"version":2,"routes":[{"name":"unsafe","host":"h.example","path-prefix":"/unsafe/","kind":"unsafe","timeout-ms":100,"service":"app","max-attempts":1}],
"limits":{"max-header-bytes":1024,"max-body-bytes":10,"header-timeout-ms":100,"idle-timeout-ms":100},
"services":[{"name":"app"}],"tenants":[{"name":"other","api-keys":["k2"]}]})");
    waitFor([&] { return m_service->tables().routes->version == 2; });
    expectWholeAnswers();
}

// Guards against a stream that is cut off because its server leaves the list while the node stops (LOST).
TEST_F(StoppedStreamTest, ServerThatLeavesDuringTheStopCutsNothingOff)
{
    addStreamingServer();
    start();
    spawnStreamAndUnsafeRequest("before");
    waitForRequestsAtServers();
    m_service->drain();
    putServerState("s1", "draining");
    waitFor([&] { return !isLive("s1"); });
    expectWholeAnswers();
}

// Guards against streams that are broken off because their server is silent for a time while the node stops (LOST).
TEST_F(StoppedStreamTest, SilenceOfTheServerDuringTheStopCutsNothingOff)
{
    addStreamingServer(1600ms);
    start();
    for (std::string const id : { "one", "two", "three" }) {
        spawnRequest("stream-" + id, "/stream/" + id);
        spawnRequest("resume-" + id, "/resume/" + id);
        m_expected += 2;
    }
    waitForRequestsAtServers();
    m_service->drain();
    expectWholeAnswers();
}

// Guards against a stream that is broken off because its server fails, though another could continue it while the node stops (LOST).
TEST_F(StoppedStreamTest, StreamContinuesAtAnotherServerDuringTheStop)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
                return Reply { .bytes = streamHead(attemptIdOf(request)), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = 600ms };
            return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .trailingBytes = "\r", .trailingDelay = 1600ms, .ending = Reply::Ending::Reset };
        });
    }
    start();
    spawnRequest("first", "/resume/1");
    m_expected = 1;
    waitForRequestsAtServers();
    m_service->drain();
    expectWholeAnswers();
    EXPECT_EQ(requestsAtServers(), 2u);
}

// Guards against an answer that is lost because its client reads slowly and sends its next request while the node closes the connection (LOST).
TEST_F(StoppedStreamTest, AnswerToASlowReaderThatSendsItsNextRequestIsWhole)
{
    static constexpr std::size_t bodyBytes = 500'000;
    static constexpr int receiveBufferBytes = 4096;
    static constexpr std::size_t bytesReadAtATime = 32 * 1024;
    addServer([](auto const& request) {
        if (request.find("/stream/") != std::string::npos)
            return Reply { streamHead(attemptIdOf(request)) + chunk(event(1) + "id: 2\ndata: " + std::string(500'000, 'x') + "\n\n") + "0\r\n\r\n" };
        return Reply { httpResponse(attemptIdOf(request), std::string(bodyBytes, 'x') + "\r\n\r\ndone") };
    });
    start();
    auto const receive = [this](std::string id, std::string bytes) -> Core::Awaitable<void> {
        tcp::socket socket(m_loop.runtime().context());
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        auto const& endpoint = m_service->settings().clientListen;
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        (void)co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
        co_await m_loop.runtime().sleepFor(100ms);
        std::string received;
        std::vector<char> buffer(bytesReadAtATime);
        while (true) {
            (void)co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
            auto [error, length] = co_await asio::async_read(socket, asio::buffer(buffer), useTuple);
            received.append(buffer.data(), length);
            if (error)
                break;
            co_await m_loop.runtime().sleepFor(5ms);
        }
        m_responses[id] = std::move(received);
    };
    m_service->drain();
    m_loop.runtime().spawn(receive("stream", request("/stream/1", "stream", "POST")));
    m_loop.runtime().spawn(receive("unsafe", request("/unsafe/1", "unsafe", "POST", "Content-Length: 0\r\n")));
    waitFor([&] { return m_responses.size() == 2; });
    for (auto const& [id, response] : m_responses) {
        EXPECT_TRUE(isWhole(response)) << id << ": " << response.size() << " bytes";
        EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos);
    }
}
