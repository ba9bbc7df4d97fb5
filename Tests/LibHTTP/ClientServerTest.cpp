#include <LibHTTP/Client.h>
#include <LibHTTP/Problem.h>
#include <LibHTTP/Server.h>
#include <LibHTTP/ServerSentEvents.h>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <set>
#include <thread>

using namespace std::chrono_literals;
using Core::Awaitable;

namespace {

class ClientServerTest : public testing::Test {
protected:
    void startServer(HTTP::Handler handler, HTTP::ServerLimits limits = {})
    {
        m_server = std::make_unique<HTTP::Server>(m_runtime, limits, std::move(handler));
        Core::Error error;
        auto const bound = m_server->listen({ "127.0.0.1", 0 }, error);
        ASSERT_TRUE(bound) << error.message;
        m_endpoint = *bound;
    }

    // Runs the event loop until the task has ended.
    void run(Awaitable<void> task)
    {
        auto wrapper = [this](Awaitable<void> inner) -> Awaitable<void> {
            co_await std::move(inner);
            m_context.stop();
        };
        m_runtime.spawn(wrapper(std::move(task)));
        m_context.restart();
        m_context.run();
    }

    Core::MonotonicTime deadline() { return m_runtime.now() + 10s; }

    // Sends raw bytes and returns everything the server sends until it closes the connection.
    std::string exchangeRaw(std::string const& bytes)
    {
        std::string response;
        std::thread thread([&] {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
            boost::system::error_code errorCode;
            boost::asio::write(socket, boost::asio::buffer(bytes), errorCode);
            boost::asio::read(socket, boost::asio::dynamic_buffer(response), errorCode);
            m_context.stop();
        });
        m_context.restart();
        m_context.run();
        thread.join();
        return response;
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    HTTP::Client m_client { m_runtime, {} };
    std::unique_ptr<HTTP::Server> m_server;
    Core::Endpoint m_endpoint;
    Core::Error m_error;
};

Awaitable<void> echo(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    HTTP::Response response;
    response.body = request.method + " " + request.target + " " + request.body;
    (void)co_await writer.send(std::move(response));
}

}

TEST_F(ClientServerTest, SendsAndReusesConnection)
{
    std::set<Core::Endpoint> peers;
    startServer([&](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        peers.insert(writer.peer());
        co_await echo(request, writer);
    });
    run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        for (int round = 0; round < 3; ++round) {
            HTTP::Request request { "POST", "/a?b=c", {}, "body" };
            auto response = co_await client.send(endpoint, request, HTTP::ConnectionUse::Pooled, deadline, error);
            EXPECT_TRUE(response) << error.message;
            EXPECT_EQ(response.value_or(HTTP::Response {}).body, "POST /a?b=c body");
        }
    }(deadline(), m_endpoint, m_client, m_error));
    EXPECT_EQ(peers.size(), 1u);
}

// Guards against a response that arrives after its deadline being returned for the next request.
TEST_F(ClientServerTest, LateResponseIsNotReadByTheNextRequest)
{
    startServer([&](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        if (request.body == "slow")
            co_await m_runtime.sleepFor(100ms);
        co_await echo(request, writer);
    });
    run([](Core::Runtime& runtime, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        HTTP::Request slow { "POST", "/", {}, "slow" };
        auto late = co_await client.send(endpoint, slow, HTTP::ConnectionUse::Pooled, runtime.now() + 20ms, error);
        EXPECT_FALSE(late);
        EXPECT_EQ(error.kind, Core::ErrorKind::DeadlineExceeded);
        EXPECT_EQ(error.runState, Core::RunState::Unknown);
        co_await runtime.sleepFor(150ms);
        HTTP::Request quick { "POST", "/", {}, "quick" };
        auto response = co_await client.send(endpoint, quick, HTTP::ConnectionUse::Pooled, runtime.now() + 5s, error);
        EXPECT_EQ(response.value_or(HTTP::Response {}).body, "POST / quick");
    }(m_runtime, m_endpoint, m_client, m_error));
}

