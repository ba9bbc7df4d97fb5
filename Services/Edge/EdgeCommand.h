#pragma once

namespace Edge {

/// Runs `hyssopstep edge` and returns its exit code.
int runEdgeCommand(int argc, char** argv);

}
