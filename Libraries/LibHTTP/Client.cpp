#include <LibHTTP/Client.h>

#include <LibCore/Log.h>
#include <LibHTTP/BeastConversion.h>
#include <LibHTTP/ClientConnection.h>
#include <LibHTTP/ClientExchange.h>
#include <LibHTTP/SocketBuffers.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <charconv>
#include <deque>
#include <map>
#include <system_error>
#include <utility>
#include <vector>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Core::ErrorKind;
using Core::RunState;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

namespace {

using ConnectionPointer = std::unique_ptr<ClientConnection>;

// Bytes that are read at a time.
constexpr std::size_t readBufferSize = 64 * 1024;

enum class ConnectionOrigin {
    New,
    Idle,
};

struct AcquiredConnection {
    ConnectionPointer connection;
    ConnectionOrigin origin { ConnectionOrigin::New };
    bool isRefused { false };
};

// Closes the connection on cancellation during one step of an exchange.
class AbortScope {
public:
    AbortScope(Cancellation* cancellation, ClientConnection& connection)
        : m_cancellation(cancellation)
    {
        if (!m_cancellation)
            return;
        m_cancellation->setAbortCallback([&connection] { connection.close(); });
        if (m_cancellation->isCancelled())
            connection.close();
    }

    ~AbortScope()
    {
        if (m_cancellation)
            m_cancellation->setAbortCallback({});
    }

    AbortScope(AbortScope const&) = delete;
    AbortScope& operator=(AbortScope const&) = delete;

private:
    Cancellation* m_cancellation;
};

// The seconds of "Keep-Alive: timeout=N"; zero if there is none.
Core::Duration parseKeepAliveTimeout(Headers const& headers)
{
    auto const value = headers.find("Keep-Alive");
    if (!value)
        return {};
    auto const at = value->find("timeout=");
    if (at == std::string_view::npos)
        return {};
    auto const digits = value->substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

}

class Client::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Core::Runtime& runtime, ClientLimits limits)
        : m_runtime(runtime)
        , m_limits(limits)
    {
    }

    [[nodiscard]] Core::Runtime& runtime() { return m_runtime; }
    [[nodiscard]] ClientLimits const& limits() const { return m_limits; }

    void releaseConnection(Core::Endpoint const& endpoint, ConnectionPointer connection)
    {
        auto& idle = m_idle[endpoint];
        if (idle.size() >= m_limits.idleConnectionsPerEndpoint)
            return;
        connection->idleSince = m_runtime.now();
        idle.push_back(std::move(connection));
        if (idleConnections() > m_limits.idleConnections)
            (void)closeLongestIdle();
        scheduleSweep();
    }

    [[nodiscard]] std::size_t idleConnections() const
    {
        std::size_t count = 0;
        for (auto const& [endpoint, connections] : m_idle)
            count += connections.size();
        return count;
    }

    void closeIdleConnections(Core::Endpoint const& endpoint) { m_idle.erase(endpoint); }
    [[nodiscard]] ClientTraffic traffic() const { return *m_traffic; }

    Core::Awaitable<std::unique_ptr<ResponseStream>> openStream(Core::Endpoint endpoint, Request request, ExchangeOptions options, Core::MonotonicTime deadline, Core::Error& error);
    Core::Awaitable<ConnectionAttempt> connect(Core::Endpoint endpoint, Core::MonotonicTime deadline);

