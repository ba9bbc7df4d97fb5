#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibConfiguration/ValidationError.h>

namespace Configuration {

/// The largest desired state in bytes of JSON. The rest of the object API's limit of 1 MiB is left to the audit entries that
/// are kept in the same object.
inline constexpr std::size_t maximumDesiredStateBytes = 768 * 1024;

/// Checks a whole desired state: every field's range, duplicate names, cross-references, what each kind of service needs, and
/// the size as JSON. Returns all faults, each with its entity and field, for example "teams/classroom: services". Thread safe.
[[nodiscard]] ValidationErrors validate(DesiredState const&);

/// The part of validate() that looks at several fields or entities; for callers that have decoded the state by the schema.
/// Each fault's field begins with its entity, such as "teams/classroom". Thread safe.
[[nodiscard]] ValidationErrors validateReferences(DesiredState const&);

}
