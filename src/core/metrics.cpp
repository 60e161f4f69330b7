#include "cyclamenpost/core/metrics.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace cyclamenpost {

namespace {

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};

using count_and_sum = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using quantile_estimate = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

// Up to this number of observations, quantiles are computed from the stored values, because the
// P-square estimate is undefined for fewer than five.
constexpr std::size_t max_exact_observations = 16;

auto escaped(std::string_view text) -> std::string
{
    auto out = std::string{};
    for (const auto character : text) {
        if (character == '\n') {
            out += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            out += '\\';
        }
        out += character;
    }
    return out;
}

auto label_text(const metric_labels& labels, std::string_view extra = {}) -> std::string
{
    auto out = std::string{};
    for (const auto& [name, value] : labels) {
        out += out.empty() ? "" : ",";
        out += name + "=\"" + escaped(value) + "\"";
    }
    if (!extra.empty()) {
        out += out.empty() ? "" : ",";
        out += extra;
    }
    return out.empty() ? out : "{" + out + "}";
}

auto write_header(std::ostream& out, const std::string& name, const std::string& help,
                  std::string_view type) -> void
{
    out << "# HELP " << name << ' ' << escaped(help) << '\n';
    out << "# TYPE " << name << ' ' << type << '\n';
}

auto write_histogram(std::ostringstream& out, const std::string& name, const metric_labels& labels,
                     const histogram& value) -> void
{
    for (std::size_t index = 0; index <= histogram::bounds.size(); ++index) {
        auto bound = std::ostringstream{};
        if (index < histogram::bounds.size()) {
            bound << histogram::bounds[index];
        }
        else {
            bound << "+Inf";
        }
        auto with_bound = labels;
        with_bound.emplace_back("le", bound.str());
        out << name << "_bucket" << label_text(with_bound) << ' ' << value.cumulative_count(index)
            << '\n';
    }
    out << name << "_sum" << label_text(labels) << ' ' << value.sum() << '\n';
    out << name << "_count" << label_text(labels) << ' ' << value.count() << '\n';
}

auto write_summary(std::ostream& out, const std::string& name, const metric_labels& labels,
                   const summary& values) -> void
{
    for (const auto probability : quantiles) {
        auto quantile = std::ostringstream{};
        quantile << "quantile=\"" << probability << '"';
        out << name << label_text(labels, quantile.str()) << ' ' << values.quantile(probability)
            << '\n';
    }
    out << name << "_sum" << label_text(labels) << ' ' << values.sum() << '\n';
    out << name << "_count" << label_text(labels) << ' ' << values.count() << '\n';
}

/// Returns the series of the family with this name, which is created with its help text on first
/// use.
template <typename Families>
auto family_of(Families& families, std::string_view name, std::string_view help) -> auto&
{
    auto found = families.find(name);
    if (found == families.end()) {
        found = families.emplace(std::string{name}, typename Families::mapped_type{}).first;
        found->second.help = help;
    }
    return found->second.series;
}

} // namespace

struct summary::state {
    count_and_sum totals;
    std::array<quantile_estimate, quantiles.size()> estimates{
        quantile_estimate{acc::quantile_probability = quantiles[0]},
        quantile_estimate{acc::quantile_probability = quantiles[1]},
        quantile_estimate{acc::quantile_probability = quantiles[2]},
    };
    /// The first `max_exact_observations` values in ascending order.
    std::vector<double> first_values;
};

auto counter::add(std::uint64_t amount) -> void
{
    value_ += amount;
}

auto counter::value() const -> std::uint64_t
{
    return value_;
}

auto gauge::set(double value) -> void
{
    value_ = value;
}

auto gauge::value() const -> double
{
    return value_;
}

summary::summary() : state_(std::make_unique<state>()) {}
summary::summary(summary&&) noexcept = default;
auto summary::operator=(summary&&) noexcept -> summary& = default;
summary::~summary() = default;

auto summary::observe(double value) -> void
{
    if (!std::isfinite(value)) {
        return;
    }
    state_->totals(value);
    for (auto& estimate : state_->estimates) {
        estimate(value);
    }
    if (state_->first_values.size() < max_exact_observations) {
        auto& first = state_->first_values;
        first.insert(std::upper_bound(first.begin(), first.end(), value), value);
    }
}

auto summary::count() const -> std::uint64_t
{
    return acc::count(state_->totals);
}

auto summary::sum() const -> double
{
    return acc::sum(state_->totals);
}

auto summary::quantile(double probability) const -> double
{
    const auto observed = count();
    if (observed == 0) {
        return 0;
    }
    if (observed <= max_exact_observations) {
        const auto rank = std::ceil(probability * static_cast<double>(observed));
        return state_->first_values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    }
    const auto found = std::find(quantiles.begin(), quantiles.end(), probability);
    if (found == quantiles.end()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(found - quantiles.begin());
    return acc::p_square_quantile(state_->estimates[index]);
}

auto histogram::observe(double seconds) -> void
{
    if (!std::isfinite(seconds)) {
        return;
    }
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    ++buckets_[static_cast<std::size_t>(bucket)];
    sum_ += seconds;
}

auto histogram::count() const -> std::uint64_t
{
    return cumulative_count(bounds.size());
}

auto histogram::sum() const -> double
{
    return sum_;
}

auto histogram::cumulative_count(std::size_t index) const -> std::uint64_t
{
    return std::accumulate(buckets_.begin(),
                           buckets_.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                           std::uint64_t{0});
}

auto metric_registry::counter_of(std::string_view name, std::string_view help, metric_labels labels)
    -> counter&
{
    return family_of(counters_, name, help)[std::move(labels)];
}

auto metric_registry::gauge_of(std::string_view name, std::string_view help, metric_labels labels)
    -> gauge&
{
    return family_of(gauges_, name, help)[std::move(labels)];
}

auto metric_registry::summary_of(std::string_view name, std::string_view help, metric_labels labels)
    -> summary&
{
    return family_of(summaries_, name, help)[std::move(labels)];
}

auto metric_registry::histogram_of(std::string_view name, std::string_view help,
                                   metric_labels labels) -> histogram&
{
    return family_of(histograms_, name, help)[std::move(labels)];
}

auto metric_registry::prometheus_text() const -> std::string
{
    auto out = std::ostringstream{};
    out.precision(15);
    for (const auto& [name, values] : counters_) {
        write_header(out, name, values.help, "counter");
        for (const auto& [labels, value] : values.series) {
            out << name << label_text(labels) << ' ' << value.value() << '\n';
        }
    }
    for (const auto& [name, values] : gauges_) {
        write_header(out, name, values.help, "gauge");
        for (const auto& [labels, value] : values.series) {
            out << name << label_text(labels) << ' ' << value.value() << '\n';
        }
    }
    for (const auto& [name, values] : summaries_) {
        write_header(out, name, values.help, "summary");
        for (const auto& [labels, value] : values.series) {
            write_summary(out, name, labels, value);
        }
    }
    for (const auto& [name, values] : histograms_) {
        write_header(out, name, values.help, "histogram");
        for (const auto& [labels, value] : values.series) {
            write_histogram(out, name, labels, value);
        }
    }
    return out.str();
}

} // namespace cyclamenpost
