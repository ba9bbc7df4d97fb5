#pragma once

#include <LibForward/RouteTable.h>
#include <LibForward/UsageTable.h>
#include <LibPlatform/ObjectStore.h>
#include <LibRouting/ServerTable.h>
#include <optional>
#include <string>

namespace Forward {

/// Where the platform's store keeps what this system reads, and how the values are decoded. Implementations are stateless and
/// thread safe.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;

    /// The object that holds the configuration in force.
    [[nodiscard]] virtual Platform::ObjectKey configurationKey() const = 0;

    /// The kind under which backend servers register.
    [[nodiscard]] virtual std::string serverKind() const = 0;

    /// InvalidConfiguration for a value that cannot be used; the configuration in force then stays.
    [[nodiscard]] virtual std::optional<RouteTable> decodeConfiguration(std::string const& value, Core::Error&) const = 0;

    /// InvalidConfiguration for an entry that names no usable server, such as one of another writer.
    [[nodiscard]] virtual std::optional<Routing::ListedServer> decodeServer(Platform::StoredObject const&, Core::Error&) const = 0;
};

/// Absolute number of servers of one kind for a service in a data centre.
struct ServerOrder {
    std::string service;
    std::string dataCentre;
    bool reclaimable { false };
    std::uint32_t desired { 0 };

    auto operator<=>(ServerOrder const&) const = default;
};

/// Who makes a call to the cloud.
struct DutyFence {
    std::string holder;
    std::uint64_t token { 0 };

    bool operator==(DutyFence const&) const = default;
};

/// The platform's calls that one node at a time makes. Called on the runtime's thread only.
/// Failures: NoServerAvailable if the platform has no such servers now; StoreUnavailable for everything else, with the run state.
class DutyCalls {
public:
    virtual ~DutyCalls() = default;

    [[nodiscard]] virtual Core::Awaitable<bool> reportUsage(DutyFence, std::int64_t window, TeamCounts, Core::MonotonicTime deadline, Core::Error&) = 0;
    [[nodiscard]] virtual Core::Awaitable<bool> orderServers(DutyFence, ServerOrder, Core::MonotonicTime deadline, Core::Error&) = 0;
};

}
