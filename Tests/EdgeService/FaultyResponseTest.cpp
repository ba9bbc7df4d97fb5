#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

// Servers whose responses are faulty. No bytes of these may reach the client as a complete response.
class FaultyResponseTest : public EdgeServiceTest {
protected:
    static constexpr std::size_t uploadSize = 400'000;

    static std::string unframedHead(std::string const& version = "HTTP/1.1", std::string const& type = "text/plain")
    {
        return version + " 200 OK\r\nContent-Type: " + type + "\r\nX-Hyssopstep-Attempt-Id: id1\r\nX-Hyssopstep-Server-Seal: seal\r\n\r\n";
    }

    // Sends a long upload to servers that reply to its head. Returns the response.
    std::string upload(std::string const& path, std::string const& bytes, Reply::Ending ending)
    {
        for (int i = 0; i < 2; ++i)
            addServer([](auto const&) { return Reply {}; }).replyEarly([=](auto const&) { return Reply { .bytes = bytes, .trailingDelay = ending == Reply::Ending::Reset ? 0ms : 100ms, .ending = ending }; });
        start();
        return exchange(request(path, "id1", "POST", "Connection: close\r\nContent-Length: " + std::to_string(uploadSize) + "\r\n") + std::string(uploadSize, 'u'));
    }

    std::string send(std::string const& path, Reply const& reply)
    {
        addServer([=](auto const&) { return reply; });
        m_retrySlack = 0;
        start();
        return exchange(request(path, "id1", "POST", "Connection: close\r\nContent-Length: 0\r\n"));
    }

    static void expectRefused(std::string const& response) { EXPECT_EQ(statusOf(response), "502") << response.substr(0, 1000); }

    static void expectRefusedOrBroken(std::string const& response)
    {
        if (statusOf(response) == "200")
            EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << response.substr(0, 1000);
        else
            expectRefused(response);
    }
};

