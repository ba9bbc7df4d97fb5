#include <LibConfiguration/Decoder.h>

#include <boost/json/serialize.hpp>

namespace Configuration {

// Limits the work and the output for input with many errors.
static constexpr std::size_t maximumErrors = 200;

std::string ValidationError::toString() const
{
    auto line = (location.empty() ? "" : location + ": ") + field + ": " + message;
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return line;
}

std::string joinErrors(ValidationErrors const& errors)
{
    std::string lines;
    for (auto const& error : errors)
        lines += (lines.empty() ? "" : "\n") + error.toString();
    return lines;
}

std::string escapePointerToken(std::string_view token)
{
    std::string escaped;
    for (char const c : token) {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

std::string truncateText(std::string text, std::size_t maximumBytes)
{
    if (text.size() <= maximumBytes)
        return text;
    auto end = maximumBytes - 3;
    // Bytes 10xxxxxx are continuation bytes (RFC 3629, section 3).
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80)
        --end;
    return text.substr(0, end) + "...";
}

std::string Decoder::childPointer(std::string_view name) const
{
    return m_pointer + "/" + escapePointerToken(name);
}

boost::json::value const* Decoder::find(std::string_view name, Presence presence)
{
    m_knownFields.insert(name);
    auto const* value = m_object->if_contains(name);
    if (!value && presence == Presence::Required)
        addError(m_pointer, "the field \"" + std::string(name) + "\" is missing; it is required");
    return value;
}

void Decoder::refuseUnknownFields()
{
    for (auto const& field : *m_object) {
        std::string_view const name = field.key();
        if (m_knownFields.contains(name))
            continue;
        std::string expected;
        for (auto const known : m_knownFields)
            expected += (expected.empty() ? "" : ", ") + std::string(known);
        addError(childPointer(truncateText(std::string(name), 100)), "unknown field; expected one of: " + expected);
    }
}

void Decoder::decodeText(boost::json::value const& value, std::string const& pointer, std::string& target, TextRule const& rule)
{
    if (!value.is_string()) {
        addError(pointer, "is " + describeType(value) + "; expected text (quote numbers that are meant as text)");
        return;
    }
    std::string_view const text = value.get_string();
    if (text.size() < rule.minimumLength || text.size() > rule.maximumLength) {
        addError(pointer, "has " + std::to_string(text.size()) + " bytes; expected " + std::to_string(rule.minimumLength) + " to " + std::to_string(rule.maximumLength) + " bytes: " + std::string(rule.description));
        return;
    }
    if (!rule.matches(text)) {
        addError(pointer, "is " + describeValue(value) + "; expected " + std::string(rule.description));
        return;
    }
    target = text;
}

std::optional<std::uint64_t> Decoder::decodeNumber(boost::json::value const& value, std::string const& pointer, NumberRange const& range)
{
    auto const expected = "; expected a whole number from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum) + (range.unit.empty() ? "" : " ") + std::string(range.unit);
    if (!value.is_int64() && !value.is_uint64()) {
        addError(pointer, "is " + describeValue(value) + expected);
        return std::nullopt;
    }
    boost::json::error_code errorCode;
    auto const number = value.to_number<std::uint64_t>(errorCode);
    if (errorCode || number < range.minimum || number > range.maximum) {
        addError(pointer, "is " + describeValue(value) + expected);
        return std::nullopt;
    }
    return number;
}

void Decoder::addError(std::string const& pointer, std::string message)
{
    if (m_errors.size() < maximumErrors)
        m_errors.push_back({ "", pointer, std::move(message) });
}

std::string Decoder::describeType(boost::json::value const& value)
{
    switch (value.kind()) {
    case boost::json::kind::null:
        return "empty";
    case boost::json::kind::bool_:
        return "a truth value";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
    case boost::json::kind::double_:
        return "a number";
    case boost::json::kind::string:
        return "text";
    case boost::json::kind::array:
        return "a list";
    case boost::json::kind::object:
        break;
    }
    return "a group of fields";
}

std::string Decoder::describeValue(boost::json::value const& value)
{
    if (value.is_array() || value.is_object() || value.is_null())
        return describeType(value);
    // Serializing escapes control characters, so an error stays on one line.
    return truncateText(boost::json::serialize(value), 80);
}

}
