#pragma once

namespace Node {

/// Runs `hyssopstep node` until a graceful stop and returns the process's exit code.
int runNodeCommand(int argc, char** argv);

}
