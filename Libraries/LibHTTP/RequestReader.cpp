#include <LibHTTP/RequestReader.h>

#include <LibHTTP/BeastConversion.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

static constexpr std::size_t bytesReadAtATime = 64 * 1024;

// A longer body that is not wanted is left unread, and the connection is closed after the response.
static constexpr std::size_t maximumDiscardedBodyBytes = 64 * 1024;

// The head of a request with a shorter body is not checked before the body arrives.
static constexpr std::size_t maximumUncheckedBodyBytes = 4 * 1024;

RequestReader::RequestReader(Core::Runtime& runtime, ServerLimits const& limits, ServerOptions const& options, std::vector<char>& scratch, WorkState& work, Connection& connection)
    : m_runtime(runtime)
    , m_limits(limits)
    , m_options(options)
    , m_scratch(scratch)
    , m_work(work)
    , m_connection(connection)
    , m_parser(std::piecewise_construct, std::make_tuple(&connection.body), std::make_tuple(CountingAllocator<char>(m_parsedFieldBytes)))
{
    m_connection.body = { .memory = &m_connection.memory };
    m_connection.isInterrupted = false;
    m_parser.header_limit(static_cast<std::uint32_t>(m_limits.maximumHeaderBytes));
    m_parser.body_limit(m_limits.maximumBodyBytes);
}

// With a transfer coding that this server does not decode, the end of the body is unknown and its bytes could be parsed as
// another request (request smuggling; RFC 9112, section 6.1).
template <typename Fields>
static bool hasAmbiguousFraming(Fields const& fields)
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

// A connection that closes in the middle of a request gets no response.
static bool isSyntaxError(boost::system::error_code errorCode)
{
    if (errorCode == beast::http::error::end_of_stream || errorCode == beast::http::error::partial_message)
        return false;
    return errorCode.category() == make_error_code(beast::http::error::bad_method).category();
}

Core::Awaitable<ReceivedRequest> RequestReader::read()
{
    auto const startedAt = m_runtime.now();
    auto const onTimeout = [this] {
        m_timedOut = true;
        m_connection.interrupt();
    };
    boost::system::error_code errorCode;
    {
        auto timer = m_runtime.callAt(startedAt + std::min(m_limits.headerTimeout, m_limits.requestTimeout), onTimeout);
        errorCode = co_await readHead();
    }
    bool const hasHead = !errorCode;
    if (hasHead && !m_parser.is_done()) {
        auto timer = m_runtime.callAt(startedAt + m_limits.requestTimeout, onTimeout);
        errorCode = co_await readBody();
        m_connection.restoreReceiveQueue();
    }
    // Those of a trailer; the others have been taken.
    m_shape.fields += static_cast<std::size_t>(std::distance(m_parser.get().begin(), m_parser.get().end()));
    ReceivedRequest received;
    received.shape = m_shape;
    received.version = m_parser.get().version();
    if (!m_connection.socket.is_open())
        co_return received;
    bool const isRefused = m_connection.body.mode == BodySink::Mode::Refused;
    if (errorCode && !(hasHead && isRefused && !m_timedOut)) {
        received.error = requestErrorFor(errorCode);
        co_return received;
    }
    if (isRefused)
        m_request.bodyState = BodyState::Refused;
    else if (m_connection.body.mode == BodySink::Mode::Discard)
        m_request.bodyState = BodyState::Discarded;
    if (m_request.bodyState == BodyState::Complete)
        m_request.body = std::move(m_connection.body.bytes);
    received.keepsAlive = m_parser.is_done() && m_parser.keep_alive();
    received.request = std::move(m_request);
    co_return received;
}

Core::Awaitable<boost::system::error_code> RequestReader::readHead()
{
    while (!m_parser.is_header_done()) {
        // Leaves most of what a client pipelines with the system.
        auto const errorCode = co_await readMore(m_limits.maximumHeaderBytes);
        if (errorCode)
            co_return errorCode;
    }
    if (hasAmbiguousFraming(m_parser.get()))
        co_return make_error_code(beast::http::error::bad_transfer_encoding);
    if (!hasSingleHostField(m_parser.get()))
        co_return make_error_code(beast::http::error::bad_field);
    takeHead();
    co_return co_await awaitMemory();
}

// The fields of the parser are freed before the body arrives. Those of a trailer are not used (RFC 9110, section 6.5.1).
void RequestReader::takeHead()
{
    auto& message = m_parser.get();
    m_request.method = std::string(message.method_string().data(), message.method_string().size());
    m_request.target = std::string(message.target().data(), message.target().size());
    m_request.headers = headersFromFields(message.base());
    m_expectsContinue = beast::iequals(message[beast::http::field::expect], "100-continue");
    // The request, the copy that is forwarded, and that copy in the form in which it is sent.
    static constexpr std::size_t copies = 3;
    // Handlers may split a field's value into the elements of a list.
    static constexpr std::size_t listElementBytes = 64;
    m_shape.fields = m_request.headers.fields().size();
    for (auto const& [name, value] : m_request.headers.fields())
        m_shape.listElements += static_cast<std::size_t>(std::count(value.begin(), value.end(), ','));
    m_connection.fieldBytes = copies * m_parsedFieldBytes + listElementBytes * m_shape.listElements;
    message.base().clear();
}

