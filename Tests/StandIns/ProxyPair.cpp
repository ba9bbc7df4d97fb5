#include <StandIns/ProxyPair.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>

namespace StandIns {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

enum class Flow {
    ToTarget,
    FromTarget,
};

struct ProxyPair::Direction {
    struct Chunk {
        Core::MonotonicTime due;
        /// Empty for the end of the stream.
        std::string bytes;
    };

    Flow flow;
    tcp::socket& source;
    tcp::socket& sink;
    std::deque<Chunk> queue {};
    std::size_t queuedBytes { 0 };
    std::uint64_t forwardedSinceFaultChange { 0 };
    bool hasEnded { false };
};

struct ProxyPair::Connection {
    Connection(Core::Runtime& runtime, tcp::socket accepted)
        : client(std::move(accepted))
        , target(runtime.context())
        , changed(runtime)
    {
    }

    void close()
    {
        isOpen = false;
        boost::system::error_code ignored;
        client.close(ignored);
        target.close(ignored);
        changed.notifyAll();
    }

    tcp::socket client;
    tcp::socket target;
    /// Notified when a queue, the faults or the state of the connection has changed.
    Core::AsyncEvent changed;
    Direction toTarget { Flow::ToTarget, client, target };
    Direction fromTarget { Flow::FromTarget, target, client };
    bool isOpen { true };
};

ProxyPair::ProxyPair(Core::Runtime& runtime, Core::Endpoint target)
    : m_runtime(runtime)
    , m_target(std::move(target))
    , m_reservation(runtime.context())
    , m_acceptor(runtime.context())
{
}

ProxyPair::~ProxyPair() = default;

std::optional<Core::Endpoint> ProxyPair::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    boost::system::error_code errorCode;
    m_local = { asio::ip::make_address(endpoint.address, errorCode), endpoint.port };
    if (!errorCode)
        m_reservation.open(m_local.protocol(), errorCode);
    if (!errorCode)
        m_reservation.set_option(tcp::socket::reuse_address(true), errorCode);
    if (!errorCode)
        m_reservation.bind(m_local, errorCode);
    if (!errorCode)
        m_local = m_reservation.local_endpoint(errorCode);
    if (errorCode || !openAcceptor(errorCode))
        return Core::fail(error, Core::ErrorKind::InvalidSetting, "cannot listen on " + endpoint.toString() + ": " + errorCode.message());
    return Core::Endpoint { m_local.address().to_string(), m_local.port() };
}

bool ProxyPair::openAcceptor(boost::system::error_code& errorCode)
{
    m_acceptor.open(m_local.protocol(), errorCode);
    if (!errorCode)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), errorCode);
    if (!errorCode)
        m_acceptor.bind(m_local, errorCode);
    if (!errorCode)
        m_acceptor.listen(asio::socket_base::max_listen_connections, errorCode);
    if (errorCode)
        return false;
    m_runtime.spawn(acceptLoop());
    return true;
}

void ProxyPair::setFaults(ProxyFaults const& faults)
{
    bool const wasCut = m_faults.cut;
    m_faults = faults;
    boost::system::error_code ignored;
    if (faults.cut)
        m_acceptor.close(ignored);
    else if (wasCut)
        (void)openAcceptor(ignored);
    for (auto const& connection : m_connections) {
        if (faults.cut)
            connection->close();
        connection->toTarget.forwardedSinceFaultChange = 0;
        connection->fromTarget.forwardedSinceFaultChange = 0;
        connection->changed.notifyAll();
    }
}

Core::Awaitable<void> ProxyPair::acceptLoop()
{
    while (true) {
        auto [errorCode, socket] = co_await m_acceptor.async_accept(useTuple);
        // setFaults() starts a new loop with a new acceptor when the pair is no longer cut.
        if (m_faults.cut || errorCode == asio::error::operation_aborted)
            co_return;
        if (errorCode) {
            co_await m_runtime.sleepFor(std::chrono::milliseconds(20));
            continue;
        }
        ++m_record.connections;
        auto connection = std::make_shared<Connection>(m_runtime, std::move(socket));
        m_connections.insert(connection);
        m_runtime.spawn(serve(connection));
    }
}

