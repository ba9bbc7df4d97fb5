#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace Hyssopstep {

/// Renders JSON for a person: "name: value" lines with indentation, and lists of like objects as tables. Control characters
/// are json as "?". Thread safe.
[[nodiscard]] std::string renderText(boost::json::value const&);

/// Formats milliseconds since the Unix epoch as UTC, for example "2024-05-01 09:30:00Z". Thread safe.
[[nodiscard]] std::string formatTime(std::int64_t milliseconds);

}
