#include <Edge/RolloutState.h>
#include <Hyssopstep/Command.h>
#include <Hyssopstep/OperatorCall.h>
#include <Hyssopstep/OperatorCommands.h>
#include <LibCore/Settings.h>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <cstdio>

namespace Hyssopstep {

namespace {

/// Makes a call and prints the response.
int callAndPrint(OperatorSettings const& settings, std::string method, std::string target, RetryPolicy retryPolicy)
{
    auto const response = callOperator(settings, std::move(method), std::move(target), "", retryPolicy);
    if (!response)
        return Failure;
    if (response->status >= 300)
        return reportProblem(*response);
    printValue(settings, response->body);
    return Success;
}

}

int runStatusCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "status [FLAG...]", "Shows the state of the deployment as a node knows it: configuration, nodes, backend servers and roles.", withConnectionFlags({}) };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    return settings ? callAndPrint(*settings, "GET", "/operator/status", RetryPolicy::Always) : exitCode;
}

int runRolloutsCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "rollouts [FLAG...]", "Shows the rollout orders that a node of the edge service knows, with their state and the evidence. --operator names the node's metrics address.", withConnectionFlags({}) };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    return settings ? callAndPrint(*settings, "GET", std::string(Edge::rolloutsPath), RetryPolicy::Always) : exitCode;
}

int runDrainCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "drain [FLAG...]", "Starts the graceful shutdown of the one node that --operator names.", withConnectionFlags({}) };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    // With a list, the command would drain another node if the first one cannot be reached.
    if (settings->endpoints.size() != 1) {
        std::fprintf(stderr, "--operator=\"%s\": expected exactly one operator port, that of the node to drain\n", FLAGS_operator.c_str());
        return Usage;
    }
    return callAndPrint(*settings, "POST", "/operator/drain", RetryPolicy::OnlyIfNotRun);
}

int runAuditCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "audit [FLAG...]", "Shows the changes of the desired state with author, time and comment, newest first.", withConnectionFlags({ { "limit", "entries, 1 to 1000", "" } }) };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    auto const response = callOperator(*settings, "GET", "/operator/audit?limit=" + std::to_string(FLAGS_limit), "", RetryPolicy::Always);
    if (!response)
        return Failure;
    if (response->status != 200)
        return reportProblem(*response);
    auto const* entries = response->body.get_object().if_contains("entries");
    if (settings->output == OutputFormat::Json || !entries || !entries->is_array()) {
        printValue(*settings, response->body);
        return Success;
    }
    for (auto const& entry : entries->get_array())
        printAuditEntry(entry);
    if (auto const* isComplete = response->body.get_object().if_contains("isComplete"); isComplete && *isComplete == false)
        std::puts("older entries exist");
    return Success;
}

int runExplainCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "explain REQUEST [FLAG...]", "Shows what a node recorded about a request: where it ran, and why it was refused, delayed or retried.", withConnectionFlags({}), 1, 1, "REQUEST, the value of Hyssopstep-Request-Id" };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    auto const encoded = boost::urls::encode(settings->arguments.front(), boost::urls::unreserved_chars);
    return callAndPrint(*settings, "GET", "/operator/explain?request=" + encoded, RetryPolicy::Always);
}

int runExplainPlacementCommand(int argc, char** argv)
{
    Core::CommandDescription const description { "explain-placement HOST PATH [PROMPT] [FLAG...]", "Shows where an edge node, whose metrics address --operator names, would send a request now, and the cost of each server. Nothing is sent.", withConnectionFlags({}), 2, 3, "HOST and PATH of the request, and PROMPT, the parts of the prompt as ID:TOKENS,ID:TOKENS" };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    auto const encoded = [&](std::size_t argument) { return argument < settings->arguments.size() ? std::string(boost::urls::encode(settings->arguments[argument], boost::urls::unreserved_chars)) : std::string(); };
    return callAndPrint(*settings, "GET", "/placement?host=" + encoded(0) + "&path=" + encoded(1) + "&prompt=" + encoded(2), RetryPolicy::Always);
}

}
