#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Forward {

/// What may be repeated.
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
    std::uint32_t weight { 1 };

    bool operator==(WeightedService const&) const = default;
};

struct Route {
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::Idempotent };
    /// Longest time a request may be kept waiting for its final answer.
    std::chrono::milliseconds timeout { 30000 };
    /// Time to the whole answer, or to the first event of a stream, at which a request is still on time.
    std::chrono::milliseconds targetLatency { 1000 };
    /// Zero is the most urgent.
    std::uint32_t priority { 0 };
    std::vector<WeightedService> services;
    /// Backend servers that may run one request.
    std::uint32_t maximumServers { 1 };
    /// Whether the route takes requests without a key.
    bool isAnonymous { false };
    /// Whether a broken stream may be continued at another server.
    bool isResumable { false };

    bool operator==(Route const&) const = default;
};

/// The shape of the model engines of a service.
struct EngineCapacity {
    std::uint32_t slots { 1 };
    std::uint64_t cacheTokens { 0 };

    bool operator==(EngineCapacity const&) const = default;
};

/// How many servers of a service may be ordered in each data centre, and what they cost.
struct ScaleRange {
    std::uint32_t minimum { 0 };
    std::uint32_t maximum { 0 };
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a reclaimable server as a part of the price of others.
    double reclaimablePrice { 1 };
    /// Relative price of a server's second, by data centre.
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
    /// Goes before the priority of the route.
    std::optional<std::uint32_t> priority;
    LimitUnit unit { LimitUnit::Requests };
    /// What a request without token counts costs, where the unit is tokens.
    std::uint64_t plainRequestTokens { 0 };
    /// Zero is no limit.
    double ratePerSecond { 0 };
    double burst { 0 };

    bool operator==(Team const&) const = default;
};

/// What clients may send.
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

/// The route with the longest prefix of the path among the routes of the host; null if there is none. The host may carry a
/// port, the path a query. Thread safe.
[[nodiscard]] Route const* findRoute(RouteTable const&, std::string_view host, std::string_view target);

/// The team that holds a key; null if there is none. Thread safe.
[[nodiscard]] Team const* findTeamByKey(RouteTable const&, std::string_view key);

/// Null if there is none. Thread safe.
[[nodiscard]] Service const* findService(RouteTable const&, std::string_view name);

/// The service for a request, by the weights of its route. The point is uniform in [0, 1). Empty if no service has a weight.
/// Thread safe.
[[nodiscard]] std::string chooseService(Route const&, double point);

}