// Guards against reporting "unknown" for a request that was never written, and "not run" for one that was.
TEST_F(ClientServerTest, RunStateFollowsBytesWritten)
{
    startServer([](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        (void)co_await writer.begin(200, {});
        (void)co_await writer.write("partial");
    });
    run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        HTTP::Request request { "GET", "/", {}, "" };
        Core::Endpoint const unusedEndpoint { "127.0.0.1", 1 };
        EXPECT_FALSE(co_await client.send(unusedEndpoint, request, HTTP::ConnectionUse::NewConnection, deadline, error));
        EXPECT_EQ(error.runState, Core::RunState::NotRun);
        EXPECT_EQ(error.kind, Core::ErrorKind::BackendUnreachable);
        // The server's handler ends without finish(), so the response is truncated.
        EXPECT_FALSE(co_await client.send(endpoint, request, HTTP::ConnectionUse::NewConnection, deadline, error));
        EXPECT_EQ(error.runState, Core::RunState::Unknown);
        EXPECT_EQ(error.kind, Core::ErrorKind::BackendAnswerInvalid);
    }(deadline(), m_endpoint, m_client, m_error));
}

// Guards against "not run" for a request that was written to an idle connection before the peer closed it and stopped listening.
TEST_F(ClientServerTest, RequestOnAClosedIdleConnectionMayHaveRun)
{
    unsigned executions = 0;
    startServer([&](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        ++executions;
        if (request.target == "/first") {
            co_await echo(request, writer);
            co_return;
        }
        m_server->stopAccepting();
        m_server->closeAllConnections();
    });
    run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        HTTP::Request first { "GET", "/first", {}, "" };
        auto const response = co_await client.send(endpoint, first, HTTP::ConnectionUse::Pooled, deadline, error);
        EXPECT_TRUE(response);
        HTTP::Request second { "GET", "/second", {}, "" };
        auto const refused = co_await client.send(endpoint, second, HTTP::ConnectionUse::Pooled, deadline, error);
        EXPECT_FALSE(refused);
        EXPECT_EQ(error.kind, Core::ErrorKind::BackendUnreachable);
        EXPECT_EQ(error.runState, Core::RunState::Unknown);
    }(deadline(), m_endpoint, m_client, m_error));
    EXPECT_EQ(executions, 2u);
}

// Guards against a body that is lost because one of its reads timed out, within a chunk and between two.
TEST_F(ClientServerTest, BodyCanBeReadFurtherAfterADeadlineThatKeepsTheConnection)
{
    startServer([this](auto const&, auto& writer) -> Awaitable<void> {
        (void)co_await writer.begin(200, {});
        for (auto const* bytes : { "first", "second" }) {
            (void)co_await writer.write(bytes);
            co_await m_runtime.sleepFor(150ms);
        }
        (void)co_await writer.finish();
    });
    run([](Core::Runtime& runtime, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        HTTP::Request request { "GET", "/", {}, "" };
        auto const stream = co_await client.openStream(endpoint, request, HTTP::ConnectionUse::NewConnection, runtime.now() + 5s, error);
        std::string body;
        std::size_t timeouts = 0;
        while (stream && !stream->isComplete()) {
            auto const bytes = co_await stream->readSome(runtime.now() + 40ms, HTTP::AfterReadDeadline::KeepConnection, error);
            timeouts += bytes ? 0 : 1;
            EXPECT_TRUE(bytes || error.kind == Core::ErrorKind::DeadlineExceeded) << error.message;
            if (!bytes && error.kind != Core::ErrorKind::DeadlineExceeded)
                break;
            body += bytes.value_or("");
        }
        EXPECT_EQ(body, "firstsecond");
        EXPECT_GE(timeouts, 4u);
    }(m_runtime, m_endpoint, m_client, m_error));
}

