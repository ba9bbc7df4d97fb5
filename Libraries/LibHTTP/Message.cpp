#include <LibHTTP/Message.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace HTTP {

static bool sameName(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({ left.data(), left.size() }, { right.data(), right.size() });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (auto const& [fieldName, value] : m_fields) {
        if (sameName(fieldName, name))
            return value;
    }
    return std::nullopt;
}

void Headers::set(std::string_view name, std::string value)
{
    std::erase_if(m_fields, [&](auto const& field) { return sameName(field.first, name); });
    add(name, std::move(value));
}

std::string_view Request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

bool Request::hasWellFormedTarget() const
{
    return boost::urls::parse_origin_form(target).has_value();
}

std::optional<std::string> Request::queryParameter(std::string_view name) const
{
    auto const url = boost::urls::parse_origin_form(target);
    if (!url)
        return std::nullopt;
    for (auto const& parameter : url->params()) {
        if (parameter.key == name)
            return std::string(parameter.value);
    }
    return std::nullopt;
}

}
