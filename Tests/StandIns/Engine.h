#pragma once

#include <LibCore/Runtime.h>
#include <LibHTTP/Server.h>
#include <StandIns/BackendProcess.h>
#include <StandIns/EngineSimulator.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace StandIns {

enum class FencingCheck {
    Off,
    On,
};

enum class CrashScope {
    /// The engine drops its connections and restarts with a new incarnation.
    Engine,
    /// The process exits immediately.
    Process,
};

struct EngineSettings {
    SimulatorSettings simulator;
    std::chrono::milliseconds loadLag { 500 };
    std::chrono::milliseconds weightsLoad { 0 };
    std::chrono::milliseconds restartDelay { 1'000 };
    FencingCheck fencingCheck { FencingCheck::Off };
    CrashScope crashScope { CrashScope::Engine };
    /// A prompt that contains this token crashes the engine; empty disables this.
    std::string crashToken;
};

/// The switches of `PUT /stand-in/faults`; docs/stand-ins.md describes them.
struct EngineFaults {
    double stragglerFactor { 1 };
    Core::MonotonicTime stragglerUntil { Core::MonotonicTime::max() };
    Core::MonotonicTime stalledUntil { Core::MonotonicTime::min() };
    std::string crashToken;
    std::optional<std::chrono::milliseconds> restartDelay;
    std::optional<std::size_t> truncateAfter;
    bool crossAttempts { false };
    bool duplicateEvents { false };
    /// The number of attempts that truncateAfter, crossAttempts and duplicateEvents still apply to.
    std::int64_t remainingAttempts { 0 };
};

/// A model engine that implements the engine protocol of docs/protocols.md on top of EngineSimulator. Its record survives its
/// crashes. Not thread safe.
class Engine final : public Backend {
public:
    Engine(Core::Runtime&, EngineSettings const&);

    std::optional<Core::Endpoint> listen(Core::Endpoint const&, Core::Error&) override;
    void leave() override { m_leaving = true; }
    Core::Awaitable<void> shutDown(Core::MonotonicTime deadline) override;

private:
    struct LoadReport {
        Core::MonotonicTime sampledAt;
        boost::json::object body;
    };

    /// The faults that apply to one attempt.
    struct AttemptFaults {
        std::optional<std::size_t> truncateAfter;
        std::string reportedAttemptId;
        bool duplicateEvents { false };
    };

    Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);
    Core::Awaitable<void> handleCompletion(boost::json::object const& body, HTTP::ResponseWriter&);
    Core::Awaitable<void> streamOutput(SequencePointer, AttemptFaults, HTTP::ResponseWriter&);
    Core::Awaitable<void> handleControlCall(std::string_view path, boost::json::object const& body, HTTP::ResponseWriter&);
    Core::Awaitable<void> handleCommand(boost::json::object const& body, HTTP::ResponseWriter&);

    SequencePointer makeSequence(boost::json::object const& body);
    AttemptFaults takeFaults(Sequence const&);
    void setFaults(boost::json::object const&);
    std::size_t importedTokens(std::string const& stateHandle, Sequence const&) const;

    void wakeUp();
    void runStep();
    bool crashOnCrashToken();
    void crash();
    void restart();
    void sampleLoad();

    boost::json::object currentLoad() const;
    boost::json::object cacheEvents(std::uint64_t after) const;
    boost::json::object record() const;

    Core::Runtime& m_runtime;
    EngineSettings m_settings;
    EngineSimulator m_simulator;
    EngineFaults m_faults;
    std::unique_ptr<HTTP::Server> m_server;
    Core::Endpoint m_endpoint;
    std::int64_t m_incarnation;
    bool m_leaving { false };
    bool m_down { false };
    Core::Timer m_stepTimer;
    bool m_stepping { false };
    Core::Timer m_restartTimer;
    Core::Timer m_loadTimer;
    std::deque<LoadReport> m_loadReports;
    std::uint64_t m_tokensAtLastSample { 0 };
    /// Imported states by handle, in the form of encodeState().
    std::map<std::string, std::string> m_importedStates;
    std::uint64_t m_nextStateHandle { 1 };

    std::map<std::string, std::vector<SequencePointer>> m_attemptsByRequest;
    boost::json::array m_commands;
    std::int64_t m_highestFencingToken { 0 };
    std::uint64_t m_staleCommands { 0 };
    std::set<std::string> m_adapters;
    std::string m_version;
    std::string m_role;
    std::uint64_t m_refused { 0 };
    std::uint64_t m_crashes { 0 };
};

}
