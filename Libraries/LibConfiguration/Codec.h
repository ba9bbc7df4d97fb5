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

/// Decode JSON strictly: unknown fields, missing required fields, wrong types and values outside their range are faults, each
/// with its JSON pointer (RFC 6901). Adds all faults to the list and returns nothing if there is any. Lists come back in the
/// order of their names, apart from operations, whose order matters. Cross-references are left to validate(). Thread safe.
[[nodiscard]] std::optional<DesiredState> desiredStateFromJson(boost::json::value const&, ValidationErrors&);
[[nodiscard]] std::optional<AppliedState> appliedStateFromJson(boost::json::value const&, ValidationErrors&);
[[nodiscard]] std::optional<AuditEntry> auditEntryFromJson(boost::json::value const&, ValidationErrors&);

/// Decode JSON text. Fails with InvalidConfiguration and all faults in the message, one on each line. Thread safe.
[[nodiscard]] std::optional<DesiredState> desiredStateFromJsonText(std::string_view, Core::Error&);
[[nodiscard]] std::optional<AppliedState> appliedStateFromJsonText(std::string_view, Core::Error&);

/// Puts lists in the order of their names, apart from operations, whose order matters.
void sortByName(DesiredState&);

}
