#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace Hyssopstep {

/// Renders JSON as human-readable text: indented "name: value" lines, and lists of flat objects as tables. Replaces control
/// characters with "?". Thread safe.
[[nodiscard]] std::string renderText(boost::json::value const&);

/// Formats milliseconds since the Unix epoch as UTC, for example "2024-05-01 09:30:00Z". Thread safe.
[[nodiscard]] std::string formatTime(std::int64_t milliseconds);

}
