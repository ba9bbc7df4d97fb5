#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Forward {

/// Whether a request may be executed more than once, and how it is answered.
enum class RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once.
    NonIdempotent,
    /// Answered by a stream of events; executed at most once unless its route is resumable.
    Stream,
};

struct WeightedService {
    std::string service;
    double weight { 1 };

    bool operator==(WeightedService const&) const = default;
};

struct Route {
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::Idempotent };
    /// Maximum time to the complete response.
    std::chrono::milliseconds timeout { 30000 };
    /// Maximum time to the complete response, or to the first event of a stream, within which a request counts as on time.
    std::chrono::milliseconds targetLatency { 1000 };
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    std::vector<WeightedService> services;
    /// Maximum number of backend servers that may execute one request.
    std::uint32_t maximumServers { 1 };
    /// Whether the route accepts requests without a key.
    bool isAnonymous { false };
    /// Whether an interrupted stream may be resumed at another server.
    bool isResumable { false };

    bool operator==(Route const&) const = default;
};

/// Capacity of each model engine of a service.
struct EngineCapacity {
    std::uint32_t slots { 1 };
    std::uint64_t cacheTokens { 0 };

    bool operator==(EngineCapacity const&) const = default;
};

/// The number of servers of a service that may be ordered in each data centre, and their prices.
struct ScaleRange {
    std::uint32_t minimum { 0 };
    std::uint32_t maximum { 0 };
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a reclaimable server as a fraction of the on-demand price.
    double reclaimablePrice { 1 };
    /// Relative price of one server for one second, by data centre.
    std::map<std::string, double> prices;

    bool operator==(ScaleRange const&) const = default;
};

struct Service {
    std::string name;
    std::string healthPath;
    std::uint32_t maximumConnections { 0 };
    std::optional<EngineCapacity> engine;
    std::optional<ScaleRange> scale;

    bool operator==(Service const&) const = default;
};

enum class LimitUnit {
    Requests,
    Tokens,
};

struct Team {
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    LimitUnit unit { LimitUnit::Requests };
    /// Cost of a request without token counts if the unit is tokens.
    std::uint64_t defaultRequestTokens { 0 };
    /// Zero means no limit.
    double ratePerSecond { 0 };
    double burst { 0 };

    bool operator==(Team const&) const = default;
};

/// Limits on client requests and connections.
struct ClientLimits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 4 * 1024 * 1024 };
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };

    bool operator==(ClientLimits const&) const = default;
};

/// The routes, services and teams in force.
struct RouteTable {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Team> teams;
    ClientLimits limits;

    bool operator==(RouteTable const&) const = default;
};

/// Returns the route of the host with the longest matching path prefix, or null. The host may include a port, the target a query.
/// Thread safe.
[[nodiscard]] Route const* findRoute(RouteTable const&, std::string_view host, std::string_view target);

/// Returns the team to which a key belongs, or null. Thread safe.
[[nodiscard]] Team const* findTeamByKey(RouteTable const&, std::string_view key);

/// Returns null if there is none. Thread safe.
[[nodiscard]] Service const* findService(RouteTable const&, std::string_view name);

/// Whether the requests of a service can wait for a better server, or for capacity, and still be on time: all its streaming routes have a
/// latency objective of at least 750 ms and a timeout of at least 5.5 s. With shorter ones a request that waits is late, and the least
/// loaded server is the right choice. False for a service without streaming routes. Thread safe.
[[nodiscard]] bool toleratesQueueing(RouteTable const&, std::string_view service);

/// Chooses a service by the weights of the route, given a uniform random value in [0, 1). Returns an empty string if no service
/// has a weight. Thread safe.
[[nodiscard]] std::string chooseService(Route const&, double randomValue);

}
