#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// A gflags flag that a command takes.
struct CommandFlag {
    std::string_view name;
    /// Shown by --help after the type, for example "ms"; may be empty.
    std::string_view unit;
    /// An abbreviation such as "f" for -f; may be empty.
    std::string_view shortName;
};

/// What a command takes. gflags has one registry for all commands of the binary, so each lists its own flags.
struct CommandDescription {
    /// For example "apply -f DIR [FLAG...]".
    std::string_view usage;
    /// One or more sentences.
    std::string_view description;
    std::vector<CommandFlag> flags;
    std::size_t minimumArguments { 0 };
    std::size_t maximumArguments { 0 };
    /// Names the arguments in error lines.
    std::string_view argumentNames;
};

struct ParsedCommandLine {
    /// The help text, if --help was given; nothing else was done then.
    std::optional<std::string> help;
    /// What is not a flag, in order.
    std::vector<std::string> arguments;
    /// One line for each invalid flag, argument or environment variable.
    std::vector<std::string> errors;
};

/// Sets the command's flags from the command line ("--flag=value", "--flag value", "--switch", "--noswitch") and then, where
/// the command line says nothing, from the environment (see environmentVariableFor()). Flags of other commands are refused.
/// argv[0] is skipped. Unlike gflags' own parser, it reports all errors and does not end the process. Not thread safe.
[[nodiscard]] ParsedCommandLine parseCommandLine(CommandDescription const&, int argc, char const* const* argv);

/// Describes the command's flags with type, unit, default and environment variable, and the exit codes common to all commands.
[[nodiscard]] std::string formatHelp(CommandDescription const&);

}
