#include <random>

#include "cyclamenpost/routing/even_choice.hpp"
#include "forward_job.hpp"

namespace cyclamenpost::detail {

auto forward_job::draw_spread() const -> double
{
    auto& last = state.spread_draws[service->name];
    last = last > 0 ? next_draw(last) : std::uniform_real_distribution<double>{}(state.random);
    return last;
}

auto forward_job::record_spread(const target_choice& choice) const -> void
{
    const auto labels = metric_labels{{"service", service->name}};
    state.metrics
        .counter_of("cyclamenpost_spread_choices_total",
                    "Requests spread over the targets of a service, by whether a target of lower "
                    "cost was passed over.",
                    {{"service", service->name}, {"differs", choice.differs ? "1" : "0"}})
        .add();
    state.metrics
        .gauge_of("cyclamenpost_busiest_to_mean",
                  "Highest load among the targets at the last choice as a multiple of their mean, "
                  "as estimated by this instance.",
                  labels)
        .set(choice.busiest_to_mean);
    state.metrics
        .histogram_of("cyclamenpost_load_age_seconds",
                      "Age of the load information about the chosen target.", labels)
        .observe(std::chrono::duration<double>(choice.believed.age).count());
}

} // namespace cyclamenpost::detail
