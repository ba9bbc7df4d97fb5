#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibCore/StoreRevision.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// The load that a backend server last reported. It lags behind the actual load.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t freeSlots { 0 };
    /// The incarnation of the server's process; 0 if the server does not report it.
    std::uint64_t processIncarnation { 0 };
    Core::MonotonicTime receivedAt;
    /// This node's requests in progress at the server when the report was received.
    std::uint32_t ownOutstandingAtReport { 0 };

    bool operator==(LoadReport const&) const = default;
};

/// Exponentially weighted mean of the service time that this node measured at a backend server.
struct ServiceTimeEstimate {
    /// Seconds between two tokens of a model, or seconds per call of a plain service.
    double secondsPerUnit { 0 };
    std::uint32_t samples { 0 };
    Core::MonotonicTime lastAt;

    bool operator==(ServiceTimeEstimate const&) const = default;
};

enum class StragglerState {
    Normal,
    /// Much slower than its peers; receives only probes.
    Straggler,
};

/// Whether a server accepts new requests. An incarnation never returns from Leaving to Live.
enum class Lifecycle {
    Live,
    Leaving,
};

/// Another process listens at a server's endpoint, as its refusal of a request for the server proves.
struct Absence {
    /// Consecutive refusals.
    std::uint32_t refusals { 0 };
    /// The server gets no requests before this time.
    Core::MonotonicTime until;

    bool operator==(Absence const&) const = default;
};

/// This node's state of a backend server.
struct ServerRow {
    std::string id;
    Core::Endpoint endpoint;
    std::string service;
    std::string version;
    std::string dataCentre;
    std::string zone;
    std::uint64_t incarnation { 0 };
    Lifecycle lifecycle { Lifecycle::Live };
    /// Whether it is leaving only because the host list lacks it.
    bool isMissing { false };
    /// Requests that the server runs concurrently, from the host list; 0 if the list does not give the number.
    std::uint32_t slots { 0 };
    /// Whether the platform may reclaim the server's host.
    bool reclaimable { false };
    /// The store revision of the newest entry of this incarnation; number 0 if it is unknown.
    Core::StoreRevision revision;
    /// This node's requests in progress at the server.
    std::uint32_t outstanding { 0 };
    /// The other nodes' requests in progress at the server, as last reported.
    std::uint32_t peerOutstanding { 0 };
    /// Whether a network partition between this node and the server's data centre is suspected.
    bool isPartitionSuspected { false };
    std::optional<LoadReport> report;
    /// The mean over the service's servers with a recent report, used while this server has none; 0 until there is one.
    std::uint32_t assumedLoad { 0 };
    std::uint32_t assumedSlots { 0 };
    ServiceTimeEstimate serviceTime;
    StragglerState stragglerState { StragglerState::Normal };
    Core::MonotonicTime nextProbeAt;
    std::uint32_t consecutiveFailures { 0 };
    /// The server receives no new requests before this time, after connection failures.
    Core::MonotonicTime backoffUntil;
    std::optional<Absence> absence;
    /// When the platform's host list last contained the server.
    Core::MonotonicTime lastListedAt;
    /// When the host list first contained this incarnation.
    Core::MonotonicTime firstListedAt;

    bool operator==(ServerRow const&) const = default;
};

/// A server asked this node to send it no requests for some time.
struct ServerPause {
    /// The incarnation that asked.
    std::uint64_t incarnation { 0 };
    Core::MonotonicTime until;

    bool operator==(ServerPause const&) const = default;
};

/// Exponentially weighted mean and mean absolute deviation of a delay.
struct DelayEstimate {
    double meanSeconds { 0 };
    double deviationSeconds { 0 };
    std::uint32_t samples { 0 };

    bool operator==(DelayEstimate const&) const = default;
};

/// The backend servers known to one node. Not thread safe.
struct ServerTable {
    std::vector<ServerRow> rows;
    /// By server id. Kept apart from the rows, since a server that is missing in the host list for a moment gets a new row.
    std::map<std::string, ServerPause, std::less<>> pauses;
    /// Measured prefill time per token in seconds, by model.
    std::map<std::string, double, std::less<>> prefillSecondsPerToken;
    /// Delays until the first token of ordinary requests, by model.
    std::map<std::string, DelayEstimate, std::less<>> firstTokenDelays;

