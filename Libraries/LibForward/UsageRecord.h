#pragma once

#include <LibForward/UsageTable.h>
#include <optional>
#include <string>

namespace Forward {

/// The counts of recent windows as a holder of the duties decided to report them. Stored in the platform's store before they are
/// reported, so that a later holder reports the same counts or none.
struct UsageRecord {
    CountsByWindow counts;
    /// The store's era in which it was written. In a later era, it is from a copy, and later decisions are missing.
    std::uint64_t era { 0 };

    bool operator==(UsageRecord const&) const = default;
};

/// JSON codec of UsageRecord. Decoding returns an empty optional if the text is not a valid record. Thread safe.
[[nodiscard]] std::string encodeUsageRecord(UsageRecord const&);
[[nodiscard]] std::optional<UsageRecord> decodeUsageRecord(std::string const&);

/// What the holder of the duties knows of the windows that were or may have been reported. Starts empty with each acquisition of the
/// duties. Not thread safe.
struct UsageLedger {
    /// What this holder, or the one before, decided to report.
    CountsByWindow decided;
    /// Whether a record was taken over since the duties were acquired.
    bool isLoaded { false };
    /// Windows up to this one need no report: the platform accepted it, there was nothing to report, or an earlier holder may have
    /// reported counts that are unknown.
    std::int64_t settledUntil { 0 };

    bool operator==(UsageLedger const&) const = default;
};

/// Takes over the record in the store, or its absence, at an era of the store. If the store was restored since the record was written, a
/// holder that had loaded it before keeps what it knows, and another one leaves out the windows up to the newest one that has ended.
/// Windows far after that one, as of another writer, are ignored.
void loadUsageRecord(UsageLedger&, std::optional<UsageRecord> const& stored, std::uint64_t storeEra, std::int64_t newestWindow);

/// The same for a record that can't be read: what it said is as unknown as what is missing in a copy.
void loadDamagedUsageRecord(UsageLedger&, std::int64_t newestWindow);

enum class UsageDecision {
    /// The counts of the window are decided and stored.
    Report,
    /// The current counts must be stored before they are reported.
    StoreFirst,
    /// The window needs no report.
    Settled,
};

/// Returns what to do about a window that has ended. Thread safe.
[[nodiscard]] UsageDecision decideUsageReport(UsageLedger const&, TeamCounts const& current, std::int64_t window);

/// Returns the decided counts with those of a further window, without windows that are too old to be reported. Thread safe.
[[nodiscard]] CountsByWindow withWindow(UsageLedger const&, std::int64_t window, TeamCounts const&);

}
