#include <LibHTTP/Client.h>
#include <LibHTTP/SendWatch.h>
#include <Support/BlockingCall.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <linux/filter.h>

using namespace std::chrono_literals;
using HTTP::SendCounters;
using HTTP::SendState;
using HTTP::SendWatch;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto bound = 1500ms;
// Covers a busy machine.
constexpr auto lateness = 300ms;
constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

// The state at a time since the start of the watch.
class SendWatchTest : public testing::Test {
protected:
    SendState stateAt(std::chrono::milliseconds time, SendCounters const& counters) { return updateSendWatch(m_watch, counters, bound, m_watch.startedAt + time); }

    SendState probed(std::chrono::milliseconds time, std::uint32_t unansweredProbes, std::chrono::milliseconds sinceAcknowledgement)
    {
        return stateAt(time, { .unansweredProbes = unansweredProbes, .unsentBytes = 1000, .sinceDataSent = time, .sinceAcknowledgement = sinceAcknowledgement });
    }

    SendWatch m_watch { .startedAt = Core::MonotonicTime(1h) };
};

}

TEST_F(SendWatchTest, CutLinkIsUnreachableAtTheBound)
{
    SendCounters const sent { .unacknowledgedSegments = 2, .sinceDataSent = 100ms, .sinceAcknowledgement = 10s };
    EXPECT_EQ(stateAt(750ms, sent), SendState::InFlight);
    EXPECT_EQ(*m_watch.unreachableAt, m_watch.startedAt + bound);
    EXPECT_EQ(stateAt(1499ms, sent), SendState::InFlight);
    EXPECT_EQ(stateAt(1500ms, sent), SendState::Unreachable);
}

TEST_F(SendWatchTest, ClosedWindowIsNotUnreachable)
{
    EXPECT_EQ(stateAt(3s, { .unsentBytes = 1000, .sinceDataSent = 3s, .sinceAcknowledgement = 1600ms }), SendState::WindowClosed);
    // Data that the peer dropped because its buffer is full, and that was answered when it was sent again.
    EXPECT_EQ(stateAt(5s, { .unacknowledgedSegments = 1, .sinceDataSent = 1600ms, .sinceAcknowledgement = 1600ms }), SendState::WindowClosed);
}

// Guards against a peer with a closed window that counts as unreachable because a probe has just been sent, long after the last answer.
TEST_F(SendWatchTest, ProbeIsGivenTimeForItsAnswer)
{
    EXPECT_EQ(probed(3000ms, 1, 1601ms), SendState::WindowClosed);
    EXPECT_EQ(probed(3100ms, 0, 99ms), SendState::WindowClosed);
    // The answer between two checks shows in its time only.
    EXPECT_EQ(probed(4900ms, 1, 1690ms), SendState::WindowClosed);
    EXPECT_EQ(probed(5199ms, 1, 1989ms), SendState::WindowClosed);
    EXPECT_EQ(probed(5200ms, 1, 1990ms), SendState::Unreachable);
}

// Guards against a peer counting as unreachable because its system does not answer a probe that comes soon after another one.
TEST_F(SendWatchTest, ProbeSoonAfterAnotherOwesNoAnswer)
{
    EXPECT_EQ(probed(750ms, 1, 490ms), SendState::WindowClosed);
    EXPECT_EQ(probed(1770ms, 1, 1510ms), SendState::WindowClosed);
    EXPECT_EQ(probed(1780ms, 2, 1520ms), SendState::WindowClosed);
    EXPECT_EQ(probed(2080ms, 2, 1820ms), SendState::Unreachable);
}

// Guards against the system's timeout being switched off where the system counts, but provides no times, so that a cut is not noticed.
TEST_F(SendWatchTest, CountersWithoutTimesProveNothing)
{
    for (auto const time : { 750ms, 2000ms, 5000ms })
        EXPECT_EQ(stateAt(time, { .unacknowledgedSegments = 7 }), SendState::InFlight);
    EXPECT_EQ(stateAt(5100ms, { .unsentBytes = 1000 }), SendState::InFlight);
    m_watch.isWriting = false;
    EXPECT_EQ(stateAt(5200ms, {}), SendState::Complete);
}

