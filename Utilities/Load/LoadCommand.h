#pragma once

namespace Load {

/// Runs `hyssopstep load` and returns the process's exit code.
int runLoadCommand(int argc, char** argv);

}
