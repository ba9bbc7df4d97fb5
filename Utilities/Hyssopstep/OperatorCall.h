#pragma once

#include <Hyssopstep/OperatorConnection.h>
#include <Hyssopstep/OperatorFlags.h>
#include <LibConfiguration/DesiredState.h>
#include <boost/json/value.hpp>

namespace Hyssopstep {

/// The JSON response of a node, whatever its status.
struct OperatorResponse {
    unsigned status { 0 };
    boost::json::value body;
};

/// Calls the operator port with the shared flags. Prints why and returns nothing if no node answered with JSON.
[[nodiscard]] std::optional<OperatorResponse> callOperator(OperatorSettings const&, std::string method, std::string target, std::string body, RetryPolicy);

/// Prints the problem details of a refused call on standard error and returns Failure.
[[nodiscard]] int reportProblem(OperatorResponse const&);

/// Prints JSON on one line, or its rendering for people.
void printValue(OperatorSettings const&, boost::json::value const&);

/// Prints an audit entry with its changes for people. Entries that cannot be decoded are printed as they are.
void printAuditEntry(boost::json::value const&);

}
