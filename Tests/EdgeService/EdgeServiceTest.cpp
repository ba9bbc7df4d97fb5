#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

TEST_F(EdgeServiceTest, ResponsesPassThroughUnchanged)
{
    auto& server = addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "body", "X-Other: 1\r\n") }; });
    start();
    auto const response = exchange(request("/safe/1?q=2"));
    EXPECT_EQ(statusOf(response), "200");
    EXPECT_NE(response.find("X-Hyssopstep-Server-Seal: seal\r\n"), std::string::npos);
    EXPECT_NE(response.find("X-Other: 1\r\n"), std::string::npos);
    EXPECT_TRUE(response.ends_with("\r\n\r\nbody"));
    ASSERT_EQ(server.requests.size(), 1u);
    EXPECT_TRUE(server.requests[0].starts_with("GET /safe/1?q=2 HTTP/1.1\r\n"));
    EXPECT_NE(server.requests[0].find("Host: h.example\r\n"), std::string::npos);
    EXPECT_NE(server.requests[0].find("X-Hyssopstep-Tenant: team\r\n"), std::string::npos);
    EXPECT_EQ(server.requests[0].find("Token k1"), std::string::npos);
}

TEST_F(EdgeServiceTest, RefusedRequestsGetTheMatchingStatus)
{
    auto& server = addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "body") }; });
    start();
    EXPECT_EQ(statusOf(exchange(request("/nowhere/"))), "404");
    EXPECT_EQ(statusOf(exchange("GET /safe/1 HTTP/1.1\r\nHost: h.example\r\nX-Hyssopstep-Attempt-Id: i\r\nAuthorization: Token other\r\n\r\n")), "401");
    EXPECT_TRUE(server.requests.empty());
}

// Guards against request smuggling: bytes after a body of unknown coding must not be parsed as a second request.
TEST_F(EdgeServiceTest, AmbiguousRequestsAreRefusedAndTheirConnectionClosed)
{
    auto& server = addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "body") }; });
    start();
    auto const smuggled = request("/unsafe/1", "smuggled", "POST");
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "a", "POST", "Transfer-Encoding: xchunked\r\n") + smuggled)), "400");
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "a", "POST", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") + smuggled)), "400");
    EXPECT_EQ(statusOf(exchange("GET /safe/1 HTTP/1.1\r\nX-Hyssopstep-Attempt-Id: i\r\n\r\n")), "400");
    EXPECT_TRUE(server.requests.empty());
}

// Guards against a response to an earlier request reaching the wrong client.
TEST_F(EdgeServiceTest, UnsolicitedResponseIsSkipped)
{
    addServer([](auto const& request) {
        auto const id = attemptIdOf(request);
        return Reply { .bytes = httpResponse(id, "for " + id), .trailingBytes = httpResponse(id, "extra " + id, "X-Extra: 1\r\n"), .trailingDelay = 30ms };
    });
    start();
    for (int i = 0; i < 10; ++i) {
        auto const id = "id" + std::to_string(i);
        auto const response = exchange(request("/unsafe/1", id, "POST"), 60ms);
        EXPECT_TRUE(response.ends_with("for " + id)) << response;
    }
}

// Guards against a second execution of a non-idempotent request: after a reset it is unknown whether the request ran.
TEST_F(EdgeServiceTest, NonIdempotentRequestIsSentOnce)
{
    for (int i = 0; i < 3; ++i)
        addServer([](auto const&) { return Reply { .bytes = {}, .ending = Reply::Ending::Reset }; });
    start();
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "u", "POST"))), "502");
    std::size_t arrivals = 0;
    for (auto const& server : m_servers)
        arrivals += server->requests.size();
    EXPECT_EQ(arrivals, 1u);
    // An idempotent request is tried at as many servers as its route allows.
    EXPECT_EQ(statusOf(exchange(request("/safe/1", "s"))), "502");
    arrivals = 0;
    for (auto const& server : m_servers)
        arrivals += server->requests.size();
    EXPECT_EQ(arrivals, 3u);
}

