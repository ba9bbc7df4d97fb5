#include <LibHTTP/Server.h>

#include <LibCore/Log.h>
#include <LibHTTP/Problem.h>
#include <LibHTTP/RequestReader.h>
#include <LibHTTP/ServerResponseWriter.h>
#include <LibHTTP/SocketBuffers.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <set>
#include <system_error>
#include <vector>

namespace HTTP {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

class Server::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Core::Runtime& runtime, ServerLimits limits, Handler handler, ServerOptions options)
        : m_runtime(runtime)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_options(std::move(options))
        , m_acceptor(runtime.context())
        , m_progress(runtime)
    {
        if (!m_options.budget)
            m_options.budget = std::make_shared<MemoryBudget>(runtime);
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
            limitBuffers();
        if (!errorCode)
            m_acceptor.bind(local, errorCode);
        if (!errorCode)
            m_acceptor.listen(maximumQueuedConnections(), errorCode);
        if (errorCode)
            return Core::fail(error, Core::ErrorKind::InvalidSetting, "cannot listen on " + endpoint.toString() + ": " + errorCode.message());
        boost::system::error_code ignored;
        m_acceptor.non_blocking(true, ignored);
        auto const bound = m_acceptor.local_endpoint();
        m_runtime.spawn(acceptLoop(shared_from_this()));
        return Core::Endpoint { bound.address().to_string(), bound.port() };
    }

    void stopAccepting()
    {
        if (std::exchange(m_stopping, true))
            return;
        acceptQueuedConnections(SIZE_MAX);
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (auto const& connection : m_connections) {
            if (connection->memory.phase() == HoldingPhase::Idle)
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
    static constexpr std::size_t bytesDiscardedAtATime = 64 * 1024;

    // The system holds the received bytes of the connections that are not accepted yet, too.
    [[nodiscard]] int maximumQueuedConnections() const
    {
        static constexpr std::size_t minimum = 64;
        auto const connections = m_options.budget->limits().connections;
        return static_cast<int>(std::clamp<std::size_t>(connections / 4, minimum, asio::socket_base::max_listen_connections));
    }

    // The accepted connections inherit the limits.
    void limitBuffers()
    {
        static constexpr std::size_t unsentBytes = 16 * 1024;
        auto const receiveQueueBytes = m_options.budget->limits().receiveQueueBytes;
        if (receiveQueueBytes == 0)
            return;
        auto const descriptor = m_acceptor.native_handle();
        if (!limitReceiveQueue(descriptor, receiveQueueBytes) || !limitUnsentBytes(descriptor, unsentBytes))
            Core::logEvent(Core::LogLevel::Warning, "connection_buffers_unlimited", { { "reason", std::generic_category().message(errno) } });
    }

    // The coroutines hold a reference to the implementation, since they may outlive the Server.
    static Core::Awaitable<void> acceptLoop(std::shared_ptr<Implementation> self)
    {
        while (!self->m_stopping) {
            auto [errorCode, socket] = co_await self->m_acceptor.async_accept(useTuple);
            if (errorCode && self->m_stopping)
                co_return;
            if (errorCode) {
                // For example out of file descriptors; pending connections stay in the listen queue until the retry.
                (void)self->m_options.budget->closeConnection();
                co_await self->m_runtime.sleepFor(std::chrono::milliseconds(20));
                continue;
            }
            self->serveAccepted(std::move(socket));
            // A client that has connected behind a crowd must not wait for as many turns of the event loop.
            static constexpr std::size_t acceptedAtATime = 64;
            self->acceptQueuedConnections(acceptedAtATime);
        }
    }

    void serveAccepted(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.maximumConnections || !m_options.budget->admitConnection())
            return;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket), m_options.budget);
        connection->socket.non_blocking(true, ignored);
        auto const remote = connection->socket.remote_endpoint(ignored);
        connection->peer = { remote.address().to_string(), remote.port() };
        m_connections.insert(connection);
        m_runtime.spawn(serve(shared_from_this(), connection));
    }

    // Closing the listening socket resets the connections in its queue, whose clients may already have sent a request.
    void acceptQueuedConnections(std::size_t maximum)
    {
        boost::system::error_code errorCode;
        for (std::size_t accepted = 0; !errorCode && accepted < maximum; ++accepted) {
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
        connection->memory.beginPhase(HoldingPhase::Closing);
        if (connection->needsLingeringClose)
            co_await self->lingeringClose(*connection);
        connection->close();
        self->m_connections.erase(connection);
        self->m_progress.notifyAll();
    }

    Core::Awaitable<bool> serveRequest(Connection& connection)
    {
        bool const isSentAhead = !connection.pending.empty();
        if (isSentAhead) {
            connection.memory.beginRequestSentAhead();
        } else {
            connection.memory.beginPhase(HoldingPhase::Idle);
            bool const requestBegan = co_await waitForRequest(connection);
            if (!requestBegan)
                co_return false;
        }
        connection.memory.beginPhase(HoldingPhase::Receiving);
        ++connection.requests;
        connection.lingerTimer.cancel();
        ReceivedRequest received;
        {
            RequestReader reader(m_runtime, m_limits, m_options, m_scratch, m_work, connection);
            received = co_await reader.read();
        }
        if (received.error)
            co_await refuse(connection, *received.error);
        if (!received.request)
            co_return false;
        received.shape.isSentAhead = isSentAhead;
        auto const units = workOf(received.shape) + m_options.requestWork;
        bool const mayRun = units <= 0 || co_await connection.waitForWork(m_runtime, m_work, m_options.work, units);
        if (!connection.socket.is_open())
            co_return false;
        prepareToRun(connection, received, mayRun);
        bool const keepsAlive = co_await handle(connection, *received.request, received.version, received.keepsAlive);
        connection.fieldBytes = 0;
        connection.body = { .memory = &connection.memory };
        co_return connection.updateMemory() && keepsAlive;
    }

    // A handler that forwards the request makes a copy of its body, and has a connection of its own on which it reads the response.
    static void prepareToRun(Connection& connection, ReceivedRequest& received, bool mayRun)
    {
        auto& request = *received.request;
        // 8 KB of the connection, 16 KB of the buffer of a stream, and what the system receives ahead.
        static constexpr std::size_t handlerBytes = 24 * 1024 + serverReceiveQueueBytes;
        connection.body.granted = 2 * request.body.size() + handlerBytes;
        if (!mayRun || !connection.updateMemory()) {
            std::string().swap(request.body);
            connection.body.granted = 0;
            request.bodyState = BodyState::Refused;
            (void)connection.updateMemory();
        }
        received.keepsAlive = received.keepsAlive && request.bodyState != BodyState::Refused;
        connection.memory.beginPhase(HoldingPhase::Running);
    }

    Core::Awaitable<bool> waitForRequest(Connection& connection)
    {
        auto timer = m_runtime.callAt(m_runtime.now() + m_limits.idleTimeout, [&] { connection.endWhileIdle(); });
        auto [errorCode] = co_await connection.socket.async_wait(tcp::socket::wait_read, useTuple);
        co_return !errorCode && connection.socket.is_open();
    }

    Core::Awaitable<void> refuse(Connection& connection, Core::Error const& error)
    {
        Core::logEvent(Core::LogLevel::Info, "request_refused", { { "peer", connection.peer.toString() }, { "kind", Core::errorResponseFor(error.kind).name }, { "detail", error.message } });
        ServerResponseWriter writer(m_runtime, connection, m_limits.writeTimeout, 11, "GET");
        writer.setKeepAlive(false);
        auto response = problemResponse(error);
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
        connection.memory.beginPhase(HoldingPhase::Closing);
        connection.isInterrupted = false;
        std::string().swap(connection.pending);
        std::size_t total = 0;
        while (total < maximumDiscardedBytes) {
            auto [errorCode, length] = co_await connection.receive(m_scratch, 0, bytesDiscardedAtATime);
            if (errorCode)
                co_return;
            total += length;
        }
    }

    Core::Awaitable<bool> handle(Connection& connection, Request const& request, unsigned version, bool keepsAlive)
    {
        ServerResponseWriter writer(m_runtime, connection, m_limits.writeTimeout, version, request.method);
        writer.setKeepAlive(keepsAlive && !m_stopping && !m_closeAfterResponses);
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
    ServerOptions m_options;
    /// Where all connections receive bytes.
    std::vector<char> m_scratch;
    /// Of all connections.
    WorkState m_work;
    tcp::acceptor m_acceptor;
    Core::AsyncEvent m_progress;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_requestsInProgress { 0 };
    bool m_stopping { false };
    bool m_closeAfterResponses { false };
};

Server::Server(Core::Runtime& runtime, ServerLimits limits, Handler handler, ServerOptions options)
    : m_implementation(std::make_shared<Implementation>(runtime, limits, std::move(handler), std::move(options)))
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
