#pragma once

namespace Hyssopstep {

/// The operator commands. Each returns an ExitCode.
int runApplyCommand(int argc, char** argv);
int runDiffCommand(int argc, char** argv);
int runValidateCommand(int argc, char** argv);
int runStatusCommand(int argc, char** argv);
int runRolloutsCommand(int argc, char** argv);
int runDrainCommand(int argc, char** argv);
int runAuditCommand(int argc, char** argv);
int runExplainCommand(int argc, char** argv);
int runExplainPlacementCommand(int argc, char** argv);

}
