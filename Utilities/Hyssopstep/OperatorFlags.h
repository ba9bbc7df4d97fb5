#pragma once

#include <LibCore/CommandLine.h>
#include <LibCore/Endpoint.h>
#include <gflags/gflags_declare.h>
#include <optional>
#include <string>
#include <vector>

DECLARE_string(author);
DECLARE_string(comment);
DECLARE_string(directory);
DECLARE_int32(limit);
DECLARE_string(operator);
DECLARE_string(operator_key);
DECLARE_int32(operator_timeout_ms);
DECLARE_string(output);
DECLARE_bool(yes);

namespace Hyssopstep {

/// The format in which a command prints its result.
enum class OutputFormat {
    Text,
    Json,
};

/// The validated flags that the operator commands share.
struct OperatorSettings {
    std::vector<Core::Endpoint> endpoints;
    std::vector<std::string> arguments;
    OutputFormat output { OutputFormat::Text };
};

/// Whether a command contacts nodes.
enum class Connection {
    Required,
    None,
};

/// Parses and checks the command line. On --help, or on errors, prints the help or one line per error, sets the exit code and
/// returns nothing. Not thread safe.
[[nodiscard]] std::optional<OperatorSettings> readOperatorSettings(Core::CommandDescription const&, Connection, int argc, char** argv, int& exitCode);

/// Returns the flags of all commands that contact nodes, followed by the given flags of one command.
[[nodiscard]] std::vector<Core::CommandFlag> withConnectionFlags(std::vector<Core::CommandFlag>);

}
