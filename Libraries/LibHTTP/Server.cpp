#include <LibHTTP/Server.h>

#include <LibCore/Log.h>
#include <LibHTTP/BeastConversion.h>
#include <LibHTTP/Problem.h>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <set>
#include <sys/ioctl.h>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

namespace {

enum class ConnectionState {
    Idle,
    Busy,
    /// Gets no further requests; its last response may still be on its way.
    Closing,
};

struct Connection {
    Connection(tcp::socket acceptedSocket, std::size_t maximumBufferedBytes)
        : socket(std::move(acceptedSocket))
        , buffer(maximumBufferedBytes)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    // For an idle connection. A client that still reads the last response may lose the rest of it to an immediate close.
    void endWhileIdle()
    {
        int unacknowledgedBytes = 0;
        if (ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) != 0 || unacknowledgedBytes == 0)
            return close();
        needsLingeringClose = true;
        boost::system::error_code ignored;
        socket.cancel(ignored);
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    ConnectionState state { ConnectionState::Idle };
    Core::Endpoint peer;
    std::size_t requests { 0 };
    /// Whether it is closed after a response that was sent whole, which the client may still be reading.
    bool needsLingeringClose { false };
    /// Closes an idle connection after stopAccepting().
    Core::Timer lingerTimer;
};

// Detects that the client closes the connection while its request is handled. Stops when bytes of the next request arrive.
class PeerObserver : public std::enable_shared_from_this<PeerObserver> {
public:
    PeerObserver(tcp::socket& socket, std::function<void()> callback)
        : m_socket(socket)
        , m_callback(std::move(callback))
    {
    }

    void start()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code errorCode) {
            if (errorCode || !self->m_callback)
                return;
            boost::system::error_code peekError;
            char byte = 0;
            self->m_socket.non_blocking(true, peekError);
            auto const length = self->m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            if (peekError == asio::error::would_block || (!peekError && length > 0))
                return;
            std::exchange(self->m_callback, nullptr)();
        });
    }

    void stop() { m_callback = nullptr; }

private:
    tcp::socket& m_socket;
    std::function<void()> m_callback;
};

class BeastResponseWriter final : public ResponseWriter {
public:
    BeastResponseWriter(Connection& connection, unsigned version, std::string method)
        : m_connection(connection)
        , m_version(version)
        , m_method(std::move(method))
    {
    }

    ~BeastResponseWriter() override { stopObserving(); }
    BeastResponseWriter(BeastResponseWriter const&) = delete;
    BeastResponseWriter& operator=(BeastResponseWriter const&) = delete;

