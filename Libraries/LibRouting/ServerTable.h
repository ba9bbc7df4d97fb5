#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// What a backend server last said about its load. Reports lag behind.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t freeSlots { 0 };
    /// Of the server's process, as it reports it; 0 if it does not.
    std::uint64_t processIncarnation { 0 };
    Core::MonotonicTime receivedAt;
    /// This node's requests in progress at the server when the report was received.
    std::uint32_t ownOutstandingAtReport { 0 };

    bool operator==(LoadReport const&) const = default;
};

/// What this node itself measured at a backend server, as exponentially weighted means.
struct ServiceTimeEstimate {
    /// Seconds between two tokens of a model, or seconds a call of a non-model service takes.
    double secondsPerUnit { 0 };
    std::uint32_t samples { 0 };
    Core::MonotonicTime lastAt;

    bool operator==(ServiceTimeEstimate const&) const = default;
};

enum class StragglerState {
    Normal,
    /// Much slower than its peers; gets only probes.
    Straggler,
};

/// Whether a server accepts new work. Leaving never goes back to Live within an incarnation.
enum class Lifecycle {
    Live,
    Leaving,
};

/// A backend server as this node sees it.
struct ServerRow {
    std::string id;
    Core::Endpoint endpoint;
    std::string service;
    std::string version;
    std::string dataCentre;
    std::string zone;
    std::uint64_t incarnation { 0 };
    Lifecycle lifecycle { Lifecycle::Live };
    /// Requests that it runs at the same time, as the host list says; 0 if it does not.
    std::uint32_t slots { 0 };
    /// Whether the platform may take its host back.
    bool reclaimable { false };
    /// This node's requests in progress at the server.
    std::uint32_t outstanding { 0 };
    /// Those of the other nodes, as they last reported them.
    std::uint32_t peerOutstanding { 0 };
    /// Whether this node is probably cut off from the server's data centre.
    bool isPartitionSuspected { false };
    std::optional<LoadReport> report;
    /// The mean of the recent reports of the service, used while this server has none; 0 until there is one.
    std::uint32_t assumedLoad { 0 };
    std::uint32_t assumedSlots { 0 };
    ServiceTimeEstimate serviceTime;
    StragglerState stragglerState { StragglerState::Normal };
    Core::MonotonicTime nextProbeAt;
    std::uint32_t consecutiveFailures { 0 };
    /// No new work before this time, after connection failures.
    Core::MonotonicTime backoffUntil;
    /// When the platform's host list last held the server.
    Core::MonotonicTime lastListedAt;
    /// When it first held this incarnation.
    Core::MonotonicTime firstListedAt;

    bool operator==(ServerRow const&) const = default;
};

/// Exponentially weighted mean and mean absolute deviation of a delay.
struct DelayEstimate {
    double meanSeconds { 0 };
    double deviationSeconds { 0 };
    std::uint32_t samples { 0 };

    bool operator==(DelayEstimate const&) const = default;
};

/// The backend servers of one node, found by id. Not thread safe.
struct ServerTable {
    std::vector<ServerRow> rows;
    /// Seconds of prefill for each token, by model, as observed.
    std::map<std::string, double, std::less<>> prefillSecondsPerToken;
    /// Delays of first tokens of ordinary requests, by model.
    std::map<std::string, DelayEstimate, std::less<>> firstTokenDelays;

    bool operator==(ServerTable const&) const = default;
};

/// Finds a server; null if there is none. The pointer is valid until rows are added or removed.
[[nodiscard]] ServerRow* findServer(ServerTable&, std::string_view id);
[[nodiscard]] ServerRow const* findServer(ServerTable const&, std::string_view id);

/// A server as the platform's host list names it.
struct ListedServer {
    std::string id;
    Core::Endpoint endpoint;
    std::string service;
    std::string version;
    std::string dataCentre;
    std::string zone;
    std::uint64_t incarnation { 0 };
    Lifecycle lifecycle { Lifecycle::Live };
    std::uint32_t slots { 0 };
    bool reclaimable { false };

    bool operator==(ListedServer const&) const = default;
};

/// Merges a host list that may lag: adds new servers, starts a new incarnation as a new row, keeps leaving marks, and
/// removes servers that are no longer listed and have no request of this node in progress.
void mergeHostList(ServerTable&, std::vector<ListedServer> const&, Core::MonotonicTime now);

/// Marks a server as leaving. Has no effect on another incarnation. Returns whether the mark is new.
bool markLeaving(ServerTable&, std::string_view id, std::uint64_t incarnation);

void recordReport(ServerRow&, LoadReport report);

[[nodiscard]] bool hasRecentReport(ServerRow const&, Core::MonotonicTime now);

/// The requests running or waiting at a server: its last report and what this node sent or finished since.
[[nodiscard]] std::uint32_t estimatedLoad(ServerRow const&, Core::MonotonicTime now);

/// The number of requests that a server runs at the same time; an assumed value until it reports.
[[nodiscard]] std::uint32_t slotsOf(ServerRow const&);

/// Adds a measured time per token, or per call of a non-model service.
void recordServiceTime(ServerRow&, double seconds, Core::MonotonicTime now);

/// Adds a measured prefill: the time to the first token of an attempt that prefilled this many tokens. Short prefills are ignored,
/// because the waiting time dominates them.
void recordPrefill(ServerTable&, std::string_view service, std::uint32_t tokens, double seconds);

/// Seconds of prefill for each token of a model; an assumed value until there are measurements.
[[nodiscard]] double prefillSecondsPerToken(ServerTable const&, std::string_view service);

void recordDelay(DelayEstimate&, double seconds);

/// The seconds after which a delay is so unusual that another server is likely to be faster; nothing before enough samples.
[[nodiscard]] std::optional<double> delayOutlierThreshold(DelayEstimate const&);

/// After a connection failure or crash: the server gets no work for a time that doubles up to 5 s.
void recordFailure(ServerRow&, Core::MonotonicTime now);
void recordSuccess(ServerRow&);

/// Updates the load that is assumed of servers without a recent report.
void updateAssumedLoads(ServerTable&, Core::MonotonicTime now);

/// Compares each server with the median of its peers (same service, recent observations) and updates its straggler state. A server
/// without three peers is never a straggler.
void updateStragglerStates(ServerTable&, Core::MonotonicTime now);

}
