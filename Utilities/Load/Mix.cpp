#include <Load/Mix.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace Load {

namespace {

// Thrown and caught in this file only, like the exceptions of yaml-cpp.
class MixFault : public std::runtime_error {
    using runtime_error::runtime_error;
};

}

static void checkFields(YAML::Node const& node, std::string const& where, std::initializer_list<std::string_view> known)
{
    if (!node.IsMap())
        throw MixFault(where + ": a map is needed");
    auto const unknown = std::find_if(node.begin(), node.end(), [&](auto const& field) { return std::find(known.begin(), known.end(), field.first.template as<std::string>()) == known.end(); });
    if (unknown != node.end())
        throw MixFault(where + "." + unknown->first.as<std::string>() + ": there is no such field");
}

template <typename T>
static T readField(YAML::Node const& node, std::string const& where, std::string const& name, T fallback)
{
    auto const field = node[name];
    if (!field)
        return fallback;
    try {
        return field.template as<T>();
    } catch (YAML::Exception const&) {
        throw MixFault(where + "." + name + ": the value is of the wrong type");
    }
}

static Range readRange(YAML::Node const& node, std::string const& where, std::string const& name)
{
    auto const values = readField<std::vector<std::uint32_t>>(node, where, name, { 0, 0 });
    if (values.size() != 2 || values[0] > values[1])
        throw MixFault(where + "." + name + ": [minimum, maximum] is needed");
    return { values[0], values[1] };
}

static double readNumber(YAML::Node const& node, std::string const& where, std::string const& name, double fallback, double minimum)
{
    auto const value = readField<double>(node, where, name, fallback);
    if (!(value >= minimum))
        throw MixFault(where + "." + name + ": at least " + std::to_string(minimum) + " is needed");
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
        auto const where = "teams[" + std::to_string(teams.size()) + "]";
        checkFields(entry, where, { "name", "key", "weight" });
        teams.push_back({ readField<std::string>(entry, where, "name", ""), readField<std::string>(entry, where, "key", ""), readNumber(entry, where, "weight", 1, 0) });
    }
    if (teams.empty() || std::all_of(teams.begin(), teams.end(), [](Team const& team) { return team.weight == 0; }))
        throw MixFault("teams: a team with a weight is needed");
    return teams;
}

static std::vector<std::string> readTeamNames(YAML::Node const& node, std::string const& where, std::vector<Team> const& teams)
{
    auto names = readField<std::vector<std::string>>(node, where, "teams", {});
    double weight = names.empty() ? 1 : 0;
    for (auto const& name : names) {
        auto const team = std::find_if(teams.begin(), teams.end(), [&](Team const& candidate) { return candidate.name == name; });
        if (team == teams.end())
            throw MixFault(where + ".teams: a team is not in the list of teams");
        weight += team->weight;
    }
    if (weight <= 0)
        throw MixFault(where + ".teams: a team with a weight is needed");
    return names;
}

static ClassKind readKind(YAML::Node const& node, std::string const& where)
{
    auto const kind = readField<std::string>(node, where, "kind", "chat");
    if (kind == "chat")
        return ClassKind::Chat;
    if (kind == "completion")
        return ClassKind::Completion;
    if (kind == "service")
        return ClassKind::Service;
    throw MixFault(where + ".kind: chat, completion or service is needed");
}

static RequestClass readClass(YAML::Node const& node, std::string const& where, std::vector<Team> const& teams)
{
    RequestClass requestClass;
    requestClass.kind = readKind(node, where);
    if (requestClass.kind == ClassKind::Service)
        checkFields(node, where, { "name", "kind", "service", "teams", "ratePerSecond", "deadlineMs", "method", "path", "bodyBytes", "idempotencyKey" });
    else
        checkFields(node, where, { "name", "kind", "service", "teams", "ratePerSecond", "deadlineMs", "promptTokens", "answerTokens", "prefixGroups", "prefixTokens", "stream" });
    requestClass.name = readField<std::string>(node, where, "name", "");
    requestClass.service = readField<std::string>(node, where, "service", "");
    if (requestClass.name.empty() || requestClass.service.empty())
        throw MixFault(where + ": name and service are needed");
    requestClass.teams = readTeamNames(node, where, teams);
    requestClass.ratePerSecond = readNumber(node, where, "ratePerSecond", 0, 0);
    requestClass.deadlineMs = readField<std::uint32_t>(node, where, "deadlineMs", 0);
    requestClass.promptTokens = readRange(node, where, "promptTokens");
    requestClass.answerTokens = readRange(node, where, "answerTokens");
    if (requestClass.kind != ClassKind::Service && requestClass.answerTokens.minimum == 0)
        throw MixFault(where + ".answerTokens: at least 1 is needed");
    requestClass.prefixGroups = readField<std::uint32_t>(node, where, "prefixGroups", 0);
    requestClass.prefixTokens = readField<std::uint32_t>(node, where, "prefixTokens", 0);
    requestClass.answerMode = readField<bool>(node, where, "stream", false) ? AnswerMode::Streamed : AnswerMode::Whole;
    requestClass.method = readField<std::string>(node, where, "method", "POST");
    requestClass.path = readField<std::string>(node, where, "path", "/");
    if (!requestClass.path.starts_with('/'))
        throw MixFault(where + ".path: a path that begins with a slash is needed");
    requestClass.bodyBytes = readRange(node, where, "bodyBytes");
    requestClass.idempotencyKey = readField<bool>(node, where, "idempotencyKey", false) ? IdempotencyKeyUse::Send : IdempotencyKeyUse::None;
    return requestClass;
}

std::optional<Mix> parseMix(std::string const& yaml, Core::Error& reason)
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
            throw MixFault("classes: a class is needed");
        return mix;
    } catch (MixFault const& fault) {
        return Core::fail(reason, Core::ErrorKind::InvalidConfiguration, fault.what());
    } catch (YAML::Exception const& fault) {
        return Core::fail(reason, Core::ErrorKind::InvalidConfiguration, fault.what());
    }
}

std::optional<Mix> readMixFile(std::string const& path, Core::Error& reason)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Core::fail(reason, Core::ErrorKind::InvalidConfiguration, "cannot read " + path);
    auto mix = parseMix(text.str(), reason);
    if (!mix)
        reason.message = path + ": " + reason.message;
    return mix;
}

}
