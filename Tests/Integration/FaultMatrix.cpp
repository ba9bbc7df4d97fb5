#include <Integration/FaultMatrix.h>

#include <algorithm>
#include <map>

namespace Integration {

struct FaultText {
    Fault fault;
    std::string_view identifier;
    std::string_view title;
};

static std::vector<FaultText> const faultTexts {
    { Fault::EntryHostReclaimed, "EntryHostReclaimed", "entry host reclaimed" },
    { Fault::EntryHostKilled, "EntryHostKilled", "entry host killed" },
    { Fault::ProcessFrozen, "ProcessFrozen", "process frozen" },
    { Fault::DataCentresCut, "DataCentresCut", "data centre cut from data centre" },
    { Fault::PlatformCut, "PlatformCut", "data centre cut from the platform" },
    { Fault::PlatformDown, "PlatformDown", "platform down" },
    { Fault::PlatformSlow, "PlatformSlow", "platform slow" },
    { Fault::WriteAnswerLost, "WriteAnswerLost", "answer lost after the write" },
    { Fault::LeaseLapsed, "LeaseLapsed", "lease lapsed while paused" },
    { Fault::TwoOperators, "TwoOperators", "two operators" },
    { Fault::StartRefused, "StartRefused", "host start refused" },
    { Fault::CrashingRequest, "CrashingRequest", "crashing request" },
    { Fault::BackEndReclaimed, "BackEndReclaimed", "back end host reclaimed" },
    { Fault::BackEndKilled, "BackEndKilled", "back end host killed" },
    { Fault::BackEndFrozen, "BackEndFrozen", "back end frozen" },
    { Fault::InvalidAnswer, "InvalidAnswer", "back end's answer truncated, duplicated or crossed" },
    { Fault::Straggler, "Straggler", "straggler" },
    { Fault::HostListLate, "HostListLate", "host list late" },
};

struct StepText {
    Step step;
    std::string_view identifier;
    std::string_view group;
    std::string_view title;
};

static std::vector<StepText> const stepTexts {
    { Step::Received, "Received", "Model request", "received" },
    { Step::Accepted, "Accepted", "Model request", "accepted" },
    { Step::Running, "Running", "Model request", "running on the engine" },
    { Step::Streaming, "Streaming", "Model request", "streaming to the client" },
    { Step::Finishing, "Finishing", "Model request", "finishing" },
    { Step::BeforeIntent, "BeforeIntent", "Call that must not be repeated", "before the intent" },
    { Step::IntentToCall, "IntentToCall", "Call that must not be repeated", "between intent and call" },
    { Step::CallSent, "CallSent", "Call that must not be repeated", "call sent" },
    { Step::AnswerOnItsWay, "AnswerOnItsWay", "Call that must not be repeated", "answer on its way" },
    { Step::AnswerRecorded, "AnswerRecorded", "Call that must not be repeated", "answer recorded" },
    { Step::ConfigurationApplied, "ConfigurationApplied", "Configuration", "applied" },
    { Step::ConfigurationSpread, "ConfigurationSpread", "Configuration", "spread" },
    { Step::ConfigurationInForce, "ConfigurationInForce", "Configuration", "in force" },
    { Step::NodeStart, "NodeStart", "Node", "start" },
    { Step::NodeDrain, "NodeDrain", "Node", "drain" },
};

template <typename Texts, typename Key>
static auto const& findText(Texts const& texts, Key key)
{
    return *std::find_if(texts.begin(), texts.end(), [&](auto const& text) {
        if constexpr (requires { text.fault; })
            return text.fault == key;
        else
            return text.step == key;
    });
}

template <typename Key, typename Texts, typename Member>
static std::vector<Key> keysOf(Texts const& texts, Member member)
{
    std::vector<Key> keys;
    keys.reserve(texts.size());
    for (auto const& text : texts)
        keys.push_back(text.*member);
    return keys;
}

std::vector<Fault> const& allFaults()
{
    static auto const faults = keysOf<Fault>(faultTexts, &FaultText::fault);
    return faults;
}

std::vector<Step> const& allSteps()
{
    static auto const steps = keysOf<Step>(stepTexts, &StepText::step);
    return steps;
}

std::vector<Fault> const& requestFaults()
{
    static std::vector<Fault> const faults {
        Fault::EntryHostReclaimed, Fault::EntryHostKilled, Fault::ProcessFrozen, Fault::DataCentresCut, Fault::PlatformCut, Fault::PlatformDown,
        Fault::PlatformSlow, Fault::BackEndReclaimed, Fault::BackEndKilled, Fault::BackEndFrozen, Fault::Straggler, Fault::HostListLate
    };
    return faults;
}

std::vector<Step> const& requestSteps()
{
    static std::vector<Step> const steps { Step::Received, Step::Accepted, Step::Running, Step::Streaming, Step::Finishing };
    return steps;
}

std::string requestTestName(Fault fault, Step step)
{
    return std::string(findText(faultTexts, fault).identifier) + std::string(findText(stepTexts, step).identifier);
}

static MatrixCell tested(std::vector<std::string> tests)
{
    return { Coverage::Tested, std::move(tests), "" };
}

static MatrixCell notProved(std::string reason)
{
    return { Coverage::NotProved, {}, std::move(reason) };
}

static MatrixCell cannotOccur(std::string reason)
{
    return { Coverage::CannotOccur, {}, std::move(reason) };
}

static bool contains(auto const& values, auto const& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

static MatrixCell modelRequestCell(Fault fault, Step step)
{
    if (contains(requestFaults(), fault)) {
        auto cell = tested({ "Cells/RequestFaultTest.AnswerIsComplete/" + requestTestName(fault, step) });
        if (fault == Fault::BackEndReclaimed && step == Step::Streaming)
            cell.tests.emplace_back("EngineFaultTest.AttentionStateMovesWithTheRequest");
        return cell;
    }
    switch (fault) {
    case Fault::WriteAnswerLost:
        return cannotOccur("a model request writes nothing to the platform");
    case Fault::LeaseLapsed:
        return cannotOccur("no step of a request needs a lease");
    case Fault::TwoOperators:
        return cannotOccur("a request keeps the service it was accepted for");
    case Fault::StartRefused:
        return notProved("requests while the fleet cannot grow: no test with fleet control on");
    case Fault::CrashingRequest:
        if (step == Step::Finishing)
            return cannotOccur("the engine crashes before the first token");
        return tested({ "PoisonTest.CrashingRequestIsStopped" });
    case Fault::InvalidAnswer:
        if (step == Step::Received)
            return cannotOccur("no engine has the request yet");
        return tested({ "EngineFaultTest.TruncatedAnswersContinue", "EngineFaultTest.DuplicatedAndCrossedEvents" });
    default:
        return notProved("no test yet");
    }
}

// Returns the tests of AtMostOnceTest that inject a fault at a step, or whose fault lasts from before the call until after it.
static std::vector<std::string> serviceCallTests(Fault fault, Step step)
{
    static std::string const faults = "Faults/AtMostOnceFault.HoldsForRepeatedRefunds/";
    static std::string const stops = "Steps/AtMostOnceStep.HoldsWhenTheNodeStops/";
    static std::map<std::pair<Fault, Step>, std::vector<std::string>> const tests {
        { { Fault::EntryHostReclaimed, Step::BeforeIntent }, { "AtMostOnce.DrainingNodeDoesNotClaimNotRun" } },
        { { Fault::EntryHostReclaimed, Step::CallSent }, { "GracefulStopTest.StopUnderLoad" } },
        { { Fault::EntryHostKilled, Step::BeforeIntent }, { stops + "caller_killed_before_intent", stops + "writer_killed_before_intent" } },
        { { Fault::EntryHostKilled, Step::IntentToCall }, { stops + "caller_killed_between_intent_and_call", stops + "writer_killed_between_intent_and_call" } },
        { { Fault::EntryHostKilled, Step::CallSent }, { stops + "caller_killed_after_call_was_sent", stops + "writer_killed_after_call_was_sent", "AtMostOnce.ReplacedNodeIsNotTheWriter" } },
        { { Fault::EntryHostKilled, Step::AnswerOnItsWay }, { stops + "caller_killed_with_answer_on_its_way", stops + "writer_killed_with_answer_on_its_way" } },
        { { Fault::ProcessFrozen, Step::BeforeIntent }, { stops + "caller_frozen_before_intent", stops + "writer_frozen_before_intent" } },
        { { Fault::ProcessFrozen, Step::IntentToCall }, { stops + "caller_frozen_between_intent_and_call", stops + "writer_frozen_between_intent_and_call" } },
        { { Fault::ProcessFrozen, Step::CallSent }, { stops + "caller_frozen_after_call_was_sent", stops + "writer_frozen_after_call_was_sent" } },
        { { Fault::ProcessFrozen, Step::AnswerOnItsWay }, { stops + "caller_frozen_with_answer_on_its_way", stops + "writer_frozen_with_answer_on_its_way" } },
        { { Fault::PlatformCut, Step::BeforeIntent }, { faults + "data_centre_cut_from_platform" } },
        { { Fault::PlatformCut, Step::AnswerRecorded }, { faults + "data_centre_cut_from_platform" } },
        { { Fault::PlatformDown, Step::BeforeIntent }, { faults + "platform_down" } },
        { { Fault::PlatformDown, Step::AnswerRecorded }, { faults + "platform_down" } },
        { { Fault::PlatformSlow, Step::BeforeIntent }, { faults + "platform_slow", faults + "platform_slower_than_timeouts" } },
        { { Fault::PlatformSlow, Step::AnswerRecorded }, { faults + "platform_slow", faults + "platform_slower_than_timeouts" } },
        { { Fault::WriteAnswerLost, Step::BeforeIntent }, { faults + "platform_loses_write_answers", faults + "proxy_drops_platform_answers" } },
        { { Fault::BackEndKilled, Step::IntentToCall }, { "AtMostOnce.RefusedConnectionsRunNothing" } },
        { { Fault::BackEndFrozen, Step::CallSent }, { faults + "service_slower_than_deadline" } },
        { { Fault::InvalidAnswer, Step::CallSent }, { faults + "service_drops_answers", faults + "service_answers_with_other_attempt" } },
        { { Fault::InvalidAnswer, Step::AnswerOnItsWay }, { faults + "service_truncates_answers", faults + "service_answers_twice" } },
        { { Fault::Straggler, Step::CallSent }, { faults + "service_slow" } },
    };
    auto const found = tests.find({ fault, step });
    return found == tests.end() ? std::vector<std::string> {} : found->second;
}

static MatrixCell serviceCallCell(Fault fault, Step step)
{
    if (auto tests = serviceCallTests(fault, step); !tests.empty())
        return tested(std::move(tests));
    bool const isAtBackEnd = step == Step::CallSent || step == Step::AnswerOnItsWay;
    switch (fault) {
    case Fault::InvalidAnswer:
        return cannotOccur("no answer of a back end is awaited");
    case Fault::Straggler:
    case Fault::BackEndFrozen:
        return isAtBackEnd ? notProved("no test aims at this step") : cannotOccur("no back end is involved");
    case Fault::LeaseLapsed:
        return cannotOccur("intents are written under the version read, without a lease");
    case Fault::TwoOperators:
        return cannotOccur("the operation is looked up once, before the intent");
    case Fault::StartRefused:
        return notProved("calls while the fleet cannot grow: no test with fleet control on");
    case Fault::CrashingRequest:
        return cannotOccur("a call is never sent twice, so it cannot crash a second back end");
    default:
        return notProved("no test aims at this step");
    }
}

static std::vector<std::string> configurationTests(Fault fault, Step step)
{
    static std::map<std::pair<Fault, Step>, std::vector<std::string>> const tests {
        { { Fault::TwoOperators, Step::ConfigurationApplied }, { "ConfigurationPromise.OneOfTwoOperatorsWins" } },
        { { Fault::WriteAnswerLost, Step::ConfigurationApplied }, { "ConfigurationPromise.LostAnswerOfThePlatformIsResolved", "ConfigurationPromise.LostAnswerToTheOperatorIsResolved" } },
        { { Fault::PlatformDown, Step::ConfigurationApplied }, { "ConfigurationPromise.ApplyInAnOutageChangesNothing" } },
        { { Fault::PlatformSlow, Step::ConfigurationSpread }, { "ConfigurationPromise.SlowPlatformKeepsTheBound" } },
        { { Fault::PlatformCut, Step::ConfigurationSpread }, { "ConfigurationPromise.CutDataCentreLearnsItFromAnother" } },
        { { Fault::DataCentresCut, Step::ConfigurationSpread }, { "IsolatedDataCentre.KeepsItsConfigurationAndCatchesUp" } },
        { { Fault::DataCentresCut, Step::ConfigurationInForce }, { "IsolatedDataCentre.KeepsItsConfigurationAndCatchesUp" } },
        { { Fault::PlatformCut, Step::ConfigurationInForce }, { "IsolatedDataCentre.KeepsItsConfigurationAndCatchesUp" } },
        { { Fault::ProcessFrozen, Step::ConfigurationSpread }, { "ConfigurationPromise.PausedNodesCatchUp" } },
        { { Fault::ProcessFrozen, Step::ConfigurationInForce }, { "ConfigurationPromise.PausedNodesCatchUp" } },
    };
    auto const found = tests.find({ fault, step });
    return found == tests.end() ? std::vector<std::string> {} : found->second;
}

static MatrixCell configurationCell(Fault fault, Step step)
{
    if (auto tests = configurationTests(fault, step); !tests.empty())
        return tested(std::move(tests));
    switch (fault) {
    case Fault::CrashingRequest:
    case Fault::BackEndReclaimed:
    case Fault::BackEndKilled:
    case Fault::BackEndFrozen:
    case Fault::InvalidAnswer:
    case Fault::Straggler:
    case Fault::HostListLate:
        return cannotOccur("a configuration change does not involve back ends");
    case Fault::LeaseLapsed:
        return cannotOccur("a configuration change needs no lease");
    case Fault::StartRefused:
        return cannotOccur("a configuration change starts no host");
    case Fault::WriteAnswerLost:
    case Fault::TwoOperators:
        if (step != Step::ConfigurationApplied)
            return cannotOccur("the only write is over");
        break;
    default:
        break;
    }
    return notProved("no test aims at this step");
}

static MatrixCell nodeStartCell(Fault fault)
{
    switch (fault) {
    case Fault::EntryHostReclaimed:
        return tested({ "GracefulStopTest.RollingRestartUnderLoad" });
    case Fault::PlatformDown:
        return tested({ "ConfigurationPromise.StartingNodeTakesItFromPeersInAnOutage" });
    case Fault::HostListLate:
        return tested({ "LeavingTest.NodeStartedAfterTheNotice" });
    case Fault::WriteAnswerLost:
        return cannotOccur("a start writes nothing to the platform");
    case Fault::LeaseLapsed:
    case Fault::TwoOperators:
    case Fault::CrashingRequest:
        return cannotOccur("a start involves none of it");
    default:
        return notProved("no test yet");
    }
}

static MatrixCell nodeDrainCell(Fault fault)
{
    switch (fault) {
    case Fault::EntryHostReclaimed:
        return tested({ "HandOverTest.DataCentreIsReclaimed", "GracefulStopTest.StopUnderLoad", "HandOverTest.SecondSignalHandsOver", "HandOverTest.DrainDeadlineHandsOver" });
    case Fault::EntryHostKilled:
        return tested({ "HandOverTest.NodeDiesDuringHandOver" });
    case Fault::BackEndReclaimed:
        return tested({ "HandOverTest.DataCentreIsReclaimed" });
    case Fault::WriteAnswerLost:
    case Fault::LeaseLapsed:
    case Fault::TwoOperators:
        return cannotOccur("a drain involves none of it");
    default:
        return notProved("no test yet");
    }
}

MatrixCell matrixCell(Fault fault, Step step)
{
    if (contains(requestSteps(), step))
        return modelRequestCell(fault, step);
    if (step == Step::NodeStart)
        return nodeStartCell(fault);
    if (step == Step::NodeDrain)
        return nodeDrainCell(fault);
    if (step == Step::ConfigurationApplied || step == Step::ConfigurationSpread || step == Step::ConfigurationInForce)
        return configurationCell(fault, step);
    return serviceCallCell(fault, step);
}

static std::string describe(MatrixCell const& cell)
{
    if (cell.coverage != Coverage::Tested)
        return (cell.coverage == Coverage::NotProved ? "**not proved**: " : "cannot occur: ") + cell.reason;
    std::string text;
    for (auto const& test : cell.tests)
        text += (text.empty() ? "`" : ", `") + test + "`";
    return text;
}

// Groups the faults of a step by reason.
static std::string renderNotProved()
{
    std::map<std::pair<std::string, std::string>, std::string> faultsByReason;
    std::size_t notProvedCells = 0;
    std::size_t testedCells = 0;
    for (auto const& step : stepTexts) {
        for (auto const& fault : faultTexts) {
            auto const cell = matrixCell(fault.fault, step.step);
            testedCells += cell.coverage == Coverage::Tested ? 1 : 0;
            if (cell.coverage != Coverage::NotProved)
                continue;
            ++notProvedCells;
            auto& faults = faultsByReason[{ std::string(step.group) + ", " + std::string(step.title), cell.reason }];
            faults += (faults.empty() ? "" : ", ") + std::string(fault.title);
        }
    }
    std::string text = "## Not proved\n\n" + std::to_string(notProvedCells) + " of " + std::to_string(faultTexts.size() * stepTexts.size()) + " cells are not proved, " + std::to_string(testedCells)
        + " are covered by tests, the rest cannot occur.\n\n| step | faults | reason |\n| --- | --- | --- |\n";
    for (auto const& [stepAndReason, faults] : faultsByReason)
        text += "| " + stepAndReason.first + " | " + faults + " | " + stepAndReason.second + " |\n";
    return text;
}

std::string renderMatrix()
{
    std::string text = "# Fault matrix\n\n"
                       "Every fault against every step of a request, of a call that must not be repeated, of a configuration change, and of a\n"
                       "node's start and drain. The table is `Tests/Integration/FaultMatrix.cpp`; `FaultMatrixTest` fails if this page differs from\n"
                       "it or names a test that does not exist, and rewrites the page with `HYSSOPSTEP_WRITE_FAULT_MATRIX=1`.\n\n";
    text += renderNotProved();
    std::string_view group;
    for (auto const& step : stepTexts) {
        if (step.group != group)
            text += "\n## " + std::string(group = step.group) + "\n";
        text += "\n### " + std::string(step.title) + "\n\n| fault | covered by |\n| --- | --- |\n";
        for (auto const& fault : faultTexts)
            text += "| " + std::string(fault.title) + " | " + describe(matrixCell(fault.fault, step.step)) + " |\n";
    }
    return text;
}

}
