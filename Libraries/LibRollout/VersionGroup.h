#pragma once

#include <LibRollout/RolloutTable.h>
#include <LibRouting/Placement.h>
#include <LibRouting/ServerTable.h>

namespace Rollout {

/// The servers at which one attempt of a request may be placed.
struct GroupChoice {
    Group group { Group::Incumbent };
    Routing::ServerFilter filter;

    bool operator==(GroupChoice const&) const = default;
};

/// Records the revision at which each version was first seen. Called when the servers or the orders may have changed.
void observeVersions(RolloutTable&, Routing::ServerTable const&);

/// Chooses the version group for one attempt of a request, given a uniform random value in [0, 1). While an order runs, the candidate gets 0.8 of
/// the share, so that the sum over all nodes keeps the share without messages, also if a part of the requests is repeated. Its requests are
/// concentrated on so few of its servers that each has the load of an incumbent server. A version that may be named by an order that is not
/// read yet gets no more, and none until this node has learnt of the orders at all. A version that was found bad gets none; another one gets all
/// requests if no incumbent server is left. A share of 0 turns rollouts off. Thread safe.
[[nodiscard]] GroupChoice chooseVersionGroup(RolloutTable const&, Routing::ServerTable const&, std::string const& service, double share, double randomValue, Core::MonotonicTime now);

}