private:
    // The connections to an endpoint become idle in the order in which they are kept. Returns false if none is idle.
    bool closeLongestIdle()
    {
        auto const isOlder = [](auto const& a, auto const& b) { return !a.second.empty() && (b.second.empty() || a.second.front()->idleSince < b.second.front()->idleSince); };
        auto const oldest = std::min_element(m_idle.begin(), m_idle.end(), isOlder);
        if (oldest == m_idle.end() || oldest->second.empty())
            return false;
        oldest->second.pop_front();
        return true;
    }

    // Closes the connections that will not be used again, also those to endpoints that are no longer used at all.
    void scheduleSweep()
    {
        if (std::exchange(m_isSweepScheduled, true))
            return;
        m_sweepTimer = m_runtime.callAt(m_runtime.now() + m_limits.idleTimeout / 2, [this] { sweep(); });
    }

    void sweep()
    {
        m_isSweepScheduled = false;
        auto const now = m_runtime.now();
        for (auto& [endpoint, connections] : m_idle)
            std::erase_if(connections, [&](auto const& connection) { return now - connection->idleSince > m_limits.idleTimeout; });
        std::erase_if(m_idle, [](auto const& item) { return item.second.empty(); });
        if (!m_idle.empty())
            scheduleSweep();
    }

    ConnectionPointer takeIdle(Core::Endpoint const& endpoint, ConnectionUse use)
    {
        auto const found = m_idle.find(endpoint);
        if (found == m_idle.end())
            return nullptr;
        while (!found->second.empty()) {
            auto connection = std::move(found->second.back());
            found->second.pop_back();
            if (isReusable(*connection, use))
                return connection;
        }
        m_idle.erase(found);
        return nullptr;
    }

    // A connection that received bytes or an end of file while idle is not reused, because they belong to no request.
    bool isReusable(ClientConnection& connection, ConnectionUse use)
    {
        // The peer may already be closing the connection; covers a round trip and scheduling delays.
        static constexpr auto closeMargin = std::chrono::milliseconds(300);
        // For a peer without a Keep-Alive header, whose idle timeout may be under a second.
        static constexpr Core::Duration maximumIdleTimeWithoutKeepAlive = std::chrono::milliseconds(500);
        auto maximumIdleTime = m_limits.idleTimeout;
        if (connection.keepAliveTimeout > Core::Duration::zero())
            maximumIdleTime = std::min<Core::Duration>(maximumIdleTime, connection.keepAliveTimeout - closeMargin);
        else if (use == ConnectionUse::PooledNoRetry)
            maximumIdleTime = std::min(maximumIdleTime, maximumIdleTimeWithoutKeepAlive);
        if (m_runtime.now() - connection.idleSince > maximumIdleTime || connection.buffer.size() > 0)
            return false;
        boost::system::error_code errorCode;
        char byte = 0;
        connection.socket.non_blocking(true, errorCode);
        connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, errorCode);
        return errorCode == asio::error::would_block;
    }

    void limitReceiveQueueOf(ClientConnection& connection, tcp::endpoint const& remote)
    {
        if (m_limits.receiveQueueBytes == 0)
            return;
        boost::system::error_code ignored;
        connection.socket.open(remote.protocol(), ignored);
        if (limitReceiveQueue(connection.socket.native_handle(), m_limits.receiveQueueBytes) || std::exchange(m_hasLoggedBufferLimit, true))
            return;
        Core::logEvent(Core::LogLevel::Warning, "connection_buffers_unlimited", { { "reason", std::generic_category().message(errno) } });
    }

    void detectUnreachablePeer(ClientConnection& connection)
    {
        auto const descriptor = connection.socket.native_handle();
        if (!setSystemTimeout(descriptor, m_limits.unacknowledgedTimeout))
            Core::logEvent(Core::LogLevel::Warning, "connection_timeout_unavailable", { { "reason", std::generic_category().message(errno) } });
        if (!m_areCountersAvailable) {
            m_areCountersAvailable = readSendCounters(descriptor).has_value();
            if (!*m_areCountersAvailable)
                Core::logEvent(Core::LogLevel::Info, "connection_counters_unavailable", { { "reason", std::generic_category().message(errno) } });
        }
        if (*m_areCountersAvailable)
            connection.watch = std::make_unique<ReachabilityWatch>(m_runtime, connection.socket, m_limits.unacknowledgedTimeout);
    }

    Core::Awaitable<AcquiredConnection> acquire(Core::Endpoint const& endpoint, ConnectionUse use, Cancellation* cancellation, Core::MonotonicTime deadline, Core::Error& error)
    {
        if (use != ConnectionUse::NewConnection) {
            if (auto connection = takeIdle(endpoint, use))
                co_return AcquiredConnection { std::move(connection), ConnectionOrigin::Idle };
        }
        if (*m_connectionCount >= m_limits.maximumConnections && !closeLongestIdle()) {
            Core::fail(error, ErrorKind::BackendUnreachable, "all " + std::to_string(m_limits.maximumConnections) + " connections to servers are in use");
            co_return AcquiredConnection {};
        }
        auto connection = std::make_unique<ClientConnection>(m_runtime.context(), m_limits.maximumHeaderBytes + readBufferSize, m_connectionCount);
        boost::system::error_code addressError;
        tcp::endpoint const remote { asio::ip::make_address(endpoint.address, addressError), endpoint.port };
        if (addressError) {
            Core::fail(error, ErrorKind::BackendUnreachable, "\"" + endpoint.address + "\" is not an IP address");
            co_return AcquiredConnection {};
        }
        limitReceiveQueueOf(*connection, remote);
        auto const limit = std::min(deadline, m_runtime.now() + m_limits.connectTimeout);
        ++m_traffic->newConnections;
        boost::system::error_code errorCode;
        {
            AbortScope const abort(cancellation, *connection);
            auto timer = m_runtime.callAt(limit, [&] { connection->close(); });
            auto [connectError] = co_await connection->socket.async_connect(remote, useTuple);
            errorCode = connectError;
        }
        if (cancellation && cancellation->isCancelled()) {
            Core::fail(error, ErrorKind::Cancelled, "cancelled while connecting to " + endpoint.toString());
            co_return AcquiredConnection {};
        }
        if (errorCode || !connection->socket.is_open()) {
            auto const kind = m_runtime.now() >= deadline ? ErrorKind::DeadlineExceeded : ErrorKind::BackendUnreachable;
            Core::fail(error, kind, "cannot connect to " + endpoint.toString() + ": " + errorCode.message());
            co_return AcquiredConnection { .isRefused = errorCode == asio::error::connection_refused };
        }
        boost::system::error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        if (m_limits.unacknowledgedTimeout.count() > 0)
            detectUnreachablePeer(*connection);
        co_return AcquiredConnection { std::move(connection), ConnectionOrigin::New };
    }

    Core::Runtime& m_runtime;
    ClientLimits m_limits;
    /// Unknown before the first connection.
    std::optional<bool> m_areCountersAvailable;
    /// Shared with the streams, which may outlive the client.
    std::shared_ptr<ClientTraffic> m_traffic { std::make_shared<ClientTraffic>() };
    std::shared_ptr<std::size_t> m_connectionCount { std::make_shared<std::size_t>(0) };
    bool m_hasLoggedBufferLimit { false };
    std::map<Core::Endpoint, std::deque<ConnectionPointer>> m_idle;
    Core::Timer m_sweepTimer;
    bool m_isSweepScheduled { false };
};

