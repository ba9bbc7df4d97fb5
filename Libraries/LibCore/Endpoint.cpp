#include <LibCore/Endpoint.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Core {

std::string Endpoint::toString() const
{
    if (address.find(':') != std::string::npos)
        return "[" + address + "]:" + std::to_string(port);
    return address + ":" + std::to_string(port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text, Error& error)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(error, ErrorKind::InvalidSetting, "\"" + std::string(text) + "\" has no port");
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code errorCode;
    auto const address = boost::asio::ip::make_address(std::string(host), errorCode);
    if (errorCode)
        return fail(error, ErrorKind::InvalidSetting, "\"" + std::string(host) + "\" is not an IP address");
    auto const portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const result = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (result.ec != std::errc {} || result.ptr != portText.data() + portText.size())
        return fail(error, ErrorKind::InvalidSetting, "\"" + std::string(portText) + "\" is not a port");
    return Endpoint { address.to_string(), port };
}

}
