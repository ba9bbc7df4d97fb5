#pragma once

#include <LibConfiguration/Schema.h>
#include <LibConfiguration/ValidationError.h>
#include <algorithm>
#include <boost/json/value.hpp>
#include <optional>
#include <set>

namespace Configuration {

/// Decodes JSON values by the schema. Adds an error, with its JSON pointer, for each field that is unknown, missing, of
/// the wrong type or outside its range; such a field keeps its default. Internal to LibConfiguration. Not thread safe.
class Decoder {
public:
    explicit Decoder(ValidationErrors& errors)
        : m_errors(errors)
    {
    }

    template <typename Entity>
    void decode(boost::json::value const& value, std::string const& pointer, Entity& entity)
    {
        if (!value.is_object()) {
            addError(pointer, "is " + describeType(value) + "; expected a group of fields");
            return;
        }
        Decoder nested(m_errors);
        nested.m_object = &value.get_object();
        nested.m_pointer = pointer;
        describeFields(nested, entity);
        nested.refuseUnknownFields();
    }

    void text(std::string_view name, std::string& target, TextRule const& rule, Presence presence)
    {
        if (auto const* value = find(name, presence))
            decodeText(*value, childPointer(name), target, rule);
    }

    template <typename Number>
    void number(std::string_view name, Number& target, NumberRange const& range, Presence presence)
    {
        auto const* value = find(name, presence);
        if (!value)
            return;
        if (auto const number = decodeNumber(*value, childPointer(name), range))
            target = static_cast<Number>(*number);
    }

    template <typename Enumeration, std::size_t count>
    void choice(std::string_view name, Enumeration& target, std::array<std::pair<std::string_view, Enumeration>, count> const& choices, Presence presence)
    {
        auto const* value = find(name, presence);
        if (!value)
            return;
        std::string expected;
        for (auto const& [choiceName, choice] : choices) {
            if (value->is_string() && std::string_view(value->get_string()) == choiceName) {
                target = choice;
                return;
            }
            expected += (expected.empty() ? "" : ", ") + std::string(choiceName);
        }
        addError(childPointer(name), "is " + describeValue(*value) + "; expected one of: " + expected);
    }

    void texts(std::string_view name, std::vector<std::string>& target, TextRule const& rule, ListLimit limit, Presence presence)
    {
        decodeList(name, limit, presence, [&](auto const& element, std::string const& pointer) {
            target.emplace_back();
            decodeText(element, pointer, target.back(), rule);
        });
    }

    template <typename Entity>
    void entities(std::string_view name, std::vector<Entity>& target, ListLimit limit, Presence presence)
    {
        decodeList(name, limit, presence, [&](auto const& element, std::string const& pointer) {
            target.emplace_back();
            decode(element, pointer, target.back());
        });
    }

    template <typename Entity>
    void entity(std::string_view name, Entity& target, Presence presence)
    {
        if (auto const* value = find(name, presence))
            decode(*value, childPointer(name), target);
    }

private:
    [[nodiscard]] std::string childPointer(std::string_view name) const;
    [[nodiscard]] boost::json::value const* find(std::string_view name, Presence);
    void refuseUnknownFields();
    void decodeText(boost::json::value const&, std::string const& pointer, std::string& target, TextRule const&);
    [[nodiscard]] std::optional<std::uint64_t> decodeNumber(boost::json::value const&, std::string const& pointer, NumberRange const&);
    void addError(std::string const& pointer, std::string message);
    [[nodiscard]] static std::string describeType(boost::json::value const&);
    [[nodiscard]] static std::string describeValue(boost::json::value const&);

    template <typename DecodeElement>
    void decodeList(std::string_view name, ListLimit limit, Presence presence, DecodeElement const& decodeElement)
    {
        auto const* value = find(name, presence);
        if (!value)
            return;
        auto const pointer = childPointer(name);
        if (!value->is_array()) {
            addError(pointer, "is " + describeType(*value) + "; expected a list");
            return;
        }
        auto const& array = value->get_array();
        if (array.size() > limit.maximum) {
            addError(pointer, "has " + std::to_string(array.size()) + " elements; expected 0 to " + std::to_string(limit.maximum));
            return;
        }
        for (std::size_t index = 0; index < array.size(); ++index)
            decodeElement(array[index], pointer + "/" + std::to_string(index));
    }

    ValidationErrors& m_errors;
    boost::json::object const* m_object { nullptr };
    std::string m_pointer;
    std::set<std::string_view> m_knownFields;
};

/// Escapes a field name for a JSON pointer (RFC 6901, section 3).
[[nodiscard]] std::string escapePointerToken(std::string_view);

/// Truncates text to a number of bytes, the last three of them "...", without splitting a UTF-8 character.
[[nodiscard]] std::string truncateText(std::string, std::size_t maximumBytes);

}
