#pragma once

#include <LibCore/StoreRevision.h>
#include <LibRollout/Evidence.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Rollout {

/// In the order in which an order passes through them.
enum class State : std::uint8_t {
    /// The candidate is under evaluation and gets a small share of the requests.
    Running,
    /// The candidate was found good and gets all requests, while those at the incumbents end. Not written to the store.
    Completing,
    Completed,
    RolledBack,
};

/// The name of a state in logs and metrics. Thread safe.
[[nodiscard]] std::string_view stateName(State);

/// Identifies an order: an order that differs in one of these is another one.
struct OrderId {
    std::string service;
    /// The version of the candidate.
    std::string to;
    std::chrono::milliseconds period { 0 };

    auto operator<=>(OrderId const&) const = default;
};

/// An order to move the traffic of a service to the servers of a version, with its state.
struct Order {
    OrderId id;
    State state { State::Running };
    /// When it was first seen, in Unix milliseconds.
    std::int64_t startedAt { 0 };
    /// The store revision of the object from which this state was read, or with which it was written.
    Core::StoreRevision revision;
    /// Whether a node found the candidate bad. Never reset, so that the finding of one node is sufficient, also while the store is down.
    bool isFoundBad { false };
    /// Why the state is not Running.
    std::string reason;
    /// Versions of earlier orders of the service that were not completed. They get no request.
    std::vector<std::string> rejectedVersions;

    bool operator==(Order const&) const = default;
};

/// Whether the candidate of an order must get no request. What is completed cannot be rolled back, since its incumbents are gone. Thread safe.
[[nodiscard]] bool isRejected(Order const&);

/// Whether the order's state no longer changes. Thread safe.
[[nodiscard]] bool isFinal(State);

/// The rollout state of one node. Not thread safe.
struct RolloutTable {
    struct Snapshot {
        Core::MonotonicTime at;
        Evidence evidence;

        bool operator==(Snapshot const&) const = default;
    };
    struct Row {
        Order order;
        /// What this node observed itself.
        Evidence own;
        /// Sums over all nodes, the latest last, of about the last two recentWindow().
        std::vector<Snapshot> snapshots;
        /// When the first response of the candidate was known.
        std::optional<Core::MonotonicTime> observedSince;
        /// When the state, or that the candidate was found bad, last changed at this node.
        Core::MonotonicTime changedAt {};

        bool operator==(Row const&) const = default;
    };
    /// By service.
    std::map<std::string, Row> rows;
    /// The store revision up to which the orders have been read by any node; number 0 until that is known.
    Core::StoreRevision ordersRevision;
    /// The store revision at which the first server of each service and version was seen.
    std::map<std::pair<std::string, std::string>, Core::StoreRevision> versions;

    bool operator==(RolloutTable const&) const = default;
};

/// Returns an order as it is when it replaces another one of its service: the version of one that was not completed is rejected.
[[nodiscard]] Order succeedOrder(Order const& before, Order next);

/// Takes over the state of an order if it is newer than the known one of its service: by store revision, era first, then by progress. That the
/// candidate was found bad is kept. Versions of orders that are replaced before they were completed become rejected. Returns whether
/// the known state changed.
bool mergeState(RolloutTable&, Order const&);

/// The time over which recent evidence is judged apart from the whole. Thread safe.
[[nodiscard]] Core::Duration recentWindow(std::chrono::milliseconds period);

/// Adds a response to this node's evidence if an order of the service runs. The time of a response is that to its first event or, if it has
/// none, to its end.
enum class ResponseKind {
    Sound,
    Failure,
    Broken,
};
void recordResponse(RolloutTable&, std::string const& service, std::string const& version, std::string const& route, ResponseKind, Core::Duration time);

/// Records the sums of the evidence over all nodes.
void recordSums(RolloutTable::Row&, Evidence sums, Core::MonotonicTime now);

}