// Guards against a server's error response being replaced by an error response of this system.
TEST_F(EdgeServiceTest, ServerErrorIsReturnedWhenNoRetrySucceeds)
{
    int arrivals = 0;
    for (int i = 0; i < 2; ++i) {
        addServer([&arrivals](auto const& request) {
            if (++arrivals == 1)
                return Reply { httpResponse(attemptIdOf(request), "failed", {}, "500 Internal Server Error") };
            return Reply { .bytes = {}, .ending = Reply::Ending::Reset };
        });
    }
    start();
    auto const response = exchange(request("/safe/1"));
    EXPECT_EQ(statusOf(response), "500");
    EXPECT_NE(response.find("Seal: seal"), std::string::npos);
    EXPECT_EQ(arrivals, 2);
}

TEST_F(EdgeServiceTest, UnexecutedRequestIsRefusedWithRetryAfter)
{
    addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable") }; });
    start();
    auto const response = exchange(request("/unsafe/1", "u", "POST"));
    EXPECT_EQ(statusOf(response), "503");
    EXPECT_NE(response.find("Retry-After: 0.25\r\n"), std::string::npos);
    EXPECT_EQ(response.find("Seal"), std::string::npos);
}

TEST_F(EdgeServiceTest, TruncatedResponsesDoNotReachTheClient)
{
    addServer([](auto const& request) {
        auto bytes = httpResponse(attemptIdOf(request), "complete body");
        bytes.resize(bytes.size() - 4);
        return Reply { .bytes = bytes, .ending = Reply::Ending::Close };
    });
    start();
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "u", "POST"))), "502");
}

TEST_F(EdgeServiceTest, ResponseWithoutLengthEndsWithItsConnection)
{
    addServer([](auto const& request) {
        return Reply { .bytes = "HTTP/1.1 200 OK\r\nX-Hyssopstep-Server-Seal: seal\r\nX-Hyssopstep-Attempt-Id: " + attemptIdOf(request) + "\r\n\r\nunframed", .ending = Reply::Ending::Close };
    });
    start();
    auto const response = exchange(request("/unsafe/1", "u", "POST"));
    EXPECT_EQ(statusOf(response), "200");
    EXPECT_NE(response.find("Content-Length: 8\r\n"), std::string::npos);
}

// Guards against a request that stays open beyond its route's timeout.
TEST_F(EdgeServiceTest, RequestEndsAtItsRouteTimeout)
{
    addServer([](auto const& request) { return Reply { .bytes = httpResponse(attemptIdOf(request), "late"), .delay = 5s }; });
    start();
    putConfiguration(2, R"("k1")", "300");
    waitFor([&] { return m_service->tables().routes->version == 2; });
    auto const sentAt = m_loop.runtime().now();
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "u", "POST"))), "504");
    EXPECT_LT(m_loop.runtime().now() - sentAt, 2s);
}

// Guards against servers working for a client that has disconnected.
TEST_F(EdgeServiceTest, ServerConnectionIsClosedWhenTheClientDisconnects)
{
    auto& server = addServer([](auto const& request) { return Reply { .bytes = httpResponse(attemptIdOf(request), "late"), .delay = 5s }; });
    start();
    (void)exchange(request("/safe/1"), 100ms);
    waitFor([&] { return server.abortedConnections == 1; });
    EXPECT_EQ(server.requests.size(), 1u);
}

TEST_F(EdgeServiceTest, EventsAreForwardedAsTheyArrive)
{
    addServer([](auto const& request) {
        return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1) + "id: 2\nda"), .trailingBytes = chunk("ta: e2\n\n") + "0\r\n\r\n", .trailingDelay = 400ms };
    });
    start();
    // The exchange ends after 200 ms without data, before the second event is sent at 400 ms.
    auto const first = exchange(request("/stream/1", "s", "POST"), 200ms);
    EXPECT_NE(first.find(chunk(event(1))), std::string::npos);
    EXPECT_EQ(first.find("id: 2"), std::string::npos);
    auto const complete = exchange(request("/stream/1", "s", "POST"), 700ms);
    EXPECT_NE(complete.find(chunk(event(2))), std::string::npos);
    EXPECT_TRUE(complete.ends_with("0\r\n\r\n"));
}

