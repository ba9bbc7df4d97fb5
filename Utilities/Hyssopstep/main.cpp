#include <Edge/EdgeCommand.h>
#include <Hyssopstep/Command.h>
#include <Hyssopstep/OperatorCommands.h>
#include <Load/LoadCommand.h>
#include <Node/NodeCommand.h>
#include <array>
#include <cstdio>

namespace {

constexpr std::array commands {
    Hyssopstep::Command { "node", "run a node on an entry host", Node::runNodeCommand },
    Hyssopstep::Command { "edge", "run the edge service on an entry host of a platform", Edge::runEdgeCommand },
    Hyssopstep::Command { "apply", "apply the desired state in a directory", Hyssopstep::runApplyCommand },
    Hyssopstep::Command { "diff", "show how a directory differs from the desired state in force", Hyssopstep::runDiffCommand },
    Hyssopstep::Command { "validate", "check the desired state in a directory", Hyssopstep::runValidateCommand },
    Hyssopstep::Command { "status", "show the state of the deployment", Hyssopstep::runStatusCommand },
    Hyssopstep::Command { "rollouts", "show the versions that an edge node evaluates", Hyssopstep::runRolloutsCommand },
    Hyssopstep::Command { "drain", "start the graceful shutdown of a node", Hyssopstep::runDrainCommand },
    Hyssopstep::Command { "audit", "show the changes of the desired state", Hyssopstep::runAuditCommand },
    Hyssopstep::Command { "explain", "show what a node recorded about a request", Hyssopstep::runExplainCommand },
    Hyssopstep::Command { "explain-placement", "show where an edge node would send a request, and why", Hyssopstep::runExplainPlacementCommand },
    Hyssopstep::Command { "load", "generate load and measure latencies", Load::runLoadCommand },
};

void printUsage(FILE* output)
{
    std::fputs("usage: hyssopstep COMMAND [FLAG...]\n\ncommands:\n", output);
    for (auto const& command : commands)
        std::fprintf(output, "  %-17.*s %.*s\n", static_cast<int>(command.name.size()), command.name.data(), static_cast<int>(command.summary.size()), command.summary.data());
    std::fputs("\n`hyssopstep COMMAND --help` describes a command.\n", output);
}

}

int main(int argc, char** argv)
{
    std::string_view const name = argc >= 2 ? argv[1] : "";
    for (auto const& command : commands) {
        if (command.name == name)
            return command.run(argc - 1, argv + 1);
    }
    bool const wantsHelp = name == "--help" || name == "help";
    printUsage(wantsHelp ? stdout : stderr);
    return wantsHelp ? Hyssopstep::Success : Hyssopstep::Usage;
}
