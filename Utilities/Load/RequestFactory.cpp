#include <Load/RequestFactory.h>

#include <LibCore/Uuid.h>
#include <Load/Arrivals.h>
#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Load {

namespace json = boost::json;

// Precondition: at least one team of the class has a weight above 0, which parseMix() checks.
static Team const& drawTeam(Mix const& mix, RequestClass const& requestClass, Core::Random& random)
{
    std::vector<Team const*> candidates;
    double total = 0;
    for (auto const& team : mix.teams) {
        bool const isNamed = std::find(requestClass.teams.begin(), requestClass.teams.end(), team.name) != requestClass.teams.end();
        if (team.weight <= 0 || !(isNamed || requestClass.teams.empty()))
            continue;
        candidates.push_back(&team);
        total += team.weight;
    }
    auto point = random.unit() * total;
    for (auto const* team : candidates) {
        point -= team->weight;
        if (point < 0)
            return *team;
    }
    return *candidates.back();
}

static std::string buildPrefix(RequestClass const& requestClass, Team const& team, Core::Random& random)
{
    if (requestClass.prefixGroups == 0)
        return {};
    auto const group = random.below(requestClass.prefixGroups);
    auto const wordPrefix = team.name + "-" + requestClass.name + "-" + std::to_string(group) + "-";
    std::string text;
    for (std::uint32_t index = 0; index < requestClass.prefixTokens; ++index)
        text.append(index == 0 ? "" : " ").append(wordPrefix).append(std::to_string(index));
    return text;
}

static std::string buildPrompt(RequestClass const& requestClass, std::uint32_t answerTokens, Core::Random& random)
{
    std::string text;
    auto const words = drawLogUniform(requestClass.promptTokens, random);
    for (std::uint32_t index = 0; index < words; ++index)
        text += "w" + std::to_string(random.below(1'000'000)) + " ";
    return text + "length=" + std::to_string(answerTokens);
}

static std::uint32_t countWords(std::string const& text)
{
    return text.empty() ? 0 : static_cast<std::uint32_t>(std::count(text.begin(), text.end(), ' ')) + 1;
}

static std::string buildModelBody(RequestClass const& requestClass, Team const& team, Core::Random& random, PlannedRequest& planned)
{
    auto const prefix = buildPrefix(requestClass, team, random);
    auto const answerTokens = drawLogUniform(requestClass.answerTokens, random);
    auto const prompt = buildPrompt(requestClass, answerTokens, random);
    planned.sharedPrefixTokens = countWords(prefix);
    planned.promptTokens = planned.sharedPrefixTokens + countWords(prompt);
    json::object body { { "model", requestClass.service }, { "max_tokens", requestClass.answerTokens.maximum }, { "stream", requestClass.responseMode == ResponseMode::Streamed }, { "seed", random.below(1'000'000'000) } };
    if (requestClass.kind == ClassKind::Completion) {
        body["prompt"] = prefix.empty() ? prompt : prefix + " " + prompt;
        return json::serialize(body);
    }
    json::array messages;
    if (!prefix.empty())
        messages.push_back(json::object { { "role", "system" }, { "content", prefix } });
    messages.push_back(json::object { { "role", "user" }, { "content", prompt } });
    planned.promptTokens += static_cast<std::uint32_t>(messages.size());
    body["messages"] = std::move(messages);
    return json::serialize(body);
}

PlannedRequest buildRequest(Mix const& mix, RequestClass const& requestClass, std::string const& defaultKey, Core::Random& random, Core::WallTime time)
{
    PlannedRequest planned;
    auto const& team = drawTeam(mix, requestClass, random);
    planned.team = team.name;
    planned.bearerKey = team.key.empty() ? defaultKey : team.key;
    auto& request = planned.request;
    request.headers.set("Content-Type", "application/json");
    if (!planned.bearerKey.empty())
        request.headers.set("Authorization", "Bearer " + planned.bearerKey);
    if (requestClass.deadlineMs > 0)
        request.headers.set("Hyssopstep-Deadline-Ms", std::to_string(requestClass.deadlineMs));
    if (requestClass.kind != ClassKind::Service) {
        request.method = "POST";
        request.target = requestClass.kind == ClassKind::Chat ? "/v1/chat/completions" : "/v1/completions";
        request.body = buildModelBody(requestClass, team, random, planned);
        return planned;
    }
    request.method = requestClass.method;
    request.target = "/services/" + requestClass.service + requestClass.path;
    if (requestClass.bodyBytes.maximum > 0) {
        json::object const body { { "number", random.below(1'000'000'000) }, { "text", std::string(drawLogUniform(requestClass.bodyBytes, random), 'x') } };
        request.body = json::serialize(body);
    }
    if (requestClass.idempotencyKey == IdempotencyKeyUse::Send) {
        planned.idempotencyKey = Core::generateUuidV7(random, time).toString();
        request.headers.set("Idempotency-Key", planned.idempotencyKey);
    }
    return planned;
}

}
