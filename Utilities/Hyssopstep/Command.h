#pragma once

#include <string_view>

namespace Hyssopstep {

/// Exit codes of all commands.
enum ExitCode : int {
    Success = 0,
    /// The command ran and failed; standard error says why.
    Failure = 1,
    /// The command line or a setting is not valid; nothing was done.
    Usage = 2,
    /// Another operator's apply came first; nothing was changed.
    Conflict = 3,
};

/// One command of the binary. argv[0] of run() is the command's name.
struct Command {
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char** argv);
};

}
