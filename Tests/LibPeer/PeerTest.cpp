#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

class EchoHandler final : public Peer::PeerHandler {
public:
    explicit EchoHandler(Core::Runtime& runtime)
        : m_runtime(runtime)
    {
    }

    Core::Awaitable<Peer::ExchangeReply> exchange(Peer::ExchangeRequest request) override { co_return Peer::ExchangeReply { std::move(request.message) }; }
    Core::Awaitable<Peer::FetchConfigurationReply> fetchConfiguration(Peer::FetchConfigurationRequest request) override
    {
        ++calls;
        co_await m_runtime.sleepFor(delay);
        if (request.aboveGeneration == 13)
            throw std::runtime_error("refused by the test");
        co_return Peer::FetchConfigurationReply { request.aboveGeneration + 1, std::string(replyBytes, 'x') };
    }
    Core::Awaitable<Peer::ReplicateReply> replicate(Peer::ReplicateRequest request) override
    {
        records = std::move(request.records);
        co_return Peer::ReplicateReply { { { "a", Peer::StreamDecision::Gap, 3, 17 } } };
    }
    Core::Awaitable<Peer::HandOverReply> handOver(Peer::HandOverRequest request) override
    {
        records = std::move(request.records);
        co_return Peer::HandOverReply { { { "a", Peer::StreamDecision::Accepted, 4, 0 } } };
    }
    Core::Awaitable<Peer::FindStreamReply> findStream(Peer::FindStreamRequest request) override
    {
        Peer::FindStreamReply reply;
        if (!records.empty() && records.front().requestId == request.requestId)
            reply.record = records.front();
        co_return reply;
    }
    static Peer::BeginIntentReply begunReply()
    {
        return { Peer::BeginIntentCode::Replay, Peer::IntentTicket { 1, 2, "d", "t" }, Peer::RecordedAnswer { 201, "text/plain", std::string("a\0b", 3) }, "e", "r", "again" };
    }
    Core::Awaitable<Peer::BeginIntentReply> beginIntent(Peer::BeginIntentRequest request) override
    {
        begun = std::move(request);
        co_return begunReply();
    }
    Core::Awaitable<Peer::FinishIntentReply> finishIntent(Peer::FinishIntentRequest request) override
    {
        finished = std::move(request);
        co_return Peer::FinishIntentReply { Peer::FinishIntentCode::Recorded, "done" };
    }

    Core::Awaitable<Peer::FetchPlatformDataReply> fetchPlatformData(Peer::FetchPlatformDataRequest request) override
    {
        fetched = request;
        co_return platformReply;
    }

    Peer::FetchPlatformDataRequest fetched;
    Peer::FetchPlatformDataReply platformReply;
    Core::Duration delay { 0 };
    std::size_t replyBytes { 3 };
    int calls { 0 };
    std::vector<Peer::StreamRecord> records;
    Peer::BeginIntentRequest begun;
    Peer::FinishIntentRequest finished;

private:
    Core::Runtime& m_runtime;
};

class PeerTest : public testing::Test {
protected:
    void SetUp() override { startServer(0); }

    void startServer(std::uint16_t port)
    {
        m_server = std::make_unique<Peer::PeerServer>(m_runtime, m_handler);
        Core::Error error;
        ASSERT_TRUE(m_server->listen({ "127.0.0.1", port }, error)) << error.message;
        m_endpoint = { "127.0.0.1", m_server->port() };
    }

    /// Runs the event loop until the call has ended.
    template <typename Reply>
    std::optional<Reply> run(Core::Awaitable<std::optional<Reply>> call)
    {
        std::optional<Reply> result;
        bool ended = false;
        auto task = [](Core::Awaitable<std::optional<Reply>> inner, std::optional<Reply>& out, bool& done) -> Core::Awaitable<void> {
            out = co_await std::move(inner);
            done = true;
        };
        m_runtime.spawn(task(std::move(call), result, ended));
        m_context.restart();
        while (!ended && m_context.run_one_for(10s) > 0) { }
        EXPECT_TRUE(ended);
        return result;
    }

    std::optional<Peer::FetchConfigurationReply> fetch(std::uint64_t generation = 7, Core::Duration timeout = 5s)
    {
        m_error = {};
        return run(m_client->fetchConfiguration(m_endpoint, { generation }, m_runtime.now() + timeout, m_error));
    }

    /// Opens a TCP connection to the server and sends bytes on it.
    void sendRaw(std::string const& bytes)
    {
        tcp::socket socket(m_context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_endpoint.port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        // The server closes the connection or waits for more; both are fine.
        boost::system::error_code errorCode;
        socket.shutdown(tcp::socket::shutdown_send, errorCode);
        char sink[64];
        while (socket.read_some(boost::asio::buffer(sink), errorCode) > 0) { }
    }

    [[nodiscard]] Core::MonotonicTime soon() const { return m_runtime.now() + 5s; }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
    Core::Runtime m_runtime { m_context };
    EchoHandler m_handler { m_runtime };
    std::unique_ptr<Peer::PeerServer> m_server;
    std::unique_ptr<Peer::PeerClient> m_client { std::make_unique<Peer::PeerClient>(m_runtime) };
    Core::Endpoint m_endpoint;
    Core::Error m_error;
};

}

