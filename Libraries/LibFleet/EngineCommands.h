#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

/// The roles of an engine. An engine that leaves finishes its work, takes no more and reports that it leaves.
inline constexpr std::string_view servingRole = "serving";
inline constexpr std::string_view leavingRole = "leaving";

/// What an engine should do. An empty version leaves the version as it is.
struct DesiredEngine {
    std::string serverId;
    std::uint64_t incarnation { 0 };
    std::string role;
    std::string version;

    bool operator==(DesiredEngine const&) const = default;
};

/// What is known of an engine: its listed version, and what it confirmed to commands. Empty fields are not known.
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

/// A command that gives the whole desired role or version, so that repeating it changes nothing.
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

/// Whether engines refuse a command with an older fencing token.
enum class EngineFencing {
    Checked,
    Ignored,
};

/// The holder's own view of its lease.
struct LeaseStatus {
    std::uint64_t epoch { 0 };
    Core::Duration remaining { 0 };
    /// Since the holder first held the lease in this epoch.
    Core::Duration heldFor { 0 };

    bool operator==(LeaseStatus const&) const = default;
};

struct CommandPolicy {
    /// After this time a command is given up and can no longer reach an engine.
    Core::Duration commandTimeout { std::chrono::seconds(1) };
    Core::Duration leaseDuration { std::chrono::seconds(10) };
    EngineFencing fencing { EngineFencing::Ignored };

    bool operator==(CommandPolicy const&) const = default;
};

/// Whether a command may be sent now: the lease outlasts the command timeout and, for engines that ignore fencing tokens,
/// no command of an earlier holder can still be on its way. Thread safe.
[[nodiscard]] bool canSendCommands(LeaseStatus const&, CommandPolicy const&);

/// The commands that bring the reported engines to the desired state. A holder sends the role and version of each engine
/// once in its epoch even if the engine already confirmed them to an earlier holder, since a late command of that holder may
/// have changed them. Empty if canSendCommands() is false. Engines that are not reported get their commands too. Thread safe.
[[nodiscard]] std::vector<EngineCommand> decideCommands(std::vector<DesiredEngine> const&, std::vector<ReportedEngine> const&, LeaseStatus const&, CommandPolicy const&);

/// Divides the engines of a service over its versions by weight, with the fewest changes of version. `engines` are those of
/// the service with their present versions; the result has one entry each in the same order. Thread safe.
[[nodiscard]] std::vector<std::string> assignVersions(std::vector<Configuration::ModelVersion> const&, std::vector<std::string> const& currentVersions);

}
