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
    /// Written before the call; the answer is not known, or the call was never made.
    Requested,
    Granted,
};

/// A host start that was asked for and is not listed yet. Times are in milliseconds since the Unix epoch.
struct StartRecord {
    /// Names the start until its host id is known.
    std::string token;
    Platform::HostRequest request;
    std::int64_t requestedAtMilliseconds { 0 };
    StartState state { StartState::Requested };
    /// Once granted.
    std::string hostId;
    /// The hosts of the same service and pool that were listed then; a further one may be this start's.
    std::vector<std::string> listedBefore;

    bool operator==(StartRecord const&) const = default;
};

/// A backend server that is drained and will be stopped.
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

/// One line of the audit of fleet control.
struct FleetDecision {
    std::int64_t atMilliseconds { 0 };
    std::uint64_t epoch { 0 };
    /// A host id, the token of a start, or a service.
    std::string subject;
    std::string text;

    bool operator==(FleetDecision const&) const = default;
};

/// The value of the object fleetdecisions/current: what the next holder must know, and the newest decisions.
struct FleetRecord {
    /// Of the holder that wrote it.
    std::uint64_t epoch { 0 };
    std::string writeId;
    std::vector<StartRecord> starts;
    std::vector<DrainRecord> drains;
    std::vector<RefusalRecord> refusals;
    /// The latest last, at most maximumDecisions.
    std::vector<FleetDecision> decisions;

    bool operator==(FleetRecord const&) const = default;
};

inline constexpr std::size_t maximumDecisions = 200;

/// JSON codec; Internal for a text that is not a record. Thread safe.
[[nodiscard]] std::string encodeFleetRecord(FleetRecord const&);
[[nodiscard]] std::optional<FleetRecord> decodeFleetRecord(std::string_view, Core::Error&);

/// Adds a decision, and drops the oldest beyond the limit.
void addDecision(FleetRecord&, FleetDecision);

/// Counts a refused start.
void recordRefusal(FleetRecord&, Pool const&, std::int64_t atMilliseconds);
/// Forgets the refusals of a pool, after a start was granted there.
void clearRefusals(FleetRecord&, Pool const&);

/// Brings the record up to date with the host list: starts that are listed leave it, and so do starts that were not listed
/// within the expiry, drains whose host is no longer listed, and refusals of more than an hour ago. A start whose answer is
/// not known takes the first listed host of its service and pool that was not listed before and that no other start has;
/// until then it counts as a host that is starting, so that it is not asked for again. Returns the decisions it added.
[[nodiscard]] std::vector<FleetDecision> reconcile(FleetRecord&, std::vector<Platform::Host> const& listed, std::int64_t nowMilliseconds, std::chrono::milliseconds startExpiry);

}
