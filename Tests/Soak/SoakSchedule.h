#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Soak {

/// Faults and planned work that a run injects from outside the processes.
enum class FaultKind {
    // Planned work.
    StopNode,
    ReloadNode,
    ChangeConfiguration,
    RemoveServer,
    // Unplanned faults of a node.
    KillNode,
    PauseNode,
    // Faults between a node and the store.
    CutStore,
    SilenceStore,
    DelayStore,
    LoseStoreAnswers,
    RefuseStoreCalls,
    DropStoreHistory,
    // The store is away for a moment, then returns from a copy.
    RestoreStore,
    // Faults between the nodes and a backend server.
    CutServer,
    SilenceServer,
    SilenceRequests,
    DelayServer,
    TruncateAnswers,
    // A server refuses all requests and asks for a pause.
    RefuseRequests,
    // All servers refuse all requests, without asking for a pause.
    RejectRequests,
};

[[nodiscard]] bool isPlanned(FaultKind);
[[nodiscard]] std::string_view nameOf(FaultKind);

struct Fault {
    FaultKind kind { FaultKind::StopNode };
    /// Index of the affected node or server.
    std::size_t target { 0 };
    std::chrono::milliseconds startsAt { 0 };
    std::chrono::milliseconds duration { 0 };
    /// Age of the copy when the store goes away, for RestoreStore.
    std::chrono::milliseconds copyAge { 0 };

    bool operator==(Fault const&) const = default;
};

struct SoakOptions {
    std::uint64_t seed { 1 };
    std::size_t nodes { 3 };
    std::size_t servers { 4 };
    std::size_t clientsPerNode { 6 };
    std::chrono::seconds length { 10 };
    /// Number of RestoreStore faults, in addition to the other faults, which do not depend on it.
    std::size_t restorations { 0 };
    /// Number of RefuseRequests and RejectRequests faults in turn, likewise.
    std::size_t refusals { 0 };

    bool operator==(SoakOptions const&) const = default;
};

/// Returns the faults of a run, sorted by start time. They may overlap. Every third seed has planned work only, besides
/// restorations and refusals, so that the guarantees about planned work are checked without other causes of failure. Thread safe.
[[nodiscard]] std::vector<Fault> createSchedule(SoakOptions const&);

/// Returns whether no unplanned fault was active between two times or shortly before them. Thread safe.
[[nodiscard]] bool hasNoUnplannedFault(std::vector<Fault> const&, std::chrono::milliseconds from, std::chrono::milliseconds to);

}