namespace {

class BeastResponseStream final : public ResponseStream {
public:
    // Called with the connection of a completed exchange, for reuse.
    using ReleaseCallback = std::function<void(Core::Endpoint const&, ConnectionPointer)>;

    BeastResponseStream(Core::Runtime& runtime, Core::Endpoint endpoint, ConnectionPointer connection, std::unique_ptr<BodyParser> parser, ExchangeOptions const& options, std::size_t receiveQueueBytes, std::shared_ptr<ClientTraffic> traffic, ReleaseCallback releaseConnection)
        : m_runtime(runtime)
        , m_cancellation(options.cancellation)
        , m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
        , m_parser(std::move(parser))
        , m_receiveQueueBytes(receiveQueueBytes)
        , m_traffic(std::move(traffic))
        , m_releaseConnection(std::move(releaseConnection))
        , m_headers(headersFromFields(m_parser->get()))
    {
    }

    unsigned status() const override { return m_parser->get().result_int(); }
    Headers const& headers() const override { return m_headers; }

    Core::Awaitable<std::optional<std::string>> readSome(Core::MonotonicTime deadline, AfterReadDeadline afterDeadline, Core::Error& error) override
    {
        std::string bytes;
        while (bytes.empty() && !m_parser->is_done()) {
            if (!m_connection)
                co_return Core::fail(error, ErrorKind::BackendAnswerInvalid, "the connection to " + m_endpoint.toString() + " is closed", RunState::Unknown);
            bytes.resize(bodyBufferSize);
            m_parser->get().body().data = bytes.data();
            m_parser->get().body().size = bytes.size();
            boost::system::error_code errorCode;
            bool timedOut = false;
            {
                AbortScope const abort(m_cancellation, *m_connection);
                auto timer = m_runtime.callAt(deadline, [&] {
                    timedOut = true;
                    if (afterDeadline == AfterReadDeadline::CloseConnection)
                        m_connection->close();
                    else
                        m_connection->cancelRead();
                });
                auto [readError, length] = co_await beast::http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser, useTuple);
                errorCode = readError;
                m_traffic->receivedBytes += length;
            }
            bytes.resize(bytes.size() - m_parser->get().body().size);
            m_parser->get().body().data = nullptr;
            m_parser->get().body().size = 0;
            if (errorCode && errorCode != beast::http::error::need_buffer) {
                errorCode = m_connection->failureReason(errorCode);
                bool const isCancelled = m_cancellation && m_cancellation->isCancelled();
                if (timedOut && !isCancelled && afterDeadline == AfterReadDeadline::KeepConnection && errorCode == asio::error::operation_aborted)
                    co_return Core::fail(error, ErrorKind::DeadlineExceeded, "no byte of the response from " + m_endpoint.toString() + " in time", RunState::Unknown);
                m_connection.reset();
                if (isCancelled)
                    co_return Core::fail(error, ErrorKind::Cancelled, "the response from " + m_endpoint.toString() + " was cancelled", RunState::Unknown);
                if (timedOut && afterDeadline == AfterReadDeadline::CloseConnection)
                    co_return Core::fail(error, ErrorKind::DeadlineExceeded, "no response from " + m_endpoint.toString() + " within the deadline", RunState::Unknown);
                co_return Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response from " + m_endpoint.toString() + " was truncated: " + errorCode.message(), RunState::Unknown);
            }
        }
        if (m_parser->is_done())
            complete();
        co_return bytes;
    }

