#include <LibCore/Metrics.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <numeric>

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

double Summary::quantile(double probability) const
{
    if (count() == 0)
        return 0;
    auto const estimates = accumulators::extended_p_square(m_accumulators->set);
    for (std::size_t index = 0; index < summaryQuantiles.size(); ++index) {
        if (summaryQuantiles[index] == probability)
            return estimates[index];
    }
    return 0;
}

template <typename T>
static T& findOrCreate(std::map<std::pair<std::string, MetricLabels>, std::unique_ptr<T>>& metrics, std::string_view name, MetricLabels labels)
{
    auto& metric = metrics[{ std::string(name), std::move(labels) }];
    if (!metric)
        metric = std::make_unique<T>();
    return *metric;
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

Histogram& Metrics::histogram(std::string_view name, MetricLabels labels)
{
    return findOrCreate(m_histograms, name, std::move(labels));
}

void Histogram::observe(double seconds)
{
    auto const bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    if (static_cast<std::size_t>(bucket) < bounds.size())
        ++m_buckets[static_cast<std::size_t>(bucket)];
    ++m_count;
    m_sum += seconds;
}

std::uint64_t Histogram::cumulativeCount(std::size_t bucket) const
{
    return std::accumulate(m_buckets.begin(), m_buckets.begin() + static_cast<std::ptrdiff_t>(bucket) + 1, std::uint64_t(0));
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
    for (auto const& [key, histogram] : m_histograms) {
        appendType(text, lastName, key.first, "histogram");
        for (std::size_t bucket = 0; bucket < Histogram::bounds.size(); ++bucket) {
            auto labels = key.second;
            char buffer[16];
            std::snprintf(buffer, sizeof(buffer), "%g", Histogram::bounds[bucket]);
            labels.emplace_back("le", buffer);
            appendSeries(text, key.first + "_bucket", labels, static_cast<double>(histogram->cumulativeCount(bucket)));
        }
        auto labels = key.second;
        labels.emplace_back("le", "+Inf");
        appendSeries(text, key.first + "_bucket", labels, static_cast<double>(histogram->count()));
        appendSeries(text, key.first + "_sum", key.second, histogram->sum());
        appendSeries(text, key.first + "_count", key.second, static_cast<double>(histogram->count()));
    }
    return text;
}

}
