#include <Edge/RequestAdmission.h>

#include <Edge/OverloadControl.h>
#include <Edge/RetryAfter.h>
#include <xxhash.h>

namespace Edge {

using namespace std::chrono_literals;
using Core::ErrorKind;

// A node learns its configuration and servers within about one poll of the store.
static constexpr std::chrono::milliseconds retryAfterNotReady { 500 };
// Clients without progress yield after HTTP::stallTime.
static constexpr std::chrono::milliseconds retryAfterMemory { 1000 };

static Limits::RequestFingerprint fingerprintOf(HTTP::Request const& request, std::string const& team)
{
    XXH64_hash_t hash = XXH3_64bits(request.target.data(), request.target.size());
    hash = XXH3_64bits_withSeed(team.data(), team.size(), hash);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), hash);
}

// The last prompt part belongs to the request or its session, the others are shared. Of very many, the first and the last ones are considered:
// each one costs time at every event and every crash, and displaces other suspects.
static std::vector<Limits::PromptPartHash> hashSharedParts(std::vector<Forward::PromptPart> const& prompt)
{
    static constexpr std::size_t maximumAtEachEnd = 32;
    auto const count = prompt.empty() ? 0 : prompt.size() - 1;
    std::vector<Limits::PromptPartHash> hashes;
    for (std::size_t i = 0; i < count; ++i) {
        if (i < maximumAtEachEnd || i + maximumAtEachEnd >= count)
            hashes.push_back(XXH3_64bits(prompt[i].id.data(), prompt[i].id.size()));
    }
    return hashes;
}

static void hashSharedPrefix(std::vector<Forward::PromptPart> const& prompt, std::uint64_t& hash, std::uint32_t& tokens)
{
    hash = 0;
    tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), hash);
        tokens += prompt[i].tokens;
    }
}

static void failAsCrashCause(Core::Error& error, std::string message)
{
    Core::fail(error, ErrorKind::Overloaded, std::move(message));
    error.retryAfter = 60s;
}

bool RequestAdmission::isRefusedAsCrashCause(RequestContext const& context, Core::Error& error) const
{
    auto const now = m_dependencies.runtime.now();
    if (Limits::crashesServers(m_dependencies.tables.requestSuspects, context.fingerprint, now)) {
        failAsCrashCause(error, "identical requests crashed backend servers at all nodes together; the request is quarantined");
        return true;
    }
    for (auto const part : context.sharedParts) {
        if (!Limits::crashesServers(m_dependencies.tables.crashSuspects, part, now))
            continue;
        failAsCrashCause(error, "requests with the prompt part of hash " + std::to_string(part) + " crashed backend servers");
        return true;
    }
    return false;
}

// A tunnel ends at a proxy, not at a server behind a gateway, and TRACE has no content (RFC 9110, sections 9.3.6 and 9.3.8).
static bool isForwardable(HTTP::Request const& request, Core::Error& error)
{
    if (request.method == "CONNECT")
        return Core::fail(error, ErrorKind::MethodNotAllowed, "this gateway opens no tunnels"), false;
    if (request.method == "TRACE" && !request.body.empty())
        return Core::fail(error, ErrorKind::InvalidRequest, "a TRACE request must not have a body"), false;
    return true;
}

HTTP::BodyDecision RequestAdmission::decideBody(HTTP::Request const& head) const
{
    auto const& routes = m_dependencies.tables.routes;
    // A TRACE request with a body is refused for the body.
    if (!routes || head.method == "TRACE")
        return HTTP::BodyDecision::Keep;
    auto const* route = Forward::findRoute(*routes, head.headers.find("Host").value_or(""), head.target);
    if (!route)
        return HTTP::BodyDecision::Discard;
    bool const needsKey = !routes->teams.empty() && !route->isAnonymous;
    bool const isKnown = !needsKey || Forward::findTeamByKey(*routes, m_dependencies.codec.decodeRequest(head).key);
    return isKnown ? HTTP::BodyDecision::Keep : HTTP::BodyDecision::Discard;
}

