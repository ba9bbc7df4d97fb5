#pragma once

#include <LibCore/Endpoint.h>
#include <LibHTTP/Client.h>
#include <LibPlatform/Cloud.h>

namespace Platform {

/// The cloud API over HTTP, as in docs/protocols.md. Start and stop calls are never sent twice. Used on the runtime's thread
/// only.
class CloudClient final : public Cloud {
public:
    /// The runtime and the client must outlive it and its pending calls.
    CloudClient(Core::Runtime&, HTTP::Client&, Core::Endpoint platform);

    [[nodiscard]] Core::Awaitable<std::optional<std::vector<Host>>> hosts(Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<std::string>> startHost(HostRequest, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<bool> stopHost(std::string id, Core::MonotonicTime deadline, Core::Error&) override;

    /// A long poll that the platform is asked to end shortly before the deadline. If no response arrives in time, the call fails
    /// with StoreUnavailable, so that an unreachable platform is not mistaken for one without notices.
    [[nodiscard]] Core::Awaitable<std::optional<NoticeList>> waitForNotices(std::uint64_t afterSequence, Core::MonotonicTime deadline, Core::Error&) override;

private:
    Core::Runtime& m_runtime;
    HTTP::Client& m_client;
    Core::Endpoint m_platform;
};

}
