#include <LibHTTP/ClientExchange.h>

#include <LibHTTP/BeastConversion.h>
#include <LibHTTP/ClientConnection.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;

static constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

// RFC 9110, section 15: a status has three digits, the first of which is at least 1. Section 15.2: interim responses precede the final one.
static constexpr unsigned firstStatus = 100;
static constexpr unsigned firstFinalStatus = 200;

bool hasDelimitedBody(BodyParser const& parser)
{
    return parser.chunked() || parser.content_length() || parser.is_done();
}

static Core::Awaitable<HeaderOutcome> readResponseHeaders(ClientConnection& connection, bool isHeadRequest, ClientLimits const& limits, ClientTraffic& traffic)
{
    HeaderOutcome outcome;
    auto parser = std::make_unique<BodyParser>();
    parser->header_limit(static_cast<std::uint32_t>(limits.maximumHeaderBytes));
    parser->body_limit(limits.maximumBodyBytes);
    parser->skip(isHeadRequest);
    auto [readError, length] = co_await beast::http::async_read_header(connection.socket, connection.buffer, *parser, useTuple);
    traffic.receivedBytes += length;
    outcome.responseBegan = length > 0 || connection.buffer.size() > 0;
    outcome.errorCode = readError;
    if (!readError)
        outcome.parser = std::move(parser);
    co_return outcome;
}

// Reads and discards the body of a response to another request.
static Core::Awaitable<boost::system::error_code> discardBody(ClientConnection& connection, BodyParser& parser)
{
    if (!hasDelimitedBody(parser))
        co_return make_error_code(beast::http::error::partial_message);
    std::string bytes(16 * 1024, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        auto [errorCode, length] = co_await beast::http::async_read_some(connection.socket, connection.buffer, parser, useTuple);
        if (errorCode && errorCode != beast::http::error::need_buffer)
            co_return errorCode;
    }
    co_return boost::system::error_code {};
}

Core::Awaitable<HeaderOutcome> exchangeHeaders(ClientConnection& connection, beast::http::request<beast::http::string_body>& message, ResponsePredicate const& matchesRequest, ClientLimits const& limits, ClientTraffic& traffic)
{
    if (connection.watch)
        connection.watch->start();
    auto [writeError, written] = co_await beast::http::async_write(connection.socket, message, useTuple);
    if (connection.watch)
        connection.watch->endWriting();
    ++traffic.requests;
    traffic.sentBytes += written;
    // The peer may respond and close before it has read the whole body, so its response is read even if the write failed.
    bool const isHeadRequest = message.method() == beast::http::verb::head;
    // Late responses to earlier requests and interim ones; more come only from a peer that does not stop.
    static constexpr std::size_t maximumDiscardedResponses = 8;
    HeaderOutcome outcome;
    for (std::size_t discarded = 0; discarded <= maximumDiscardedResponses; ++discarded) {
        outcome = co_await readResponseHeaders(connection, isHeadRequest, limits, traffic);
        if (outcome.errorCode && writeError)
            outcome.errorCode = writeError;
        if (outcome.errorCode)
            co_return outcome;
        auto const status = outcome.parser->get().result_int();
        if (status < firstStatus)
            outcome.errorCode = make_error_code(beast::http::error::bad_status);
        // The failed write has taken the error of the connection, so that a reset would pass for the end of a body without a length.
        else if (writeError && status >= firstFinalStatus && !hasDelimitedBody(*outcome.parser))
            outcome.errorCode = writeError;
        if (outcome.errorCode)
            co_return outcome;
        bool const isInterim = status < firstFinalStatus;
        if (!isInterim && (!matchesRequest || matchesRequest(headersFromFields(outcome.parser->get()))))
            co_return outcome;
        if (isInterim)
            continue;
        outcome.errorCode = co_await discardBody(connection, *outcome.parser);
        if (outcome.errorCode)
            co_return outcome;
    }
    outcome.errorCode = make_error_code(beast::http::error::bad_status);
    co_return outcome;
}

beast::http::request<beast::http::string_body> toBeastRequest(Core::Endpoint const& endpoint, Request& request)
{
    static constexpr unsigned http11 = 11;
    beast::http::request<beast::http::string_body> message;
    message.version(http11);
    message.method_string(request.method);
    message.target(request.target);
    addHeadersToFields(request.headers, message);
    if (message.count(beast::http::field::host) == 0)
        message.set(beast::http::field::host, endpoint.toString());
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

}
