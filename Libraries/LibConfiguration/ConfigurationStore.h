#pragma once

#include <LibConfiguration/Apply.h>
#include <LibConfiguration/DesiredState.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibPlatform/ObjectStore.h>
#include <optional>

namespace Configuration {

/// The object that holds the applied state.
[[nodiscard]] Platform::ObjectKey currentStateKey();

/// The kind of the objects that hold archived audit entries, each a JSON list.
inline constexpr std::string_view auditArchiveKind = "auditentries";

/// The applied state with the version of the object that holds it.
struct StoredState {
    AppliedState state;
    /// Number 0 if the object does not exist yet; the state then has generation 0.
    Core::StoreRevision resourceVersion;

    bool operator==(StoredState const&) const = default;
};

/// Reads and replaces the desired state in the object API. Used on the runtime's thread only. Runtime and store must outlive it
/// and its calls.
class ConfigurationStore {
public:
    ConfigurationStore(Core::Runtime&, Platform::ObjectStore&);

    /// Reads the applied state; generation 0 if none was applied yet. StoreUnavailable, or InvalidConfiguration if the object
    /// cannot be decoded.
    [[nodiscard]] Core::Awaitable<std::optional<StoredState>> read(Core::MonotonicTime deadline, Core::Error&);

    /// Replaces the desired state by one conditional update. A lost response is resolved by reading back and looking for the apply
    /// id; failed calls are retried within the deadline, with at most maximumAttempts attempts. InvalidConfiguration if the desired
    /// state is not valid. StoreUnavailable has RunState::NotRun if the apply cannot have taken effect, else
    /// RunState::Unknown; the same apply (with its apply id) may then be sent again.
    [[nodiscard]] Core::Awaitable<std::optional<ApplyDecision>> apply(ApplyRequest, Core::MonotonicTime deadline, Core::Error&);

    /// Reads the newest archived audit entries before a generation, up to the limit, ordered by generation.
    /// StoreUnavailable, or InvalidConfiguration if an archive cannot be decoded.
    [[nodiscard]] Core::Awaitable<std::optional<std::vector<AuditEntry>>> readArchive(std::uint64_t beforeGeneration, std::size_t limit, Core::MonotonicTime deadline, Core::Error&);

    /// The maximum number of reads of the object by one apply().
    static constexpr unsigned maximumAttempts = 8;

private:
    [[nodiscard]] Core::Awaitable<bool> archive(std::vector<AuditEntry>, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> write(AppliedState const&, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> waitBeforeRetry(unsigned attempt, Core::MonotonicTime deadline);

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
};

}
