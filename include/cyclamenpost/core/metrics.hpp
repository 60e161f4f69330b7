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

/// Labels of one time series as name-value pairs.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A monotonically increasing count.
class counter {
public:
    auto add(std::uint64_t amount = 1) -> void;
    auto value() const -> std::uint64_t;

private:
    std::uint64_t value_ = 0;
};

/// A value that can rise and fall.
class gauge {
public:
    auto set(double value) -> void;
    auto value() const -> double;

private:
    double value_ = 0;
};

/// Count, sum and estimated quantiles of observations (P-square algorithm, Jain and Chlamtac 1985,
/// from Boost.Accumulators). Memory use per summary is constant.
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

    /// Estimate of the quantile 0.5, 0.95 or 0.99, exact for up to 16 observations. Returns 0
    /// without observations, and for other probabilities when there are more than 16.
    auto quantile(double probability) const -> double;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Counts of observed latencies in buckets with fixed upper bounds.
class histogram {
public:
    /// Upper bounds of the buckets in seconds. One more bucket without a bound follows.
    static constexpr std::array bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                       0.4,   0.8,  1.6,   3.2,  6.4, 12.8};

    /// Adds an observation in seconds. Values that are not finite are ignored.
    auto observe(double seconds) -> void;
    auto count() const -> std::uint64_t;
    auto sum() const -> double;

    /// Number of observations not above the bound at `index`, or of all if `index` is
    /// `bounds.size()`.
    auto cumulative_count(std::size_t index) const -> std::uint64_t;

private:
    std::array<std::uint64_t, bounds.size() + 1> buckets_{};
    double sum_ = 0;
};

/// All metrics of a process. Returned references stay valid as long as the registry exists.
class metric_registry {
public:
    /// Returns the series with this name and these labels and creates it on first use. `help` is
    /// the description in the exposition format; the first use of a name sets it.
    auto counter_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> counter&;
    auto gauge_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> gauge&;
    auto summary_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> summary&;
    auto histogram_of(std::string_view name, std::string_view help, metric_labels labels = {})
        -> histogram&;

    /// All series in the Prometheus text format: counters, gauges, summaries, then histograms, each
    /// sorted by name and labels.
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