// A server whose entry lapses, because it was slow to renew it or the store forgot it, still finishes what it works on.
TEST_F(EdgeServiceTest, RequestInProgressSurvivesTheRemovalOfItsServer)
{
    for (int i = 0; i < 2; ++i)
        addServer([](auto const& request) { return Reply { .bytes = httpResponse(attemptIdOf(request), "finished"), .delay = 600ms }; });
    start();
    m_loop.runtime().spawn([](Core::Runtime& runtime, StandIns::StoreStandIn& store) -> Core::Awaitable<void> {
        co_await runtime.sleepFor(150ms);
        store.erase("servers", "s1");
        store.erase("servers", "s2");
    }(m_loop.runtime(), m_store));
    auto const response = exchange(request("/unsafe/1", "u", "POST"), 1500ms);
    EXPECT_EQ(statusOf(response), "200") << response;
    EXPECT_EQ(m_servers[0]->requests.size() + m_servers[1]->requests.size(), 1u);
}

// Servers in trouble send bytes that are no answer until the caller closes. The connection must be closed long before the deadline of
// four seconds, and after a bounded number of bytes.
class EndlessResponseTest : public EdgeServiceTest {
protected:
    // 16 times the largest answer that a request may have in the buffers of the sockets.
    static constexpr std::size_t maximumBytes = 24 * 1024 * 1024;

    void expectRefusal(std::string const& path, RawServer::Script script)
    {
        auto& server = addServer(std::move(script));
        start();
        auto const sentAt = m_loop.runtime().now();
        auto const response = exchange(request(path, "u", "POST", "Connection: close\r\n"), 3500ms);
        EXPECT_EQ(statusOf(response), "502") << response.substr(0, 200);
        EXPECT_LT(m_loop.runtime().now() - sentAt, 2500ms);
        waitFor([&] { return server.abortedConnections == 1; });
        EXPECT_LE(server.repeatedBytesSent, maximumBytes);
        EXPECT_EQ(server.requests.size(), 1u);
    }

    Core::Awaitable<void> countEnd(std::string bytes, std::size_t& ended)
    {
        (void)co_await exchangeTask(std::move(bytes), 10s);
        ++ended;
    }
};

TEST_F(EndlessResponseTest, Header)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .bytes = "HTTP/1.1 200 OK\r\n", .repeatedBytes = "X-Filler: " + std::string(1000, 'x') + "\r\n" }; });
}

TEST_F(EndlessResponseTest, HeaderLine)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .bytes = "HTTP/1.1 200 OK\r\nX-Filler: ", .repeatedBytes = std::string(4000, 'x') }; });
}

TEST_F(EndlessResponseTest, BytesThatAreNoResponse)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .repeatedBytes = std::string(4000, 'x') }; });
}

TEST_F(EndlessResponseTest, InterimResponses)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .repeatedBytes = "HTTP/1.1 103 Early Hints\r\n\r\n" }; });
}

TEST_F(EndlessResponseTest, ResponsesToOtherRequests)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .repeatedBytes = httpResponse("another", std::string(2000, 'x')) }; });
}

TEST_F(EndlessResponseTest, BodyOfAResponseToAnotherRequest)
{
    expectRefusal("/unsafe/1", [](auto const&) { return Reply { .bytes = streamHead("another"), .repeatedBytes = chunk(std::string(4000, 'x')) }; });
}

TEST_F(EndlessResponseTest, BodyWithoutLength)
{
    expectRefusal("/unsafe/1", [](auto const& request) { return Reply { .bytes = "HTTP/1.1 200 OK\r\nX-Hyssopstep-Server-Seal: seal\r\nX-Hyssopstep-Attempt-Id: " + attemptIdOf(request) + "\r\n\r\n", .repeatedBytes = std::string(4000, 'x') }; });
}

TEST_F(EndlessResponseTest, ChunkedBody)
{
    expectRefusal("/unsafe/1", [](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)), .repeatedBytes = chunk(std::string(4000, 'x')) }; });
}

TEST_F(EndlessResponseTest, ChunkExtension)
{
    expectRefusal("/unsafe/1", [](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)) + "5;x=", .repeatedBytes = std::string(4000, 'x') }; });
}

TEST_F(EndlessResponseTest, Trailer)
{
    expectRefusal("/unsafe/1", [](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk("body") + "0\r\n", .repeatedBytes = "X-Filler: " + std::string(1000, 'x') + "\r\n" }; });
}

