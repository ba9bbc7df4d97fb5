#pragma once

#include <string>
#include <vector>

namespace Configuration {

/// One fault of a desired state.
struct ValidationError {
    /// Where it is: "file:line:column" after loading YAML, empty if the state did not come from a file.
    std::string location;
    /// The field as a JSON pointer (RFC 6901) or the entity and field, for example "/teams/0/name" or "teams/classroom: services".
    std::string field;
    /// What is wrong, with the allowed range.
    std::string message;

    bool operator==(ValidationError const&) const = default;

    /// One line with place, field and problem. Control characters are shown as "?". Thread safe.
    [[nodiscard]] std::string toString() const;
};

using ValidationErrors = std::vector<ValidationError>;

/// All faults, one on each line, without a newline after the last. Thread safe.
[[nodiscard]] std::string joinErrors(ValidationErrors const&);

}
