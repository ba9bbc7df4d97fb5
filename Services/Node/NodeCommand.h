#pragma once

namespace Node {

/// Runs `hyssopstep node` until a graceful shutdown; returns the exit code of the process.
int runNodeCommand(int argc, char** argv);

}