// Guards against a field that gets lost or mixed up in the encoding of any method.
TEST_F(PeerTest, AllMethodsCarryAllFields)
{
    Peer::ExchangeMessage message;
    message.sender = { "n1", "127.0.0.1:1", "127.0.0.1:2", "dc1", "r1", 5, 6, 7, true };
    message.digestComplete = true;
    message.heartbeats = { 1, ~0ULL };
    message.leavingNodes = { 3 };
    message.dataCentres = { 1, 2 };
    message.rows = { message.sender };
    message.wantedRows = { 9 };
    message.marksHash = 10;
    message.quarantineHash = 11;
    message.leavingMarks = { { "s1", 4, 5 } };
    message.quarantine = { { "f", 8 } };
    message.usage = { { 1, 2, 3, 4.5F, 5.5F } };
    auto const exchanged = run(m_client->exchange(m_endpoint, { message }, soon(), m_error));
    ASSERT_TRUE(exchanged) << m_error.message;
    EXPECT_EQ(exchanged->message, message);

    Peer::StreamRecord const record { "a", 3, "n1", "team", "service", "{}", 2, { "x", "", "z" }, true, "stop" };
    auto const replicated = run(m_client->replicate(m_endpoint, { "n1", { record } }, soon(), m_error));
    ASSERT_TRUE(replicated);
    EXPECT_EQ(m_handler.records, std::vector { record });
    EXPECT_EQ(replicated->results, (std::vector<Peer::StreamResult> { { "a", Peer::StreamDecision::Gap, 3, 17 } }));
    auto const handed = run(m_client->handOver(m_endpoint, { "n1", { record } }, soon(), m_error));
    ASSERT_TRUE(handed);
    EXPECT_EQ(handed->results.front().decision, Peer::StreamDecision::Accepted);
    auto const found = run(m_client->findStream(m_endpoint, { "a" }, soon(), m_error));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->record, record);
    auto const missing = run(m_client->findStream(m_endpoint, { "b" }, soon(), m_error));
    ASSERT_TRUE(missing);
    EXPECT_FALSE(missing->record);

    Peer::BeginIntentRequest const begin { "c", "n", "t", "s", "k", "f", 7 };
    auto const begun = run(m_client->beginIntent(m_endpoint, begin, soon(), m_error));
    ASSERT_TRUE(begun);
    EXPECT_EQ(m_handler.begun, begin);
    EXPECT_EQ(*begun, m_handler.begunReply());
    Peer::FinishIntentRequest const finish { "c", Peer::IntentOutcome::Release, std::nullopt };
    auto const finished = run(m_client->finishIntent(m_endpoint, finish, soon(), m_error));
    ASSERT_TRUE(finished);
    EXPECT_EQ(m_handler.finished, finish);
    EXPECT_EQ(finished->code, Peer::FinishIntentCode::Recorded);

    m_handler.platformReply = { true, true, 5, 6, 7, 8, { { "s1", "127.0.0.1:3", "advisor", "v1", "dc1", "dc1-a", 9, true } }, { "s2" }, { { 10, "h1", -11 } }, 12 };
    Peer::FetchPlatformDataRequest const fetchData { 1, 2, 3, 4, 5 };
    auto const platformData = run(m_client->fetchPlatformData(m_endpoint, fetchData, soon(), m_error));
    ASSERT_TRUE(platformData) << m_error.message;
    EXPECT_EQ(m_handler.fetched, fetchData);
    EXPECT_EQ(*platformData, m_handler.platformReply);
}

// Guards against control traffic that is counted as traffic of requests, and the reverse.
TEST_F(PeerTest, TrafficIsCountedByClass)
{
    ASSERT_TRUE(fetch());
    auto const control = m_client->traffic(Peer::TrafficClass::Control);
    EXPECT_EQ(control.calls, 1u);
    EXPECT_GT(control.sentBytes, 0u);
    EXPECT_GT(control.receivedBytes, 0u);
    EXPECT_EQ(m_client->traffic(Peer::TrafficClass::Requests), Peer::PeerTraffic {});
    auto const found = run(m_client->findStream(m_endpoint, { "b" }, soon(), m_error));
    ASSERT_TRUE(found);
    EXPECT_EQ(m_client->traffic(Peer::TrafficClass::Requests).calls, 1u);
    EXPECT_EQ(m_client->traffic(Peer::TrafficClass::Control), control);
    EXPECT_EQ(m_server->traffic(Peer::TrafficClass::Requests).calls, 1u);
}