// Guards against malformed input that ends the process or gets no problem details.
TEST_F(ClientServerTest, BadInputGetsProblemDetails)
{
    HTTP::ServerLimits limits;
    limits.maximumBodyBytes = 100;
    limits.maximumHeaderBytes = 1000;
    limits.requestTimeout = 50ms;
    startServer(echo, limits);
    auto const malformed = exchangeRaw("NOT HTTP\r\n\r\n");
    EXPECT_NE(malformed.find("400 Bad Request"), std::string::npos);
    EXPECT_NE(malformed.find("\"invalid_request\""), std::string::npos);
    auto const longBody = exchangeRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    EXPECT_NE(longBody.find("413 Payload Too Large"), std::string::npos);
    auto const longHeader = exchangeRaw("GET / HTTP/1.1\r\nHost: " + std::string(5000, 'x') + "\r\n\r\n");
    EXPECT_NE(longHeader.find("431 Request Header Fields Too Large"), std::string::npos);
    auto const slow = exchangeRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n");
    EXPECT_NE(slow.find("408 Request Timeout"), std::string::npos);
    auto const good = exchangeRaw("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_NE(good.find("GET /x "), std::string::npos);
}

// Guards against a truncated event being returned as a complete one.
TEST(ServerSentEventsTest, EventsEndAtBlankLine)
{
    HTTP::ServerSentEventParser parser;
    auto const text = HTTP::formatEvent({ "7", "one\ntwo" }) + HTTP::formatEvent({ "", "three" });
    std::vector<HTTP::ServerSentEvent> events;
    for (char const c : text.substr(0, text.size() - 1)) {
        for (auto& event : parser.feed({ &c, 1 }))
            events.push_back(std::move(event));
    }
    EXPECT_EQ(events, (std::vector<HTTP::ServerSentEvent> { { "7", "one\ntwo" } }));
    EXPECT_EQ(parser.feed("\n"), (std::vector<HTTP::ServerSentEvent> { { "", "three" } }));
}

TEST(ProblemTest, RoundTrip)
{
    Core::Error error;
    Core::fail(error, Core::ErrorKind::OutcomeUnknown, "lost", Core::RunState::Unknown);
    auto const response = HTTP::problemResponse(error, "r1");
    EXPECT_EQ(response.status, 502u);
    EXPECT_EQ(HTTP::parseProblem(response), error);
}

// Guards against a graceful shutdown that aborts a request in progress, or that crashes when there is none.
TEST_F(ClientServerTest, WaitUntilDrainedWaitsForRequestsInProgress)
{
    startServer([&](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        co_await m_runtime.sleepFor(50ms);
        co_await echo(request, writer);
    });
    run([](Core::Runtime& runtime, Core::Endpoint endpoint, HTTP::Client& client, HTTP::Server& server) -> Awaitable<void> {
        bool const idle = co_await server.waitUntilDrained(runtime.now());
        EXPECT_TRUE(idle);
        std::optional<HTTP::Response> response;
        auto const sendRequest = [](Core::Runtime& runtime, Core::Endpoint endpoint, HTTP::Client& client, std::optional<HTTP::Response>& response) -> Awaitable<void> {
            Core::Error error;
            HTTP::Request request { "POST", "/", {}, "body" };
            response = co_await client.send(endpoint, request, HTTP::ConnectionUse::NewConnection, runtime.now() + 5s, error);
        };
        runtime.spawn(sendRequest(runtime, endpoint, client, response));
        while (server.requestsInProgress() == 0)
            co_await runtime.sleepFor(1ms);
        bool const early = co_await server.waitUntilDrained(runtime.now() + 5ms);
        EXPECT_FALSE(early);
        bool const drained = co_await server.waitUntilDrained(runtime.now() + 5s);
        EXPECT_TRUE(drained);
        auto const deadline = runtime.now() + 5s;
        while (!response && runtime.now() < deadline)
            co_await runtime.sleepFor(1ms);
        EXPECT_TRUE(response);
    }(m_runtime, m_endpoint, m_client, *m_server));
}

// Guards against a graceful shutdown that resets requests which the kernel has accepted and the server has not yet read: on a
// new connection in the listen queue, and on an idle connection.
TEST_F(ClientServerTest, StopAcceptingServesQueuedAndIdleConnections)
{
    startServer(echo);
    boost::asio::io_context clientContext;
    std::array<boost::asio::ip::tcp::socket, 2> sockets { boost::asio::ip::tcp::socket(clientContext), boost::asio::ip::tcp::socket(clientContext) };
    auto const send = [&](boost::asio::ip::tcp::socket& socket) {
        static constexpr std::string_view bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(bytes));
    };
    auto const receive = [](boost::asio::ip::tcp::socket& socket) {
        std::string response;
        boost::system::error_code errorCode;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), "GET /x ", errorCode);
        return errorCode ? errorCode.message() : response.substr(0, response.find('\r'));
    };
    auto& idle = sockets[0];
    idle.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
    send(idle);
    run([](Core::Runtime& runtime) -> Awaitable<void> { co_await runtime.sleepFor(50ms); }(m_runtime));
    EXPECT_EQ(receive(idle), "HTTP/1.1 200 OK");

    auto& queued = sockets[1];
    queued.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
    send(idle);
    send(queued);
    m_server->stopAccepting();
    run([](Core::Runtime& runtime, HTTP::Server& server) -> Awaitable<void> {
        bool const drained = co_await server.waitUntilDrained(runtime.now() + 5s);
        EXPECT_TRUE(drained);
    }(m_runtime, *m_server));
    EXPECT_EQ(receive(idle), "HTTP/1.1 200 OK");
    EXPECT_EQ(receive(queued), "HTTP/1.1 200 OK");
}

