#include <Node/OperatorEndpoint.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Log.h>
#include <LibHTTP/Problem.h>
#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <gflags/gflags.h>
#include <openssl/crypto.h>

DEFINE_string(operator_key_digest, "", "SHA-256 of the operator key in lower-case hexadecimal; empty means that no key is required on the operator port");

namespace Node {

using Configuration::ApplyOutcome;
using Core::ErrorKind;

namespace {

struct Route {
    std::string_view path;
    std::string_view methods;
    bool isPublic;
};

constexpr std::array routes {
    Route { "/operator/desired-state", "GET, PUT", false },
    Route { "/operator/status", "GET", false },
    Route { "/operator/audit", "GET", false },
    Route { "/operator/explain", "GET", false },
    Route { "/operator/drain", "POST", false },
    Route { "/metrics", "GET", true },
    Route { "/healthz", "GET", true },
    Route { "/readyz", "GET", true },
};

HTTP::Response jsonResponse(unsigned status, boost::json::value const& body)
{
    return { status, { { "Content-Type", "application/json" } }, boost::json::serialize(body) + "\n" };
}

HTTP::Response textResponse(std::string_view contentType, std::string body)
{
    return { 200, { { "Content-Type", std::string(contentType) } }, std::move(body) };
}

HTTP::Response problem(ErrorKind kind, std::string message)
{
    return HTTP::problemResponse({ kind, Core::RunState::NotRun, std::move(message), std::nullopt });
}

/// Adds a field to a problem details response (RFC 9457, section 3.2).
void extendProblem(HTTP::Response& response, std::string_view name, boost::json::value value)
{
    auto body = boost::json::parse(response.body);
    body.as_object()[name] = std::move(value);
    response.body = boost::json::serialize(body);
}

std::string_view outcomeName(ApplyOutcome outcome)
{
    switch (outcome) {
    case ApplyOutcome::Accepted:
        return "accepted";
    case ApplyOutcome::AlreadyAccepted:
        return "already_accepted";
    case ApplyOutcome::Unchanged:
        return "unchanged";
    case ApplyOutcome::Conflict:
        break;
    }
    return "conflict";
}

template <typename Entries>
boost::json::array encodeEntries(Entries const& entries)
{
    boost::json::array list;
    for (auto const& entry : entries)
        list.push_back(Configuration::toJson(entry));
    return list;
}

boost::json::array errorLines(Configuration::ValidationErrors const& errors)
{
    boost::json::array lines;
    for (auto const& error : errors)
        lines.emplace_back(error.toString());
    return lines;
}

}

OperatorEndpoint::OperatorEndpoint(OperatorDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

Core::Awaitable<void> OperatorEndpoint::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    // The checks of the host's platform are answered always.
    bool const isCheck = request.path() == "/healthz" || request.path() == "/readyz";
    if (request.bodyState == HTTP::BodyState::Refused && !isCheck) {
        auto refusal = problem(ErrorKind::Overloaded, "there is no memory, or no time, for the request");
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    auto response = co_await respond(request, writer.peer());
    (void)co_await writer.send(std::move(response));
}

Core::Awaitable<HTTP::Response> OperatorEndpoint::respond(HTTP::Request const& request, Core::Endpoint const& peer)
{
    if (!request.hasWellFormedTarget())
        co_return problem(ErrorKind::InvalidRequest, "the request's target is not a well-formed path with a query");
    auto const path = request.path();
    auto const* route = std::find_if(routes.begin(), routes.end(), [&](auto const& candidate) { return candidate.path == path; });
    if (route == routes.end())
        co_return problem(ErrorKind::NotFound, "unknown path on the operator port");
    if (!route->isPublic && !isAuthorized(request)) {
        auto response = problem(ErrorKind::Unauthorized, "the operator key is missing or wrong");
        response.headers.add("WWW-Authenticate", "Bearer");
        co_return response;
    }
    if (request.method.empty() || (", " + std::string(route->methods) + ",").find(", " + request.method + ",") == std::string::npos) {
        auto response = problem(ErrorKind::MethodNotAllowed, "allowed: " + std::string(route->methods));
        response.headers.add("Allow", std::string(route->methods));
        co_return response;
    }

    if (path == "/operator/desired-state") {
        if (request.method == "PUT")
            co_return co_await applyDesiredState(request, peer);
        co_return co_await showDesiredState();
    }
    if (path == "/operator/audit")
        co_return co_await showAudit(request);
    if (path == "/operator/explain")
        co_return explainRequest(request);
    if (path == "/operator/status")
        co_return jsonResponse(200, m_dependencies.status());
    if (path == "/operator/drain") {
        Core::logEvent(Core::LogLevel::Info, "drain_requested", { { "peer", peer.toString() } });
        co_return jsonResponse(202, m_dependencies.drain());
    }
    if (path == "/metrics")
        co_return textResponse("text/plain; version=0.0.4", m_dependencies.metrics.renderText());
    if (path == "/healthz")
        co_return textResponse("text/plain", "ok\n");

    auto const readiness = m_dependencies.readiness();
    auto const* ready = readiness.is_object() ? readiness.get_object().if_contains("ready") : nullptr;
    co_return jsonResponse(ready && ready->is_bool() && ready->get_bool() ? 200 : 503, readiness);
}

bool OperatorEndpoint::isAuthorized(HTTP::Request const& request) const
{
    if (m_dependencies.operatorKeyDigest.empty())
        return true;
    constexpr std::string_view scheme = "Bearer ";
    auto const field = request.headers.find("Authorization");
    if (!field || !field->starts_with(scheme))
        return false;
    auto const digest = Configuration::keyDigest(field->substr(scheme.size()));
    // Compares in constant time, so that the response time does not reveal where the digests differ.
    return digest.size() == m_dependencies.operatorKeyDigest.size() && CRYPTO_memcmp(digest.data(), m_dependencies.operatorKeyDigest.data(), digest.size()) == 0;
}

Core::Awaitable<HTTP::Response> OperatorEndpoint::applyDesiredState(HTTP::Request const& request, Core::Endpoint const& peer)
{
    boost::json::error_code errorCode;
    auto const body = boost::json::parse(request.body, errorCode);
    if (errorCode)
        co_return problem(ErrorKind::InvalidRequest, "the body is not valid JSON: " + errorCode.message());
    Configuration::ValidationErrors errors;
    auto apply = Configuration::applyRequestFromJson(body, errors);
    if (!apply) {
        auto response = problem(ErrorKind::InvalidConfiguration, std::to_string(errors.size()) + " errors, the first: " + errors.front().toString());
        extendProblem(response, "faults", errorLines(errors));
        co_return response;
    }
    auto const basedOn = apply->basedOnGeneration;
    auto const appliedBy = apply->appliedBy;
    auto const applyId = apply->applyId;

    Core::Error error;
    auto const deadline = m_dependencies.runtime.now() + storeTimeout;
    auto const decision = co_await m_dependencies.store.apply(std::move(*apply), deadline, error);
    auto const result = decision ? outcomeName(decision->outcome) : Core::errorResponseFor(error.kind).name;
    m_dependencies.metrics.counter("hyssopstep_applies_total", { { "result", std::string(result) } }).add();
    Core::logEvent(Core::LogLevel::Info, "apply_requested", { { "peer", peer.toString() }, { "by", appliedBy }, { "apply_id", applyId }, { "based_on", basedOn }, { "result", result }, { "detail", decision ? decision->message : error.message } });
    if (!decision)
        co_return HTTP::problemResponse(error);

    if (decision->state.generation > 0)
        m_dependencies.applyState(decision->state);
    if (decision->outcome == ApplyOutcome::Conflict) {
        auto response = problem(ErrorKind::ApplyConflict, decision->message);
        extendProblem(response, "generation", decision->generation);
        extendProblem(response, "entriesSince", encodeEntries(decision->entriesSince));
        co_return response;
    }
    boost::json::object responseBody;
    responseBody["outcome"] = result;
    responseBody["generation"] = decision->generation;
    responseBody["message"] = decision->message;
    co_return jsonResponse(200, responseBody);
}

Core::Awaitable<std::optional<OperatorEndpoint::StateWithSource>> OperatorEndpoint::readStateWithSource(Core::Error& error)
{
    auto const deadline = m_dependencies.runtime.now() + storeTimeout;
    auto stored = co_await m_dependencies.store.read(deadline, error);
    if (stored)
        co_return StateWithSource { std::move(stored->state), "object-api" };
    // During an outage of the object API, operators still need to see the configuration that this node applies.
    if (auto const* current = m_dependencies.currentState())
        co_return StateWithSource { *current, "node" };
    co_return std::nullopt;
}

Core::Awaitable<HTTP::Response> OperatorEndpoint::showDesiredState()
{
    Core::Error error;
    auto const found = co_await readStateWithSource(error);
    if (!found)
        co_return HTTP::problemResponse(error);
    boost::json::object responseBody;
    responseBody["source"] = found->source;
    responseBody["generation"] = found->state.generation;
    if (!found->state.audit.empty())
        responseBody["applied"] = Configuration::toJson(found->state.audit.back());
    responseBody["desired"] = Configuration::toJson(found->state.desired);
    co_return jsonResponse(200, responseBody);
}

Core::Awaitable<HTTP::Response> OperatorEndpoint::showAudit(HTTP::Request const& request)
{
    std::size_t limit = 20;
    if (auto const text = request.queryParameter("limit")) {
        auto const [end, errorCode] = std::from_chars(text->data(), text->data() + text->size(), limit);
        if (errorCode != std::errc() || end != text->data() + text->size() || limit < 1 || limit > maximumAuditLimit)
            co_return problem(ErrorKind::InvalidRequest, "limit: expected 1 to " + std::to_string(maximumAuditLimit) + " entries");
    }
    Core::Error error;
    auto found = co_await readStateWithSource(error);
    if (!found)
        co_return HTTP::problemResponse(error);

    auto& entries = found->state.audit;
    bool isComplete = entries.empty() || entries.front().generation == 1;
    if (entries.size() < limit && !isComplete) {
        auto const deadline = m_dependencies.runtime.now() + storeTimeout;
        auto const oldestKeptGeneration = entries.front().generation;
        auto archived = co_await m_dependencies.store.readArchive(oldestKeptGeneration, limit - entries.size(), deadline, error);
        if (archived) {
            entries.insert(entries.begin(), archived->begin(), archived->end());
            isComplete = entries.front().generation == 1;
        }
    }
    std::reverse(entries.begin(), entries.end());
    if (entries.size() > limit) {
        entries.resize(limit);
        isComplete = false;
    }
    boost::json::object responseBody;
    responseBody["source"] = found->source;
    responseBody["generation"] = found->state.generation;
    responseBody["isComplete"] = isComplete;
    responseBody["entries"] = encodeEntries(entries);
    co_return jsonResponse(200, responseBody);
}

HTTP::Response OperatorEndpoint::explainRequest(HTTP::Request const& request) const
{
    auto const requestId = request.queryParameter("request");
    if (!requestId || requestId->empty())
        return problem(ErrorKind::InvalidRequest, "the query parameter \"request\" is missing; expected a request id");
    auto const explanation = m_dependencies.explain(*requestId);
    if (!explanation)
        return problem(ErrorKind::NotFound, "this node has no decisions on request " + *requestId);
    return jsonResponse(200, *explanation);
}

}
