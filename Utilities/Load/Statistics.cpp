#include <Load/Statistics.h>

#include <boost/json/array.hpp>
#include <cstdio>

namespace Load {

namespace json = boost::json;

std::uint64_t ClassStatistics::failed() const
{
    std::uint64_t sum = 0;
    for (auto const& [failure, count] : failures)
        sum += count;
    return sum;
}

void ClassStatistics::merge(ClassStatistics const& other)
{
    intended += other.intended;
    succeeded += other.succeeded;
    openAtEnd += other.openAtEnd;
    for (auto const& [failure, count] : other.failures)
        failures[failure] += count;
    late += other.late;
    redirected += other.redirected;
    resumed += other.resumed;
    sequenceErrors += other.sequenceErrors;
    tokens += other.tokens;
    promptTokens += other.promptTokens;
    sharedPrefixTokens += other.sharedPrefixTokens;
    total.merge(other.total);
    failedTotal.merge(other.failedTotal);
    firstToken.merge(other.firstToken);
    betweenTokens.merge(other.betweenTokens);
    sendDelay.merge(other.sendDelay);
    openAge.merge(other.openAge);
}

ClassStatistics RunStatistics::total() const
{
    ClassStatistics sum;
    for (auto const& entry : classes)
        sum.merge(entry);
    sum.name = "all";
    return sum;
}

static json::object toJson(LatencyHistogram const& histogram)
{
    return {
        { "count", histogram.count() },
        { "meanUs", histogram.mean() },
        { "minimumUs", histogram.minimum() },
        { "p50Us", histogram.quantile(0.5) },
        { "p90Us", histogram.quantile(0.9) },
        { "p95Us", histogram.quantile(0.95) },
        { "p99Us", histogram.quantile(0.99) },
        { "p999Us", histogram.quantile(0.999) },
        { "maximumUs", histogram.maximum() },
    };
}

static json::object toJson(ClassStatistics const& statistics, double durationSeconds)
{
    json::array failures;
    for (auto const& [failure, count] : statistics.failures)
        failures.push_back(json::object { { "source", failure.source }, { "kind", failure.kind }, { "runState", failure.runState }, { "count", count } });
    return {
        { "name", statistics.name },
        { "intended", statistics.intended },
        { "succeeded", statistics.succeeded },
        { "failed", statistics.failed() },
        { "openAtEnd", statistics.openAtEnd },
        { "failures", std::move(failures) },
        { "late", statistics.late },
        { "redirected", statistics.redirected },
        { "resumed", statistics.resumed },
        { "sequenceErrors", statistics.sequenceErrors },
        { "tokens", statistics.tokens },
        { "promptTokens", statistics.promptTokens },
        { "sharedPrefixTokens", statistics.sharedPrefixTokens },
        { "tokensPerSecond", durationSeconds > 0 ? static_cast<double>(statistics.tokens) / durationSeconds : 0 },
        { "total", toJson(statistics.total) },
        { "failedTotal", toJson(statistics.failedTotal) },
        { "firstToken", toJson(statistics.firstToken) },
        { "betweenTokens", toJson(statistics.betweenTokens) },
        { "sendDelay", toJson(statistics.sendDelay) },
        { "openAge", toJson(statistics.openAge) },
    };
}

json::object toJson(RunStatistics const& run)
{
    json::array targets;
    for (auto const& target : run.targets)
        targets.emplace_back(target);
    json::array classes;
    for (auto const& entry : run.classes)
        classes.push_back(toJson(entry, run.durationSeconds));
    return { { "mix", run.mix }, { "seed", run.seed }, { "durationSeconds", run.durationSeconds }, { "targets", std::move(targets) }, { "classes", std::move(classes) }, { "all", toJson(run.total(), run.durationSeconds) } };
}

static std::string formatLatencies(LatencyHistogram const& histogram)
{
    static constexpr double microsecondsPerMillisecond = 1000;
    if (histogram.count() == 0)
        return "-";
    std::string text;
    for (auto const quantile : { 0.5, 0.95, 0.99 }) {
        char buffer[32];
        std::snprintf(buffer, sizeof(buffer), "%s%.1f", text.empty() ? "" : "/", static_cast<double>(histogram.quantile(quantile)) / microsecondsPerMillisecond);
        text += buffer;
    }
    return text;
}

static std::string formatRow(ClassStatistics const& statistics)
{
    char buffer[512];
    auto const number = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::snprintf(buffer, sizeof(buffer), "%-20s %9llu %9llu %7llu %6llu %6llu %10llu  %-24s %-22s %-26s\n", statistics.name.c_str(), number(statistics.intended), number(statistics.succeeded), number(statistics.failed()), number(statistics.openAtEnd), number(statistics.late), number(statistics.tokens), formatLatencies(statistics.firstToken).c_str(), formatLatencies(statistics.betweenTokens).c_str(), formatLatencies(statistics.total).c_str());
    return buffer;
}

std::string toTable(RunStatistics const& run)
{
    char buffer[512];
    std::snprintf(buffer, sizeof(buffer), "mix %s, seed %llu, %.1f s; times in ms as p50/p95/p99\n%-20s %9s %9s %7s %6s %6s %10s  %-24s %-22s %-26s\n", run.mix.c_str(), static_cast<unsigned long long>(run.seed), run.durationSeconds, "class", "intended", "succeeded", "failed", "open", "late", "tokens", "first token", "between tokens", "total");
    std::string table = buffer;
    auto const all = run.total();
    for (auto const& entry : run.classes)
        table += formatRow(entry);
    table += formatRow(all);
    for (auto const& entry : run.classes) {
        for (auto const& [failure, count] : entry.failures)
            table += "failed: " + entry.name + " " + failure.source + " " + failure.kind + " " + failure.runState + " " + std::to_string(count) + "\n";
    }
    table += "redirected " + std::to_string(all.redirected) + ", resumed " + std::to_string(all.resumed) + ", out of sequence " + std::to_string(all.sequenceErrors) + ", send delay " + formatLatencies(all.sendDelay) + "\n";
    return table;
}

}
