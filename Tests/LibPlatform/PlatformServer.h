#pragma once

#include <LibHTTP/Client.h>
#include <LibHTTP/Server.h>
#include <Support/BlockingCall.h>
#include <gtest/gtest.h>
#include <set>

/// A server on the test's own event loop that gives the same answer to every call.
class PlatformServer : public testing::Test {
protected:
    enum class Ending {
        Whole,
        /// The connection closes before the answer is complete.
        Dropped,
        /// Nothing is answered within the test's deadlines.
        Silent,
    };

    PlatformServer()
    {
        auto const bound = m_server.listen({ "127.0.0.1", 0 }, m_reason);
        EXPECT_TRUE(bound) << m_reason.message;
        m_endpoint = bound.value_or(Core::Endpoint {});
    }

    void answerWith(unsigned status, std::string body, Ending ending = Ending::Whole)
    {
        m_status = status;
        m_body = std::move(body);
        m_ending = ending;
    }

    Core::MonotonicTime after(std::chrono::milliseconds time) { return m_loop.runtime().now() + time; }

    TestSupport::EventLoop m_loop;
    HTTP::Client m_client { m_loop.runtime(), {} };
    HTTP::Server m_server { m_loop.runtime(), {}, [this](HTTP::Request const& request, HTTP::ResponseWriter& writer) { return answer(request, writer); } };
    Core::Endpoint m_endpoint;
    Core::Error m_reason;
    std::vector<HTTP::Request> m_requests;
    std::vector<Core::Endpoint> m_peers;

private:
    Core::Awaitable<void> answer(HTTP::Request const& request, HTTP::ResponseWriter& writer)
    {
        m_requests.push_back(request);
        m_peers.push_back(writer.peer());
        if (m_ending == Ending::Silent)
            co_await m_loop.runtime().sleepFor(TestSupport::generousBound);
        HTTP::Response response { m_status, {}, m_body };
        if (m_ending == Ending::Whole) {
            (void)co_await writer.send(std::move(response));
            co_return;
        }
        (void)co_await writer.begin(m_status, {});
        (void)co_await writer.write(m_body + " ");
    }

    unsigned m_status { 200 };
    std::string m_body;
    Ending m_ending { Ending::Whole };
};