TEST_F(EndlessResponseTest, Event)
{
    expectRefusal("/stream/1", [](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)), .repeatedBytes = chunk(std::string(4000, 'x')) }; });
}

// Guards against a node that runs out of memory because many streams hold an event that does not end.
TEST_F(EndlessResponseTest, EventsOfManyStreamsAreBoundedTogether)
{
    static constexpr std::size_t streams = 64;
    static constexpr std::size_t bytesOfAnEvent = 900 * 1024;
    // A quarter of the memory of a small host.
    static constexpr std::size_t maximumBytesHeld = 40 * 1024 * 1024;
    addServer([](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk("id: 1\ndata: " + std::string(bytesOfAnEvent, 'x')) }; });
    start();
    std::size_t ended = 0;
    for (std::size_t i = 0; i < streams; ++i)
        m_loop.runtime().spawn(countEnd(request("/stream/1", "u" + std::to_string(i), "POST", "Connection: close\r\n"), ended));
    auto const sentAt = m_loop.runtime().now();
    waitFor([&] { return m_servers[0]->requests.size() == streams && (streams - ended) * bytesOfAnEvent <= maximumBytesHeld; });
    // Before the deadline of four seconds ends them all.
    EXPECT_LT(m_loop.runtime().now() - sentAt, 3s);
    EXPECT_GT(ended, 0u);
    waitFor([&] { return ended == streams; });
}

// Bytes after a complete response belong to no request.
TEST_F(EndlessResponseTest, AfterACompleteResponse)
{
    addServer([](auto const& request) { return Reply { .bytes = httpResponse(attemptIdOf(request), "complete"), .repeatedBytes = httpResponse(attemptIdOf(request), "another") }; });
    start();
    for (int i = 0; i < 3; ++i) {
        auto const response = exchange(request("/unsafe/1", "u" + std::to_string(i), "POST"));
        EXPECT_EQ(statusOf(response), "200");
        EXPECT_TRUE(response.ends_with("complete")) << response;
    }
}

// A server sends a second copy of its answer while its connection is used for the next request.
TEST_F(EdgeServiceTest, SecondCopyOfAnAnswerDoesNotReachTheNextCaller)
{
    std::string first;
    addServer([&](auto const& request) {
        auto const id = attemptIdOf(request);
        auto const response = httpResponse(id, "answer to " + id);
        if (first.empty()) {
            first = response;
            return Reply { .bytes = response };
        }
        return Reply { .bytes = first, .trailingBytes = response, .trailingDelay = 100ms };
    });
    start();
    EXPECT_TRUE(exchange(request("/unsafe/1", "u1", "POST"), 100ms).ends_with("answer to u1"));
    EXPECT_TRUE(exchange(request("/unsafe/2", "u2", "POST")).ends_with("answer to u2"));
    EXPECT_EQ(m_servers[0]->connections, 1u);
}

// Guards against a promise that a request has not run that its server did not give: an earlier refusal that arrived once more, or one
// that names no request.
TEST_F(EdgeServiceTest, RefusalOfAnotherRequestIsNotBelieved)
{
    static constexpr auto refusalHeader = "X-Hyssopstep-Not-Executed: 1\r\n";
    std::string refusal;
    for (int i = 0; i < 2; ++i) {
        addServer([&](auto const& request) {
            auto const id = attemptIdOf(request);
            if (id == "refused")
                return Reply { .bytes = refusal = httpResponse(id, "", refusalHeader, "503 Service Unavailable") };
            if (id == "repeated")
                return Reply { .bytes = refusal, .trailingBytes = httpResponse(id, "ran"), .trailingDelay = 50ms };
            return Reply { .bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Hyssopstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", .trailingBytes = httpResponse(id, "ran"), .trailingDelay = 50ms };
        });
    }
    start();
    auto const arrivals = [&] { return m_servers[0]->requests.size() + m_servers[1]->requests.size(); };
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "refused", "POST"), 100ms)), "503");
    EXPECT_EQ(arrivals(), 2u);
    EXPECT_TRUE(exchange(request("/unsafe/1", "repeated", "POST")).ends_with("ran"));
    EXPECT_EQ(arrivals(), 3u);
    EXPECT_EQ(m_servers[0]->connections + m_servers[1]->connections, 2u);
    EXPECT_EQ(statusOf(exchange(request("/unsafe/1", "unnamed", "POST"))), "502");
    EXPECT_EQ(arrivals(), 4u);
}

