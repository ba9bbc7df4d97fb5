#include <Integration/RefundClients.h>

#include <algorithm>
#include <boost/json/parse.hpp>

namespace Integration {

namespace json = boost::json;
using namespace std::chrono_literals;

std::string AtMostOnceCounts::toString() const
{
    auto const field = [](char const* name, std::size_t value) { return std::string(" ") + name + "=" + std::to_string(value); };
    return "requests=" + std::to_string(requests) + field("keys", keys) + field("faults", faults) + field("answered", answered)
        + field("not_run", refusedNotRun) + field("unknown", refusedUnknown) + field("executed_twice", executedTwice)
        + field("wrongly_not_run", wronglyNotRun) + field("different_replays", differentReplays) + field("lost", lost);
}

static std::string stringMember(json::value const& value, char const* name)
{
    auto const* member = value.is_object() ? value.get_object().if_contains(name) : nullptr;
    return member && member->is_string() ? std::string(member->get_string()) : std::string();
}

RefundReply RefundClients::exchange(ClusterNode const& node, HTTP::Request request, std::string const& key, std::chrono::milliseconds deadline)
{
    request.headers.set("Hyssopstep-Deadline-Ms", std::to_string(deadline.count()));
    RefundReply reply;
    reply.key = key;
    reply.sentAt = std::chrono::steady_clock::now();
    Core::Error error;
    auto const response = TestSupport::blockingCall(node.clientEndpoint, std::move(request), error, 30s);
    reply.endedAt = std::chrono::steady_clock::now();
    if (response) {
        reply.status = response->status;
        reply.body = response->body;
        json::error_code errorCode;
        auto const body = json::parse(response->body, errorCode);
        if (!errorCode) {
            reply.kind = stringMember(body, "kind");
            reply.runState = stringMember(body, "run_state");
        }
    }
    std::scoped_lock const lock(m_mutex);
    m_replies.push_back(reply);
    ++m_replyCount;
    return reply;
}

RefundReply RefundClients::send(ClusterNode const& node, std::string const& key, std::chrono::milliseconds deadline)
{
    return exchange(node, refundRequest(key), key, deadline);
}

RefundReply RefundClients::sendQuery(ClusterNode const& node, std::chrono::milliseconds deadline)
{
    auto const path = "/stock?query=" + std::to_string(++m_queries);
    HTTP::Request request { "GET", "/services/storefront" + path, { { "Authorization", "Bearer " + std::string(classroomKey) } }, "" };
    return exchange(node, std::move(request), path, deadline);
}

std::vector<RefundReply> RefundClients::replies() const
{
    std::scoped_lock const lock(m_mutex);
    return m_replies;
}

std::map<std::string, Executions> executionsByKey(Cluster const& cluster)
{
    std::map<std::string, Executions> executions;
    for (auto const& service : cluster.services()) {
        auto const record = TestSupport::callStandIn(service.endpoint, "GET", "/stand-in/record");
        for (auto const& execution : record.at("executions").as_array()) {
            auto key = stringMember(execution, "idempotencyKey");
            if (key.empty())
                key = stringMember(execution, "path");
            auto& entry = executions[key];
            ++entry.count;
            entry.numbers.insert(execution.at("number").to_number<std::int64_t>());
        }
    }
    return executions;
}

static bool isFinalReply(RefundReply const& reply, std::vector<RefundReply const*> const& ofKey)
{
    return std::all_of(ofKey.begin(), ofKey.end(), [&](auto const* other) {
        bool const endedBefore = other->endedAt <= reply.sentAt;
        return other == &reply || endedBefore || other->runState == reply.runState || other->status == 0;
    });
}

AtMostOnceCounts countOutcomes(std::vector<RefundReply> const& replies, std::map<std::string, Executions> const& executions)
{
    AtMostOnceCounts counts;
    std::map<std::string, std::vector<RefundReply const*>> byKey;
    for (auto const& reply : replies) {
        byKey[reply.key].push_back(&reply);
        ++counts.requests;
        counts.answered += reply.isAnswer() ? 1 : 0;
        counts.refusedNotRun += reply.runState == "not_run" ? 1 : 0;
        counts.refusedUnknown += reply.runState == "unknown" || reply.runState == "ran" ? 1 : 0;
    }
    counts.keys = byKey.size();
    for (auto const& [key, ofKey] : byKey) {
        auto const found = executions.find(key);
        auto const executed = found == executions.end() ? Executions {} : found->second;
        bool const isQuery = key.starts_with('/');
        counts.executedTwice += executed.count > 1 && !isQuery ? 1 : 0;
        std::set<std::string> answers;
        for (auto const* reply : ofKey) {
            if (reply->runState == "not_run" && executed.count > 0 && isFinalReply(*reply, ofKey))
                ++counts.wronglyNotRun;
            if (!reply->isAnswer())
                continue;
            answers.insert(reply->body);
            json::error_code errorCode;
            auto const body = json::parse(reply->body, errorCode);
            auto const* number = !errorCode && body.is_object() ? body.get_object().if_contains("execution") : nullptr;
            if (!number || !executed.numbers.contains(number->to_number<std::int64_t>()))
                ++counts.differentReplays;
        }
        counts.differentReplays += answers.size() > 1 ? 1 : 0;
    }
    return counts;
}

}
