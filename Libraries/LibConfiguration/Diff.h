#pragma once

#include <LibConfiguration/DesiredState.h>

namespace Configuration {

/// One line for each difference, for example "teams/classroom: limits.requestsPerSecond: 10 -> 20", "teams/curators: added" or
/// "services/advisor: versions[v2]: removed", in the order services, teams, places and by name. Empty if the states are equal
/// except for the order of lists that are kept sorted. Thread safe.
[[nodiscard]] std::vector<std::string> diff(DesiredState const& before, DesiredState const& after);

}
