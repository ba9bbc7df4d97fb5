#include <LibForward/UsageRecord.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Forward {

namespace json = boost::json;

std::string encodeUsageRecord(UsageRecord const& record)
{
    json::object windows;
    for (auto const& [window, counts] : record.counts) {
        json::object teams;
        for (auto const& [team, count] : counts)
            teams[team] = count;
        windows[std::to_string(window)] = std::move(teams);
    }
    return json::serialize(json::object { { "era", record.era }, { "windows", std::move(windows) } });
}

static std::optional<std::uint64_t> unsignedFrom(json::value const& value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return std::nullopt;
}

std::optional<UsageRecord> decodeUsageRecord(std::string const& text)
{
    json::error_code errorCode;
    auto const value = json::parse(text, errorCode);
    auto const* object = errorCode ? nullptr : value.if_object();
    auto const* windows = object ? object->if_contains("windows") : nullptr;
    if (!windows || !windows->is_object())
        return std::nullopt;
    UsageRecord record;
    // Earlier versions do not write it.
    if (auto const* era = object->if_contains("era"))
        record.era = unsignedFrom(*era).value_or(0);
    for (auto const& [key, countsByTeam] : windows->get_object()) {
        std::int64_t window = 0;
        auto const parsed = std::from_chars(key.data(), key.data() + key.size(), window);
        if (parsed.ec != std::errc() || parsed.ptr != key.data() + key.size() || window < 0 || !countsByTeam.is_object())
            return std::nullopt;
        auto& teams = record.counts[window];
        for (auto const& [team, count] : countsByTeam.get_object()) {
            auto const number = unsignedFrom(count);
            if (!number)
                return std::nullopt;
            teams[std::string(std::string_view(team))] = *number;
        }
    }
    return record;
}

void loadUsageRecord(UsageLedger& ledger, std::optional<UsageRecord> const& stored, std::uint64_t storeEra, std::int64_t newestWindow)
{
    bool const isCurrent = (stored ? stored->era : 0) == storeEra;
    if (!isCurrent) {
        loadDamagedUsageRecord(ledger, newestWindow);
        return;
    }
    // The clock of the holder that wrote it may have been ahead of this one's. A window far ahead would settle all before it.
    static constexpr std::int64_t maximumWindowsAhead = 1000;
    ledger.decided = stored ? stored->counts : CountsByWindow {};
    std::erase_if(ledger.decided, [&](auto const& item) { return item.first > newestWindow + maximumWindowsAhead; });
    ledger.isLoaded = true;
}

void loadDamagedUsageRecord(UsageLedger& ledger, std::int64_t newestWindow)
{
    if (!ledger.isLoaded)
        ledger.settledUntil = newestWindow;
    ledger.isLoaded = true;
}

UsageDecision decideUsageReport(UsageLedger const& ledger, TeamCounts const& current, std::int64_t window)
{
    if (window <= ledger.settledUntil)
        return UsageDecision::Settled;
    if (ledger.decided.contains(window))
        return UsageDecision::Report;
    bool const isPast = !ledger.decided.empty() && ledger.decided.rbegin()->first > window;
    return current.empty() || isPast ? UsageDecision::Settled : UsageDecision::StoreFirst;
}

CountsByWindow withWindow(UsageLedger const& ledger, std::int64_t window, TeamCounts const& counts)
{
    static constexpr std::size_t retainedWindows = 4;
    auto windows = ledger.decided;
    windows[window] = counts;
    while (windows.size() > retainedWindows)
        windows.erase(windows.begin());
    return windows;
}

}