    Core::Awaitable<bool> send(Response response) override
    {
        m_started = true;
        beast::http::response<beast::http::string_body> message { static_cast<beast::http::status>(response.status), m_version };
        addHeadersToFields(response.headers, message);
        message.keep_alive(m_keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        // RFC 9110, section 9.3.2: a response to HEAD has no body.
        if (m_method == "HEAD")
            message.body().clear();
        beast::http::response_serializer<beast::http::string_body> serializer { message };
        auto [errorCode, length] = co_await beast::http::async_write(m_connection.socket, serializer, useTuple);
        m_complete = !errorCode;
        co_return m_complete;
    }

    Core::Awaitable<bool> begin(unsigned status, Headers headers) override
    {
        m_started = true;
        beast::http::response<beast::http::empty_body> message { static_cast<beast::http::status>(status), m_version };
        addHeadersToFields(headers, message);
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer { message };
        auto [errorCode, length] = co_await beast::http::async_write_header(m_connection.socket, serializer, useTuple);
        co_return !errorCode;
    }

    Core::Awaitable<bool> write(std::string bytes) override
    {
        if (bytes.empty())
            co_return m_connection.socket.is_open();
        auto const chunk = beast::http::make_chunk(asio::buffer(bytes));
        auto [errorCode, length] = co_await asio::async_write(m_connection.socket, chunk, useTuple);
        co_return !errorCode;
    }

    Core::Awaitable<bool> finish() override
    {
        auto const lastChunk = beast::http::make_chunk_last();
        auto [errorCode, length] = co_await asio::async_write(m_connection.socket, lastChunk, useTuple);
        m_complete = !errorCode;
        co_return m_complete;
    }

    bool started() const override { return m_started; }

    void onPeerClosed(std::function<void()> callback) override
    {
        stopObserving();
        if (!callback)
            return;
        m_observer = std::make_shared<PeerObserver>(m_connection.socket, std::move(callback));
        m_observer->start();
    }

    void closeAfterResponse() override { m_keepAlive = false; }
    void abort() override { m_connection.close(); }

    Core::Endpoint const& peer() const override { return m_connection.peer; }

    void setKeepAlive(bool keepAlive) { m_keepAlive = keepAlive; }
    [[nodiscard]] bool keepsAlive() const { return m_keepAlive; }
    [[nodiscard]] bool isComplete() const { return m_complete; }

private:
    void stopObserving()
    {
        if (!m_observer)
            return;
        m_observer->stop();
        m_observer.reset();
        boost::system::error_code ignored;
        m_connection.socket.cancel(ignored);
    }

    std::shared_ptr<PeerObserver> m_observer;
    Connection& m_connection;
    unsigned m_version;
    std::string m_method;
    bool m_keepAlive { true };
    bool m_started { false };
    bool m_complete { false };
};

}

class Server::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Core::Runtime& runtime, ServerLimits limits, Handler handler)
        : m_runtime(runtime)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_acceptor(runtime.context())
        , m_progress(runtime)
    {
    }

    std::optional<Core::Endpoint> listen(Core::Endpoint const& endpoint, Core::Error& error)
    {
        boost::system::error_code errorCode;
        tcp::endpoint const local { asio::ip::make_address(endpoint.address, errorCode), endpoint.port };
        if (!errorCode)
            m_acceptor.open(local.protocol(), errorCode);
        if (!errorCode)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), errorCode);
        if (!errorCode)
            m_acceptor.bind(local, errorCode);
        if (!errorCode)
            m_acceptor.listen(asio::socket_base::max_listen_connections, errorCode);
        if (errorCode)
            return Core::fail(error, Core::ErrorKind::InvalidSetting, "cannot listen on " + endpoint.toString() + ": " + errorCode.message());
        auto const bound = m_acceptor.local_endpoint();
        m_runtime.spawn(acceptLoop(shared_from_this()));
        return Core::Endpoint { bound.address().to_string(), bound.port() };
    }

    void stopAccepting()
    {
        if (std::exchange(m_stopping, true))
            return;
        acceptQueuedConnections();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (auto const& connection : m_connections) {
            if (connection->state == ConnectionState::Idle)
                closeAfterLinger(connection);
        }
    }

    Core::Awaitable<bool> waitUntilDrained(Core::MonotonicTime deadline)
    {
        while (m_requestsInProgress > 0 || (m_stopping && !m_connections.empty())) {
            // GCC 12 destroys an awaitable that was never created if this co_await is part of the condition.
            bool const hasProgressed = co_await m_progress.waitUntil(deadline);
            if (!hasProgressed)
                break;
        }
        co_return m_requestsInProgress == 0;
    }

    void closeAllConnections()
    {
        stopAccepting();
        for (auto const& connection : m_connections)
            connection->close();
    }

    [[nodiscard]] std::size_t requestsInProgress() const { return m_requestsInProgress; }
    void setLimits(ServerLimits const& limits) { m_limits = limits; }
    void closeAfterResponses() { m_closeAfterResponses = true; }