// Guards against a graceful shutdown that resets the next request on a connection whose last response, begun before the shutdown,
// announced that the connection stays open. The client sends it before it can see that the connection is closed.
TEST_F(ClientServerTest, StopAcceptingServesTheNextRequestAfterAResponseInProgress)
{
    startServer([&](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        if (request.target == "/stream") {
            (void)co_await writer.begin(200, {});
            m_server->stopAccepting();
            (void)co_await writer.write("first");
            (void)co_await writer.finish();
            co_return;
        }
        co_await echo(request, writer);
    });
    boost::asio::io_context clientContext;
    boost::asio::ip::tcp::socket socket(clientContext);
    socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
    auto const runServer = [&] { run([](Core::Runtime& runtime) -> Awaitable<void> { co_await runtime.sleepFor(50ms); }(m_runtime)); };
    auto const exchange = [&](std::string const& target, std::string const& end) {
        boost::system::error_code errorCode;
        boost::asio::write(socket, boost::asio::buffer("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"), errorCode);
        runServer();
        std::string response;
        if (!errorCode)
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), end, errorCode);
        return errorCode ? errorCode.message() : response.substr(0, response.find("\r\n\r\n") + 2);
    };
    EXPECT_EQ(exchange("/stream", "0\r\n\r\n").find("Connection: close"), std::string::npos);
    auto const next = exchange("/x", "GET /x ");
    EXPECT_TRUE(next.starts_with("HTTP/1.1 200 OK")) << next;
    EXPECT_NE(next.find("Connection: close"), std::string::npos) << next;
}

// Guards against a client that fills the memory with a chunk extension, which belongs to neither the headers nor the body.
TEST_F(ClientServerTest, EndlessChunkExtensionIsRefused)
{
    startServer(echo);
    boost::asio::io_context clientContext;
    boost::asio::ip::tcp::socket socket(clientContext);
    socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=")));
    std::string const filler(16 * 1024, 'x');
    static constexpr int maximumFillers = 64;
    boost::system::error_code errorCode;
    socket.non_blocking(true);
    std::string response;
    for (int sent = 0; sent < maximumFillers && response.empty() && !errorCode; ++sent) {
        (void)socket.write_some(boost::asio::buffer(filler), errorCode);
        if (errorCode == boost::asio::error::would_block)
            errorCode = {};
        run([](Core::Runtime& runtime) -> Awaitable<void> { co_await runtime.sleepFor(5ms); }(m_runtime));
        std::array<char, 1024> buffer {};
        boost::system::error_code readError;
        response.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), readError));
    }
    EXPECT_TRUE(response.starts_with("HTTP/1.1 431 ")) << response;
}

// Guards against a graceful shutdown that closes a connection whose client has just connected and is slow to send its first request.
TEST_F(ClientServerTest, StopAcceptingWaitsForTheFirstRequestOfANewConnection)
{
    startServer(echo);
    boost::asio::io_context clientContext;
    boost::asio::ip::tcp::socket socket(clientContext);
    socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
    m_server->stopAccepting();
    run([](Core::Runtime& runtime) -> Awaitable<void> { co_await runtime.sleepFor(500ms); }(m_runtime));
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
    run([](Core::Runtime& runtime, HTTP::Server& server) -> Awaitable<void> {
        bool const drained = co_await server.waitUntilDrained(runtime.now() + 5s);
        EXPECT_TRUE(drained);
    }(m_runtime, *m_server));
    std::string response;
    boost::system::error_code errorCode;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), "GET /x ", errorCode);
    EXPECT_FALSE(errorCode) << errorCode.message();
}

