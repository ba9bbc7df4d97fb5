#include <LibHTTP/Problem.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace HTTP {

Response problemResponse(Core::Error const& error, std::string_view requestId)
{
    auto const& errorResponse = Core::errorResponseFor(error.kind);
    boost::json::object body;
    body["type"] = "urn:hyssopstep:error:" + std::string(errorResponse.name);
    body["title"] = std::string(errorResponse.title);
    body["status"] = errorResponse.httpStatus;
    body["detail"] = error.message;
    body["kind"] = std::string(errorResponse.name);
    body["run_state"] = std::string(Core::runStateName(error.runState));
    if (!requestId.empty())
        body["request_id"] = std::string(requestId);

    Response response;
    response.status = errorResponse.httpStatus;
    response.headers.add("Content-Type", "application/problem+json");
    if (auto const retryAfter = Core::retryAfterFor(error))
        response.headers.add("Retry-After", std::to_string(retryAfter->count()));
    if (!requestId.empty())
        response.headers.add("Hyssopstep-Request-Id", std::string(requestId));
    response.body = boost::json::serialize(body);
    return response;
}

static std::optional<std::string_view> stringField(boost::json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string_view(value->get_string());
}

std::optional<Core::Error> parseProblem(Response const& response)
{
    boost::json::error_code errorCode;
    auto const value = boost::json::parse(response.body, errorCode);
    if (errorCode || !value.is_object())
        return std::nullopt;
    auto const& object = value.get_object();
    auto const kindName = stringField(object, "kind");
    auto const stateName = stringField(object, "run_state");
    if (!kindName || !stateName)
        return std::nullopt;
    auto const kind = Core::errorKindFromName(*kindName);
    auto const state = Core::runStateFromName(*stateName);
    if (!kind || !state)
        return std::nullopt;
    return Core::Error { *kind, *state, std::string(stringField(object, "detail").value_or("")), std::nullopt };
}

}
