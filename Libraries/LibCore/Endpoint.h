#pragma once

#include <LibCore/ErrorKind.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(Endpoint const&) const = default;

    /// "address:port", with brackets around an IPv6 address.
    [[nodiscard]] std::string toString() const;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are refused with InvalidSetting. Thread safe.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view, Error&);

}