Core::Awaitable<void> ProxyPair::serve(std::shared_ptr<Connection> connection)
{
    tcp::endpoint const remote { asio::ip::make_address(m_target.address), m_target.port };
    auto [errorCode] = co_await connection->target.async_connect(remote, useTuple);
    if (errorCode || !connection->isOpen) {
        connection->close();
        m_connections.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    m_runtime.spawn(readFromSource(connection, connection->toTarget));
    m_runtime.spawn(readFromSource(connection, connection->fromTarget));
    m_runtime.spawn(writeToSink(connection, connection->toTarget));
    co_await writeToSink(connection, connection->fromTarget);
}

Core::Awaitable<void> ProxyPair::readFromSource(std::shared_ptr<Connection> connection, Direction& direction)
{
    static constexpr std::size_t readBufferSize = 64 * 1024;
    // A frozen or slow direction stops reading at this limit, so that the sends of the source block as on a real network.
    static constexpr std::size_t maximumQueuedBytes = 1024 * 1024;
    bool hasEnded = false;
    while (connection->isOpen && !hasEnded) {
        std::string chunk(readBufferSize, '\0');
        auto [errorCode, length] = co_await direction.source.async_read_some(asio::buffer(chunk), useTuple);
        if (!connection->isOpen)
            co_return;
        hasEnded = static_cast<bool>(errorCode);
        chunk.resize(hasEnded ? 0 : length);
        if (!hasEnded && direction.flow == Flow::FromTarget && m_faults.dropAnswers > 0) {
            --m_faults.dropAnswers;
            connection->close();
            m_connections.erase(connection);
            co_return;
        }
        direction.queuedBytes += chunk.size();
        direction.queue.push_back({ m_runtime.now() + std::chrono::milliseconds(m_faults.delayMs), std::move(chunk) });
        connection->changed.notifyAll();
        while (connection->isOpen && direction.queuedBytes > maximumQueuedBytes) {
            auto const recheckAt = m_runtime.now() + std::chrono::seconds(1);
            (void)co_await connection->changed.waitUntil(recheckAt);
        }
    }
}

bool ProxyPair::isFrozen(Direction const& direction) const
{
    return direction.flow == Flow::ToTarget ? m_faults.freezeToTarget : m_faults.freezeFromTarget;
}

Core::Awaitable<void> ProxyPair::writeToSink(std::shared_ptr<Connection> connection, Direction& direction)
{
    while (connection->isOpen) {
        auto const now = m_runtime.now();
        if (direction.queue.empty() || isFrozen(direction) || direction.queue.front().due > now) {
            bool const hasChunk = !direction.queue.empty() && !isFrozen(direction);
            auto const next = hasChunk ? direction.queue.front().due : now + std::chrono::hours(1);
            (void)co_await connection->changed.waitUntil(next);
            continue;
        }
        auto chunk = std::move(direction.queue.front().bytes);
        direction.queue.pop_front();
        direction.queuedBytes -= chunk.size();
        connection->changed.notifyAll();
        boost::system::error_code ignored;
        if (chunk.empty()) {
            direction.hasEnded = true;
            direction.sink.shutdown(tcp::socket::shutdown_send, ignored);
            if (connection->toTarget.hasEnded && connection->fromTarget.hasEnded)
                connection->close();
            break;
        }
        bool isTruncated = false;
        if (direction.flow == Flow::FromTarget && m_faults.truncateAfterBytes > 0) {
            auto const remaining = m_faults.truncateAfterBytes - std::min(m_faults.truncateAfterBytes, direction.forwardedSinceFaultChange);
            isTruncated = chunk.size() >= remaining;
            chunk.resize(std::min<std::size_t>(chunk.size(), remaining));
        }
        direction.forwardedSinceFaultChange += chunk.size();
        (direction.flow == Flow::ToTarget ? m_record.bytesToTarget : m_record.bytesFromTarget) += chunk.size();
        auto const buffer = asio::buffer(chunk);
        auto [errorCode, length] = co_await asio::async_write(direction.sink, buffer, useTuple);
        if (errorCode || isTruncated)
            connection->close();
    }
    if (!connection->isOpen)
        m_connections.erase(connection);
}

}
