#include <LibCore/Metrics.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>

namespace Core {

namespace accumulators = boost::accumulators;

static constexpr std::array summaryQuantiles { 0.5, 0.95, 0.99 };

struct Summary::Accumulators {
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square>> set {
        accumulators::tag::extended_p_square::probabilities = summaryQuantiles
    };
};

Summary::Summary()
    : m_accumulators(std::make_unique<Accumulators>())
{
}

Summary::~Summary() = default;

void Summary::observe(double value)
{
    m_accumulators->set(value);
}

std::uint64_t Summary::count() const
{
    return accumulators::count(m_accumulators->set);
}

double Summary::sum() const
{
    return accumulators::sum(m_accumulators->set);
}

double Summary::quantile(double wanted) const
{
    if (count() == 0)
        return 0;
    auto const estimates = accumulators::extended_p_square(m_accumulators->set);
    for (std::size_t index = 0; index < summaryQuantiles.size(); ++index) {
        if (summaryQuantiles[index] == wanted)
            return estimates[index];
    }
    return 0;
}

template <typename T>
static T& findOrCreate(std::map<std::pair<std::string, MetricLabels>, std::unique_ptr<T>>& metrics, std::string_view name, MetricLabels labels)
{
    auto& slot = metrics[{ std::string(name), std::move(labels) }];
    if (!slot)
        slot = std::make_unique<T>();
    return *slot;
}

Counter& Metrics::counter(std::string_view name, MetricLabels labels)
{
    return findOrCreate(m_counters, name, std::move(labels));
}

Gauge& Metrics::gauge(std::string_view name, MetricLabels labels)
{
    return findOrCreate(m_gauges, name, std::move(labels));
}

Summary& Metrics::summary(std::string_view name, MetricLabels labels)
{
    return findOrCreate(m_summaries, name, std::move(labels));
}

static void appendEscaped(std::string& text, std::string const& value)
{
    for (char const c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
}

static void appendSeries(std::string& text, std::string const& name, MetricLabels const& labels, double value)
{
    text += name;
    if (!labels.empty()) {
        char separator = '{';
        for (auto const& [key, labelValue] : labels) {
            text += separator;
            text += key;
            text += "=\"";
            appendEscaped(text, labelValue);
            text += '"';
            separator = ',';
        }
        text += '}';
    }
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), " %.10g\n", value);
    text += buffer;
}

static void appendType(std::string& text, std::string& lastName, std::string const& name, char const* type)
{
    if (lastName == name)
        return;
    lastName = name;
    text += "# TYPE ";
    text += name;
    text += ' ';
    text += type;
    text += '\n';
}

std::string Metrics::renderText() const
{
    std::string text;
    std::string lastName;
    for (auto const& [key, counter] : m_counters) {
        appendType(text, lastName, key.first, "counter");
        appendSeries(text, key.first, key.second, static_cast<double>(counter->value()));
    }
    for (auto const& [key, gauge] : m_gauges) {
        appendType(text, lastName, key.first, "gauge");
        appendSeries(text, key.first, key.second, gauge->value());
    }
    for (auto const& [key, summary] : m_summaries) {
        appendType(text, lastName, key.first, "summary");
        for (double const quantile : summaryQuantiles) {
            auto labels = key.second;
            char buffer[16];
            std::snprintf(buffer, sizeof(buffer), "%g", quantile);
            labels.emplace_back("quantile", buffer);
            appendSeries(text, key.first, labels, summary->quantile(quantile));
        }
        appendSeries(text, key.first + "_sum", key.second, summary->sum());
        appendSeries(text, key.first + "_count", key.second, static_cast<double>(summary->count()));
    }
    return text;
}

}
