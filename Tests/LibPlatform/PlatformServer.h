#pragma once

#include <LibHTTP/Client.h>
#include <LibHTTP/Server.h>
#include <Support/BlockingCall.h>
#include <gtest/gtest.h>
#include <set>

/// A server on the test's event loop that sends the configured response to every request.
class PlatformServer : public testing::Test {
protected:
    enum class Delivery {
        Complete,
        /// The connection closes before the response is complete.
        Truncated,
        /// No response is sent within the test's deadlines.
        None,
    };

    PlatformServer()
    {
        auto const bound = m_server.listen({ "127.0.0.1", 0 }, m_error);
        EXPECT_TRUE(bound) << m_error.message;
        m_endpoint = bound.value_or(Core::Endpoint {});
    }

    void respondWith(unsigned status, std::string body, Delivery delivery = Delivery::Complete)
    {
        m_status = status;
        m_body = std::move(body);
        m_delivery = delivery;
    }

    Core::MonotonicTime deadlineAfter(std::chrono::milliseconds time) { return m_loop.runtime().now() + time; }

    TestSupport::EventLoop m_loop;
    HTTP::Client m_client { m_loop.runtime(), {} };
    HTTP::Server m_server { m_loop.runtime(), {}, [this](HTTP::Request const& request, HTTP::ResponseWriter& writer) { return respond(request, writer); } };
    Core::Endpoint m_endpoint;
    Core::Error m_error;
    std::vector<HTTP::Request> m_requests;
    std::vector<Core::Endpoint> m_peers;

private:
    Core::Awaitable<void> respond(HTTP::Request const& request, HTTP::ResponseWriter& writer)
    {
        m_requests.push_back(request);
        m_peers.push_back(writer.peer());
        if (m_delivery == Delivery::None)
            co_await m_loop.runtime().sleepFor(TestSupport::defaultTestTimeout);
        HTTP::Response response { m_status, {}, m_body };
        if (m_delivery == Delivery::Complete) {
            (void)co_await writer.send(std::move(response));
            co_return;
        }
        (void)co_await writer.begin(m_status, {});
        (void)co_await writer.write(m_body + " ");
    }

    unsigned m_status { 200 };
    std::string m_body;
    Delivery m_delivery { Delivery::Complete };
};