private:
    using Parser = beast::http::request_parser<beast::http::string_body>;

    static constexpr std::size_t bytesReadAtATime = 64 * 1024;

    // The coroutines hold a reference to the implementation, since they may outlive the Server.
    static Core::Awaitable<void> acceptLoop(std::shared_ptr<Implementation> self)
    {
        while (!self->m_stopping) {
            auto [errorCode, socket] = co_await self->m_acceptor.async_accept(useTuple);
            if (errorCode && self->m_stopping)
                co_return;
            if (errorCode) {
                // For example out of file descriptors; pending connections stay in the listen queue until the retry.
                co_await self->m_runtime.sleepFor(std::chrono::milliseconds(20));
                continue;
            }
            self->serveAccepted(std::move(socket));
        }
    }

    void serveAccepted(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.maximumConnections)
            return;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket), m_limits.maximumHeaderBytes + bytesReadAtATime);
        auto const remote = connection->socket.remote_endpoint(ignored);
        connection->peer = { remote.address().to_string(), remote.port() };
        m_connections.insert(connection);
        m_runtime.spawn(serve(shared_from_this(), connection));
    }

    // Closing the listening socket resets the connections in its queue, whose clients may already have sent a request.
    void acceptQueuedConnections()
    {
        boost::system::error_code errorCode;
        m_acceptor.non_blocking(true, errorCode);
        while (!errorCode) {
            tcp::socket socket(m_runtime.context());
            m_acceptor.accept(socket, errorCode);
            if (!errorCode)
                serveAccepted(std::move(socket));
        }
    }

    // A request may be in flight on an idle connection; it is still served if it arrives within the linger time. A client that has just
    // connected certainly wants to send one.
    void closeAfterLinger(std::shared_ptr<Connection> const& connection)
    {
        static constexpr auto lingerTime = std::chrono::milliseconds(250);
        static constexpr auto lingerTimeOfNewConnection = std::chrono::milliseconds(1000);
        auto const time = connection->requests == 0 ? lingerTimeOfNewConnection : lingerTime;
        connection->lingerTimer = m_runtime.callAt(m_runtime.now() + time, [weak = std::weak_ptr(connection)] {
            auto const idle = weak.lock();
            if (!idle)
                return;
            Core::logEvent(Core::LogLevel::Info, "idle_connection_closed", { { "peer", idle->peer.toString() }, { "requests", std::uint64_t(idle->requests) } });
            idle->endWhileIdle();
        });
    }

    static Core::Awaitable<void> serve(std::shared_ptr<Implementation> self, std::shared_ptr<Connection> connection)
    {
        bool keepAlive = true;
        while (keepAlive) {
            keepAlive = co_await self->serveRequest(*connection);
            // The client was told that the connection stays open, and may have sent its next request already.
            if (keepAlive && self->m_stopping)
                self->closeAfterLinger(connection);
        }
        connection->lingerTimer.cancel();
        connection->state = ConnectionState::Closing;
        if (connection->needsLingeringClose)
            co_await self->lingeringClose(*connection);
        connection->close();
        self->m_connections.erase(connection);
        self->m_progress.notifyAll();
    }

    Core::Awaitable<bool> serveRequest(Connection& connection)
    {
        connection.state = ConnectionState::Idle;
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maximumHeaderBytes));
        parser.body_limit(m_limits.maximumBodyBytes);

        if (connection.buffer.size() == 0) {
            bool const requestBegan = co_await waitForRequest(connection);
            if (!requestBegan)
                co_return false;
        }
        connection.state = ConnectionState::Busy;
        ++connection.requests;
        connection.lingerTimer.cancel();
        bool timedOut = false;
        boost::system::error_code errorCode;
        auto const onTimeout = [&] {
            timedOut = true;
            boost::system::error_code ignored;
            connection.socket.cancel(ignored);
        };
        auto const startedAt = m_runtime.now();
        {
            auto timer = m_runtime.callAt(startedAt + std::min(m_limits.headerTimeout, m_limits.requestTimeout), onTimeout);
            errorCode = co_await readHeader(connection, parser);
        }
        if (!errorCode && hasAmbiguousFraming(parser.get()))
            errorCode = make_error_code(beast::http::error::bad_transfer_encoding);
        if (!errorCode && !hasSingleHostField(parser.get()))
            errorCode = make_error_code(beast::http::error::bad_field);
        if (!errorCode) {
            auto timer = m_runtime.callAt(startedAt + m_limits.requestTimeout, onTimeout);
            errorCode = co_await readBody(connection, parser);
        }
        if (errorCode) {
            co_await refuse(connection, errorCode, timedOut);
            co_return false;
        }
        co_return co_await handle(connection, parser.release());
    }

    Core::Awaitable<bool> waitForRequest(Connection& connection)
    {
        auto timer = m_runtime.callAt(m_runtime.now() + m_limits.idleTimeout, [&] { connection.endWhileIdle(); });
        auto [errorCode] = co_await connection.socket.async_wait(tcp::socket::wait_read, useTuple);
        co_return !errorCode && connection.socket.is_open();
    }

    // With a transfer coding that this server does not decode, the end of the body is unknown and its bytes could be parsed as
    // another request (request smuggling; RFC 9112, section 6.1).
    static bool hasAmbiguousFraming(beast::http::fields const& fields)
    {
        if (fields.count(beast::http::field::transfer_encoding) == 0)
            return false;
        return fields.count(beast::http::field::transfer_encoding) > 1 || fields.count(beast::http::field::content_length) > 0
            || !beast::iequals(fields[beast::http::field::transfer_encoding], "chunked");
    }

    // RFC 9112, section 3.2: exactly one Host field in HTTP/1.1; an HTTP/1.0 request may have none.
    template <typename Message>
    static bool hasSingleHostField(Message const& message)
    {
        auto const hosts = message.count(beast::http::field::host);
        return hosts == 1 || (hosts == 0 && message.version() < 11);
    }

    static Core::Awaitable<boost::system::error_code> readHeader(Connection& connection, Parser& parser)
    {
        auto [headerError, headerLength] = co_await beast::http::async_read_header(connection.socket, connection.buffer, parser, useTuple);
        if (headerError)
            co_return headerError;
        // RFC 9110, section 10.1.1: the client waits for this before it sends the body.
        if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
            static constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
            auto [writeError, writeLength] = co_await asio::async_write(connection.socket, asio::buffer(interimResponse), useTuple);
            if (writeError)
                co_return writeError;
        }
        co_return headerError;
    }

    static Core::Awaitable<boost::system::error_code> readBody(Connection& connection, Parser& parser)
    {
        if (parser.is_done())
            co_return boost::system::error_code {};
        auto [bodyError, bodyLength] = co_await beast::http::async_read(connection.socket, connection.buffer, parser, useTuple);
        co_return bodyError;
    }

    // A connection that closes in the middle of a request gets no response.
    static bool isSyntaxError(boost::system::error_code errorCode)
    {
        if (errorCode == beast::http::error::end_of_stream || errorCode == beast::http::error::partial_message)
            return false;
        return errorCode.category() == make_error_code(beast::http::error::bad_method).category();
    }

    static std::optional<Core::Error> requestErrorFor(boost::system::error_code errorCode, bool timedOut)
    {
        Core::Error error;
        if (timedOut)
            Core::fail(error, Core::ErrorKind::RequestTimeout, "the request did not arrive in time");
        else if (errorCode == beast::http::error::body_limit)
            Core::fail(error, Core::ErrorKind::RequestTooLarge, "the request body exceeds the limit");
        else if (errorCode == beast::http::error::header_limit || errorCode == beast::http::error::buffer_overflow)
            Core::fail(error, Core::ErrorKind::HeadersTooLarge, "the request headers exceed the limit");
        else if (isSyntaxError(errorCode))
            Core::fail(error, Core::ErrorKind::InvalidRequest, "malformed HTTP: " + errorCode.message());
        else
            return std::nullopt;
        return error;
    }

    Core::Awaitable<void> refuse(Connection& connection, boost::system::error_code errorCode, bool timedOut)
    {
        auto const error = requestErrorFor(errorCode, timedOut);
        if (!error)
            co_return;
        Core::logEvent(Core::LogLevel::Info, "request_refused", { { "peer", connection.peer.toString() }, { "kind", Core::errorResponseFor(error->kind).name }, { "detail", error->message } });
        BeastResponseWriter writer(connection, 11, "GET");
        writer.setKeepAlive(false);
        auto response = problemResponse(*error);
        bool const sent = co_await writer.send(std::move(response));
        if (!sent)
            co_return;
        co_await lingeringClose(connection);
    }

    // Closing with unread bytes, or before the client sends more, resets the connection, and the client may then lose the response
    // (RFC 9112, section 9.6).
    Core::Awaitable<void> lingeringClose(Connection& connection)
    {
        static constexpr std::size_t maximumDiscardedBytes = 16 * 1024 * 1024;
        boost::system::error_code ignored;
        connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
        auto timer = m_runtime.callAt(m_runtime.now() + std::chrono::seconds(2), [&] { connection.close(); });
        std::array<char, 1024> discarded;
        std::size_t total = 0;
        while (total < maximumDiscardedBytes) {
            auto [errorCode, length] = co_await connection.socket.async_read_some(asio::buffer(discarded), useTuple);
            if (errorCode)
                co_return;
            total += length;
        }
    }

    Core::Awaitable<bool> handle(Connection& connection, beast::http::request<beast::http::string_body> message)
    {
        Request request;
        request.method = std::string(message.method_string().data(), message.method_string().size());
        request.target = std::string(message.target().data(), message.target().size());
        request.headers = headersFromFields(message);
        request.body = std::move(message.body());

        BeastResponseWriter writer(connection, message.version(), request.method);
        writer.setKeepAlive(message.keep_alive() && !m_stopping && !m_closeAfterResponses);
        ++m_requestsInProgress;
        bool failed = false;
        try {
            co_await m_handler(request, writer);
        } catch (std::exception const& exception) {
            Core::logEvent(Core::LogLevel::Error, "handler_failed", { { "target", request.target }, { "error", exception.what() } });
            failed = true;
        }
        if (!writer.started()) {
            Core::Error error;
            // The handler may have forwarded the request before it failed.
            Core::fail(error, Core::ErrorKind::Internal, "the handler sent no response", failed ? Core::RunState::Unknown : Core::RunState::NotRun);
            auto response = problemResponse(error);
            (void)co_await writer.send(std::move(response));
        }
        --m_requestsInProgress;
        m_progress.notifyAll();
        connection.needsLingeringClose = writer.isComplete() && !writer.keepsAlive();
        co_return writer.isComplete() && writer.keepsAlive();
    }

    Core::Runtime& m_runtime;
    ServerLimits m_limits;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    Core::AsyncEvent m_progress;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_requestsInProgress { 0 };
    bool m_stopping { false };
    bool m_closeAfterResponses { false };
};

Server::Server(Core::Runtime& runtime, ServerLimits limits, Handler handler)
    : m_implementation(std::make_shared<Implementation>(runtime, limits, std::move(handler)))
{
}

Server::~Server()
{
    m_implementation->closeAllConnections();
}

std::optional<Core::Endpoint> Server::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    return m_implementation->listen(endpoint, error);
}

void Server::setLimits(ServerLimits limits)
{
    m_implementation->setLimits(limits);
}

void Server::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

void Server::stopAccepting()
{
    m_implementation->stopAccepting();
}

Core::Awaitable<bool> Server::waitUntilDrained(Core::MonotonicTime deadline)
{
    return m_implementation->waitUntilDrained(deadline);
}

void Server::closeAllConnections()
{
    m_implementation->closeAllConnections();
}

std::size_t Server::requestsInProgress() const
{
    return m_implementation->requestsInProgress();
}

}
