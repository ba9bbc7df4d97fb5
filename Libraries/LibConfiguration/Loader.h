#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibConfiguration/ValidationError.h>
#include <filesystem>
#include <optional>

namespace Configuration {

/// The largest YAML file in bytes.
inline constexpr std::size_t maximumFileBytes = 1024 * 1024;

/// Reads all files "*.yaml" of a directory, in the order of their names, into one desired state, sorted by name. The files hold
/// lists under `services`, `teams` and `places`. The result is validated as a whole (see validate()).
/// Appends every error with file, line and column, and returns nothing if there are any. Reads files; thread safe.
[[nodiscard]] std::optional<DesiredState> loadDirectory(std::filesystem::path const&, ValidationErrors&);

}
