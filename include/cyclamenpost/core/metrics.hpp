#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenpost {

/// Labels of one series as name and value pairs.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A count that only grows.
class counter {
public:
    /// Adds to the count.
    auto add(std::uint64_t amount = 1) -> void;
    auto value() const -> std::uint64_t;

private:
    std::uint64_t value_ = 0;
};

/// A value that rises and falls.
class gauge {
public:
    auto set(double value) -> void;
    auto value() const -> double;

private:
    double value_ = 0;
};

/// Count, sum and estimated quantiles of observations (P-square algorithm, Jain and Chlamtac 1985,
/// from Boost.Accumulators). The memory per summary is constant.
class summary {
public:
    summary();
    summary(summary&&) noexcept;
    auto operator=(summary&&) noexcept -> summary&;
    summary(const summary&) = delete;
    auto operator=(const summary&) -> summary& = delete;
    ~summary();

    /// Adds an observation. Values that are not finite are ignored.
    auto observe(double value) -> void;
    auto count() const -> std::uint64_t;
    auto sum() const -> double;

    /// Estimate of the quantile 0.5, 0.95 or 0.99; 0 without observations.
    auto quantile(double probability) const -> double;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Counts of observations up to fixed bounds, for latencies in seconds.
class histogram {
public:
    /// Upper bounds in seconds; a last bucket without a bound follows.
    static constexpr std::array bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                       0.4,   0.8,  1.6,   3.2,  6.4, 12.8};

    /// Adds an observation in seconds. Values that are not finite are ignored.
    auto observe(double seconds) -> void;
    auto count() const -> std::uint64_t;
    auto sum() const -> double;

    /// Observations up to the bound with this index.
    auto cumulative_count(std::size_t index) const -> std::uint64_t;

private:
    std::array<std::uint64_t, bounds.size() + 1> buckets_{};
    double sum_ = 0;
};

/// All metrics of a process. References stay valid as long as the registry.
class metric_registry {
public:
    /// The series with this name and these labels, made on first use.
    auto counter_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> counter&;
    auto gauge_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> gauge&;
    auto summary_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> summary&;

    auto histogram_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> histogram&;

    /// All series in the Prometheus text format, sorted by name and labels.
    auto prometheus_text() const -> std::string;

private:
    template <typename Metric>
    struct family {
        std::string help;
        std::map<metric_labels, Metric> series;
    };
    std::map<std::string, family<counter>, std::less<>> counters_;
    std::map<std::string, family<gauge>, std::less<>> gauges_;
    std::map<std::string, family<summary>, std::less<>> summaries_;
    std::map<std::string, family<histogram>, std::less<>> histograms_;
};

} // namespace cyclamenpost
