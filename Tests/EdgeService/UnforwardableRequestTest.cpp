#include <EdgeService/EdgeServiceFixture.h>

using namespace EdgeServiceTests;

namespace {

// Fails for requests with a certain id, as a library may for a request that it refuses to send.
class FailingCodec : public Forward::RequestCodec {
public:
    Forward::RequestAttributes decodeRequest(HTTP::Request const& request) const override { return m_codec.decodeRequest(request); }
    Forward::ResponseAttributes decodeResponse(unsigned status, HTTP::Headers const& headers) const override { return m_codec.decodeResponse(status, headers); }
    HTTP::Headers filterResponseHeaders(HTTP::Headers const& headers) const override { return m_codec.filterResponseHeaders(headers); }
    void addErrorHeaders(HTTP::Response& response, std::string const& attemptId, std::optional<std::chrono::milliseconds> retryAfter) const override { m_codec.addErrorHeaders(response, attemptId, retryAfter); }

    HTTP::Request encodeForward(HTTP::Request const& request, Forward::ForwardAttributes const& attributes) const override
    {
        if (decodeRequest(request).attemptId == "failing")
            throw std::invalid_argument("the request cannot be encoded");
        return m_codec.encodeForward(request, attributes);
    }

private:
    PlatformAdapter::HeaderCodec const m_codec {};
};

class UnforwardableRequestTest : public EdgeServiceTest {
protected:
    void SetUp() override
    {
        addServer([](auto const& request) { return Reply { httpResponse(attemptIdOf(request), "body") }; });
        start();
    }

    Forward::RequestCodec const& requestCodec() const override
    {
        static FailingCodec const codec;
        return codec;
    }

    std::string metrics()
    {
        auto const& endpoint = m_service->settings().metricsListen;
        return exchangeWith(endpoint, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
};

}

// Guards against a request that stays registered after its handler has failed, and is then cancelled after its memory was released.
TEST_F(UnforwardableRequestTest, RequestWhoseHandlerFailsIsNoLongerInProgress)
{
    EXPECT_EQ(statusOf(exchange(request("/safe/1", "failing"))), "500");
    EXPECT_NE(metrics().find("hyssopstep_requests_in_progress 0\n"), std::string::npos);
    EXPECT_EQ(statusOf(exchange(request("/safe/1"))), "200");
}

// Guards against requests that a gateway cannot forward and that fail with 500, or reach a server with another meaning.
TEST_F(UnforwardableRequestTest, TunnelsAndTraceWithABodyAreRefused)
{
    EXPECT_EQ(statusOf(exchange(request("/safe/1", "tunnel", "CONNECT"))), "405");
    EXPECT_EQ(statusOf(exchange(request("/safe/1", "trace", "TRACE", "Content-Length: 4\r\n") + "body")), "400");
    EXPECT_EQ(statusOf(exchange(request("/safe/1", "trace", "TRACE"))), "200");
    EXPECT_EQ(m_servers[0]->requests.size(), 1u);
}
