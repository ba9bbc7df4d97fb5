#pragma once

#include <LibCore/Runtime.h>
#include <LibLimits/Shedding.h>
#include <map>
#include <string>
#include <string_view>

namespace Admission {

/// The recent and the usual demand of each team, and its recent work at this node. Not thread safe.
struct FairShareTable {
    struct Row {
        /// In units a second over all nodes that report, admitted or not.
        double demand { 0 };
        double usualDemand { 0 };
        /// The mean cost of a request in the same unit.
        double unitsPerRequest { 1 };
        Core::MonotonicTime firstAt;
        Core::MonotonicTime updatedAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;
    /// The work of the requests that arrived at this node.
    Limits::WorkByTeam work;

    bool operator==(FairShareTable const&) const = default;
};

/// How a team's recent demand compares with its usual one and with the others.
struct TeamStanding {
    /// From 0 for the usual demand to 1 for several times that.
    double aboveUsual { 0 };
    /// The part of the recent demand, from 0 to 1, that teams far above their usual demand make.
    double demandAboveUsual { 0 };

    bool operator==(TeamStanding const&) const = default;
};

/// Records a request of a team, admitted or not, with its cost in the unit of the team's demand, and its work.
void recordRequest(FairShareTable&, std::string_view team, double units, double work, Core::MonotonicTime now);

/// Records the present demand of a team over all nodes, in units a second, to be called at each tick. Demand is a decaying mean with a half-life of
/// two seconds; see Forward::quotaDemand().
void updateDemand(FairShareTable&, std::string_view team, double demand, Core::MonotonicTime now);

/// Compares a team with its usual demand and with the other teams. Addresses one team that sends six to ten times its usual requests while the
/// others send what they always do. A few requests more than usual are not counted, since a node without reports sees few requests
/// of each team. Without a team, all is usual. Thread safe.
[[nodiscard]] TeamStanding standingOf(FairShareTable const&, std::string_view team, Core::MonotonicTime now);

}
