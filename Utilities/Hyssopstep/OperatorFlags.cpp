#include <Hyssopstep/OperatorFlags.h>

#include <Hyssopstep/Command.h>
#include <LibCore/Settings.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(author, "", "author of the change, for the audit trail; the environment variable USER if empty");
DEFINE_string(comment, "", "reason for the change, for the audit trail");
DEFINE_string(directory, "", "directory whose *.yaml files hold the desired state");
DEFINE_int32(limit, 20, "number of audit entries to show, newest first");
DEFINE_string(operator, "", "comma-separated operator ports of nodes; if one cannot be reached, the next is tried");
DEFINE_string(operator_key, "", "operator key, if the nodes require one; better set by the environment than on the command line");
DEFINE_int32(operator_timeout_ms, 30000, "timeout of the command in milliseconds, for all attempts together");
DEFINE_string(output, "text", "output format: text (human-readable) or json");
DEFINE_bool(yes, false, "apply without asking for confirmation");

namespace Hyssopstep {

static bool hasFlag(Core::CommandDescription const& description, std::string_view name)
{
    return std::any_of(description.flags.begin(), description.flags.end(), [&](auto const& flag) { return flag.name == name; });
}

static std::vector<Core::Endpoint> readEndpoints(Core::SettingChecker& checker)
{
    std::vector<Core::Endpoint> endpoints;
    std::string_view rest = FLAGS_operator;
    while (!rest.empty()) {
        auto const comma = std::min(rest.find(','), rest.size());
        auto const text = rest.substr(0, comma);
        Core::Error error;
        if (auto endpoint = Core::parseEndpoint(text, error))
            endpoints.push_back(std::move(*endpoint));
        else
            checker.checkEndpoint("operator", text);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    if (FLAGS_operator.empty())
        checker.addError("operator", "", "one or more operator ports such as 127.0.0.1:8081,127.0.0.2:8081");
    return endpoints;
}

std::optional<OperatorSettings> readOperatorSettings(Core::CommandDescription const& description, Connection connection, int argc, char** argv, int& exitCode)
{
    auto parsed = Core::parseCommandLine(description, argc, argv);
    if (parsed.help) {
        std::fputs(parsed.help->c_str(), stdout);
        exitCode = Success;
        return std::nullopt;
    }
    Core::SettingChecker checker;
    OperatorSettings settings;
    settings.arguments = std::move(parsed.arguments);
    if (connection == Connection::Required) {
        settings.endpoints = readEndpoints(checker);
        checker.checkRange("operator_timeout_ms", FLAGS_operator_timeout_ms, 100, 600000, "ms");
    }
    if (hasFlag(description, "directory"))
        checker.checkNotEmpty("directory", FLAGS_directory, "a directory with *.yaml files (-f DIR)");
    if (hasFlag(description, "limit"))
        checker.checkRange("limit", FLAGS_limit, 1, 1000, "entries");
    if (hasFlag(description, "author") && FLAGS_author.empty()) {
        char const* user = std::getenv("USER");
        FLAGS_author = user ? user : "";
        checker.checkNotEmpty("author", FLAGS_author, "your name, for the audit trail");
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        checker.addError("output", FLAGS_output, "text or json");
    settings.output = FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Text;

    parsed.errors.insert(parsed.errors.end(), checker.errors().begin(), checker.errors().end());
    if (parsed.errors.empty())
        return settings;
    for (auto const& error : parsed.errors)
        std::fprintf(stderr, "%s\n", error.c_str());
    exitCode = Usage;
    return std::nullopt;
}

std::vector<Core::CommandFlag> withConnectionFlags(std::vector<Core::CommandFlag> flags)
{
    flags.insert(flags.begin(), { { "operator", "IP:PORT,...", "" }, { "operator_key", "", "" }, { "operator_timeout_ms", "ms, 100 to 600000", "" }, { "output", "text or json", "" } });
    return flags;
}

}