bool RequestReader::leavesBodyOut()
{
    auto const length = m_parser.content_length();
    if (!m_options.headHandler || (length && *length <= maximumUncheckedBodyBytes) || m_options.headHandler(m_request) == BodyDecision::Keep)
        return false;
    m_connection.body.mode = BodySink::Mode::Discard;
    return m_expectsContinue || (length && *length > maximumDiscardedBodyBytes);
}

Core::Awaitable<boost::system::error_code> RequestReader::readBody()
{
    if (leavesBodyOut())
        co_return boost::system::error_code();
    if (m_expectsContinue) {
        auto const errorCode = co_await sendContinue();
        if (errorCode)
            co_return errorCode;
    }
    m_parser.eager(true);
    while (!m_parser.is_done()) {
        if (m_connection.body.mode == BodySink::Mode::Keep)
            m_connection.widenReceiveQueue(expectedBodyBytes());
        if (m_connection.body.mode == BodySink::Mode::Discard && m_connection.body.received > maximumDiscardedBodyBytes)
            co_return boost::system::error_code();
        auto const errorCode = co_await readMore(bytesReadAtATime);
        if (errorCode)
            co_return errorCode;
        bool const mayContinue = co_await waitForChunks();
        if (!mayContinue) {
            m_connection.body.refuse();
            co_return make_error_code(boost::system::errc::not_enough_memory);
        }
    }
    co_return boost::system::error_code();
}

std::size_t RequestReader::expectedBodyBytes() const
{
    // A body in chunks is expected to be as long again as it is already.
    return static_cast<std::size_t>(m_parser.content_length().value_or(2 * m_connection.body.received));
}

Core::Awaitable<bool> RequestReader::waitForChunks()
{
    auto const& body = m_connection.body;
    auto const units = workOfChunks(body.pieces - m_countedPieces, body.received - m_countedBytes);
    m_countedPieces = body.pieces;
    m_countedBytes = body.received;
    if (units <= 0)
        co_return true;
    co_return co_await m_connection.waitForWork(m_runtime, m_work, m_options.work, units);
}

// RFC 9110, section 10.1.1: the client waits for this before it sends the body.
Core::Awaitable<boost::system::error_code> RequestReader::sendContinue()
{
    static constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [errorCode, length] = co_await asio::async_write(m_connection.socket, asio::buffer(interimResponse), useTuple);
    co_return errorCode;
}

// Bytes are copied once, also if they arrive one at a time: the parser continues its search where it has stopped.
Core::Awaitable<boost::system::error_code> RequestReader::readMore(std::size_t maximumBytes)
{
    auto& pending = m_connection.pending;
    boost::system::error_code parseError;
    if (!pending.empty() && !m_needsMore) {
        parseError = parse(pending.data(), pending.size());
    } else {
        if (pending.size() >= m_limits.maximumHeaderBytes + bytesReadAtATime)
            co_return make_error_code(beast::http::error::buffer_overflow);
        auto [errorCode, length] = co_await m_connection.receive(m_scratch, 0, maximumBytes);
        if (errorCode)
            co_return errorCode;
        bool const isFirst = pending.empty();
        if (!isFirst)
            pending.append(m_scratch.data(), length);
        parseError = isFirst ? parse(m_scratch.data(), length) : parse(pending.data(), pending.size());
    }
    if (parseError)
        co_return parseError;
    if (!m_parser.is_header_done())
        m_connection.fieldBytes = m_parsedFieldBytes;
    co_return co_await awaitMemory();
}

Core::Awaitable<boost::system::error_code> RequestReader::awaitMemory()
{
    bool const isGranted = m_connection.updateMemory() || co_await m_connection.awaitMemory(m_runtime);
    co_return isGranted ? boost::system::error_code() : make_error_code(boost::system::errc::not_enough_memory);
}

boost::system::error_code RequestReader::parse(char const* bytes, std::size_t length)
{
    boost::system::error_code errorCode;
    auto const used = m_parser.put(asio::const_buffer(bytes, length), errorCode);
    m_needsMore = errorCode == beast::http::error::need_more;
    if (errorCode && !m_needsMore)
        return errorCode;
    auto& pending = m_connection.pending;
    if (bytes == pending.data())
        pending.erase(0, used);
    else
        pending.assign(bytes + used, length - used);
    static constexpr std::size_t unusedBytesKept = 1024;
    if (pending.capacity() > 2 * pending.size() + unusedBytesKept)
        pending.shrink_to_fit();
    return {};
}

std::optional<Core::Error> RequestReader::requestErrorFor(boost::system::error_code errorCode) const
{
    Core::Error error;
    if (m_timedOut)
        Core::fail(error, Core::ErrorKind::RequestTimeout, "the request did not arrive in time");
    else if (m_connection.body.mode == BodySink::Mode::Refused || errorCode == boost::system::errc::not_enough_memory)
        Core::fail(error, Core::ErrorKind::Overloaded, "there is no memory for the request");
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

}