// Guards against the same at an address that has two entries: the refusal as the first server arrives once more while the request runs.
TEST_F(EdgeServiceTest, RepeatedRefusalOfTheSameAttemptIsNotBelieved)
{
    std::string refusal;
    addServer([&](auto const& request) {
        auto const id = attemptIdOf(request);
        if (refusal.empty())
            return Reply { .bytes = refusal = httpResponse(id, "", {}, "421 Misdirected Request") };
        return Reply { .bytes = m_servers[0]->connections == 1 ? refusal : "", .trailingBytes = httpResponse(id, "ran"), .trailingDelay = 50ms };
    });
    start();
    m_store.put("servers", "other", R"({"service":"app","address":")" + m_servers[0]->endpoint().toString() + R"(","zone":"a","slots":6,"state":"ready","seq":1})");
    waitFor([&] { return isLive("other"); });
    EXPECT_TRUE(exchange(request("/unsafe/1", "u", "POST")).ends_with("ran"));
}

// Guards against the status of a refusal for a request that its server may have run.
TEST_F(EdgeServiceTest, RefusalStatusWithoutAStatementOfTheServerIsNotPassedOn)
{
    std::string status;
    addServer([&](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "", {}, status) }; });
    start();
    for (auto const* refusal : { "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable" }) {
        status = refusal;
        auto const response = exchange(request("/unsafe/1", "u", "POST"), 100ms);
        EXPECT_EQ(statusOf(response), "502");
        EXPECT_EQ(response.find("Seal"), std::string::npos);
    }
}

// The same without any mark of the request that it belongs to.
TEST_F(EdgeServiceTest, UnmarkedStreamIsNotForwarded)
{
    addServer([](auto const&) { return Reply { .bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n" }; });
    start();
    EXPECT_EQ(statusOf(exchange(request("/stream/1", "s", "POST"))), "502");
}

// A server that sends a byte now and then, but no event, is as stalled as a silent one.
TEST_F(EdgeServiceTest, StreamThatOnlySendsSingleBytesContinuesAtAnotherServer)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
                return Reply { streamHead(attemptIdOf(request)) + chunk(event(2)) + "0\r\n\r\n" };
            return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .repeatedBytes = chunk(":"), .repeatInterval = 150ms };
        });
    }
    start();
    auto const response = exchange(request("/resume/1", "s", "POST"), 1800ms);
    EXPECT_NE(response.find(chunk(event(2)) + "0\r\n\r\n"), std::string::npos) << response;
}

// A slow stream is not given up while no other server may continue it.
TEST_F(EdgeServiceTest, SlowStreamIsNotCutOffWithoutARetryBudget)
{
    m_retrySlack = 0;
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            bool const isResumed = request.find("Last-Event-Id: 1\r\n") != std::string::npos;
            return Reply { .bytes = streamHead(attemptIdOf(request)) + (isResumed ? "" : chunk(event(1))), .trailingBytes = chunk(event(2)) + "0\r\n\r\n", .trailingDelay = 1400ms };
        });
    }
    start();
    // A new budget holds a few retries.
    for (int i = 0; i < 3; ++i) {
        auto const response = exchange(request("/resume/1", "s" + std::to_string(i), "POST"), 3s);
        EXPECT_TRUE(response.ends_with("\r\n\r\n" + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n")) << response;
    }
}

// Guards against a stream that appears complete although its server aborted it.
TEST_F(EdgeServiceTest, InterruptedStreamDoesNotLookComplete)
{
    for (int i = 0; i < 2; ++i)
        addServer([](auto const& request) { return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1) + "id: 2\nda"), .ending = Reply::Ending::Reset }; });
    start();
    auto const response = exchange(request("/stream/1", "s", "POST"));
    EXPECT_NE(response.find(chunk(event(1))), std::string::npos);
    EXPECT_FALSE(response.ends_with("0\r\n\r\n"));
    EXPECT_EQ(m_servers[0]->requests.size() + m_servers[1]->requests.size(), 1u);
}

