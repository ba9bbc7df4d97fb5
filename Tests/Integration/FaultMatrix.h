#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Integration {

/// The rows of the matrix.
enum class Fault {
    EntryHostReclaimed,
    EntryHostKilled,
    ProcessFrozen,
    DataCentresCut,
    PlatformCut,
    PlatformDown,
    PlatformSlow,
    WriteAnswerLost,
    LeaseLapsed,
    TwoOperators,
    StartRefused,
    CrashingRequest,
    BackEndReclaimed,
    BackEndKilled,
    BackEndFrozen,
    InvalidAnswer,
    Straggler,
    HostListLate,
};

/// The columns of the matrix.
enum class Step {
    Received,
    Accepted,
    Running,
    Streaming,
    Finishing,
    BeforeIntent,
    IntentToCall,
    CallSent,
    AnswerOnItsWay,
    AnswerRecorded,
    ConfigurationApplied,
    ConfigurationSpread,
    ConfigurationInForce,
    NodeStart,
    NodeDrain,
};

enum class Coverage {
    Tested,
    NotProved,
    CannotOccur,
};

struct MatrixCell {
    Coverage coverage { Coverage::NotProved };
    /// Full names of the tests, as "Suite.Test", if the coverage is Tested.
    std::vector<std::string> tests;
    /// Why the cell is not proved or cannot occur; empty if the coverage is Tested.
    std::string reason;
};

[[nodiscard]] std::vector<Fault> const& allFaults();
[[nodiscard]] std::vector<Step> const& allSteps();
[[nodiscard]] MatrixCell matrixCell(Fault, Step);

/// The faults and steps of a model request that RequestFaultTest combines.
[[nodiscard]] std::vector<Fault> const& requestFaults();
[[nodiscard]] std::vector<Step> const& requestSteps();

/// Returns the name of the instance of RequestFaultTest for a cell.
[[nodiscard]] std::string requestTestName(Fault, Step);

/// Returns the text of docs/fault-matrix.md.
[[nodiscard]] std::string renderMatrix();

}
