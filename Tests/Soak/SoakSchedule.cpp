#include <Soak/SoakSchedule.h>

#include <LibCore/Random.h>
#include <algorithm>
#include <array>

namespace Soak {

using namespace std::chrono_literals;

struct FaultTraits {
    FaultKind kind;
    std::string_view name;
    bool isPlanned;
    bool targetsNode;
};

static constexpr std::array<FaultTraits, 20> faultTraits { {
    { FaultKind::StopNode, "stop_node", true, true },
    { FaultKind::ReloadNode, "reload_node", true, true },
    { FaultKind::ChangeConfiguration, "change_configuration", true, true },
    { FaultKind::RemoveServer, "remove_server", true, false },
    { FaultKind::KillNode, "kill_node", false, true },
    { FaultKind::PauseNode, "pause_node", false, true },
    { FaultKind::CutStore, "cut_store", false, true },
    { FaultKind::SilenceStore, "silence_store", false, true },
    { FaultKind::DelayStore, "delay_store", false, true },
    { FaultKind::LoseStoreAnswers, "lose_store_answers", false, true },
    { FaultKind::RefuseStoreCalls, "refuse_store_calls", false, true },
    { FaultKind::DropStoreHistory, "drop_store_history", false, true },
    { FaultKind::CutServer, "cut_server", false, false },
    { FaultKind::SilenceServer, "silence_server", false, false },
    { FaultKind::SilenceRequests, "silence_requests", false, false },
    { FaultKind::DelayServer, "delay_server", false, false },
    { FaultKind::TruncateAnswers, "truncate_answers", false, false },
    // Last, since they are not drawn with the others.
    { FaultKind::RestoreStore, "restore_store", false, false },
    { FaultKind::RefuseRequests, "refuse_requests", false, false },
    { FaultKind::RejectRequests, "reject_requests", false, false },
} };
static constexpr std::size_t drawnFaultKinds = faultTraits.size() - 3;

static FaultTraits const& traitsOf(FaultKind kind)
{
    return *std::find_if(faultTraits.begin(), faultTraits.end(), [&](auto const& traits) { return traits.kind == kind; });
}

bool isPlanned(FaultKind kind)
{
    return traitsOf(kind).isPlanned;
}

std::string_view nameOf(FaultKind kind)
{
    return traitsOf(kind).name;
}

std::vector<Fault> createSchedule(SoakOptions const& options)
{
    static constexpr std::uint64_t plannedOnlySeedInterval = 3;
    static constexpr double faultsPerSecond = 1.5;
    static constexpr std::uint64_t minimumMilliseconds = 200;
    static constexpr std::uint64_t durationSpreadMilliseconds = 2000;
    Core::Random random(options.seed);
    bool const hasPlannedWorkOnly = options.seed % plannedOnlySeedInterval == 0;
    auto const length = std::chrono::milliseconds(options.length);
    std::vector<Fault> faults;
    auto const count = static_cast<std::size_t>(faultsPerSecond * static_cast<double>(options.length.count()));
    while (faults.size() < count) {
        auto const& traits = faultTraits.at(random.below(drawnFaultKinds));
        if (hasPlannedWorkOnly && !traits.isPlanned)
            continue;
        Fault fault;
        fault.kind = traits.kind;
        fault.target = random.below(traits.targetsNode ? options.nodes : options.servers);
        fault.startsAt = std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(length.count())));
        fault.duration = std::chrono::milliseconds(minimumMilliseconds + random.below(durationSpreadMilliseconds));
        faults.push_back(fault);
    }
    static constexpr std::uint64_t longestAbsenceMilliseconds = 2000;
    static constexpr std::uint64_t oldestCopyMilliseconds = 9000;
    Core::Random restorationRandom(~options.seed);
    for (std::size_t i = 0; i < options.restorations; ++i) {
        Fault fault { .kind = FaultKind::RestoreStore };
        fault.startsAt = std::chrono::milliseconds(restorationRandom.below(static_cast<std::uint64_t>(length.count())));
        fault.duration = std::chrono::milliseconds(minimumMilliseconds + restorationRandom.below(longestAbsenceMilliseconds - minimumMilliseconds));
        fault.copyAge = std::chrono::milliseconds(restorationRandom.below(oldestCopyMilliseconds));
        faults.push_back(fault);
    }
    // Any number, so that the refusals differ from the restorations.
    static constexpr std::uint64_t refusalSalt = 0x5eed;
    Core::Random refusalRandom(options.seed ^ refusalSalt);
    for (std::size_t i = 0; i < options.refusals; ++i) {
        Fault fault { .kind = i % 2 == 0 ? FaultKind::RefuseRequests : FaultKind::RejectRequests };
        fault.target = refusalRandom.below(options.servers);
        fault.startsAt = std::chrono::milliseconds(refusalRandom.below(static_cast<std::uint64_t>(length.count())));
        fault.duration = std::chrono::milliseconds(minimumMilliseconds + refusalRandom.below(durationSpreadMilliseconds));
        faults.push_back(fault);
    }
    std::sort(faults.begin(), faults.end(), [](Fault const& left, Fault const& right) { return left.startsAt < right.startsAt; });
    return faults;
}

bool hasNoUnplannedFault(std::vector<Fault> const& faults, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    // The platform counts a node as affected by a fault until this long after it.
    static constexpr auto recoveryTime = 3s;
    return std::none_of(faults.begin(), faults.end(), [&](Fault const& fault) {
        return !isPlanned(fault.kind) && fault.startsAt <= to && fault.startsAt + fault.duration + recoveryTime >= from;
    });
}

}