// Guards against a part of a body that passes for a whole one: the failed write consumes the error of the reset, and the read after it
// sees a regular end of the connection.
TEST_F(FaultyResponseTest, EarlyResetOfAnUnframedResponseToANonIdempotentUpload) { expectRefused(upload("/unsafe/1", unframedHead() + "part", Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, EarlyResetOfAnUnframedResponseToAnIdempotentUpload) { expectRefused(upload("/safe/1", unframedHead() + "part", Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, EarlyResetOfAnUnframedStream) { expectRefusedOrBroken(upload("/stream/1", unframedHead("HTTP/1.1", "text/event-stream") + event(1), Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, EarlyResetOfAnUnframedResumableStream) { expectRefusedOrBroken(upload("/resume/1", unframedHead("HTTP/1.1", "text/event-stream") + event(1), Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, EarlyResetOfAnHttp10Response) { expectRefused(upload("/unsafe/1", unframedHead("HTTP/1.0") + "part", Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, EarlyResetOfAChunkedResponse) { expectRefused(upload("/unsafe/1", streamHead("id1") + chunk("part"), Reply::Ending::Reset)); }
TEST_F(FaultyResponseTest, ResetAfterTheUpload) { expectRefused(upload("/unsafe/1", unframedHead() + "part", Reply::Ending::ResetAfterRequest)); }
TEST_F(FaultyResponseTest, ResetOfAStreamAfterTheUpload) { expectRefusedOrBroken(upload("/stream/1", unframedHead("HTTP/1.1", "text/event-stream") + event(1), Reply::Ending::ResetAfterRequest)); }

// A complete response to an upload that the server does not want to read is passed on.
TEST_F(FaultyResponseTest, EarlyCompleteResponseReachesTheClient)
{
    auto const response = upload("/unsafe/1", httpResponse("id1", "too large", "Connection: close\r\n", "413 Content Too Large"), Reply::Ending::Reset);
    EXPECT_EQ(statusOf(response), "413") << response;
}

// Guards against a status that is no status (RFC 9110, section 15): what is below 100 passed for an interim response, after which the
// request waited for another one.
class FaultyStatusTest : public FaultyResponseTest, public testing::WithParamInterface<std::string> { };

TEST_P(FaultyStatusTest, IsRefused) { expectRefused(send("/unsafe/1", { .bytes = httpResponse("id1", "body", "", GetParam() + " OK") })); }
TEST_P(FaultyStatusTest, IsRefusedForAStream) { expectRefused(send("/stream/1", { .bytes = httpResponse("id1", event(1), "Content-Type: text/event-stream\r\n", GetParam() + " OK") })); }

INSTANTIATE_TEST_SUITE_P(Statuses, FaultyStatusTest, testing::Values("000", "099", "00", "0200", "99999"), [](auto const& item) { return "Status" + item.param; });

TEST_F(FaultyResponseTest, CutWithinAChunk) { expectRefused(send("/unsafe/1", { .bytes = streamHead("id1") + "8\r\npart", .ending = Reply::Ending::Close })); }
TEST_F(FaultyResponseTest, CutBeforeTheLastChunk) { expectRefused(send("/unsafe/1", { .bytes = streamHead("id1") + chunk("part"), .ending = Reply::Ending::Close })); }
TEST_F(FaultyResponseTest, CutWithinTheLastChunk) { expectRefused(send("/unsafe/1", { .bytes = streamHead("id1") + chunk("part") + "0\r\n\r", .ending = Reply::Ending::Close })); }
TEST_F(FaultyResponseTest, ResetWithinTheLastChunk) { expectRefused(send("/unsafe/1", { .bytes = streamHead("id1") + chunk("part") + "0\r\n", .ending = Reply::Ending::Reset })); }
TEST_F(FaultyResponseTest, StreamCutWithinTheLastChunk) { expectRefusedOrBroken(send("/stream/1", { .bytes = streamHead("id1") + chunk(event(1)) + "0\r\n\r", .ending = Reply::Ending::Close })); }

TEST_F(FaultyResponseTest, CutAtTheLastByteOfTheBody)
{
    auto bytes = httpResponse("id1", "body");
    bytes.pop_back();
    expectRefused(send("/unsafe/1", { .bytes = bytes, .ending = Reply::Ending::Close }));
}

TEST_F(FaultyResponseTest, Http10ResponseCutAtTheLastByteOfTheBody)
{
    auto bytes = httpResponse("id1", "body").replace(0, 8, "HTTP/1.0");
    bytes.pop_back();
    expectRefused(send("/unsafe/1", { .bytes = bytes, .ending = Reply::Ending::Close }));
}

TEST_F(FaultyResponseTest, Http10ResponseWithoutLengthThatIsReset)
{
    expectRefused(send("/unsafe/1", { .bytes = unframedHead("HTTP/1.0"), .trailingBytes = "part", .trailingDelay = 50ms, .ending = Reply::Ending::Reset }));
}

// The same faults on a connection that has served a request.
class PooledConnectionTest : public FaultyResponseTest, public testing::WithParamInterface<std::string> { };

TEST_P(PooledConnectionTest, FaultyResponseIsRefused)
{
    auto const faulty = GetParam();
    auto& server = addServer([=, number = 0](auto const& request) mutable {
        if (++number == 1)
            return Reply { httpResponse(attemptIdOf(request), "body", "Keep-Alive: timeout=5\r\n") };
        return Reply { .bytes = faulty, .ending = Reply::Ending::Close };
    });
    m_retrySlack = 0;
    start();
    EXPECT_EQ(statusOf(exchange(request("/unsafe/0", "id0", "POST", "Connection: close\r\nContent-Length: 0\r\n"))), "200");
    expectRefused(exchange(request("/unsafe/1", "id1", "POST", "Connection: close\r\nContent-Length: 0\r\n")));
    // The second one is opened after the fault, to learn whether the server is gone.
    EXPECT_EQ(server.connections, 2u);
    EXPECT_EQ(server.requests.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Faults, PooledConnectionTest, testing::Values(std::string("HTTP/1.1 200 OK\r\nX-Hyss"), httpResponse("id1", "body", "", "000 OK"), httpResponse("id1", "body", "", "0200 OK"), streamHead("id1") + "8\r\npart", streamHead("id1") + chunk("part") + "0\r\n", httpResponse("id1", "body").substr(0, httpResponse("id1", "body").size() - 1)));
