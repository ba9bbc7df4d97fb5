#include <LibPlatform/CloudClient.h>

#include <LibPlatform/JsonFields.h>
#include <LibPlatform/PlatformCall.h>
#include <boost/json/serialize.hpp>

namespace Platform {

using Core::ErrorKind;
using Core::RunState;

static std::nullopt_t failMalformed(Core::Error& reason, RunState runState = RunState::NotRun)
{
    return Core::fail(reason, ErrorKind::StoreUnavailable, "the platform's answer lacks a field", runState);
}

CloudClient::CloudClient(Core::Runtime& runtime, HTTP::Client& client, Core::Endpoint platform)
    : m_runtime(runtime)
    , m_client(client)
    , m_platform(std::move(platform))
{
}

Core::Awaitable<std::optional<std::vector<Host>>> CloudClient::hosts(Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "GET", "/cloud/hosts", {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, reason);
    if (!answer)
        co_return std::nullopt;
    JsonFields fields(*answer);
    std::vector<Host> hosts;
    for (auto const& element : fields.elements("hosts")) {
        auto host = hostFromJson(element);
        if (!host)
            co_return failMalformed(reason);
        hosts.push_back(std::move(*host));
    }
    if (!fields.areValid())
        co_return failMalformed(reason);
    co_return hosts;
}

Core::Awaitable<std::optional<std::string>> CloudClient::startHost(HostRequest hostRequest, Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "POST", "/cloud/hosts", { { "Content-Type", "application/json" } }, boost::json::serialize(toJson(hostRequest)) };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, reason);
    if (!answer) {
        if (reason.kind == ErrorKind::StoreConflict)
            reason.kind = ErrorKind::NoServerAvailable;
        co_return std::nullopt;
    }
    JsonFields fields(*answer);
    auto id = fields.text("id");
    if (!fields.areValid())
        co_return failMalformed(reason, RunState::Unknown);
    co_return id;
}

Core::Awaitable<bool> CloudClient::stopHost(std::string id, Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "DELETE", "/cloud/hosts/" + id, {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, reason);
    co_return answer.has_value();
}

Core::Awaitable<std::optional<NoticeList>> CloudClient::waitForNotices(std::uint64_t afterSequence, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto const timeout = serverSideWait(m_runtime.now(), deadline);
    HTTP::Request request { "GET", "/cloud/notices?after=" + std::to_string(afterSequence) + "&timeoutMs=" + std::to_string(timeout.count()), {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, reason);
    if (!answer)
        co_return std::nullopt;
    JsonFields fields(*answer);
    NoticeList list;
    list.sequence = fields.number("sequence");
    for (auto const& element : fields.elements("notices")) {
        auto notice = noticeFromJson(element);
        if (!notice)
            co_return failMalformed(reason);
        list.notices.push_back(std::move(*notice));
    }
    if (!fields.areValid())
        co_return failMalformed(reason);
    co_return list;
}

}
