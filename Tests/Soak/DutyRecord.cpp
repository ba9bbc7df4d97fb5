#include <Soak/DutyRecord.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <tuple>

namespace Soak {

namespace json = boost::json;

static std::string describe(DutyCall const& call)
{
    return call.duty + " " + call.subject + " from n" + std::to_string(call.node) + " with token " + std::to_string(call.token);
}

static void findTokenAndCountViolations(std::vector<DutyCall> const& calls, std::vector<std::string>& violations)
{
    std::map<std::int64_t, std::string> counts;
    std::map<std::tuple<std::string, std::string, std::uint64_t>, std::set<std::size_t>> senders;
    std::map<std::pair<std::string, std::string>, std::uint64_t> highestTokens;
    for (auto const& call : calls) {
        if (!call.counts.empty()) {
            auto const& first = counts.try_emplace(call.window, call.counts).first->second;
            if (first != call.counts)
                violations.push_back(describe(call) + ": window " + std::to_string(call.window) + " has the counts " + call.counts + ", before " + first);
        }
        auto& sendersOfToken = senders[{ call.duty, call.subject, call.token }];
        if (sendersOfToken.insert(call.node).second && sendersOfToken.size() > 1)
            violations.push_back(describe(call) + ": another node used this token");
        if (call.isExcused)
            continue;
        auto& highest = highestTokens[{ call.duty, call.subject }];
        if (call.token < highest)
            violations.push_back(describe(call) + ": lower than " + std::to_string(highest));
        highest = std::max(highest, call.token);
    }
}

static void findHolderViolations(std::vector<DutyCall> const& calls, Core::Duration leaseTime, std::vector<std::string>& violations)
{
    std::vector<DutyCall> counted;
    std::copy_if(calls.begin(), calls.end(), std::back_inserter(counted), [](auto const& call) { return !call.isExcused; });
    for (std::size_t index = 1; index < counted.size(); ++index) {
        auto const& call = counted[index];
        if (counted[index - 1].node == call.node)
            continue;
        auto const isEarlierActOfSender = [&](DutyCall const& other) { return other.node == call.node && call.arrivedAt - other.arrivedAt <= leaseTime; };
        auto const end = counted.begin() + static_cast<std::ptrdiff_t>(index);
        if (std::any_of(counted.begin(), end, isEarlierActOfSender))
            violations.push_back(describe(call) + ": acts again within the lease time after n" + std::to_string(counted[index - 1].node) + " did");
    }
}

std::vector<std::string> findDutyViolations(std::vector<DutyCall> const& calls, Core::Duration leaseTime)
{
    std::vector<std::string> violations;
    findTokenAndCountViolations(calls, violations);
    findHolderViolations(calls, leaseTime, violations);
    return violations;
}

DutyRecord::DutyRecord(Core::Runtime& runtime, std::function<bool(std::size_t node)> isExcused)
    : m_runtime(runtime)
    , m_isExcused(std::move(isExcused))
{
}

Core::Endpoint DutyRecord::addNode()
{
    auto handler = [this, node = m_servers.size()](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Core::Awaitable<void> {
        auto response = accept(node, request);
        (void)co_await writer.send(std::move(response));
    };
    m_servers.push_back(std::make_unique<HTTP::Server>(m_runtime, HTTP::ServerLimits {}, std::move(handler)));
    Core::Error error;
    return m_servers.back()->listen({ "127.0.0.1", 0 }, error).value();
}

HTTP::Response DutyRecord::accept(std::size_t node, HTTP::Request const& request)
{
    auto const token = request.headers.find("X-Hyssopstep-Fencing-Token");
    if (request.method != "POST" || !token || !request.headers.find("X-Hyssopstep-Duty-Holder"))
        return { 400, {}, "{}" };
    auto const body = json::parse(request.body);
    DutyCall call { .node = node, .token = std::stoull(std::string(*token)), .arrivedAt = m_runtime.now(), .isExcused = m_isExcused(node) };
    if (request.path() == "/usage") {
        call.duty = "usage";
        call.window = body.at("window").to_number<std::int64_t>();
        call.counts = json::serialize(body.at("counts"));
    } else {
        call.duty = "scale";
        call.subject = json::serialize(body.at("service")) + json::serialize(body.at("zone"));
    }
    m_calls.push_back(std::move(call));
    return { 200, {}, "{}" };
}

}
