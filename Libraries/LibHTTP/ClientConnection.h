#pragma once

#include <LibCore/Runtime.h>
#include <LibHTTP/SendWatch.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace HTTP {

// Closes the connection if its peer cannot be reached while it has a request to send. The system's own timeout does so as well, but also if
// the peer reads nothing for that time; it is off while the peer's receive window is closed.
class ReachabilityWatch {
public:
    ReachabilityWatch(Core::Runtime& runtime, boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds bound)
        : m_runtime(runtime)
        , m_socket(socket)
        , m_bound(bound)
    {
    }

    ~ReachabilityWatch() { stop(); }
    ReachabilityWatch(ReachabilityWatch const&) = delete;
    ReachabilityWatch& operator=(ReachabilityWatch const&) = delete;

    // Called before the first byte of a request is written. Ends by itself.
    void start();

    void endWriting() { m_watch.isWriting = false; }

    // Hands the connection back to the system, also for what it still sends after the connection was closed.
    void stop();

    [[nodiscard]] bool isUnreachable() const { return m_isUnreachable; }

private:
    void check();

    // Drops what has not been sent, as the system's timeout does: the peer must not receive it once the link is back.
    void closeUnreachable();

    bool changeSystemTimeout(std::chrono::milliseconds timeout);

    Core::Runtime& m_runtime;
    boost::asio::ip::tcp::socket& m_socket;
    std::chrono::milliseconds m_bound;
    SendWatch m_watch;
    Core::Timer m_timer;
    bool m_isSystemTimeoutOff { false };
    bool m_isUnreachable { false };
};

// A connection of the client.
struct ClientConnection {
    // The counter is of all connections of the client, in use and idle.
    ClientConnection(boost::asio::io_context& context, std::size_t maximumBufferedBytes, std::shared_ptr<std::size_t> connectionCount)
        : socket(context)
        , buffer(maximumBufferedBytes)
        , count(std::move(connectionCount))
    {
        ++*count;
    }

    ~ClientConnection() { --*count; }
    ClientConnection(ClientConnection const&) = delete;
    ClientConnection& operator=(ClientConnection const&) = delete;

    void close()
    {
        if (watch)
            watch->stop();
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    // The reason why an operation failed, given its own error.
    [[nodiscard]] boost::system::error_code failureReason(boost::system::error_code errorCode) const
    {
        return errorCode && watch && watch->isUnreachable() ? make_error_code(boost::asio::error::timed_out) : errorCode;
    }

    void cancelRead()
    {
        boost::system::error_code ignored;
        socket.cancel(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    /// Null if the system's timeout, if any, decides alone.
    std::unique_ptr<ReachabilityWatch> watch;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<std::size_t> count;
    Core::MonotonicTime idleSince;
    /// From the Keep-Alive header of the last response; zero if there was none.
    Core::Duration keepAliveTimeout {};
};

}
