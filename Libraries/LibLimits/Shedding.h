#pragma once

#include <LibCore/Runtime.h>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Limits {

/// The recent admitted work of each team at one service, in engine seconds, as decaying sums. Not thread safe.
struct WorkByTeam {
    struct Row {
        double seconds { 0 };
        Core::MonotonicTime updatedAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;

    bool operator==(WorkByTeam const&) const = default;
};

void recordAdmittedWork(WorkByTeam&, std::string_view team, double seconds, Core::MonotonicTime now);

/// How a team's recent work compares with its share of the capacity.
struct TeamShare {
    /// The team's fraction of the admitted work of all teams, from 0 to 1.
    double workShare { 0 };
    /// The fraction that the team is entitled to among the teams with recent work, from 0 to 1.
    double fairShare { 1 };

    bool operator==(TeamShare const&) const = default;
};

/// The shares are the ones of the desired state, by team.
[[nodiscard]] TeamShare teamShare(WorkByTeam const&, std::map<std::string, double, std::less<>> const& shares, std::string_view team, Core::MonotonicTime now);

/// Decides whether a request is refused because its service is overloaded. Refusals start when new work would wait longer than
/// the tolerated time, with the teams that are furthest above their fair share; a team below its fair share is refused last. The
/// relative work is the request's work divided by the mean: a small request runs ahead of the queue and refusing it frees little
/// capacity, so it is refused last. Returns the time after which the queue is short enough for the team, or nothing if the request
/// is admitted. Thread safe.
[[nodiscard]] std::optional<std::chrono::milliseconds> decideShedding(TeamShare const&, double relativeWork, double queueSeconds, double toleratedSeconds);

}
