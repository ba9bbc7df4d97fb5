#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Integration {

/// Rows of the matrix.
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

/// Columns of the matrix.
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
    /// Full names of the tests, as "Suite.Test", if the cell is tested.
    std::vector<std::string> tests;
    /// Why it is not proved or cannot occur.
    std::string reason;
};

[[nodiscard]] std::vector<Fault> const& allFaults();
[[nodiscard]] std::vector<Step> const& allSteps();
[[nodiscard]] MatrixCell matrixCell(Fault, Step);

/// The faults and steps of a model request that RequestFaultTest combines.
[[nodiscard]] std::vector<Fault> const& requestFaults();
[[nodiscard]] std::vector<Step> const& requestSteps();

/// The name of the instance of RequestFaultTest for a cell.
[[nodiscard]] std::string requestTestName(Fault, Step);

/// The text of docs/fault-matrix.md.
[[nodiscard]] std::string renderMatrix();

}
