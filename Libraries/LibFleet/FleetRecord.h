#pragma once

#include <LibCore/ErrorKind.h>
#include <LibFleet/FleetPlan.h>
#include <LibPlatform/Cloud.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

enum class StartState {
    /// Written before the call: the call's result is unknown, or it was never made.
    Requested,
    Granted,
};

/// A requested host start whose host is not in the host list yet. Times are in milliseconds since the Unix epoch.
struct StartRecord {
    /// Identifies the start until the host id is known.
    std::string token;
    Platform::HostRequest request;
    std::int64_t requestedAtMilliseconds { 0 };
    StartState state { StartState::Requested };
    /// Empty until the start is granted.
    std::string hostId;
    /// Hosts of the same service and pool that were listed at the time of the request. Any other may be the result of this start.
    std::vector<std::string> listedBefore;

    bool operator==(StartRecord const&) const = default;
};

/// A backend server that is draining and will be stopped.
struct DrainRecord {
    std::string hostId;
    std::uint64_t incarnation { 0 };
    std::int64_t sinceMilliseconds { 0 };
    std::string reason;

    bool operator==(DrainRecord const&) const = default;
};

struct RefusalRecord {
    Pool pool;
    std::int64_t lastAtMilliseconds { 0 };
    std::uint32_t count { 0 };

    bool operator==(RefusalRecord const&) const = default;
};

/// One entry of the fleet controller's audit log.
struct FleetDecision {
    std::int64_t atMilliseconds { 0 };
    std::uint64_t epoch { 0 };
    /// A host id, the token of a start, or a service.
    std::string subject;
    std::string text;

    bool operator==(FleetDecision const&) const = default;
};

/// The value of the object fleetdecisions/current: the state that the next lease holder needs, and the newest decisions.
struct FleetRecord {
    /// Epoch of the lease holder that wrote the record.
    std::uint64_t epoch { 0 };
    std::string writeId;
    std::vector<StartRecord> starts;
    std::vector<DrainRecord> drains;
    std::vector<RefusalRecord> refusals;
    /// In chronological order, at most maximumDecisions.
    std::vector<FleetDecision> decisions;

    bool operator==(FleetRecord const&) const = default;
};

inline constexpr std::size_t maximumDecisions = 200;

/// JSON codec. Decoding fails with Internal if the text is not a valid record. Thread safe.
[[nodiscard]] std::string encodeFleetRecord(FleetRecord const&);
[[nodiscard]] std::optional<FleetRecord> decodeFleetRecord(std::string_view, Core::Error&);

/// Appends a decision and removes the oldest one if there are more than maximumDecisions.
void addDecision(FleetRecord&, FleetDecision);

/// Counts a refused start.
void recordRefusal(FleetRecord&, Pool const&, std::int64_t atMilliseconds);
/// Removes the refusals of a pool after it granted a start.
void clearRefusals(FleetRecord&, Pool const&);

/// Updates the record from the host list. Removes starts whose host is listed, starts whose host was not listed within the expiry,
/// drains whose host is no longer listed, and refusals older than an hour. A start whose result is unknown is matched with the
/// first listed host of its service and pool that was not listed before the request and belongs to no other start. Until then it
/// counts as a starting host, so that it is not requested again. Returns the decisions it added.
[[nodiscard]] std::vector<FleetDecision> reconcile(FleetRecord&, std::vector<Platform::Host> const& listed, std::int64_t nowMilliseconds, std::chrono::milliseconds startExpiry);

}
