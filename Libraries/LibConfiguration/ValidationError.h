#pragma once

#include <string>
#include <vector>

namespace Configuration {

/// One error in a desired state.
struct ValidationError {
    /// "file:line:column" after loading YAML; empty if the state was not loaded from a file.
    std::string location;
    /// The field as a JSON pointer (RFC 6901) or the entity and field, for example "/teams/0/name" or "teams/classroom: services".
    std::string field;
    /// Describes the error and the expected range.
    std::string message;

    bool operator==(ValidationError const&) const = default;

    /// One line with location, field and message. Control characters are shown as "?". Thread safe.
    [[nodiscard]] std::string toString() const;
};

using ValidationErrors = std::vector<ValidationError>;

/// All errors, one per line, without a trailing newline. Thread safe.
[[nodiscard]] std::string joinErrors(ValidationErrors const&);

}