// Guards against lost or duplicate events when a stream continues at another server.
TEST_F(EdgeServiceTest, ResumableStreamContinuesAfterTheLastCompleteEvent)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
                return Reply { streamHead(attemptIdOf(request)) + chunk(event(2) + event(3)) + "0\r\n\r\n" };
            return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1) + "id: 2\nda"), .ending = Reply::Ending::Reset };
        });
    }
    start();
    auto const response = exchange(request("/resume/1", "s", "POST"));
    EXPECT_NE(response.find(chunk(event(1)) + chunk(event(2) + event(3)) + "0\r\n\r\n"), std::string::npos) << response;
    EXPECT_EQ(response.find("HTTP/1.1", 10), std::string::npos);
}

// Guards against a client waiting for a server that stalls in the middle of a stream.
TEST_F(EdgeServiceTest, StalledResumableStreamContinuesAtAnotherServer)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
                return Reply { streamHead(attemptIdOf(request)) + chunk(event(2)) + "0\r\n\r\n" };
            return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .trailingBytes = chunk(event(2)), .trailingDelay = 10s };
        });
    }
    start();
    auto const response = exchange(request("/resume/1", "s", "POST"), 1500ms);
    EXPECT_NE(response.find(chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"), std::string::npos) << response;
    waitFor([&] { return m_servers[0]->abortedConnections + m_servers[1]->abortedConnections == 1; });
}

// Guards against requests that crash one server after the other: they differ in all but one prompt part (BUDGET on a day with a deadly part).
TEST_F(EdgeServiceTest, RequestsWithAPromptPartThatCrashesServersAreRefused)
{
    for (int i = 0; i < 6; ++i) {
        addServer([](auto const& request) {
            if (request.find("deadly:") != std::string::npos)
                return Reply { .bytes = streamHead(attemptIdOf(request)), .ending = Reply::Ending::Crash };
            return Reply { streamHead(attemptIdOf(request)) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n" };
        });
    }
    start();
    std::size_t crashes = 0;
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(sendPrompt("sound"), "200");
        if (sendPrompt("deadly") != "503")
            ++crashes;
    }
    EXPECT_EQ(crashes, 3u);
    EXPECT_EQ(sendPrompt("sound"), "200");
}

// Guards against refusals of sound requests after servers that kept running reset some of them.
TEST_F(EdgeServiceTest, PromptPartOfRequestsThatRunningServersResetIsNotRefused)
{
    bool isResetting = true;
    for (int i = 0; i < 6; ++i) {
        addServer([&](auto const& request) {
            if (isResetting && request.find("unlucky:") != std::string::npos)
                return Reply { .bytes = streamHead(attemptIdOf(request)), .ending = Reply::Ending::Reset };
            return Reply { streamHead(attemptIdOf(request)) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n" };
        });
    }
    start();
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(sendPrompt("other"), "200");
        EXPECT_EQ(sendPrompt("unlucky"), "502");
    }
    isResetting = false;
    EXPECT_EQ(sendPrompt("unlucky"), "200");
}

// Guards against refusals of a repeated request after servers that kept running reset it, and against a request that is passed on after
// it crashed three servers.
TEST_F(EdgeServiceTest, RepeatedRequestIsQuarantinedIfItCrashesServersButNotIfRunningOnesResetIt)
{
    auto ending = Reply::Ending::Reset;
    for (int i = 0; i < 6; ++i) {
        addServer([&](auto const& request) {
            if (ending != Reply::Ending::KeepOpen && request.find("/unsafe/repeated") != std::string::npos)
                return Reply { .ending = ending };
            return Reply { httpResponse(attemptIdOf(request), "body") };
        });
    }
    start();
    int number = 0;
    auto const send = [&](std::string const& path) { return statusOf(exchange(request(path, "id" + std::to_string(++number), "POST"))); };
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(send("/unsafe/repeated"), "502");
    ending = Reply::Ending::KeepOpen;
    EXPECT_EQ(send("/unsafe/repeated"), "200");
    ending = Reply::Ending::Crash;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send("/unsafe/repeated"), "502");
    EXPECT_EQ(send("/unsafe/repeated"), "503");
    EXPECT_EQ(send("/unsafe/other"), "200");
}

