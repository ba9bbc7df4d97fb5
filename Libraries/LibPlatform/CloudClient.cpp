#include <LibPlatform/CloudClient.h>

#include <LibPlatform/JsonFields.h>
#include <LibPlatform/PlatformCall.h>
#include <boost/json/serialize.hpp>

namespace Platform {

using Core::ErrorKind;
using Core::RunState;

static std::nullopt_t failMalformed(Core::Error& error, RunState runState = RunState::NotRun)
{
    return Core::fail(error, ErrorKind::StoreUnavailable, "the platform's response lacks a field or has one of the wrong type", runState);
}

CloudClient::CloudClient(Core::Runtime& runtime, HTTP::Client& client, Core::Endpoint platform)
    : m_runtime(runtime)
    , m_client(client)
    , m_platform(std::move(platform))
{
}

Core::Awaitable<std::optional<std::vector<Host>>> CloudClient::hosts(Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "GET", "/cloud/hosts", {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, error);
    if (!response)
        co_return std::nullopt;
    JsonFields fields(*response);
    std::vector<Host> hosts;
    for (auto const& element : fields.elements("hosts")) {
        auto host = hostFromJson(element);
        if (!host)
            co_return failMalformed(error);
        hosts.push_back(std::move(*host));
    }
    if (!fields.areValid())
        co_return failMalformed(error);
    co_return hosts;
}

Core::Awaitable<std::optional<std::string>> CloudClient::startHost(HostRequest hostRequest, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "POST", "/cloud/hosts", { { "Content-Type", "application/json" } }, boost::json::serialize(toJson(hostRequest)) };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, error);
    if (!response) {
        if (error.kind == ErrorKind::StoreConflict)
            error.kind = ErrorKind::NoServerAvailable;
        co_return std::nullopt;
    }
    JsonFields fields(*response);
    auto id = fields.text("id");
    if (!fields.areValid())
        co_return failMalformed(error, RunState::Unknown);
    co_return id;
}

Core::Awaitable<bool> CloudClient::stopHost(std::string id, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "DELETE", "/cloud/hosts/" + id, {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, error);
    co_return response.has_value();
}

Core::Awaitable<std::optional<NoticeList>> CloudClient::waitForNotices(std::uint64_t afterSequence, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const timeout = longPollTimeout(m_runtime.now(), deadline);
    HTTP::Request request { "GET", "/cloud/notices?after=" + std::to_string(afterSequence) + "&timeoutMs=" + std::to_string(timeout.count()), {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, error);
    if (!response)
        co_return std::nullopt;
    JsonFields fields(*response);
    NoticeList list;
    list.sequence = fields.number("sequence");
    for (auto const& element : fields.elements("notices")) {
        auto notice = noticeFromJson(element);
        if (!notice)
            co_return failMalformed(error);
        list.notices.push_back(std::move(*notice));
    }
    if (!fields.areValid())
        co_return failMalformed(error);
    co_return list;
}

}