    bool isComplete() const override { return m_parser->is_done(); }

    void expectLongBody() override
    {
        if (m_connection && m_receiveQueueBytes > 0)
            m_isWidened = widenReceiveQueue(m_connection->socket.native_handle(), std::max(m_receiveQueueBytes, widestReceiveQueueBytes));
    }

private:
    static constexpr std::size_t bodyBufferSize = 16 * 1024;

    void complete()
    {
        if (!m_connection)
            return;
        m_connection->keepAliveTimeout = parseKeepAliveTimeout(m_headers);
        if (m_isWidened)
            (void)limitReceiveQueue(m_connection->socket.native_handle(), m_receiveQueueBytes);
        if (m_parser->get().keep_alive())
            m_releaseConnection(m_endpoint, std::move(m_connection));
        m_connection.reset();
    }

    Core::Runtime& m_runtime;
    Cancellation* m_cancellation;
    Core::Endpoint m_endpoint;
    ConnectionPointer m_connection;
    std::unique_ptr<BodyParser> m_parser;
    std::size_t m_receiveQueueBytes;
    bool m_isWidened { false };
    std::shared_ptr<ClientTraffic> m_traffic;
    ReleaseCallback m_releaseConnection;
    Headers m_headers;
};

}

Core::Awaitable<std::unique_ptr<ResponseStream>> Client::Implementation::openStream(Core::Endpoint endpoint, Request request, ExchangeOptions options, Core::MonotonicTime deadline, Core::Error& error)
{
    auto self = shared_from_this();
    auto message = toBeastRequest(endpoint, request);
    // The peer may have executed a request that was written to an idle connection before it closed that connection.
    auto runState = RunState::NotRun;
    while (true) {
        if (m_runtime.now() >= deadline) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent", runState);
            co_return nullptr;
        }
        auto acquired = co_await acquire(endpoint, options.use, options.cancellation, deadline, error);
        if (!acquired.connection) {
            error.runState = runState;
            co_return nullptr;
        }
        // The process may have been paused while it connected.
        if (m_runtime.now() >= deadline) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent", runState);
            co_return nullptr;
        }
        bool timedOut = false;
        HeaderOutcome outcome;
        {
            auto* connection = acquired.connection.get();
            auto timer = m_runtime.callAt(deadline, [&timedOut, connection] {
                timedOut = true;
                connection->close();
            });
            AbortScope const abort(options.cancellation, *connection);
            outcome = co_await exchangeHeaders(*connection, message, options.matchesRequest, m_limits, *m_traffic);
            outcome.errorCode = connection->failureReason(outcome.errorCode);
        }
        if (options.cancellation && options.cancellation->isCancelled()) {
            Core::fail(error, ErrorKind::Cancelled, "the exchange with " + endpoint.toString() + " was cancelled", RunState::Unknown);
            co_return nullptr;
        }
        if (timedOut) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "no response from " + endpoint.toString() + " within the deadline", RunState::Unknown);
            co_return nullptr;
        }
        if (outcome.errorCode) {
            if (acquired.origin == ConnectionOrigin::Idle && options.use == ConnectionUse::Pooled && !outcome.responseBegan) {
                runState = RunState::Unknown;
                continue;
            }
            auto const kind = outcome.responseBegan ? ErrorKind::BackendAnswerInvalid : ErrorKind::BackendFailed;
            Core::fail(error, kind, "the exchange with " + endpoint.toString() + " failed: " + outcome.errorCode.message(), RunState::Unknown);
            co_return nullptr;
        }
        if (options.unframed == UnframedResponse::Refuse && !hasDelimitedBody(*outcome.parser)) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response from " + endpoint.toString() + " has neither Content-Length nor chunked encoding", RunState::Unknown);
            co_return nullptr;
        }
        BeastResponseStream::ReleaseCallback releaseConnection = [weak = weak_from_this()](Core::Endpoint const& target, ConnectionPointer connection) {
            if (auto implementation = weak.lock())
                implementation->releaseConnection(target, std::move(connection));
        };
        co_return std::make_unique<BeastResponseStream>(m_runtime, endpoint, std::move(acquired.connection), std::move(outcome.parser), options, m_limits.receiveQueueBytes, m_traffic, std::move(releaseConnection));
    }
}