    bool operator==(ServerTable const&) const = default;
};

/// Returns null if there is no such server. The pointer is valid until rows are added or removed.
[[nodiscard]] ServerRow* findServer(ServerTable&, std::string_view id);
[[nodiscard]] ServerRow const* findServer(ServerTable const&, std::string_view id);

/// Returns the number of data centres that have a backend server. Thread safe.
[[nodiscard]] std::size_t countDataCentres(ServerTable const&);

/// An entry of the platform's host list.
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
    /// The store revision of the entry's last change; number 0 if it is unknown.
    Core::StoreRevision revision;

    bool operator==(ListedServer const&) const = default;
};

/// Merges a host list that may be stale: adds new servers, resets the row of a new incarnation, preserves the Leaving state of servers that
/// were listed or marked as leaving, ends the absence of servers whose entry changed, and removes servers that are no longer listed and have
/// no request of this node in progress.
void mergeHostList(ServerTable&, std::vector<ListedServer> const&, Core::MonotonicTime now);

/// Marks a server as leaving. Has no effect on another incarnation. Returns false if the server was marked already or is unknown.
bool markLeaving(ServerTable&, std::string_view id, std::uint64_t incarnation);

void recordReport(ServerRow&, LoadReport report);

[[nodiscard]] bool hasRecentReport(ServerRow const&, Core::MonotonicTime now);

/// The requests running or waiting at a server: its last report, corrected by the requests that this node sent or finished since.
[[nodiscard]] std::uint32_t estimatedLoad(ServerRow const&, Core::MonotonicTime now);

/// The number of requests that a server runs concurrently; an assumed value until it reports.
[[nodiscard]] std::uint32_t slotsOf(ServerRow const&);

/// Adds a measured time per token, or per call of a plain service.
void recordServiceTime(ServerRow&, double seconds, Core::MonotonicTime now);

/// Adds a measured prefill: the time to the first token of an attempt that prefilled this many tokens. Ignores short prefills,
/// whose delay is mostly queueing time.
void recordPrefill(ServerTable&, std::string_view service, std::uint32_t tokens, double seconds);

/// Prefill time per token of a model in seconds; an assumed value until there are measurements.
[[nodiscard]] double prefillSecondsPerToken(ServerTable const&, std::string_view service);

void recordDelay(DelayEstimate&, double seconds);

/// The delay in seconds beyond which another server is likely to be faster; nothing while there are too few samples.
[[nodiscard]] std::optional<double> delayOutlierThreshold(DelayEstimate const&);

/// Records a connection failure or crash: the server gets no new requests during a backoff that doubles up to 5 s.
void recordFailure(ServerRow&, Core::MonotonicTime now);
void recordSuccess(ServerRow&);

/// Records that another process refused a request that was sent by the entry of this revision. The server is absent: it gets no requests for
/// a time that doubles from 1 s up to 6 s, then one as a probe, until it answers or its entry changes. Returns whether it was present before.
/// Has no effect if its entry has changed since.
bool recordAbsence(ServerRow&, Core::StoreRevision, Core::MonotonicTime now);
void recordPresence(ServerRow&);

/// Whether a server gets no new request because it is absent.
[[nodiscard]] bool isAbsent(ServerRow const&, Core::MonotonicTime now);

/// Records that an incarnation of a server wants no requests of this node before a time, and drops pauses that have ended. The latest time
/// counts. Returns whether the server was not paused before.
bool recordPause(ServerTable&, std::string_view id, std::uint64_t incarnation, Core::MonotonicTime until, Core::MonotonicTime now);

/// Whether a server gets no new request because it asked for a pause. Thread safe.
[[nodiscard]] bool isPaused(ServerTable const&, ServerRow const&, Core::MonotonicTime now);

/// Returns when the first of a service's servers that could be used but for their pauses ends its pause; an empty optional if there is none.
/// Thread safe.
[[nodiscard]] std::optional<Core::MonotonicTime> firstEndOfPause(ServerTable const&, std::string_view service, Core::MonotonicTime now);

/// Updates the load assumed for servers without a recent report.
void updateAssumedLoads(ServerTable&, Core::MonotonicTime now);

/// Compares each server with the median of its peers (same service, recent service times) and updates its straggler state. A server
/// without three peers never becomes a straggler.
void updateStragglerStates(ServerTable&, Core::MonotonicTime now);

}