// Guards against a connection failure that is reported as possibly executed, and against a client that never reconnects.
TEST_F(PeerTest, ReconnectsAfterTheServerRestarted)
{
    ASSERT_TRUE(fetch());
    auto const port = m_server->port();
    m_server.reset();
    // The first call may still use the closed connection; the second cannot.
    EXPECT_FALSE(fetch());
    EXPECT_FALSE(fetch());
    EXPECT_EQ(m_error.kind, Core::ErrorKind::PeerUnreachable);
    EXPECT_EQ(m_error.runState, Core::RunState::NotRun);
    startServer(port);
    EXPECT_TRUE(fetch()) << m_error.message;
}

// Guards against a call that was sent, and may have run, being reported as not run when its connection breaks.
TEST_F(PeerTest, BrokenConnectionDuringCallIsUnknown)
{
    m_handler.delay = 10s;
    auto serverStop = m_runtime.callAt(m_runtime.now() + 200ms, [this] { m_server.reset(); });
    EXPECT_FALSE(fetch());
    EXPECT_EQ(m_handler.calls, 1);
    EXPECT_EQ(m_error.kind, Core::ErrorKind::PeerUnreachable);
    EXPECT_EQ(m_error.runState, Core::RunState::Unknown);
}

// Guards against a call that outlasts its deadline, and against a late reply that affects the next call.
TEST_F(PeerTest, DeadlineEndsTheCallOnly)
{
    m_handler.delay = 300ms;
    EXPECT_FALSE(fetch(7, 50ms));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::DeadlineExceeded);
    EXPECT_EQ(m_error.runState, Core::RunState::Unknown);
    auto const second = fetch(20);
    ASSERT_TRUE(second) << m_error.message;
    EXPECT_EQ(second->generation, 21U);
}

// Guards against deadlines that follow the real clock, which would make tests with a paused clock depend on the machine.
TEST_F(PeerTest, DeadlineFollowsTheRuntimeClock)
{
    m_handler.delay = 1h;
    m_runtime.pause();
    auto const deadline = m_runtime.now() + 10min;
    std::optional<Peer::FetchConfigurationReply> reply;
    bool ended = false;
    auto task = [&]() -> Core::Awaitable<void> {
        Peer::FetchConfigurationRequest const request { 1 };
        reply = co_await m_client->fetchConfiguration(m_endpoint, request, deadline, m_error);
        ended = true;
    };
    m_runtime.spawn(task());
    m_context.run_for(100ms);
    EXPECT_FALSE(ended);
    m_runtime.advance(10min);
    m_context.restart();
    m_context.run_for(100ms);
    EXPECT_TRUE(ended);
    EXPECT_EQ(m_error.kind, Core::ErrorKind::DeadlineExceeded);
}

// Guards against a handler's exception that ends the process or the connection.
TEST_F(PeerTest, HandlerFailureFailsTheCallOnly)
{
    EXPECT_FALSE(fetch(13));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::PeerUnreachable);
    EXPECT_EQ(m_error.runState, Core::RunState::Unknown);
    EXPECT_TRUE(fetch());
}

// Guards against unbounded memory use through large messages in either direction.
TEST_F(PeerTest, RejectsMessagesOverTheLimit)
{
    Peer::ReplicateRequest large { "n", { {} } };
    large.records.front().requestJson.assign(Peer::maximumMessageBytes + 1, 'x');
    EXPECT_FALSE(run(m_client->replicate(m_endpoint, large, soon(), m_error)));
    EXPECT_EQ(m_error.runState, Core::RunState::NotRun);
    m_handler.replyBytes = Peer::maximumMessageBytes + 1;
    EXPECT_FALSE(fetch());
    m_handler.replyBytes = Peer::maximumMessageBytes - 1024;
    EXPECT_TRUE(fetch()) << m_error.message;
}

// Guards against a malformed peer that stops the process or the service for other peers.
TEST_F(PeerTest, SurvivesMalformedPeers)
{
    sendRaw("GET / HTTP/1.1\r\n\r\n");
    sendRaw(std::string(4096, '\xff'));
    // A segment table that declares one segment of 2^31 words.
    sendRaw(std::string("\0\0\0\0\0\0\0\x80", 8));
    // A well-formed frame with a root pointer out of bounds.
    sendRaw(std::string("\0\0\0\0\x01\0\0\0\xfc\xff\xff\x7f\x01\0\x01\0", 16));
    EXPECT_TRUE(fetch()) << m_error.message;
}

// Guards against a destructor that hangs or leaves a call waiting forever.
TEST_F(PeerTest, DestroyingTheClientEndsItsCalls)
{
    m_handler.delay = 10s;
    auto clientStop = m_runtime.callAt(m_runtime.now() + 100ms, [this] { m_client.reset(); });
    EXPECT_FALSE(fetch());
    EXPECT_EQ(m_error.kind, Core::ErrorKind::Cancelled);
}
