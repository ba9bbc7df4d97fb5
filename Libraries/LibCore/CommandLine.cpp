#include <LibCore/CommandLine.h>

#include <LibCore/Settings.h>
#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>

namespace Core {

namespace {

CommandFlag const* findFlag(CommandDescription const& description, std::string_view name, std::string_view dashes)
{
    auto const found = std::find_if(description.flags.begin(), description.flags.end(), [&](auto const& flag) {
        return dashes == "-" && !flag.shortName.empty() ? flag.shortName == name : flag.name == name;
    });
    return found == description.flags.end() ? nullptr : &*found;
}

bool isBooleanFlag(CommandFlag const& flag)
{
    return gflags::GetCommandLineFlagInfoOrDie(std::string(flag.name).c_str()).type == "bool";
}

class ArgumentReader {
public:
    ArgumentReader(CommandDescription const& description, std::vector<std::string> arguments, ParsedCommandLine& parsed)
        : m_description(description)
        , m_arguments(std::move(arguments))
        , m_parsed(parsed)
    {
    }

    void readAll()
    {
        while (m_next < m_arguments.size()) {
            auto const argument = m_arguments[m_next++];
            if (argument == "--") {
                m_parsed.arguments.insert(m_parsed.arguments.end(), m_arguments.begin() + static_cast<std::ptrdiff_t>(m_next), m_arguments.end());
                return;
            }
            if (argument.size() > 1 && argument.starts_with('-'))
                readFlag(argument);
            else
                m_parsed.arguments.push_back(argument);
        }
    }

private:
    void readFlag(std::string const& argument)
    {
        std::string const dashes = argument.starts_with("--") ? "--" : "-";
        auto const equals = argument.find('=');
        auto const name = argument.substr(dashes.size(), equals == std::string::npos ? equals : equals - dashes.size());
        if (auto const* flag = findFlag(m_description, name, dashes)) {
            if (equals != std::string::npos)
                set(*flag, argument.substr(equals + 1));
            else if (isBooleanFlag(*flag))
                set(*flag, "true");
            else if (m_next < m_arguments.size())
                set(*flag, m_arguments[m_next++]);
            else
                m_parsed.errors.push_back(dashes + name + ": the value is missing");
            return;
        }
        if (name.starts_with("no") && equals == std::string::npos) {
            if (auto const* flag = findFlag(m_description, std::string_view(name).substr(2), dashes); flag && isBooleanFlag(*flag)) {
                set(*flag, "false");
                return;
            }
        }
        m_parsed.errors.push_back(dashes + name + ": unknown flag; --help lists the flags of this command");
    }

    void set(CommandFlag const& flag, std::string const& value)
    {
        std::string const name(flag.name);
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            auto const type = gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type;
            m_parsed.errors.push_back("--" + name + "=\"" + value + "\": expected a value of type " + type + (flag.unit.empty() ? "" : " in ") + std::string(flag.unit));
        }
    }

    CommandDescription const& m_description;
    std::vector<std::string> m_arguments;
    ParsedCommandLine& m_parsed;
    std::size_t m_next { 0 };
};

}

std::string formatHelp(CommandDescription const& description)
{
    auto text = "usage: hyssopstep " + std::string(description.usage) + "\n\n" + std::string(description.description) + "\n\nflags:\n";
    for (auto const& flag : description.flags) {
        auto const info = gflags::GetCommandLineFlagInfoOrDie(std::string(flag.name).c_str());
        text += "  --" + info.name;
        if (!flag.shortName.empty())
            text += ", -" + std::string(flag.shortName);
        text += "  (" + info.type + (flag.unit.empty() ? "" : ", ") + std::string(flag.unit) + "; default " + (info.type == "string" ? "\"" + info.default_value + "\"" : info.default_value) + "; " + environmentVariableFor(info.name) + ")\n      " + info.description + "\n";
    }
    text += "  --help, -h\n      show this help\n";
    text += "\nexit codes: 0 success; 1 the command failed; 2 a flag, argument or setting is not valid and nothing was done;\n"
            "3 another apply changed the desired state first and nothing was done\n";
    return text;
}

ParsedCommandLine parseCommandLine(CommandDescription const& description, int argc, char const* const* argv)
{
    ParsedCommandLine parsed;
    std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    for (auto const& argument : arguments) {
        if (argument == "--")
            break;
        if (argument == "--help" || argument == "-h") {
            parsed.help = formatHelp(description);
            return parsed;
        }
    }
    ArgumentReader(description, std::move(arguments), parsed).readAll();
    auto const environmentErrors = applyEnvironmentToFlags();
    parsed.errors.insert(parsed.errors.end(), environmentErrors.begin(), environmentErrors.end());
    if (parsed.arguments.size() < description.minimumArguments || parsed.arguments.size() > description.maximumArguments) {
        auto const expected = description.maximumArguments == 0 ? std::string("none") : std::to_string(description.minimumArguments) + " to " + std::to_string(description.maximumArguments) + ": " + std::string(description.argumentNames);
        parsed.errors.push_back(std::to_string(parsed.arguments.size()) + " positional arguments; expected " + expected);
    }
    return parsed;
}

}
