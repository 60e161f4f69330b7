#include <doctest/doctest.h>

#include <cmath>

#include "cyclamenpost/core/metrics.hpp"

using namespace cyclamenpost;

TEST_CASE("metrics: uses with equal name and labels share one series")
{
    auto registry = metric_registry{};
    registry.counter_of("requests_total", "Requests", {{"zone", "a"}}).add();
    registry.counter_of("requests_total", "Requests", {{"zone", "a"}}).add(2);
    registry.counter_of("requests_total", "Requests", {{"zone", "b"}}).add();
    registry.gauge_of("queue", "Queue length").set(1.5);
    const auto text = registry.prometheus_text();
    CHECK(text.find("# TYPE requests_total counter\n") != std::string::npos);
    CHECK(text.find("requests_total{zone=\"a\"} 3\n") != std::string::npos);
    CHECK(text.find("requests_total{zone=\"b\"} 1\n") != std::string::npos);
    CHECK(text.find("queue 1.5\n") != std::string::npos);
}

TEST_CASE("metrics: quotes, line breaks and backslashes in label values are escaped")
{
    auto registry = metric_registry{};
    registry.counter_of("c", "help", {{"name", "a\"b\nc\\"}}).add();
    CHECK(registry.prometheus_text().find("c{name=\"a\\\"b\\nc\\\\\"} 1\n") != std::string::npos);
}

TEST_CASE("metrics: a summary estimates quantiles and ignores values that are not finite")
{
    auto values = summary{};
    CHECK(values.quantile(0.95) == 0);
    for (auto value = 1; value <= 1000; ++value) {
        values.observe((value * 7919) % 1000);
    }
    values.observe(std::nan(""));
    CHECK(values.count() == 1000);
    CHECK(values.quantile(0.5) == doctest::Approx(500).epsilon(0.05));
    CHECK(values.quantile(0.95) == doctest::Approx(950).epsilon(0.05));
    CHECK(values.quantile(0.99) == doctest::Approx(990).epsilon(0.05));
}

TEST_CASE("metrics: quantiles of few observations are exact")
{
    auto values = summary{};
    values.observe(4);
    CHECK(values.quantile(0.99) == 4);
    values.observe(2);
    CHECK(values.quantile(0.5) == 2);
    CHECK(values.quantile(0.95) == 4);
}

TEST_CASE("metrics: a histogram writes cumulative buckets in the Prometheus text format")
{
    auto registry = metric_registry{};
    auto& latencies = registry.histogram_of("t_seconds", "Time.", {{"kind", "a"}});
    latencies.observe(0.005);
    latencies.observe(0.3);
    latencies.observe(60);
    const auto text = registry.prometheus_text();
    CHECK(text.find("# TYPE t_seconds histogram") != std::string::npos);
    CHECK(text.find("t_seconds_bucket{kind=\"a\",le=\"0.005\"} 1") != std::string::npos);
    CHECK(text.find("t_seconds_bucket{kind=\"a\",le=\"0.4\"} 2") != std::string::npos);
    CHECK(text.find("t_seconds_bucket{kind=\"a\",le=\"+Inf\"} 3") != std::string::npos);
    CHECK(text.find("t_seconds_count{kind=\"a\"} 3") != std::string::npos);
}
