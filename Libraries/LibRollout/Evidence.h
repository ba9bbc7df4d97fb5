#pragma once

#include <LibCore/Runtime.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Rollout {

/// Servers of the version that an order names, and the servers of the service that it is to replace.
enum class Group : std::uint8_t {
    Incumbent,
    Candidate,
};

/// Bounds of the histogram of times: the first is 10 ms, each further one 1.587 times the one before, the last 10 s. Three
/// classes span a factor of four, which is enough to tell a version that is several times slower.
inline constexpr std::size_t timeClasses = 16;

/// Returns the class of a time to the response or to the first event. Thread safe.
[[nodiscard]] std::size_t timeClassOf(Core::Duration);

/// Cumulative counts of responses of one group on one route.
struct ResponseCounts {
    /// Answers of any status, cut connections and timeouts; not refusals that did not run.
    std::uint32_t responses { 0 };
    /// Answers with a status that says that the server failed.
    std::uint32_t failures { 0 };
    /// Responses that ended early or were malformed. Those of a server that crashes come at once.
    std::uint32_t broken { 0 };
    /// By timeClassOf().
    std::array<std::uint32_t, timeClasses> times {};

    bool operator==(ResponseCounts const&) const = default;
};

/// By group and route.
using Evidence = std::map<std::pair<Group, std::string>, ResponseCounts>;

/// Adds the counts of one node, or of several, to others. Thread safe.
void mergeEvidence(Evidence&, Evidence const&);

/// Returns the counts that are in the first argument and not in the second, which is contained in it but for counts that are
/// still under way; never below 0. Thread safe.
[[nodiscard]] Evidence evidenceSince(Evidence const&, Evidence const& before);

/// Returns the number of responses of a group over all routes. Thread safe.
[[nodiscard]] std::uint32_t countResponses(Evidence const&, Group);

/// The counts of both groups over all routes, for logs. Thread safe.
[[nodiscard]] std::string describeEvidence(Evidence const&);

}
