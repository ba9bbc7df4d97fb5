#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibConfiguration/ValidationError.h>

namespace Configuration {

/// The largest desired state in bytes of JSON. The rest of the object API's limit of 1 MiB is reserved for the audit entries in
/// the same object.
inline constexpr std::size_t maximumDesiredStateBytes = 768 * 1024;

/// Checks a whole desired state: every field's range, duplicate names, cross-references, the requirements of each service kind,
/// and the size as JSON. Returns all errors, each with its entity and field, for example "teams/classroom: services". Thread safe.
[[nodiscard]] ValidationErrors validate(DesiredState const&);

/// The checks of validate() that span several fields or entities; for callers that have decoded the state by the schema.
/// Each error's field begins with its entity, such as "teams/classroom". Thread safe.
[[nodiscard]] ValidationErrors validateReferences(DesiredState const&);

}
