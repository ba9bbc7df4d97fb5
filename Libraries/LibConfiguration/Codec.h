#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibConfiguration/ValidationError.h>
#include <LibCore/ErrorKind.h>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Configuration {

/// Encode as JSON with every field in a fixed order. Thread safe.
[[nodiscard]] boost::json::value toJson(DesiredState const&);
[[nodiscard]] boost::json::value toJson(AppliedState const&);
[[nodiscard]] boost::json::value toJson(AuditEntry const&);

/// Encode as JSON text, the form kept in objects and sent between nodes. Thread safe.
[[nodiscard]] std::string toJsonText(DesiredState const&);
[[nodiscard]] std::string toJsonText(AppliedState const&);

/// Decode JSON strictly: unknown fields, missing required fields, wrong types and values outside their range are errors, each
/// with its JSON pointer (RFC 6901). Appends all errors and returns nothing if there are any. Lists are returned sorted by name,
/// except operations, whose order matters. Cross-references are checked by validate() only. Thread safe.
[[nodiscard]] std::optional<DesiredState> desiredStateFromJson(boost::json::value const&, ValidationErrors&);
[[nodiscard]] std::optional<AppliedState> appliedStateFromJson(boost::json::value const&, ValidationErrors&);
[[nodiscard]] std::optional<AuditEntry> auditEntryFromJson(boost::json::value const&, ValidationErrors&);

/// Decode JSON text. Fails with InvalidConfiguration and all errors in the message, one per line. Thread safe.
[[nodiscard]] std::optional<DesiredState> desiredStateFromJsonText(std::string_view, Core::Error&);
[[nodiscard]] std::optional<AppliedState> appliedStateFromJsonText(std::string_view, Core::Error&);

/// Sorts lists by name, except operations, whose order matters.
void sortByName(DesiredState&);

}