// Guards against a response that a client has not read to its end and that is lost because more bytes of the client arrive while the server
// closes the connection (LOST).
TEST_F(ClientServerTest, LastResponseIsReadToItsEndIfMoreBytesArrive)
{
    static constexpr std::size_t bodyBytes = 500'000;
    static constexpr int receiveBufferBytes = 4096;
    static constexpr std::size_t bytesReadAtATime = 32 * 1024;
    for (bool const isSentBeforeReading : { true, false }) {
        startServer([&](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Awaitable<void> {
            HTTP::Response response;
            response.body = std::string(bodyBytes, 'x');
            (void)co_await writer.send(std::move(response));
        });
        m_server->closeAfterResponses();
        std::size_t received = 0;
        boost::system::error_code errorCode;
        std::thread thread([&] {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket(context);
            socket.open(boost::asio::ip::tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
            socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
            std::string const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(request), ignored);
            std::this_thread::sleep_for(50ms);
            if (isSentBeforeReading)
                boost::asio::write(socket, boost::asio::buffer(request), ignored);
            std::vector<char> buffer(bytesReadAtATime);
            while (!errorCode) {
                received += boost::asio::read(socket, boost::asio::buffer(buffer), errorCode);
                std::this_thread::sleep_for(2ms);
                if (!isSentBeforeReading)
                    boost::asio::write(socket, boost::asio::buffer(request), ignored);
            }
            m_context.stop();
        });
        m_context.restart();
        m_context.run();
        thread.join();
        EXPECT_GT(received, bodyBytes) << (isSentBeforeReading ? "sent before reading" : "sent while reading");
        EXPECT_EQ(errorCode, boost::asio::error::eof) << errorCode.message();
    }
}

// Guards against the same loss on a connection that was to stay open and that a graceful shutdown closes as idle (LOST).
TEST_F(ClientServerTest, IdleConnectionWithAnUnreadResponseIsNotReset)
{
    static constexpr std::size_t bodyBytes = 500'000;
    static constexpr int receiveBufferBytes = 4096;
    static constexpr std::size_t bytesReadAtATime = 32 * 1024;
    for (bool const isSentBeforeReading : { true, false }) {
        startServer([&](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Awaitable<void> {
            m_server->stopAccepting();
            HTTP::Response response;
            response.body = std::string(bodyBytes, 'x');
            (void)co_await writer.send(std::move(response));
        });
        std::size_t received = 0;
        boost::system::error_code errorCode;
        std::thread thread([&] {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket(context);
            socket.open(boost::asio::ip::tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
            socket.connect({ boost::asio::ip::make_address(m_endpoint.address), m_endpoint.port });
            std::string const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(request), ignored);
            std::this_thread::sleep_for(400ms);
            if (isSentBeforeReading)
                boost::asio::write(socket, boost::asio::buffer(request), ignored);
            std::vector<char> buffer(bytesReadAtATime);
            while (!errorCode) {
                received += boost::asio::read(socket, boost::asio::buffer(buffer), errorCode);
                std::this_thread::sleep_for(2ms);
                if (!isSentBeforeReading)
                    boost::asio::write(socket, boost::asio::buffer(request), ignored);
            }
            m_context.stop();
        });
        m_context.restart();
        m_context.run();
        thread.join();
        EXPECT_GT(received, bodyBytes) << (isSentBeforeReading ? "sent before reading" : "sent while reading");
        EXPECT_EQ(errorCode, boost::asio::error::eof) << errorCode.message();
    }
}

// Guards against idle connections to endpoints that are no longer used, which stayed open.
TEST_F(ClientServerTest, IdleConnectionsToAnUnusedEndpointAreClosed)
{
    startServer(echo);
    run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client) -> Awaitable<void> {
        EXPECT_EQ(co_await client.connect(endpoint, deadline), HTTP::ConnectionAttempt::Accepted);
    }(deadline(), m_endpoint, m_client));
    EXPECT_EQ(m_client.idleConnections(), 1u);
    m_runtime.pause();
    for (auto const& [time, expected] : { std::pair<Core::Duration, std::size_t> { 19s, 1 }, { 12s, 0 } }) {
        m_runtime.advance(time);
        m_context.restart();
        m_context.poll();
        EXPECT_EQ(m_client.idleConnections(), expected);
    }
}

// Guards against idle connections to many endpoints that use up the descriptors of the process.
TEST_F(ClientServerTest, IdleConnectionsToAllEndpointsAreBoundedTogether)
{
    HTTP::Client client(m_runtime, { .idleConnections = 2 });
    std::vector<std::unique_ptr<HTTP::Server>> servers;
    for (int i = 0; i < 4; ++i) {
        startServer(echo);
        servers.push_back(std::move(m_server));
        run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client) -> Awaitable<void> {
            EXPECT_EQ(co_await client.connect(endpoint, deadline), HTTP::ConnectionAttempt::Accepted);
        }(deadline(), m_endpoint, client));
        EXPECT_EQ(client.idleConnections(), std::min<std::size_t>(i + 1, 2));
    }
    // The latest one is kept.
    run([](Core::MonotonicTime deadline, Core::Endpoint endpoint, HTTP::Client& client, Core::Error& error) -> Awaitable<void> {
        HTTP::Request request { "POST", "/", {}, "body" };
        auto const response = co_await client.send(endpoint, request, HTTP::ConnectionUse::Pooled, deadline, error);
        EXPECT_TRUE(response) << error.message;
    }(deadline(), m_endpoint, client, m_error));
    EXPECT_EQ(client.traffic().newConnections, 4u);
}
