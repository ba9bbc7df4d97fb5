#include <EdgeService/EdgeServiceFixture.h>
#include <boost/asio/ip/udp.hpp>

using namespace EdgeServiceTests;

// Server s2 states in its responses that it is leaving. Its entry does not say so, as while the store is silent. Server s1 stays. With equal load,
// requests without a prompt go to s2, whose id has the greater hash.
class LeavingServerTest : public EdgeServiceTest {
protected:
    static constexpr std::uint64_t born = 1000;
    static constexpr std::string_view statement = "Server-Leaving: 1\r\n";

    void addServers(RawServer::Script leaving)
    {
        addServer([](auto const& request) { return Reply { respond(request) }; });
        addServer(std::move(leaving));
        putServerState("s2", "ready", born);
    }

    static std::string respond(std::string const& request, std::string_view headers = {})
    {
        auto const id = attemptIdOf(request);
        if (request.find(" /stream/") == std::string::npos)
            return httpResponse(id, "body", std::string(headers));
        auto head = streamHead(id);
        head.insert(head.find("\r\n") + 2, headers);
        return head + chunk(event(1)) + "0\r\n\r\n";
    }

    // Returns the response to the first request, which the leaving server receives.
    std::string sendFirst(std::string const& path)
    {
        auto response = send(path);
        EXPECT_EQ(m_servers[1]->requests.size(), 1u);
        return response;
    }

    std::string send(std::string const& path)
    {
        return exchange(request(path, "id" + std::to_string(++m_requests), "POST", "Connection: close\r\nContent-Length: 0\r\n"));
    }

    void expectOutOfUse(std::string const& path)
    {
        static constexpr int count = 20;
        auto const before = m_servers[1]->requests.size();
        for (int i = 0; i < count; ++i)
            EXPECT_EQ(statusOf(send(path)), "200");
        EXPECT_EQ(m_servers[1]->requests.size(), before);
    }

    int m_requests { 0 };
};

// Guards against new work for a server that states in a response that it is leaving, while its entry in the store does not say so (DRAIN).
TEST_F(LeavingServerTest, GetsNoNewRequestsAfterAResponse)
{
    addServers([](auto const& request) { return Reply { respond(request, statement) }; });
    start();
    EXPECT_NE(sendFirst("/unsafe/1").find(statement), std::string::npos);
    expectOutOfUse("/unsafe/1");
    expectOutOfUse("/stream/1");
}

// Guards against the same after the first bytes of a stream (DRAIN).
TEST_F(LeavingServerTest, GetsNoNewRequestsAfterTheHeadOfAStream)
{
    addServers([](auto const& request) { return Reply { respond(request, statement) }; });
    start();
    EXPECT_EQ(statusOf(sendFirst("/stream/1")), "200");
    expectOutOfUse("/safe/1");
}

// Guards against the same after a refusal, which the client does not see because another server takes the request (DRAIN).
TEST_F(LeavingServerTest, GetsNoNewRequestsAfterARefusal)
{
    addServers([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "full", "X-Hyssopstep-Not-Executed: 1\r\n" + std::string(statement), "503 Service Unavailable") }; });
    start();
    EXPECT_EQ(statusOf(sendFirst("/unsafe/1")), "200");
    expectOutOfUse("/unsafe/1");
}

// Guards against a server that is used again because its entry is read again: after it expired, and from a restored store (DRAIN).
TEST_F(LeavingServerTest, StaysOutOfUseUntilItStartsAgain)
{
    addServers([](auto const& request) { return Reply { respond(request, statement) }; });
    start();
    auto const copy = m_store.objects();
    (void)sendFirst("/unsafe/1");
    m_store.erase("servers", "s2");
    waitFor([&] { return m_service->tables().servers.rows.size() == 1; });
    putServerState("s2", "ready", born);
    waitFor([&] { return m_service->tables().servers.rows.size() == 2; });
    EXPECT_FALSE(isLive("s2"));
    m_store.restore(copy);
    putServerState("s1", "ready");
    waitFor([&] { return m_service->tables().serversRevision.era == 2; });
    EXPECT_FALSE(isLive("s2"));
    expectOutOfUse("/unsafe/1");
    putServerState("s2", "ready", born + 1);
    waitFor([&] { return isLive("s2"); });
}

// Guards against a server that is taken out of use because another process at its address is leaving.
TEST_F(LeavingServerTest, StatementOfAnotherProcessIsNotTakenForTheServers)
{
    addServers([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "", std::string(statement), "421 Misdirected Request") }; });
    start();
    EXPECT_EQ(statusOf(sendFirst("/unsafe/1")), "200");
    EXPECT_TRUE(isLive("s2"));
}

// Guards against new work at a node that hears of a leaving server from another one only, and against a node that does not pass it on (DRAIN).
TEST_F(LeavingServerTest, GetsNoNewRequestsAfterTheReportOfAnotherNode)
{
    using asio::ip::udp;
    auto const anyPort = udp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
    m_peerListen.port = udp::socket(m_loop.runtime().context(), anyPort).local_endpoint().port();
    udp::socket peer(m_loop.runtime().context(), anyPort);
    addServers([](auto const& request) { return Reply { respond(request) }; });
    start();
    Forward::NodeReport report;
    report.node = "n2";
    report.incarnation = 1;
    report.dataCentre = "a";
    report.endpoint = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
    report.leavingServers = { { Forward::hashId("s2"), born } };
    peer.send_to(asio::buffer(Forward::encodeReport(report)), udp::endpoint(anyPort.address(), m_peerListen.port));
    waitFor([&] { return !isLive("s2"); });
    expectOutOfUse("/unsafe/1");
    auto const receive = [](udp::socket& socket) -> Core::Awaitable<std::optional<Forward::NodeReport>> {
        std::array<char, 64 * 1024> buffer {};
        auto [error, length] = co_await socket.async_receive(asio::buffer(buffer), useTuple);
        co_return Forward::decodeReport({ buffer.data(), length });
    };
    auto const received = m_loop.run(receive(peer));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->leavingServers, report.leavingServers);
}
