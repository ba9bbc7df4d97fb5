#include <LibHTTP/ServerResponseWriter.h>

#include <LibHTTP/BeastConversion.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

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
            auto const length = self->m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            // Bytes that were received directly may be reported afterwards.
            if (peekError == asio::error::would_block)
                return self->start();
            if (!peekError && length > 0)
                return;
            std::exchange(self->m_callback, nullptr)();
        });
    }

    void stop() { m_callback = nullptr; }

private:
    tcp::socket& m_socket;
    std::function<void()> m_callback;
};

// Counts the bytes that wait for the client to read.
class ServerResponseWriter::SendingScope {
public:
    SendingScope(MemoryHolder& memory, std::size_t bytes)
        : m_memory(memory)
        , m_phaseBefore(memory.phase())
    {
        m_memory.forceResponse(bytes);
        m_memory.beginPhase(HoldingPhase::Sending);
    }

    // Tasks that never end are destroyed after the runtime.
    ~SendingScope()
    {
        m_memory.forceResponse(0);
        m_memory.resumePhase(m_phaseBefore);
    }

    SendingScope(SendingScope const&) = delete;
    SendingScope& operator=(SendingScope const&) = delete;

private:
    MemoryHolder& m_memory;
    HoldingPhase m_phaseBefore;
};

ServerResponseWriter::ServerResponseWriter(Core::Runtime& runtime, Connection& connection, Core::Duration writeTimeout, unsigned version, std::string method)
    : m_runtime(runtime)
    , m_connection(connection)
    , m_writeTimeout(writeTimeout)
    , m_version(version)
    , m_method(std::move(method))
{
}

ServerResponseWriter::~ServerResponseWriter()
{
    stopObserving();
}

Core::Timer ServerResponseWriter::limitTime()
{
    return m_runtime.callAt(m_runtime.now() + m_writeTimeout, [this] { m_connection.reset(); });
}

Core::Awaitable<bool> ServerResponseWriter::sendAll(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const timer = limitTime();
        auto [errorCode, length] = co_await m_connection.socket.async_write_some(asio::buffer(bytes) + sent, useTuple);
        if (errorCode)
            co_return false;
        sent += length;
        m_connection.memory.recordProgress(length);
    }
    co_return true;
}

Core::Awaitable<bool> ServerResponseWriter::send(Response response)
{
    m_started = true;
    // A refusal repeats the client's id.
    std::size_t fieldBytes = 0;
    for (auto const& [name, value] : response.headers.fields())
        fieldBytes += name.size() + value.size();
    beast::http::response<beast::http::string_body> message { static_cast<beast::http::status>(response.status), m_version };
    addHeadersToFields(response.headers, message);
    message.keep_alive(m_keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    // RFC 9110, section 9.3.2: a response to HEAD has no body.
    if (m_method == "HEAD")
        message.body().clear();
    SendingScope const sending(m_connection.memory, fieldBytes + message.body().size());
    beast::http::response_serializer<beast::http::string_body> serializer { message };
    while (!serializer.is_done()) {
        auto const timer = limitTime();
        auto [errorCode, length] = co_await beast::http::async_write_some(m_connection.socket, serializer, useTuple);
        if (errorCode)
            co_return false;
        m_connection.memory.recordProgress(length);
    }
    m_complete = true;
    co_return true;
}

Core::Awaitable<bool> ServerResponseWriter::begin(unsigned status, Headers headers)
{
    m_started = true;
    beast::http::response<beast::http::empty_body> message { static_cast<beast::http::status>(status), m_version };
    addHeadersToFields(headers, message);
    message.keep_alive(m_keepAlive);
    message.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer { message };
    auto const timer = limitTime();
    auto [errorCode, length] = co_await beast::http::async_write_header(m_connection.socket, serializer, useTuple);
    co_return !errorCode;
}

Core::Awaitable<bool> ServerResponseWriter::write(std::string bytes)
{
    if (bytes.empty())
        co_return m_connection.socket.is_open();
    SendingScope const sending(m_connection.memory, bytes.size());
    auto const chunk = beast::buffers_to_string(beast::http::make_chunk(asio::buffer(bytes)));
    co_return co_await sendAll(chunk);
}

Core::Awaitable<bool> ServerResponseWriter::finish()
{
    SendingScope const sending(m_connection.memory, 0);
    m_complete = co_await sendAll(beast::buffers_to_string(beast::http::make_chunk_last()));
    co_return m_complete;
}

void ServerResponseWriter::onPeerClosed(std::function<void()> callback)
{
    stopObserving();
    if (!callback)
        return;
    m_observer = std::make_shared<PeerObserver>(m_connection.socket, std::move(callback));
    m_observer->start();
}

void ServerResponseWriter::stopObserving()
{
    if (!m_observer)
        return;
    m_observer->stop();
    m_observer.reset();
    boost::system::error_code ignored;
    m_connection.socket.cancel(ignored);
}

}
