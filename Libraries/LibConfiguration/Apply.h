#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibConfiguration/ValidationError.h>
#include <boost/json/value.hpp>
#include <optional>

namespace Configuration {

/// The largest number of audit entries in the object desiredstates/current.
inline constexpr std::size_t maximumAuditEntries = 64;
/// The number of oldest entries that are moved to one archive object when there would be more than maximumAuditEntries. The
/// batch needs one archive write for every 32 applies instead of one for each.
inline constexpr std::size_t auditEntriesPerArchive = 32;
/// The largest size of the audit entries in the object, in bytes of JSON.
inline constexpr std::size_t maximumAuditBytes = 192 * 1024;
/// The largest number of difference lines of one audit entry. An additional line counts those left out.
inline constexpr std::size_t maximumChangeLines = 200;

/// An operator's request to replace the desired state.
struct ApplyRequest {
    /// The generation that the change is based on; 0 if there was none.
    std::uint64_t basedOnGeneration { 0 };
    /// Unique for each apply and the same for its retries, so that a retry is recognised.
    std::string applyId;
    std::string appliedBy;
    std::string comment;
    DesiredState desired;

    bool operator==(ApplyRequest const&) const = default;
};

enum class ApplyOutcome {
    /// The next state is to be written, or has been written.
    Accepted,
    /// The apply id is among the audit entries: this apply has already taken effect.
    AlreadyAccepted,
    /// The desired state equals the current one; nothing is written.
    Unchanged,
    /// The request was based on another generation than the current one.
    Conflict,
};

struct ApplyDecision {
    ApplyOutcome outcome { ApplyOutcome::Conflict };
    /// Accepted: the next state. Otherwise the current one.
    AppliedState state;
    /// The generation the request resulted in; on a conflict the current one.
    std::uint64_t generation { 0 };
    /// Accepted: the entries that were removed from the state and must be archived before it is written.
    std::vector<AuditEntry> entriesToArchive;
    /// Conflict: the entries after the generation the request was based on, as far as they are not archived.
    std::vector<AuditEntry> entriesSince;
    /// One line that explains the outcome.
    std::string message;

    bool operator==(ApplyDecision const&) const = default;
};

/// Decides on one apply. The time is in milliseconds since the Unix epoch. Precondition: the desired state of the request is
/// valid. Thread safe.
[[nodiscard]] ApplyDecision decideApply(AppliedState const& current, ApplyRequest const&, std::int64_t nowMilliseconds);

/// The name of the object of kind "auditentries" for some entries, "<first generation>-<last generation>", zero-padded so that
/// the order of names is the order of generations. Precondition: there is at least one entry. Thread safe.
[[nodiscard]] std::string archiveName(std::vector<AuditEntry> const&);

/// Encodes and decodes the body of `PUT /operator/desired-state`. Thread safe.
[[nodiscard]] boost::json::value toJson(ApplyRequest const&);
[[nodiscard]] std::optional<ApplyRequest> applyRequestFromJson(boost::json::value const&, ValidationErrors&);

}
