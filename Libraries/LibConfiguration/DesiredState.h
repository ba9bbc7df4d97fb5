#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/// The kind of a service, which determines how its requests are handled.
enum class ServiceKind {
    /// A language model behind the chat and completion interface; requests are idempotent.
    Model,
    /// A non-model service behind plain HTTP.
    Plain,
};

/// Whether a call may be executed twice.
enum class Idempotency {
    Idempotent,
    NonIdempotent,
};

/// An operation of a plain service. The first operation whose method and path prefix match applies.
struct Operation {
    std::string name;
    /// In upper case.
    std::string method;
    /// Starts with "/".
    std::string pathPrefix;
    Idempotency idempotency { Idempotency::NonIdempotent };

    bool operator==(Operation const&) const = default;
};

/// One version of a model, with the share of requests it gets.
struct ModelVersion {
    std::string name;
    /// The name of the weights in the platform's weight store.
    std::string weights;
    /// Relative to the other versions of the service.
    std::uint32_t weight { 1 };

    bool operator==(ModelVersion const&) const = default;
};

struct Adapter {
    std::string name;
    std::string weights;

    bool operator==(Adapter const&) const = default;
};

/// Targets for the 95th percentile of a service's latencies. Zero means no target.
struct LatencyTarget {
    std::uint32_t firstTokenMilliseconds { 0 };
    std::uint32_t betweenTokensMilliseconds { 0 };

    bool operator==(LatencyTarget const&) const = default;
};

struct Service {
    std::string name;
    ServiceKind kind { ServiceKind::Plain };
    /// Only for models.
    std::vector<ModelVersion> versions;
    std::vector<Adapter> adapters;
    LatencyTarget target;
    /// Only for plain services.
    std::vector<Operation> operations;
    /// Higher is more important; the least important work is refused first.
    std::uint32_t importance { 50 };
    /// The minimum number of backend servers in all data centres together.
    std::uint32_t minimumServers { 1 };
    std::uint32_t maximumServers { 1 };
    /// The machine classes that can run the service. If empty, fleet control does not start or stop hosts for it.
    std::vector<std::string> machineClasses;

    bool operator==(Service const&) const = default;
};

/// Limits across all nodes of the deployment. Zero means no limit.
struct TeamLimits {
    std::uint32_t requestsPerSecond { 0 };
    std::uint32_t tokensPerSecond { 0 };
    std::uint32_t concurrentRequests { 0 };

    bool operator==(TeamLimits const&) const = default;
};

struct Team {
    std::string name;
    /// SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    std::vector<std::string> keyDigests;
    /// The services the team may use.
    std::vector<std::string> services;
    TeamLimits limits;
    /// The team's share of contended capacity, relative to other teams.
    std::uint32_t share { 1 };

    bool operator==(Team const&) const = default;
};

/// A machine class that the cloud offers in one zone.
struct MachineClass {
    std::string name;
    std::string zone;
    /// In millionths of a currency unit per hour.
    std::uint64_t reclaimablePrice { 0 };
    std::uint64_t onDemandPrice { 0 };
    /// The request rate that one server of this class serves within the latency target, in thousandths of a request per second.
    std::uint64_t capacity { 0 };
    std::uint32_t maximumHosts { 0 };

    bool operator==(MachineClass const&) const = default;
};

/// A data centre where services may run.
struct Place {
    std::string dataCentre;
    std::string region;
    std::vector<MachineClass> machineClasses;

    bool operator==(Place const&) const = default;
};

/// The declarative configuration that operators apply. Lists are sorted by name.
struct DesiredState {
    std::vector<Service> services;
    std::vector<Team> teams;
    std::vector<Place> places;

    bool operator==(DesiredState const&) const = default;
};

/// One entry of the audit trail.
struct AuditEntry {
    std::uint64_t generation { 0 };
    /// Milliseconds since the Unix epoch.
    std::int64_t appliedAtMilliseconds { 0 };
    std::string appliedBy;
    std::string applyId;
    std::string comment;
    /// One line for each difference, for example "teams/classroom: limits.requestsPerSecond: 10 -> 20".
    std::vector<std::string> changes;

    bool operator==(AuditEntry const&) const = default;
};

/// The value of the object desiredstates/current: the accepted desired state with the newest audit entries, latest last. A node
/// never returns from a generation to an earlier one.
struct AppliedState {
    std::uint64_t generation { 0 };
    DesiredState desired;
    std::vector<AuditEntry> audit;

    bool operator==(AppliedState const&) const = default;
};

/// Finds an entity by its name; null if there is none. Thread safe.
[[nodiscard]] Service const* findService(DesiredState const&, std::string_view name);
[[nodiscard]] Team const* findTeam(DesiredState const&, std::string_view name);

/// The SHA-256 of a bearer key in lower-case hexadecimal. Thread safe.
[[nodiscard]] std::string keyDigest(std::string_view bearerKey);

/// Finds the team that one of its keys belongs to; null if there is none. Thread safe.
[[nodiscard]] Team const* findTeamByKey(DesiredState const&, std::string_view bearerKey);

/// The first operation of a plain service that matches; null if there is none. Thread safe.
[[nodiscard]] Operation const* findOperation(Service const&, std::string_view method, std::string_view path);

}
