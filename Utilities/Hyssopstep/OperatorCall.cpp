#include <Hyssopstep/OperatorCall.h>

#include <Hyssopstep/Command.h>
#include <Hyssopstep/Output.h>
#include <LibConfiguration/Codec.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

namespace Hyssopstep {

std::optional<OperatorResponse> callOperator(OperatorSettings const& settings, std::string method, std::string target, std::string body, RetryPolicy retryPolicy)
{
    HTTP::Request request { std::move(method), std::move(target), {}, std::move(body) };
    if (!FLAGS_operator_key.empty())
        request.headers.set("Authorization", "Bearer " + FLAGS_operator_key);
    if (!request.body.empty())
        request.headers.set("Content-Type", "application/json");
    Core::Error error;
    auto const response = sendToNodes(settings.endpoints, request, retryPolicy, std::chrono::milliseconds(FLAGS_operator_timeout_ms), error);
    if (!response) {
        std::fprintf(stderr, "no node responded: %s (%s)\n", error.message.c_str(), std::string(Core::runStateName(error.runState)).c_str());
        return std::nullopt;
    }
    boost::json::error_code errorCode;
    auto value = boost::json::parse(response->body, errorCode);
    if (errorCode || !value.is_object()) {
        std::fprintf(stderr, "response with status %u is not a JSON object; check that --operator names operator ports\n", response->status);
        return std::nullopt;
    }
    // The last node's "not run" does not cover an earlier node whose response was lost.
    static constexpr unsigned serviceUnavailable = 503;
    if (response->status == serviceUnavailable && error.runState == Core::RunState::Unknown)
        value.get_object()["run_state"] = "unknown";
    return OperatorResponse { response->status, std::move(value) };
}

int reportProblem(OperatorResponse const& response)
{
    auto const& body = response.body.get_object();
    auto const text = [&](std::string_view name) {
        auto const* value = body.if_contains(name);
        return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
    };
    std::fprintf(stderr, "refused (%u %s): %s\n", response.status, text("kind").c_str(), text("detail").c_str());
    if (auto const* errors = body.if_contains("faults"); errors && errors->is_array())
        std::fputs(renderText(*errors).c_str(), stderr);
    if (auto const state = text("run_state"); state != "not_run")
        std::fprintf(stderr, "it is not known whether it took effect (%s); check `hyssopstep audit`\n", state.c_str());
    return Failure;
}

void printValue(OperatorSettings const& settings, boost::json::value const& body)
{
    auto const text = settings.output == OutputFormat::Json ? boost::json::serialize(body) + "\n" : renderText(body);
    std::fputs(text.c_str(), stdout);
}

void printAuditEntry(boost::json::value const& value)
{
    Configuration::ValidationErrors errors;
    auto const entry = Configuration::auditEntryFromJson(value, errors);
    if (!entry) {
        std::fputs(renderText(value).c_str(), stdout);
        return;
    }
    std::printf("generation %llu, %s, by %s%s%s\n", static_cast<unsigned long long>(entry->generation), formatTime(entry->appliedAtMilliseconds).c_str(), entry->appliedBy.c_str(), entry->comment.empty() ? "" : ": ", entry->comment.c_str());
    for (auto const& change : entry->changes)
        std::printf("  %s\n", change.c_str());
}

}
