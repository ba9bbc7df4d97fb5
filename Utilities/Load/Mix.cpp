#include <Load/Mix.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace Load {

namespace {

// Never leaves this file: parseMix() catches it together with the exceptions of yaml-cpp.
class MixError : public std::runtime_error {
    using runtime_error::runtime_error;
};

}

static void checkFields(YAML::Node const& node, std::string const& location, std::initializer_list<std::string_view> knownFields)
{
    if (!node.IsMap())
        throw MixError(location + ": expected a map");
    auto const unknown = std::find_if(node.begin(), node.end(), [&](auto const& field) { return std::find(knownFields.begin(), knownFields.end(), field.first.template as<std::string>()) == knownFields.end(); });
    if (unknown != node.end())
        throw MixError(location + "." + unknown->first.as<std::string>() + ": unknown field");
}

template <typename T>
static T readField(YAML::Node const& node, std::string const& location, std::string const& name, T fallback)
{
    auto const field = node[name];
    if (!field)
        return fallback;
    try {
        return field.template as<T>();
    } catch (YAML::Exception const&) {
        throw MixError(location + "." + name + ": value has the wrong type");
    }
}

static Range readRange(YAML::Node const& node, std::string const& location, std::string const& name)
{
    auto const values = readField<std::vector<std::uint32_t>>(node, location, name, { 0, 0 });
    if (values.size() != 2 || values[0] > values[1])
        throw MixError(location + "." + name + ": expected [minimum, maximum]");
    return { values[0], values[1] };
}

static double readNumber(YAML::Node const& node, std::string const& location, std::string const& name, double fallback, double minimum)
{
    auto const value = readField<double>(node, location, name, fallback);
    if (!(value >= minimum))
        throw MixError(location + "." + name + ": expected at least " + std::to_string(minimum));
    return value;
}

static Bursts readBursts(YAML::Node const& node)
{
    if (!node)
        return {};
    checkFields(node, "bursts", { "everySeconds", "lengthSeconds", "factor" });
    Bursts bursts;
    bursts.everySeconds = readNumber(node, "bursts", "everySeconds", 0, 0);
    bursts.lengthSeconds = readNumber(node, "bursts", "lengthSeconds", 0, 0);
    bursts.factor = readNumber(node, "bursts", "factor", 1, 0);
    return bursts;
}

static std::vector<Team> readTeams(YAML::Node const& node)
{
    std::vector<Team> teams;
    for (auto const& entry : node) {
        auto const location = "teams[" + std::to_string(teams.size()) + "]";
        checkFields(entry, location, { "name", "key", "weight" });
        teams.push_back({ readField<std::string>(entry, location, "name", ""), readField<std::string>(entry, location, "key", ""), readNumber(entry, location, "weight", 1, 0) });
    }
    if (teams.empty() || std::all_of(teams.begin(), teams.end(), [](Team const& team) { return team.weight == 0; }))
        throw MixError("teams: expected at least one team with a weight above 0");
    return teams;
}

static std::vector<std::string> readTeamNames(YAML::Node const& node, std::string const& location, std::vector<Team> const& teams)
{
    auto names = readField<std::vector<std::string>>(node, location, "teams", {});
    double weight = names.empty() ? 1 : 0;
    for (auto const& name : names) {
        auto const team = std::find_if(teams.begin(), teams.end(), [&](Team const& candidate) { return candidate.name == name; });
        if (team == teams.end())
            throw MixError(std::string(location).append(".teams: \"").append(name).append("\" is not in the list of teams"));
        weight += team->weight;
    }
    if (weight <= 0)
        throw MixError(location + ".teams: expected at least one team with a weight above 0");
    return names;
}

static ClassKind readKind(YAML::Node const& node, std::string const& location)
{
    auto const kind = readField<std::string>(node, location, "kind", "chat");
    if (kind == "chat")
        return ClassKind::Chat;
    if (kind == "completion")
        return ClassKind::Completion;
    if (kind == "service")
        return ClassKind::Service;
    throw MixError(location + ".kind: expected chat, completion or service");
}

static RequestClass readClass(YAML::Node const& node, std::string const& location, std::vector<Team> const& teams)
{
    RequestClass requestClass;
    requestClass.kind = readKind(node, location);
    if (requestClass.kind == ClassKind::Service)
        checkFields(node, location, { "name", "kind", "service", "teams", "ratePerSecond", "deadlineMs", "method", "path", "bodyBytes", "idempotencyKey" });
    else
        checkFields(node, location, { "name", "kind", "service", "teams", "ratePerSecond", "deadlineMs", "promptTokens", "answerTokens", "prefixGroups", "prefixTokens", "stream" });
    requestClass.name = readField<std::string>(node, location, "name", "");
    requestClass.service = readField<std::string>(node, location, "service", "");
    if (requestClass.name.empty() || requestClass.service.empty())
        throw MixError(location + ": name and service are required");
    requestClass.teams = readTeamNames(node, location, teams);
    requestClass.ratePerSecond = readNumber(node, location, "ratePerSecond", 0, 0);
    requestClass.deadlineMs = readField<std::uint32_t>(node, location, "deadlineMs", 0);
    requestClass.promptTokens = readRange(node, location, "promptTokens");
    requestClass.answerTokens = readRange(node, location, "answerTokens");
    if (requestClass.kind != ClassKind::Service && requestClass.answerTokens.minimum == 0)
        throw MixError(location + ".answerTokens: expected at least 1");
    requestClass.prefixGroups = readField<std::uint32_t>(node, location, "prefixGroups", 0);
    requestClass.prefixTokens = readField<std::uint32_t>(node, location, "prefixTokens", 0);
    requestClass.responseMode = readField<bool>(node, location, "stream", false) ? ResponseMode::Streamed : ResponseMode::Buffered;
    requestClass.method = readField<std::string>(node, location, "method", "POST");
    requestClass.path = readField<std::string>(node, location, "path", "/");
    if (!requestClass.path.starts_with('/'))
        throw MixError(location + ".path: expected a path that begins with a slash");
    requestClass.bodyBytes = readRange(node, location, "bodyBytes");
    requestClass.idempotencyKey = readField<bool>(node, location, "idempotencyKey", false) ? IdempotencyKeyUse::Send : IdempotencyKeyUse::None;
    return requestClass;
}

std::optional<Mix> parseMix(std::string const& yaml, Core::Error& error)
{
    try {
        auto const document = YAML::Load(yaml);
        checkFields(document, "mix", { "name", "teams", "bursts", "classes" });
        Mix mix;
        mix.name = readField<std::string>(document, "mix", "name", "");
        mix.teams = readTeams(document["teams"]);
        mix.bursts = readBursts(document["bursts"]);
        for (auto const& entry : document["classes"])
            mix.classes.push_back(readClass(entry, "classes[" + std::to_string(mix.classes.size()) + "]", mix.teams));
        if (mix.classes.empty())
            throw MixError("classes: expected at least one class");
        return mix;
    } catch (MixError const& exception) {
        return Core::fail(error, Core::ErrorKind::InvalidConfiguration, exception.what());
    } catch (YAML::Exception const& exception) {
        return Core::fail(error, Core::ErrorKind::InvalidConfiguration, exception.what());
    }
}

std::optional<Mix> readMixFile(std::string const& path, Core::Error& error)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Core::fail(error, Core::ErrorKind::InvalidConfiguration, "cannot read " + path);
    auto mix = parseMix(text.str(), error);
    if (!mix)
        error.message = path + ": " + error.message;
    return mix;
}

}