// The platform's servers may answer with neither a length nor chunks; the end of the connection is the end of the stream, unless it comes
// within an event.
TEST_F(EdgeServiceTest, StreamWithoutLengthEndsWithItsConnectionUnlessWithinAnEvent)
{
    addServer([](auto const& request) {
        auto head = streamHead(attemptIdOf(request));
        head.erase(head.find("Transfer-Encoding"), std::string("Transfer-Encoding: chunked\r\n").size());
        bool const isWhole = request.find("/stream/whole") != std::string::npos;
        return Reply { .bytes = head + event(1) + (isWhole ? event(2) : std::string("id: 2\nda")), .ending = Reply::Ending::Close };
    });
    start();
    auto const whole = exchange(request("/stream/whole"));
    EXPECT_NE(whole.find(chunk(event(1) + event(2)) + "0\r\n\r\n"), std::string::npos) << whole;
    auto const broken = exchange(request("/stream/broken", "id2"));
    EXPECT_EQ(broken.find("\r\n0\r\n\r\n"), std::string::npos) << broken;
    EXPECT_EQ(broken.find("id: 2"), std::string::npos) << broken;
}

// Guards against an error of the next server in the middle of a stream that has begun, and a stream that looks complete after it.
TEST_F(EdgeServiceTest, BrokenStreamThatCannotContinueIsCutOff)
{
    auto const head = streamHead("ID");
    auto const unframed = [&](std::string text) { return text.erase(text.find("Transfer-Encoding"), std::string("Transfer-Encoding: chunked\r\n").size()); };
    auto const withType = [&](std::string text) { return text.replace(text.find("text/event-stream"), 17, "application/json"); };
    std::string const end = "0\r\n\r\n";
    std::string const errorHead = "HTTP/1.1 500 Internal Server Error\r\nX-Hyssopstep-Attempt-Id: ID\r\n\r\n";
    struct Continuation {
        std::string_view name;
        std::string bytes;
        Reply::Ending ending { Reply::Ending::KeepOpen };
    };
    std::vector<Continuation> const continuations {
        { "error", httpResponse("ID", "text\n\n", {}, "500 Internal Server Error") },
        { "refusal", httpResponse("ID", "text\n\n", "X-Hyssopstep-Not-Executed: 1\r\n", "503 Service Unavailable") },
        { "notFound", httpResponse("ID", "text\n\n", {}, "404 Not Found") },
        { "emptyBody", httpResponse("ID", "", "Content-Type: application/json\r\n") },
        { "errorWithStatus200", withType(head) + chunk("{\"error\":\"text\"}\n\n") + end },
        { "errorInStream", head + chunk("event: error\ndata: text\n\n") + end },
        { "errorHeadInStream", head + chunk(errorHead + "text\n\n") + end },
        { "errorAfterStream", unframed(head) + errorHead + "text\n\n", Reply::Ending::Close },
        { "nothing", unframed(head), Reply::Ending::Close },
        { "reset", unframed(head), Reply::Ending::Reset },
        { "fromTheStart", head + chunk(event(1) + event(2)) + end },
        { "unsigned", "HTTP/1.1 200 OK\r\nX-Hyssopstep-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n" },
    };
    std::size_t current = 0;
    for (int i = 0; i < 2; ++i) {
        addServer([&](auto const& request) {
            auto const id = attemptIdOf(request);
            if (request.find("Last-Event-Id: 1\r\n") == std::string::npos)
                return Reply { .bytes = streamHead(id) + chunk(event(1) + "id: 2\nda"), .ending = Reply::Ending::Reset };
            auto bytes = continuations[current].bytes;
            for (auto at = bytes.find("ID"); at != std::string::npos; at = bytes.find("ID"))
                bytes.replace(at, 2, id);
            return Reply { .bytes = bytes, .ending = continuations[current].ending };
        });
    }
    start();
    for (; current < continuations.size(); ++current) {
        auto const response = exchange(request("/resume/1", "s" + std::to_string(current), "POST"), 300ms);
        auto const body = response.substr(std::min(response.find("\r\n\r\n") + 4, response.size()));
        EXPECT_EQ(body, chunk(event(1))) << continuations[current].name;
    }
}

