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
    /// The team's part of the admitted work of all teams, from 0 to 1.
    double workShare { 0 };
    /// The part that it is due by the shares of the teams with recent work, from 0 to 1.
    double fairShare { 1 };

    bool operator==(TeamShare const&) const = default;
};

/// The shares are those of the desired state, by team.
[[nodiscard]] TeamShare teamShare(WorkByTeam const&, std::map<std::string, double, std::less<>> const& shares, std::string_view team, Core::MonotonicTime now);

/// Decides whether a request is refused because its service is overloaded. Refusals start when new work would wait longer than
/// the tolerated time, with the teams that are furthest above their share; a team below its share is refused last. The relative
/// work is that of the request compared with the usual one: a small request goes ahead of the queue and frees little when it is
/// refused, so it is refused last. Returns the time after which the queue is short enough for the team, or nothing if the request is admitted. Thread safe.
[[nodiscard]] std::optional<std::chrono::milliseconds> decideShedding(TeamShare const&, double relativeWork, double queueSeconds, double toleratedSeconds);

}
