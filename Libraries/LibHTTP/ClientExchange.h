#pragma once

#include <LibHTTP/Client.h>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

namespace HTTP {

struct ClientConnection;

using BodyParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// How the reading of a response's head ended. Internal to LibHTTP, as all functions here.
struct HeaderOutcome {
    std::unique_ptr<BodyParser> parser;
    boost::system::error_code errorCode;
    /// Whether any byte of a response arrived.
    bool responseBegan { false };
};

/// Whether the end of the body does not depend on that of the connection.
[[nodiscard]] bool hasDelimitedBody(BodyParser const&);

/// Sends a request and reads the head of its response, past interim ones and those to other requests. Precondition: the references outlive the
/// call. Used from the runtime's thread only.
[[nodiscard]] Core::Awaitable<HeaderOutcome> exchangeHeaders(ClientConnection&, boost::beast::http::request<boost::beast::http::string_body>& message, ResponsePredicate const& matchesRequest, ClientLimits const&, ClientTraffic&);

/// Moves the body. A request without a Host field gets that of the endpoint.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> toBeastRequest(Core::Endpoint const&, Request&);

}