// Guards against a connection that was idle counting as unreachable as soon as it is used again.
TEST_F(SendWatchTest, IdleConnectionIsCompleteAndCanBeUsedAgain)
{
    EXPECT_EQ(stateAt(0ms, { .unacknowledgedSegments = 1, .sinceAcknowledgement = 10s }), SendState::InFlight);
    m_watch.isWriting = false;
    EXPECT_EQ(stateAt(1s, { .sinceDataSent = 1s, .sinceAcknowledgement = 999ms }), SendState::Complete);
    EXPECT_EQ(stateAt(1s, { .unsentBytes = 1, .sinceDataSent = 1s, .sinceAcknowledgement = 999ms }), SendState::WindowClosed);
}

namespace {

// A client with the bound, and a server on a loopback connection that can be cut: a socket filter of the server drops what arrives, so that
// its system acknowledges nothing.
class CutLinkTest : public testing::Test {
protected:
    CutLinkTest() { m_acceptor.set_option(tcp::acceptor::receive_buffer_size(4096)); }

    static void cut(tcp::socket& socket)
    {
        sock_filter dropAll { .code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0 };
        sock_fprog const program { .len = 1, .filter = &dropAll };
        ASSERT_EQ(setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)), 0);
    }

    // Answers one request at once and another never. The link is cut after the first response, or some time after the second request came.
    Core::Awaitable<void> serve(std::optional<Core::Duration> cutAfter)
    {
        auto [acceptError, socket] = co_await m_acceptor.async_accept(useTuple);
        std::string bytes;
        (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", useTuple);
        std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        (void)co_await asio::async_write(socket, asio::buffer(response), useTuple);
        if (cutAfter) {
            co_await socket.async_wait(tcp::socket::wait_read, useTuple);
            co_await m_loop.runtime().sleepFor(*cutAfter);
        }
        cut(socket);
        m_cutAt = m_loop.runtime().now();
        co_await m_loop.runtime().sleepFor(10s);
    }

    // Returns how long after the cut the second request fails.
    Core::Awaitable<Core::Duration> timeToNoticeCut(std::optional<Core::Duration> cutAfter)
    {
        m_loop.runtime().spawn(serve(cutAfter));
        Core::Endpoint const server { "127.0.0.1", m_acceptor.local_endpoint().port() };
        auto const deadline = m_loop.runtime().now() + 8s;
        Core::Error error;
        HTTP::Request first { "GET", "/", {}, "" };
        EXPECT_TRUE(co_await m_client.send(server, first, HTTP::ConnectionUse::PooledNoRetry, deadline, error));
        co_await m_loop.runtime().sleepFor(50ms);
        auto const sentAt = m_loop.runtime().now();
        HTTP::Request second { "POST", "/", {}, std::string(3'000'000, 'x') };
        EXPECT_FALSE(co_await m_client.send(server, second, HTTP::ConnectionUse::PooledNoRetry, deadline, error));
        EXPECT_EQ(error.kind, Core::ErrorKind::BackendFailed);
        EXPECT_THAT(error.message, testing::HasSubstr("timed out"));
        co_return m_loop.runtime().now() - std::max(sentAt, m_cutAt);
    }

    TestSupport::EventLoop m_loop;
    HTTP::Client m_client { m_loop.runtime(), { .unacknowledgedTimeout = bound } };
    tcp::acceptor m_acceptor { m_loop.runtime().context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
    Core::MonotonicTime m_cutAt;
};

}

// Guards against a cut that is noticed late, also once the peer was found to read nothing and the system's own timeout is off.
TEST_F(CutLinkTest, CutIsNoticedWithinTheBound)
{
    auto const time = m_loop.run(timeToNoticeCut(std::nullopt));
    EXPECT_GE(time, bound - 50ms);
    EXPECT_LT(time, bound + lateness);
    EXPECT_LT(m_loop.run(timeToNoticeCut(1s)), bound + lateness);
}