// A body that was not wanted is missing only here if the configuration has changed since the head arrived.
static bool hasBody(HTTP::Request const& request, Core::Error& error)
{
    if (request.bodyState == HTTP::BodyState::Complete)
        return true;
    Core::fail(error, ErrorKind::Overloaded, request.bodyState == HTTP::BodyState::Refused ? "there is no memory, or no time, for the request" : "the configuration changed while the request arrived");
    error.retryAfter = request.bodyState == HTTP::BodyState::Refused ? retryAfterMemory : minimumRetryAfter;
    return false;
}

bool RequestAdmission::admit(RequestContext& context, Core::Error& error)
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    context.routes = tables.routes;
    context.attributes = m_dependencies.codec.decodeRequest(context.request);
    if (!isForwardable(context.request, error))
        return false;
    if (!context.routes) {
        Core::fail(error, ErrorKind::NotReady, "no configuration has been received yet");
        error.retryAfter = retryAfterNotReady;
        return false;
    }
    context.route = Forward::findRoute(*context.routes, context.request.headers.find("Host").value_or(""), context.request.target);
    if (!context.route)
        return Core::fail(error, ErrorKind::NotFound, "no route of configuration version " + std::to_string(context.routes->version) + " matches the host and path"), false;
    if (!context.routes->teams.empty() && !context.route->isAnonymous) {
        context.team = Forward::findTeamByKey(*context.routes, context.attributes.key);
        if (!context.team)
            return Core::fail(error, ErrorKind::Unauthorized, "no team of configuration version " + std::to_string(context.routes->version) + " has this key"), false;
    }
    if (context.attributes.attemptId.empty())
        return Core::fail(error, ErrorKind::InvalidRequest, "the request has no attempt id"), false;
    if (!hasBody(context.request, error))
        return false;
    auto const timeLeft = std::min(context.attributes.timeLeft.value_or(context.route->timeout), context.route->timeout);
    context.deadline = context.arrivedAt + timeLeft;
    if (tables.drain && !Forward::acceptsWhileDraining(*tables.drain, context.deadline, now)) {
        Core::fail(error, ErrorKind::Draining, "the node stops in " + std::to_string(toMilliseconds(tables.drain->end - now).count()) + " ms, the request may take " + std::to_string(toMilliseconds(context.deadline - now).count()) + " ms");
        // Another node can serve the request at once.
        error.retryAfter = minimumRetryAfter;
        return false;
    }
    context.service = Forward::chooseService(*context.route, m_dependencies.random.unit());
    context.fingerprint = fingerprintOf(context.request, context.team ? context.team->name : std::string());
    hashSharedPrefix(context.attributes.prompt, context.sharedPrefixHash, context.sharedTokens);
    context.sharedParts = hashSharedParts(context.attributes.prompt);
    if (Limits::isQuarantined(tables.quarantine, context.fingerprint, now)) {
        failAsCrashCause(error, "identical requests crashed backend servers; the request is quarantined");
        return false;
    }
    if (isRefusedAsCrashCause(context, error))
        return false;
    // Before the team's limit, so that a request that is refused is not charged to it.
    if (!admitUnderLoad(m_dependencies, context, error))
        return false;
    if (context.team) {
        auto const cost = Forward::quotaCost(*context.team, context.attributes.tokens);
        auto const demand = Forward::quotaDemand(tables.quotas, context.team->name, now);
        auto const share = Forward::admissionShare(tables.quotas, tables.peers, tables.servers.rows.size(), context.team->name, now);
        auto const wait = Forward::admitToQuota(tables.quotas, *context.team, cost, share, { m_dependencies.settings.quotaWindow, m_dependencies.settings.quotaSlack, Forward::reportDelay(tables.peers, now), Forward::silentShare(tables.peers, context.team->name), Forward::missedSums(tables.peers, now) }, now);
        if (wait) {
            Core::fail(error, ErrorKind::TeamLimitExceeded, "the team's rate limit is exhausted; admission share of this node " + std::to_string(share) + ", demand at this node " + std::to_string(static_cast<std::uint64_t>(demand)) + " units per second, cost of the request " + std::to_string(static_cast<std::uint64_t>(cost)));
            error.retryAfter = *wait;
            return false;
        }
    }
    return true;
}

}
