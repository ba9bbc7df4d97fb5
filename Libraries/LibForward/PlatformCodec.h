#pragma once

#include <LibForward/RouteTable.h>
#include <LibForward/UsageTable.h>
#include <LibPlatform/ObjectStore.h>
#include <LibRouting/ServerTable.h>
#include <optional>
#include <string>

namespace Forward {

/// Keys and encodings of the objects that this system reads from the platform's store. Implementations are stateless and thread safe.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;

    /// The key of the current configuration.
    [[nodiscard]] virtual Platform::ObjectKey configurationKey() const = 0;

    /// The object kind under which backend servers register.
    [[nodiscard]] virtual std::string serverKind() const = 0;

    /// Fails with InvalidConfiguration for an unusable value; the current configuration then remains in force.
    [[nodiscard]] virtual std::optional<RouteTable> decodeConfiguration(std::string const& value, Core::Error&) const = 0;

    /// Fails with InvalidConfiguration for an entry that describes no usable server, such as one of another writer.
    [[nodiscard]] virtual std::optional<Routing::ListedServer> decodeServer(Platform::StoredObject const&, Core::Error&) const = 0;
};

/// Orders an absolute number of servers of one kind for a service in a data centre.
struct ServerOrder {
    std::string service;
    std::string dataCentre;
    bool reclaimable { false };
    std::uint32_t desired { 0 };

    auto operator<=>(ServerOrder const&) const = default;
};

/// The lease holder that makes a call to the platform, and the fencing token of its lease.
struct LeaseCredentials {
    std::string holder;
    std::uint64_t token { 0 };

    bool operator==(LeaseCredentials const&) const = default;
};

/// The platform calls for the duties that only the lease holder performs. Called on the runtime's thread only.
/// A call fails with StoreUnavailable if the platform does not respond; the run state of the error states whether the call may have
/// taken effect.
class DutyApi {
public:
    virtual ~DutyApi() = default;

    [[nodiscard]] virtual Core::Awaitable<bool> reportUsage(LeaseCredentials, std::int64_t window, TeamCounts, Core::MonotonicTime deadline, Core::Error&) = 0;
    /// Fails with NoServerAvailable if the platform has no such servers now.
    [[nodiscard]] virtual Core::Awaitable<bool> orderServers(LeaseCredentials, ServerOrder, Core::MonotonicTime deadline, Core::Error&) = 0;
};

}
