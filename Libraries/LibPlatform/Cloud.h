#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

enum class HostRole {
    Entry,
    Backend,
};

enum class HostState {
    Live,
    Leaving,
};

/// An entry of the platform's host list, which may be out of date.
struct Host {
    std::string id;
    HostRole role { HostRole::Backend };
    Core::Endpoint endpoint;
    std::string service;
    std::string version;
    std::string dataCentre;
    std::string zone;
    std::string machineClass;
    bool reclaimable { false };
    HostState state { HostState::Live };
    /// Increases each time the host is replaced or its server restarts.
    std::uint64_t incarnation { 0 };

    auto operator<=>(Host const&) const = default;
};

/// The platform's notice that it will reclaim a host.
struct ReclaimNotice {
    std::uint64_t sequence { 0 };
    std::string hostId;
    /// Since the Unix epoch.
    std::int64_t reclaimAtMilliseconds { 0 };

    auto operator<=>(ReclaimNotice const&) const = default;
};

struct NoticeList {
    std::vector<ReclaimNotice> notices;
    /// The sequence number after which the next wait continues.
    std::uint64_t sequence { 0 };

    bool operator==(NoticeList const&) const = default;
};

/// The service, location and purchase terms of a host to start.
struct HostRequest {
    std::string service;
    std::string dataCentre;
    std::string zone;
    std::string machineClass;
    bool reclaimable { false };

    auto operator<=>(HostRequest const&) const = default;
};

/// The platform's cloud API. Implementations: CloudClient (over HTTP), and fakes in tests. Called on the runtime's thread
/// only.
///
/// Failures common to all calls: StoreUnavailable (outage, deadline, malformed response). For startHost() and stopHost() the run
/// state is NotRun only if the call cannot have taken effect.
class Cloud {
public:
    virtual ~Cloud() = default;

    /// Returns the platform's current host list.
    [[nodiscard]] virtual Core::Awaitable<std::optional<std::vector<Host>>> hosts(Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Starts a host and returns its id; it appears in the host list later. NoServerAvailable if the platform refuses.
    [[nodiscard]] virtual Core::Awaitable<std::optional<std::string>> startHost(HostRequest, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Stops a host. NotFound if the platform does not know it.
    [[nodiscard]] virtual Core::Awaitable<bool> stopHost(std::string id, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Waits for notices after a sequence number; returns an empty list with the same number if none arrive before the deadline.
    [[nodiscard]] virtual Core::Awaitable<std::optional<NoticeList>> waitForNotices(std::uint64_t afterSequence, Core::MonotonicTime deadline, Core::Error&) = 0;
};

/// Encode and decode the JSON forms in docs/protocols.md. Decoding returns nothing if a field is missing or invalid.
/// Thread safe.
[[nodiscard]] boost::json::object toJson(Host const&);
[[nodiscard]] boost::json::object toJson(ReclaimNotice const&);
[[nodiscard]] boost::json::object toJson(HostRequest const&);
[[nodiscard]] std::optional<Host> hostFromJson(boost::json::value const&);
[[nodiscard]] std::optional<ReclaimNotice> noticeFromJson(boost::json::value const&);
[[nodiscard]] std::optional<HostRequest> hostRequestFromJson(boost::json::value const&);

}
