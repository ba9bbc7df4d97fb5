#pragma once

#include <Hyssopstep/OperatorConnection.h>
#include <Hyssopstep/OperatorFlags.h>
#include <LibConfiguration/DesiredState.h>
#include <boost/json/value.hpp>

namespace Hyssopstep {

/// The JSON response of a node, with any status.
struct OperatorResponse {
    unsigned status { 0 };
    boost::json::value body;
};

/// Calls an operator port as the shared flags say. Prints the error and returns nothing if no node responds with a JSON object.
[[nodiscard]] std::optional<OperatorResponse> callOperator(OperatorSettings const&, std::string method, std::string target, std::string body, RetryPolicy);

/// Prints the problem details of an error response on standard error and returns Failure.
[[nodiscard]] int reportProblem(OperatorResponse const&);

/// Prints a value as one line of JSON or as human-readable text, as --output says.
void printValue(OperatorSettings const&, boost::json::value const&);

/// Prints an audit entry with its changes as human-readable text. Entries that cannot be decoded are printed field by field.
void printAuditEntry(boost::json::value const&);

}