Core::Awaitable<ConnectionAttempt> Client::Implementation::connect(Core::Endpoint endpoint, Core::MonotonicTime deadline)
{
    auto self = shared_from_this();
    Core::Error error;
    auto acquired = co_await acquire(endpoint, ConnectionUse::NewConnection, nullptr, deadline, error);
    if (!acquired.connection)
        co_return acquired.isRefused ? ConnectionAttempt::Refused : ConnectionAttempt::Unanswered;
    releaseConnection(endpoint, std::move(acquired.connection));
    co_return ConnectionAttempt::Accepted;
}

Client::Client(Core::Runtime& runtime, ClientLimits limits)
    : m_implementation(std::make_shared<Implementation>(runtime, limits))
{
}

Client::~Client() = default;

std::size_t Client::idleConnections() const
{
    return m_implementation->idleConnections();
}

ClientTraffic Client::traffic() const
{
    return m_implementation->traffic();
}

Core::Awaitable<std::optional<Response>> Client::send(Core::Endpoint endpoint, Request request, ConnectionUse use, Core::MonotonicTime deadline, Core::Error& error)
{
    auto implementation = m_implementation;
    auto stream = co_await implementation->openStream(std::move(endpoint), std::move(request), ExchangeOptions { .use = use }, deadline, error);
    if (!stream)
        co_return std::nullopt;
    Response response;
    response.status = stream->status();
    response.headers = stream->headers();
    while (true) {
        auto bytes = co_await stream->readSome(deadline, error);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return response;
        response.body += *bytes;
    }
}

Core::Awaitable<std::unique_ptr<ResponseStream>> Client::openStream(Core::Endpoint endpoint, Request request, ConnectionUse use, Core::MonotonicTime deadline, Core::Error& error)
{
    return m_implementation->openStream(std::move(endpoint), std::move(request), ExchangeOptions { .use = use }, deadline, error);
}

Core::Awaitable<std::unique_ptr<ResponseStream>> Client::openStream(Core::Endpoint endpoint, Request request, ExchangeOptions options, Core::MonotonicTime deadline, Core::Error& error)
{
    return m_implementation->openStream(std::move(endpoint), std::move(request), std::move(options), deadline, error);
}

Core::Awaitable<ConnectionAttempt> Client::connect(Core::Endpoint endpoint, Core::MonotonicTime deadline)
{
    return m_implementation->connect(std::move(endpoint), deadline);
}

void Client::closeIdleConnections(Core::Endpoint const& endpoint)
{
    m_implementation->closeIdleConnections(endpoint);
}

}
