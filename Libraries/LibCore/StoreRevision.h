#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Core {

/// A position in the history of the platform's object store. A store that is restored from an older copy starts a new era, in which its
/// revision numbers continue from those of the copy and are assigned again, so a number only orders changes of the same era. Thread safe.
struct StoreRevision {
    /// Rises with each restoration; 0 for a store that does not tell.
    std::uint64_t era { 0 };
    /// Rises with each change within an era; 0 for an object that does not exist.
    std::uint64_t number { 0 };

    /// "era.number", for logs.
    [[nodiscard]] std::string toString() const { return std::to_string(era) + "." + std::to_string(number); }

    auto operator<=>(StoreRevision const&) const = default;
};

}
