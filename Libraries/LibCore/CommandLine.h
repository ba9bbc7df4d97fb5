#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// A gflags flag that a command accepts.
struct CommandFlag {
    std::string_view name;
    /// Shown by --help after the type, for example "ms"; may be empty.
    std::string_view unit;
    /// An abbreviation such as "f" for -f; may be empty.
    std::string_view shortName;
};

/// The flags and arguments of a command. gflags has one registry for all commands of the binary, so each command lists its own flags.
struct CommandDescription {
    /// For example "apply -f DIR [FLAG...]".
    std::string_view usage;
    /// One or more sentences.
    std::string_view description;
    std::vector<CommandFlag> flags;
    std::size_t minimumArguments { 0 };
    std::size_t maximumArguments { 0 };
    /// Describes the positional arguments in error messages.
    std::string_view argumentNames;
};

struct ParsedCommandLine {
    /// The help text if --help was given; nothing else is parsed in that case.
    std::optional<std::string> help;
    /// Positional arguments, in order.
    std::vector<std::string> arguments;
    /// One line for each invalid flag, argument or environment variable.
    std::vector<std::string> errors;
};

/// Sets the command's flags from the command line ("--flag=value", "--flag value", "--switch", "--noswitch"), and flags not given
/// there from the environment (see environmentVariableFor()). Flags of other commands are refused.
/// argv[0] is skipped. Unlike gflags' own parser, it reports all errors and does not end the process. Not thread safe.
[[nodiscard]] ParsedCommandLine parseCommandLine(CommandDescription const&, int argc, char const* const* argv);

/// Describes the command's flags with type, unit, default and environment variable, and the exit codes common to all commands.
[[nodiscard]] std::string formatHelp(CommandDescription const&);

}
