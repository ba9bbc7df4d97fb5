#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

namespace StandIns {

/// A backend server that sends scripted bytes, well-formed or not, in reply to each request. Runs on the test's event loop.
class RawServer {
public:
    struct Reply {
        std::string bytes;
        /// Delay before `bytes` are sent.
        Core::Duration delay {};
        /// Sent `trailingDelay` after `bytes`.
        std::string trailingBytes {};
        Core::Duration trailingDelay {};
        /// Sent after them again and again, until the client closes the connection.
        std::string repeatedBytes {};
        Core::Duration repeatInterval {};
        enum class Ending {
            KeepOpen,
            Close,
            Reset,
            /// Resets the connection and refuses new ones for a short time.
            Crash,
            /// Only for early replies: resets the connection once the whole request has been received.
            ResetAfterRequest,
        };
        Ending ending { Ending::KeepOpen };
    };
    using Script = std::function<Reply(std::string const& request)>;

    RawServer(Core::Runtime&, Script);

    /// From now on the server replies to the head of a request, without reading its body. Its receive buffer and segments are small, so that
    /// a long body is still being written then. The reply's ending follows after `trailingDelay`.
    void replyEarly(Script);

    [[nodiscard]] Core::Endpoint const& endpoint() const { return m_endpoint; }

    /// The received requests, headers and body.
    std::vector<std::string> requests;
    std::size_t connections { 0 };
    /// Connections that the client closed while a reply was pending.
    std::size_t abortedConnections { 0 };
    std::size_t repeatedBytesSent { 0 };

private:
    [[nodiscard]] Core::Awaitable<void> accept();
    [[nodiscard]] Core::Awaitable<void> restart();
    [[nodiscard]] Core::Awaitable<void> serve(boost::asio::ip::tcp::socket);

    [[nodiscard]] Core::Awaitable<void> serveEarly(boost::asio::ip::tcp::socket&, std::string buffer, std::size_t headLength);

    Core::Runtime& m_runtime;
    Script m_script;
    Script m_earlyScript;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Core::Endpoint m_endpoint;
};

}
