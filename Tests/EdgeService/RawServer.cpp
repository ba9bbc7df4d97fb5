#include <EdgeService/RawServer.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace StandIns {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

RawServer::RawServer(Core::Runtime& runtime, Script script)
    : m_runtime(runtime)
    , m_script(std::move(script))
    , m_acceptor(runtime.context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() }
{
    m_runtime.spawn(accept());
}

Core::Awaitable<void> RawServer::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(useTuple);
        if (error)
            co_return;
        ++connections;
        m_runtime.spawn(serve(std::move(socket)));
    }
}

Core::Awaitable<void> RawServer::restart()
{
    static constexpr Core::Duration restartDelay = std::chrono::milliseconds(200);
    m_acceptor.close();
    co_await m_runtime.sleepFor(restartDelay);
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(tcp::endpoint(asio::ip::make_address(m_endpoint.address), m_endpoint.port));
    m_acceptor.listen();
    co_await accept();
}

static std::size_t contentLength(std::string const& headers)
{
    auto const at = headers.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(headers.substr(at + 16));
}

// The destructor of a socket turns lingering off again, so that the end would be a regular one.
static void reset(tcp::socket& socket)
{
    socket.set_option(tcp::socket::linger(true, 0));
    socket.close();
}

void RawServer::replyEarly(Script script)
{
    static constexpr int smallBuffer = 4096;
    // The client's system sizes its send buffer by the segments; with those of the loopback device it takes some megabytes.
    using MaximumSegment = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    static constexpr int segmentOfANetwork = 1400;
    m_earlyScript = std::move(script);
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(smallBuffer));
    m_acceptor.set_option(MaximumSegment(segmentOfANetwork));
}

Core::Awaitable<void> RawServer::serveEarly(tcp::socket& socket, std::string buffer, std::size_t headLength)
{
    requests.push_back(buffer.substr(0, headLength));
    auto const reply = m_earlyScript(requests.back());
    (void)co_await asio::async_write(socket, asio::buffer(reply.bytes), useTuple);
    auto const length = headLength + contentLength(requests.back());
    if (reply.ending == Reply::Ending::ResetAfterRequest)
        (void)co_await asio::async_read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(length - buffer.size()), useTuple);
    if (reply.trailingDelay > Core::Duration {})
        co_await m_runtime.sleepFor(reply.trailingDelay);
    reset(socket);
}

Core::Awaitable<void> RawServer::serve(tcp::socket socket)
{
    std::string buffer;
    while (true) {
        auto [headError, headLength] = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", useTuple);
        if (headError)
            co_return;
        if (m_earlyScript) {
            co_await serveEarly(socket, std::move(buffer), headLength);
            co_return;
        }
        auto const length = headLength + contentLength(buffer.substr(0, headLength));
        if (buffer.size() < length) {
            auto [bodyError, bodyLength] = co_await asio::async_read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(length - buffer.size()), useTuple);
            if (bodyError)
                co_return;
        }
        requests.push_back(buffer.substr(0, length));
        buffer.erase(0, length);
        auto const reply = m_script(requests.back());
        for (auto const& [wait, bytes] : { std::pair { reply.delay, reply.bytes }, std::pair { reply.trailingDelay, reply.trailingBytes } }) {
            if (wait > Core::Duration {}) {
                bool isOpen = true;
                auto timer = m_runtime.callAt(m_runtime.now() + wait, [&] { socket.cancel(); });
                auto [waitError] = co_await socket.async_wait(tcp::socket::wait_read, useTuple);
                isOpen = waitError == asio::error::operation_aborted;
                if (!isOpen) {
                    ++abortedConnections;
                    co_return;
                }
            }
            auto [error, written] = co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
            if (error)
                co_return;
        }
        while (!reply.repeatedBytes.empty()) {
            auto [error, written] = co_await asio::async_write(socket, asio::buffer(reply.repeatedBytes), useTuple);
            repeatedBytesSent += written;
            if (error) {
                ++abortedConnections;
                co_return;
            }
            if (reply.repeatInterval > Core::Duration {})
                co_await m_runtime.sleepFor(reply.repeatInterval);
        }
        if (reply.ending == Reply::Ending::Crash)
            m_runtime.spawn(restart());
        if (reply.ending == Reply::Ending::Reset || reply.ending == Reply::Ending::Crash) {
            reset(socket);
            co_return;
        }
        if (reply.ending == Reply::Ending::Close)
            co_return;
    }
}

}
