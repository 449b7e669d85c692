#pragma once

#include <map>
#include <memory>
#include <string>

namespace Yuccagrade
{
/// Counters, gauges, quantile summaries and histograms of one process.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Adds @p amount to the counter. @p labels is empty or of the form `team="a",route="b"`.
    void count(const std::string &name, const std::string &labels = {}, double amount = 1);
    void gauge(const std::string &name, double value, const std::string &labels = {});
    /// Adds a sample, usually in ms, to a summary with estimates of the 50th, 90th and 99th percentile (extended P-square)
    /// and to a histogram with the buckets 1, 2, 5, 10 and so on up to 10,000.
    void sample(const std::string &name, double value, const std::string &labels = {});
    /// Sets the gauge @p name to 1, with what the program was built from as its labels.
    void gaugeBuild(const std::string &name);
    /// Returns the value of a counter or gauge, 0 if it does not exist.
    double value(const std::string &name, const std::string &labels = {}) const;
    /// Returns all metrics in the Prometheus text form.
    std::string text() const;

private:
    struct Summary;
    std::map<std::string, double> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<Summary>> m_summaries;
};
}
