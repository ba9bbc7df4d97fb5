#include <Hyssopstep/Command.h>
#include <Hyssopstep/OperatorCall.h>
#include <Hyssopstep/OperatorCommands.h>
#include <LibConfiguration/Apply.h>
#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Diff.h>
#include <LibConfiguration/Loader.h>
#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <iostream>
#include <random>

namespace Hyssopstep {

namespace {

constexpr Core::CommandFlag directoryFlag { "directory", "DIR", "f" };

/// Returns 128 random bits in hexadecimal.
std::string newApplyId()
{
    std::random_device device;
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(), device(), device(), device());
    return text.data();
}

/// Loads the directory of --directory. Prints one line per error on standard error.
std::optional<Configuration::DesiredState> loadDesiredState()
{
    Configuration::ValidationErrors errors;
    auto state = Configuration::loadDirectory(FLAGS_directory, errors);
    if (!state)
        std::fprintf(stderr, "%s\n%zu errors in %s\n", Configuration::joinErrors(errors).c_str(), errors.size(), FLAGS_directory.c_str());
    return state;
}

struct CurrentState {
    std::uint64_t generation { 0 };
    Configuration::DesiredState desired;
};

/// Fetches the desired state in force from a node. On failure, prints the error and sets the exit code.
std::optional<CurrentState> fetchCurrentState(OperatorSettings const& settings, int& exitCode)
{
    exitCode = Failure;
    auto const response = callOperator(settings, "GET", "/operator/desired-state", "", RetryPolicy::Always);
    if (!response)
        return std::nullopt;
    if (response->status != 200) {
        exitCode = reportProblem(*response);
        return std::nullopt;
    }
    auto const& body = response->body.get_object();
    auto const* generation = body.if_contains("generation");
    auto const* desired = body.if_contains("desired");
    Configuration::ValidationErrors errors;
    auto state = desired ? Configuration::desiredStateFromJson(*desired, errors) : std::nullopt;
    boost::json::error_code errorCode;
    auto const number = generation ? generation->to_number<std::uint64_t>(errorCode) : 0;
    if (!state || !generation || errorCode) {
        std::fprintf(stderr, "cannot decode the desired state that the node returned; check that node and command have the same version\n%s\n", Configuration::joinErrors(errors).c_str());
        return std::nullopt;
    }
    return CurrentState { number, std::move(*state) };
}

void printDiff(OperatorSettings const& settings, std::uint64_t generation, std::vector<std::string> const& changes)
{
    if (settings.output == OutputFormat::Json) {
        boost::json::object body;
        body["generation"] = generation;
        body["changes"] = boost::json::array(changes.begin(), changes.end());
        printValue(settings, body);
        return;
    }
    std::printf("%zu differences from generation %llu\n", changes.size(), static_cast<unsigned long long>(generation));
    for (auto const& change : changes)
        std::printf("  %s\n", change.c_str());
}

bool isConfirmed()
{
    if (FLAGS_yes)
        return true;
    std::fputs("apply? (yes/no) ", stderr);
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "yes" || answer == "y";
}

int reportConflict(OperatorSettings const& settings, OperatorResponse const& response)
{
    if (settings.output == OutputFormat::Json) {
        printValue(settings, response.body);
        return Conflict;
    }
    (void)reportProblem(response);
    if (auto const* entries = response.body.get_object().if_contains("entriesSince"); entries && entries->is_array()) {
        std::puts("changed since:");
        for (auto const& entry : entries->get_array())
            printAuditEntry(entry);
    }
    std::fputs("nothing was changed; check `hyssopstep diff` and apply again\n", stderr);
    return Conflict;
}

}

int runApplyCommand(int argc, char** argv)
{
    Core::CommandDescription const description {
        "apply -f DIR [FLAG...]",
        "Validates the desired state in a directory, shows how it differs from the one in force, asks for confirmation, and applies it atomically.",
        withConnectionFlags({ directoryFlag, { "author", "1 to 128 bytes", "" }, { "comment", "0 to 512 bytes", "" }, { "yes", "", "" } }),
    };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    auto desired = loadDesiredState();
    if (!desired)
        return Failure;
    auto const current = fetchCurrentState(*settings, exitCode);
    if (!current)
        return exitCode;
    auto const changes = Configuration::diff(current->desired, *desired);
    if (settings->output == OutputFormat::Text)
        printDiff(*settings, current->generation, changes);
    if (changes.empty() && current->generation > 0) {
        if (settings->output == OutputFormat::Json)
            printValue(*settings, boost::json::object { { "outcome", "unchanged" }, { "generation", current->generation } });
        return Success;
    }
    if (!isConfirmed()) {
        std::fputs("nothing was changed\n", stderr);
        return Failure;
    }

    // All attempts of one run share the id, so that nodes recognise a retry after a lost response.
    Configuration::ApplyRequest const request { current->generation, newApplyId(), FLAGS_author, FLAGS_comment, std::move(*desired) };
    auto const response = callOperator(*settings, "PUT", "/operator/desired-state", boost::json::serialize(Configuration::toJson(request)), RetryPolicy::Always);
    if (!response)
        return Failure;
    if (response->status == 409)
        return reportConflict(*settings, *response);
    if (response->status != 200)
        return reportProblem(*response);
    if (settings->output == OutputFormat::Json)
        printValue(*settings, response->body);
    else
        std::printf("applied as generation %s\n", boost::json::serialize(response->body.at("generation")).c_str());
    return Success;
}

int runDiffCommand(int argc, char** argv)
{
    Core::CommandDescription const description {
        "diff -f DIR [FLAG...]",
        "Shows how the desired state in a directory differs from the one in force. Changes nothing.",
        withConnectionFlags({ directoryFlag }),
    };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::Required, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    auto const desired = loadDesiredState();
    if (!desired)
        return Failure;
    auto const current = fetchCurrentState(*settings, exitCode);
    if (!current)
        return exitCode;
    printDiff(*settings, current->generation, Configuration::diff(current->desired, *desired));
    return Success;
}

int runValidateCommand(int argc, char** argv)
{
    Core::CommandDescription const description {
        "validate -f DIR [FLAG...]",
        "Checks the desired state in a directory without contacting a node, and prints one line per error.",
        { directoryFlag, { "output", "text or json", "" } },
    };
    int exitCode = Failure;
    auto const settings = readOperatorSettings(description, Connection::None, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    if (settings->output == OutputFormat::Json) {
        Configuration::ValidationErrors errors;
        bool const isValid = Configuration::loadDirectory(FLAGS_directory, errors).has_value();
        boost::json::array lines;
        for (auto const& error : errors)
            lines.emplace_back(error.toString());
        printValue(*settings, boost::json::object { { "valid", isValid }, { "faults", lines } });
        return isValid ? Success : Failure;
    }
    auto const state = loadDesiredState();
    if (!state)
        return Failure;
    std::printf("valid: %zu services, %zu teams, %zu places\n", state->services.size(), state->teams.size(), state->places.size());
    return Success;
}

}
