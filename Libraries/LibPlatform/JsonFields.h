#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace Platform {

/// Reads required fields of a JSON object and records whether any was missing or of the wrong type. The value must outlive it.
/// Not thread safe.
class JsonFields {
public:
    explicit JsonFields(boost::json::value const& value)
        : m_object(value.if_object())
        , m_areValid(m_object != nullptr)
    {
    }

    /// The field's value, or an empty or zero value that makes areValid() false.
    [[nodiscard]] std::string text(std::string_view name)
    {
        auto const* value = find(name);
        if (value && value->is_string())
            return std::string(std::string_view(value->get_string()));
        m_areValid = false;
        return {};
    }

    [[nodiscard]] std::uint64_t number(std::string_view name)
    {
        auto const* value = find(name);
        if (value && value->is_uint64())
            return value->get_uint64();
        if (value && value->is_int64() && value->get_int64() >= 0)
            return static_cast<std::uint64_t>(value->get_int64());
        m_areValid = false;
        return 0;
    }

    [[nodiscard]] bool flag(std::string_view name)
    {
        auto const* value = find(name);
        if (value && value->is_bool())
            return value->get_bool();
        m_areValid = false;
        return false;
    }

    /// The field, or null, which makes areValid() false.
    [[nodiscard]] boost::json::value const* required(std::string_view name)
    {
        auto const* value = find(name);
        m_areValid = m_areValid && value;
        return value;
    }

    /// The elements of an array field; empty, with areValid() false, if there is none.
    [[nodiscard]] boost::json::array const& elements(std::string_view name)
    {
        static boost::json::array const none;
        auto const* value = find(name);
        if (value && value->is_array())
            return value->get_array();
        m_areValid = false;
        return none;
    }

    [[nodiscard]] bool has(std::string_view name) const { return find(name) != nullptr; }
    [[nodiscard]] bool areValid() const { return m_areValid; }

private:
    [[nodiscard]] boost::json::value const* find(std::string_view name) const
    {
        return m_object ? m_object->if_contains(name) : nullptr;
    }

    boost::json::object const* m_object;
    bool m_areValid;
};

}
