#pragma once

#include <LibHTTP/Message.h>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace HTTP {

/// Copies Beast's fields in their order. Internal to LibHTTP.
template <typename Allocator>
[[nodiscard]] Headers headersFromFields(boost::beast::http::basic_fields<Allocator> const& fields)
{
    Headers headers;
    for (auto const& field : fields) {
        std::string_view const name { field.name_string().data(), field.name_string().size() };
        std::string_view const value { field.value().data(), field.value().size() };
        headers.add(name, std::string(value));
    }
    return headers;
}

/// Appends headers to the fields of a Beast message. Internal to LibHTTP.
inline void addHeadersToFields(Headers const& headers, boost::beast::http::fields& fields)
{
    for (auto const& [name, value] : headers.fields())
        fields.insert({ name.data(), name.size() }, { value.data(), value.size() });
}

}
