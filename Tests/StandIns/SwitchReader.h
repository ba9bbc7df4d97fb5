#pragma once

#include <LibPlatform/JsonFields.h>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string_view>

namespace StandIns {

/// Reads optional switches from a JSON object and detects unknown ones, so that a misspelt switch is not silently ignored.
/// Not thread safe.
class SwitchReader {
public:
    /// The value must outlive the reader.
    explicit SwitchReader(boost::json::value const& value)
        : m_fields(value)
        , m_size(value.is_object() ? value.get_object().size() : 0)
    {
    }

    /// Replaces the number if the switch is present.
    void read(std::string_view name, std::uint64_t& number)
    {
        if (!m_fields.has(name))
            return;
        number = m_fields.number(name);
        ++m_known;
    }

    void read(std::string_view name, bool& flag)
    {
        if (!m_fields.has(name))
            return;
        flag = m_fields.flag(name);
        ++m_known;
    }

    /// Whether the value is an object of which every member was read and had the right type.
    [[nodiscard]] bool isComplete() const { return m_fields.areValid() && m_known == m_size; }

private:
    Platform::JsonFields m_fields;
    std::size_t m_size;
    std::size_t m_known { 0 };
};

}