// A stream whose server broke off after the last event, before its end.
TEST_F(EdgeServiceTest, ResumedStreamWithoutFurtherEventsIsComplete)
{
    for (int i = 0; i < 2; ++i) {
        addServer([](auto const& request) {
            if (request.find("Last-Event-Id: 1\r\n") != std::string::npos)
                return Reply { streamHead(attemptIdOf(request)) + "0\r\n\r\n" };
            return Reply { .bytes = streamHead(attemptIdOf(request)) + chunk(event(1)), .ending = Reply::Ending::Reset };
        });
    }
    start();
    EXPECT_TRUE(exchange(request("/resume/1", "s", "POST")).ends_with(chunk(event(1)) + "0\r\n\r\n"));
}

// A server stops in the middle of its response's head and closes or resets the connection. What the client gets must not look complete.
class TruncatedHeadTest : public EdgeServiceTest {
protected:
    // Returns the head of a response up to a position that depends on the number of the request, counted from 1.
    static Reply truncated(std::string const& head, std::size_t number, Reply::Ending ending) { return { .bytes = head.substr(0, number), .ending = ending }; }

    // Checks that none of the requests is answered with success, whatever the position in the head.
    void expectNoSuccess(std::string const& path, std::string const& head, Reply::Ending ending)
    {
        addServer([&, ending](auto const&) { return truncated(head, ++m_number, ending); });
        m_retrySlack = 0;
        start();
        while (m_number + 1 < head.size()) {
            auto const position = m_number;
            auto const response = exchange(request(path, "u", "POST", "Connection: close\r\nContent-Length: 0\r\n"));
            EXPECT_EQ(statusOf(response), "502") << "after " << position << ": " << response;
            ASSERT_GT(m_number, position);
        }
    }

    std::size_t m_number { 0 };
    std::string const m_plainHead { httpResponse("u", "") };
    std::string const m_unframedHead { "HTTP/1.1 200 OK\r\nX-Hyssopstep-Attempt-Id: u\r\nX-Hyssopstep-Server-Seal: seal\r\n\r\n" };
};

// Guards against a response that is framed as whole although its server stopped within the head (MIXED, ORDER).
TEST_F(TruncatedHeadTest, PlainResponse) { expectNoSuccess("/unsafe/1", m_plainHead, Reply::Ending::Close); }
TEST_F(TruncatedHeadTest, PlainResponseThatIsReset) { expectNoSuccess("/unsafe/1", m_plainHead, Reply::Ending::Reset); }
TEST_F(TruncatedHeadTest, ResponseWithoutLength) { expectNoSuccess("/unsafe/1", m_unframedHead, Reply::Ending::Close); }
TEST_F(TruncatedHeadTest, AfterAnInterimResponse) { expectNoSuccess("/safe/1", "HTTP/1.1 103 Early Hints\r\n\r\n" + m_plainHead, Reply::Ending::Close); }
TEST_F(TruncatedHeadTest, Stream) { expectNoSuccess("/stream/1", streamHead("u"), Reply::Ending::Close); }
TEST_F(TruncatedHeadTest, StreamWithoutLength) { expectNoSuccess("/resume/1", m_unframedHead, Reply::Ending::Close); }

// Guards against a stream that looks complete because the server that continued it stopped within the head (ORDER).
TEST_F(TruncatedHeadTest, ContinuationOfAStream)
{
    auto const head = streamHead("u");
    for (int i = 0; i < 2; ++i) {
        addServer([&](auto const& request) {
            bool const isContinuation = request.find("Last-Event-Id: 1\r\n") != std::string::npos;
            return isContinuation ? truncated(head, ++m_number, Reply::Ending::Close) : Reply { .bytes = head + chunk(event(1)), .ending = Reply::Ending::Close };
        });
    }
    m_retrySlack = 10'000;
    start();
    while (m_number + 1 < head.size()) {
        auto const position = m_number;
        auto const response = exchange(request("/resume/1", "u", "POST", "Connection: close\r\nContent-Length: 0\r\n"));
        EXPECT_EQ(statusOf(response), "200") << response;
        EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << "after " << position << ": " << response;
        ASSERT_GT(m_number, position);
    }
}
