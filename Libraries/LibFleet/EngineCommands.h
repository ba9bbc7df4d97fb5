#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

/// The roles of an engine. A leaving engine finishes its requests, accepts no new ones and reports that it is leaving.
inline constexpr std::string_view servingRole = "serving";
inline constexpr std::string_view leavingRole = "leaving";

/// The desired role and version of an engine. An empty version leaves the engine's version unchanged.
struct DesiredEngine {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    std::string role;
    std::string version;

    bool operator==(DesiredEngine const&) const = default;
};

/// The known state of an engine: its listed version, and the commands that it confirmed. Empty fields are unknown.
struct ReportedEngine {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    std::string role;
    std::string version;
    /// The fencing tokens of the newest confirmed commands; 0 for none.
    std::uint64_t roleEpoch { 0 };
    std::uint64_t versionEpoch { 0 };

    bool operator==(ReportedEngine const&) const = default;
};

enum class EngineCommandKind {
    Role,
    Load,
};

/// Sets the role or version of an engine. Idempotent, since it carries the whole desired value.
struct EngineCommand {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    EngineCommandKind kind { EngineCommandKind::Role };
    /// The role or version.
    std::string value;
    std::uint64_t fencingToken { 0 };
    std::string reason;

    bool operator==(EngineCommand const&) const = default;
};

/// Whether engines reject commands with an outdated fencing token.
enum class EngineFencing {
    Checked,
    Ignored,
};

/// The lease as its holder sees it.
struct LeaseStatus {
    std::uint64_t epoch { 0 };
    Core::Duration remaining { 0 };
    /// Time since the holder acquired the lease in this epoch.
    Core::Duration heldFor { 0 };

    bool operator==(LeaseStatus const&) const = default;
};

struct CommandPolicy {
    /// Time after which a command is abandoned and can no longer reach an engine.
    Core::Duration commandTimeout { std::chrono::seconds(1) };
    Core::Duration leaseDuration { std::chrono::seconds(10) };
    EngineFencing fencing { EngineFencing::Ignored };

    bool operator==(CommandPolicy const&) const = default;
};

/// Returns whether commands may be sent now: the lease must outlast the command timeout and, for engines that ignore fencing
/// tokens, no command of an earlier holder can still be in flight. Thread safe.
[[nodiscard]] bool canSendCommands(LeaseStatus const&, CommandPolicy const&);

/// Returns the commands that bring the engines to the desired state; none if canSendCommands() is false. A holder sends the role
/// and version of each engine once per epoch even if the engine already confirmed them to an earlier holder, since a late command
/// of that holder may have changed them. Engines without a report get commands too. Thread safe.
[[nodiscard]] std::vector<EngineCommand> decideCommands(std::vector<DesiredEngine> const&, std::vector<ReportedEngine> const&, LeaseStatus const&, CommandPolicy const&);

/// Distributes the engines of a service over its versions by weight, with the fewest version changes. `currentVersions` has the
/// version of each engine; the result has one entry per engine in the same order. Thread safe.
[[nodiscard]] std::vector<std::string> assignVersions(std::vector<Configuration::ModelVersion> const&, std::vector<std::string> const& currentVersions);

}
