#pragma once

#include <string_view>

namespace Hyssopstep {

/// Exit codes of all commands.
enum ExitCode : int {
    Success = 0,
    /// The command failed; standard error has the reason.
    Failure = 1,
    /// The command line or a setting is not valid; nothing was done.
    Usage = 2,
    /// Another apply changed the desired state since it was read; nothing was changed.
    Conflict = 3,
};

/// A subcommand of the binary. argv[0] of run() is the subcommand's name.
struct Command {
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char** argv);
};

}
