#include "metrics.h"

#include "buildinfo.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <cstdint>
#include <sstream>

namespace Yuccagrade
{
namespace
{
namespace acc = boost::accumulators;
constexpr std::array quantiles{0.5, 0.9, 0.99};
constexpr std::array bucketBounds{1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000};
// The P-square markers need a few samples before their estimates mean anything.
constexpr std::size_t minSamples = 8;

using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string fullName(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + '{' + labels + '}';
}

// Inserts a label into `name` or `name{labels}`.
std::string labelledName(const std::string &key, const char *labelName, double value)
{
    std::ostringstream label;
    label << labelName << "=\"" << value << '"';
    const auto brace = key.find('{');
    return brace == std::string::npos ? key + '{' + label.str() + '}' : key.substr(0, key.size() - 1) + ',' + label.str() + '}';
}

std::string suffixedName(const std::string &key, const std::string &suffix)
{
    const auto brace = key.find('{');
    return brace == std::string::npos ? key + suffix : key.substr(0, brace) + suffix + key.substr(brace);
}
}

struct Metrics::Summary {
    Accumulator values{acc::extended_p_square_probabilities = quantiles};
    std::array<std::uint64_t, bucketBounds.size()> buckets{}; ///< samples up to each bound
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels, double amount)
{
    m_counters[fullName(name, labels)] += amount;
}

void Metrics::gaugeBuild(const std::string &name)
{
    const BuildInfo &info = buildInfo();
    gauge(name, 1, "version=\"" + info.version + "\",sources=\"" + info.sources + "\",build=\"" + info.build + '"');
}

void Metrics::gauge(const std::string &name, double value, const std::string &labels)
{
    m_gauges[fullName(name, labels)] = value;
}

void Metrics::sample(const std::string &name, double value, const std::string &labels)
{
    auto &summary = m_summaries[fullName(name, labels)];
    if (!summary) {
        summary = std::make_unique<Summary>();
    }
    summary->values(value);
    for (std::size_t i = bucketBounds.size(); i-- > 0 && value <= bucketBounds[i];) {
        ++summary->buckets[i];
    }
}

double Metrics::value(const std::string &name, const std::string &labels) const
{
    const std::string key = fullName(name, labels);
    if (const auto counter = m_counters.find(key); counter != m_counters.end()) {
        return counter->second;
    }
    const auto gauge = m_gauges.find(key);
    return gauge == m_gauges.end() ? 0 : gauge->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_counters) {
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_gauges) {
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, summary] : m_summaries) {
        if (acc::count(summary->values) >= minSamples) {
            for (std::size_t i = 0; i < quantiles.size(); ++i) {
                out << labelledName(name, "quantile", quantiles[i]) << ' ' << acc::extended_p_square(summary->values)[i] << '\n';
            }
        }
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            out << labelledName(suffixedName(name, "_bucket"), "le", bucketBounds[i]) << ' ' << summary->buckets[i] << '\n';
        }
        out << suffixedName(name, "_sum") << ' ' << acc::sum(summary->values) << '\n';
        out << suffixedName(name, "_count") << ' ' << acc::count(summary->values) << '\n';
    }
    return out.str();
}
}
