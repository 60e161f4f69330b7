#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

#include "cyclamenpost/placement/chat_table.hpp"
#include "cyclamenpost/placement/placement.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto run_seconds = 300.0;
constexpr auto warm_up_seconds = 60.0;
constexpr auto prefill_seconds_per_token = 0.0003;
constexpr auto decode_seconds_per_token = 0.02;
constexpr auto cache_capacity_tokens = 1'000'000.0;
constexpr auto min_mean_requests_for_skew = 8.0;
constexpr auto cache_event_delay_seconds = 2.0;
constexpr auto max_hint_age_seconds = 600.0;
constexpr auto retry_seconds = 0.1;
constexpr auto attempts_per_placement = 4;
// Number of engines per nine instances.
constexpr auto engines_per_nine_instances = 12;
constexpr auto zone_count = 3;
/// Time between two restarts among twelve engines, and between two replacements among nine
/// instances: each is replaced every quarter of an hour, a hundred times the rate of the design
/// scale.
constexpr auto replacement_seconds = 75.0;
constexpr auto cold_limit = 1.0;
constexpr auto warm_up_step_seconds = 2.0;

/// A request of the trace; times in seconds, sizes in tokens. The first `context` tokens of the
/// prompt belong to earlier turns of the chat.
struct trace_request {
    double at = 0;
    std::uint32_t chat = 0;
    double context = 0;
    double prompt = 0;
    double output = 0;
    double max_wait_seconds = 2;
};

/// A kind of chat of one scenario; prompt and output sizes in tokens.
struct chat_kind {
    double chats_per_second = 0;
    double prompt_low = 0;
    double prompt_high = 0;
    double output = 0;
    double turns = 1;
    double gap_seconds = 60;
    double max_wait_seconds = 2;
    /// Factor on the rate during a surge, and period and length of the surge in seconds.
    double surge = 1;
    double surge_period_seconds = 60;
    double surge_length_seconds = 15;
};

struct scenario {
    const char* name = "";
    std::vector<chat_kind> kinds;
};

auto scenarios() -> std::vector<scenario>
{
    auto quotes = chat_kind{0.45, 800, 3000, 250, 5, 45, 2, 1.0, 60, 15};
    auto surge = chat_kind{0.04, 800, 3000, 250, 5, 20, 2, 15.0, 90, 12};
    auto rotations = chat_kind{0.4, 600, 1500, 160, 4, 40, 2, 1.0, 60, 15};
    auto checks = chat_kind{0.6, 200, 500, 8, 3, 20, 2, 1.0, 60, 15};
    auto summaries = chat_kind{0.03, 5000, 9000, 600, 2, 60, 10, 30.0, 100, 12};
    return {{"derwent", {quotes, surge}}, {"haiphong", {rotations, checks, summaries}}};
}

using generator = std::mt19937_64;

auto uniform(generator& random, double low, double high) -> double
{
    return std::uniform_real_distribution<double>{low, high}(random);
}

auto exponential(generator& random, double mean) -> double
{
    return std::exponential_distribution<double>{1 / mean}(random);
}

auto in_surge(const chat_kind& kind, double at) -> bool
{
    return std::fmod(at, kind.surge_period_seconds) < kind.surge_length_seconds;
}

auto add_chat(std::vector<trace_request>& trace, const chat_kind& kind, std::uint32_t chat,
              double at, generator& random) -> void
{
    auto context = 0.0;
    while (at < run_seconds) {
        auto request = trace_request{};
        request.at = at;
        request.chat = chat;
        request.context = context;
        const auto added = uniform(random, kind.prompt_low, kind.prompt_high);
        request.prompt = context + (context > 0 ? added / 8 : added);
        request.output = kind.output * uniform(random, 0.7, 1.3);
        request.max_wait_seconds = kind.max_wait_seconds;
        trace.push_back(request);
        context = request.prompt + request.output;
        if (uniform(random, 0, 1) * kind.turns < 1) {
            return;
        }
        at += 15 + exponential(random, kind.gap_seconds);
    }
}

auto make_trace(const scenario& described, std::size_t engines, std::uint64_t seed)
    -> std::vector<trace_request>
{
    auto random = generator{seed};
    auto trace = std::vector<trace_request>{};
    auto chat = std::uint32_t{0};
    for (const auto& kind : described.kinds) {
        const auto peak = kind.chats_per_second * kind.surge * static_cast<double>(engines);
        for (auto at = exponential(random, 1 / peak); at < run_seconds;
             at += exponential(random, 1 / peak)) {
            if (in_surge(kind, at) || uniform(random, 0, kind.surge) < 1) {
                add_chat(trace, kind, ++chat, at, random);
            }
        }
    }
    std::ranges::sort(trace, {}, &trace_request::at);
    return trace;
}

/// Prefix cache of an engine, which evicts the least recently used chats.
class prefix_cache {
public:
    struct entry {
        std::uint32_t chat = 0;
        double tokens = 0;
        double stored_at = 0;
    };

    auto find(std::uint32_t chat) const -> const entry*
    {
        const auto held = index_.find(chat);
        return held == index_.end() ? nullptr : &*held->second;
    }

    auto store(std::uint32_t chat, double tokens, double now) -> void
    {
        if (const auto held = index_.find(chat); held != index_.end()) {
            total_ -= held->second->tokens;
            entries_.erase(held->second);
        }
        entries_.push_front({chat, tokens, now});
        index_[chat] = entries_.begin();
        total_ += tokens;
        while (total_ > cache_capacity_tokens) {
            total_ -= entries_.back().tokens;
            index_.erase(entries_.back().chat);
            entries_.pop_back();
        }
    }

    auto clear() -> void
    {
        entries_.clear();
        index_.clear();
        total_ = 0;
    }

private:
    std::list<entry> entries_;
    std::unordered_map<std::uint32_t, std::list<entry>::iterator> index_;
    double total_ = 0;
};

struct engine_model {
    prefix_cache cache;
    double load = 0;
    double requests = 0;
    double large_load = 0;
    std::uint64_t generation = 0;
    double completed = 0;
    double last_increase = 0;
};

enum class event_kind { arrival, finish, load_sample, engine_down, engine_up, instance_replaced };

struct event {
    double at = 0;
    event_kind kind{};
    std::size_t index = 0;
    std::size_t engine = 0;
    double cost = 0;
    std::uint64_t generation = 0;
    auto operator>(const event& other) const -> bool
    {
        return at > other.at;
    }
};

/// Measurements of one run; `reused` and `reusable` count context tokens.
struct run_result {
    double reused = 0;
    double reusable = 0;
    double worst_skew = 0;
    double requests = 0;
    double refused = 0;
    std::vector<double> skews;
};

/// Simulates one policy on one trace. A router sees the loads of the last publication plus the cost
/// it has sent since. With the policy `cyclamenpost`, the gate of an engine also compares its exact
/// load with the published mean. With `full_knowledge`, the current state of all engines is used
/// instead.
class fleet_run {
public:
    fleet_run(const std::vector<trace_request>& trace, placement_policy policy, bool full_knowledge,
              std::size_t instances, std::uint64_t seed)
        : trace_{trace},
          policy_{policy},
          full_knowledge_{full_knowledge},
          random_{seed},
          engines_(instances * engines_per_nine_instances / 9),
          sent_costs_(instances)
    {
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            auto view = engine_view{};
            view.id = "engine-" + std::to_string(index);
            view.zone = std::to_string(index % zone_count);
            views_.push_back(view);
        }
        for (std::size_t index = 0; index < instances; ++index) {
            instances_.push_back({"instance-" + std::to_string(index),
                                  std::to_string(index % zone_count), "region"});
            tables_.emplace_back(8192);
            sent_costs_[index].assign(engines_.size(), 0);
        }
        published_loads_.assign(engines_.size(), 0);
        previous_loads_.assign(engines_.size(), 0);
        assign();
        for (auto at = 1.0; at < run_seconds; at += 1) {
            schedule({at, event_kind::load_sample});
        }
        const auto share = static_cast<double>(engines_.size()) / engines_per_nine_instances;
        const auto period = replacement_seconds / share;
        for (auto at = warm_up_seconds; at < run_seconds; at += period) {
            schedule({at, event_kind::engine_down, random_() % engines_.size()});
            schedule({at + period / 2, event_kind::instance_replaced, random_() % instances});
        }
    }

    auto run() -> run_result
    {
        auto next = std::size_t{0};
        while (next < trace_.size() || !events_.empty()) {
            if (events_.empty() || (next < trace_.size() && trace_[next].at <= events_.top().at)) {
                now_ = trace_[next].at;
                place_request(next++);
                continue;
            }
            const auto due = events_.top();
            events_.pop();
            now_ = due.at;
            handle(due);
        }
        return result_;
    }

private:
    auto schedule(const event& planned) -> void
    {
        events_.push(planned);
    }

    auto handle(const event& due) -> void
    {
        switch (due.kind) {
        case event_kind::arrival:
            waiting_cost_ -= due.cost;
            place_request(due.index);
            break;
        case event_kind::finish:
            finish(due);
            break;
        case event_kind::load_sample:
            sample();
            break;
        case event_kind::engine_down:
            stop_engine(due.index);
            break;
        case event_kind::engine_up:
            start_engine(due.index);
            break;
        case event_kind::instance_replaced:
            replace_instance(due.index);
            break;
        }
    }

    auto stop_engine(std::size_t index) -> void
    {
        if (views_[index].state == target_state::gone) {
            return;
        }
        views_[index].state = target_state::gone;
        auto& engine = engines_[index];
        engine.cache.clear();
        engine.load = 0;
        engine.requests = 0;
        engine.large_load = 0;
        ++engine.generation;
        schedule({now_ + 15, event_kind::engine_up, index});
    }

    auto start_engine(std::size_t index) -> void
    {
        views_[index].state = target_state::cold;
        views_[index].allowance = cold_limit;
        engines_[index].completed = 0;
        engines_[index].last_increase = now_;
    }

    auto replace_instance(std::size_t index) -> void
    {
        instances_[index].id += "n";
        tables_[index] = chat_table{8192};
        std::ranges::fill(sent_costs_[index], 0);
        assign();
    }

    auto assign() -> void
    {
        auto targets = std::vector<topology_node>{};
        for (const auto& view : views_) {
            targets.push_back({view.id, view.zone, "region"});
        }
        const auto assigned = assign_gates(targets, instances_);
        gates_.clear();
        for (const auto& assignment : assigned) {
            const auto found =
                std::ranges::find(instances_, assignment.primary, &topology_node::id);
            gates_.push_back(static_cast<std::size_t>(found - instances_.begin()));
        }
    }

    auto is_serving(std::size_t index) const -> bool
    {
        return views_[index].state != target_state::gone;
    }

    /// Measures the load skew and publishes the loads of the previous second.
    auto sample() -> void
    {
        auto sum = 0.0;
        auto requests = 0.0;
        auto highest = 0.0;
        auto count = 0.0;
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            published_loads_[index] = previous_loads_[index];
            previous_loads_[index] = engines_[index].load;
            if (is_serving(index)) {
                sum += engines_[index].load;
                requests += engines_[index].requests;
                highest = std::max(highest, engines_[index].load);
                count += 1;
            }
        }
        for (auto& sent : sent_costs_) {
            std::ranges::fill(sent, 0);
        }
        published_waiting_cost_ = previous_waiting_cost_;
        previous_waiting_cost_ = waiting_cost_;
        if (now_ >= warm_up_seconds && requests / count >= min_mean_requests_for_skew) {
            const auto skew = highest / (sum / count);
            result_.skews.push_back(skew);
            result_.worst_skew = std::max(result_.worst_skew, skew);
        }
    }

    auto finish(const event& done) -> void
    {
        auto& engine = engines_[done.engine];
        if (engine.generation != done.generation) {
            return;
        }
        engine.load -= done.cost;
        engine.requests -= 1;
        engine.large_load -= done.cost > limits_.large_request_cost ? done.cost : 0;
        const auto& request = trace_[done.index];
        engine.cache.store(request.chat, request.prompt + request.output, now_);
        raise_allowance(done.engine);
    }

    auto raise_allowance(std::size_t index) -> void
    {
        auto& view = views_[index];
        auto& engine = engines_[index];
        engine.completed += 1;
        if (view.state == target_state::warm || engine.completed < view.allowance ||
            now_ - engine.last_increase < warm_up_step_seconds) {
            return;
        }
        view.allowance *= 2;
        engine.completed = 0;
        engine.last_increase = now_;
        if (view.allowance >= load_bound(exact_mean(), 1, limits_)) {
            view.state = target_state::warm;
        }
    }

    auto exact_mean() const -> double
    {
        auto sum = 0.0;
        auto count = 0.0;
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (is_serving(index)) {
                sum += engines_[index].load;
                count += 1;
            }
        }
        return sum / count;
    }

    auto cached_tokens(std::size_t index, const trace_request& request) const -> double
    {
        const auto* entry = engines_[index].cache.find(request.chat);
        return entry == nullptr ? 0 : std::min(entry->tokens, request.context);
    }

    auto cost_at(std::size_t index, const trace_request& request) const -> double
    {
        return cost_with(request, cached_tokens(index, request));
    }

    static auto cost_with(const trace_request& request, double reused) -> double
    {
        return request_cost(static_cast<std::uint64_t>(request.prompt - reused),
                            static_cast<std::uint64_t>(request.output));
    }

    auto start(std::size_t number, std::size_t index) -> void
    {
        const auto& request = trace_[number];
        auto& engine = engines_[index];
        const auto reused = cached_tokens(index, request);
        const auto cost = cost_with(request, reused);
        engine.load += cost;
        engine.requests += 1;
        engine.large_load += cost > limits_.large_request_cost ? cost : 0;
        if (now_ >= warm_up_seconds) {
            result_.reused += reused;
            result_.reusable += request.context;
            result_.requests += 1;
        }
        const auto seconds = (request.prompt - reused) * prefill_seconds_per_token +
                             request.output * decode_seconds_per_token;
        schedule({now_ + seconds, event_kind::finish, number, index, cost, engine.generation});
    }

    auto place_request(std::size_t number) -> void
    {
        if (full_knowledge_) {
            place_with_full_knowledge(number);
            return;
        }
        if (policy_ == placement_policy::cyclamenpost) {
            place_through_gates(number);
            return;
        }
        const auto router = random_() % instances_.size();
        auto request = request_of(number);
        auto views = views_of(router);
        request.cost = cost_with(trace_[number], 0);
        const auto mean = mean_load(views, request.cost);
        const auto decision = choose_engine(request, views, mean, limits_);
        sent_costs_[router][*decision.engine] += request.cost;
        start(number, *decision.engine);
    }

    auto place_with_full_knowledge(std::size_t number) -> void
    {
        const auto& request = trace_[number];
        const auto mean = exact_mean();
        auto best = engines_.size();
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            const auto cost = cost_at(index, request);
            auto view = views_[index];
            view.load = engines_[index].load;
            view.requests = engines_[index].requests;
            view.large_load = engines_[index].large_load;
            if (!fits_load_bound(view, cost, mean, limits_)) {
                continue;
            }
            const auto better = [&] {
                const auto here = cached_tokens(index, request);
                const auto there = cached_tokens(best, request);
                return here != there ? here > there : engines_[index].load < engines_[best].load;
            };
            if (best == engines_.size() || better()) {
                best = index;
            }
        }
        if (best == engines_.size()) {
            retry_or_refuse(number);
            return;
        }
        start(number, best);
    }

    auto request_of(std::size_t number) -> placement_request
    {
        chat_name_ = "chat-" + std::to_string(trace_[number].chat);
        auto request = placement_request{};
        request.chat = chat_name_;
        request.policy = policy_;
        request.random = random_();
        return request;
    }

    auto views_of(std::size_t router) const -> std::vector<engine_view>
    {
        auto views = views_;
        for (std::size_t index = 0; index < views.size(); ++index) {
            views[index].load = published_loads_[index] + sent_costs_[router][index];
            views[index].requests = engines_[index].requests;
            views[index].large_load = engines_[index].large_load;
        }
        return views;
    }

    /// The router is the gate of the first engine in the chat's preference order, even while that
    /// engine restarts, so that later requests of the chat find its record there.
    auto place_through_gates(std::size_t number) -> void
    {
        auto request = request_of(number);
        const auto order = preference_order(request.chat, views_);
        const auto router = gates_[order.front()];
        request.last_target = tables_[router].last_target(request.chat);
        const auto hold = max_hold_seconds(static_cast<std::uint64_t>(trace_[number].context),
                                           prefill_seconds_per_token, limits_);
        request.may_hold = now_ + retry_seconds - trace_[number].at <= hold;
        auto views = views_of(router);
        add_gate_knowledge(router, trace_[number], views);
        for (auto attempt = 0; attempt < attempts_per_placement; ++attempt) {
            const auto decision = choose_with_cost(number, request, views);
            const auto chosen = decision.engine;
            if (!chosen) {
                break;
            }
            if (gate_admits(*chosen, trace_[number])) {
                tables_[router].record(request.chat, views[*chosen].id, current_time());
                sent_costs_[router][*chosen] += cost_at(*chosen, trace_[number]);
                start(number, *chosen);
                return;
            }
            if (request.may_hold && views[*chosen].id == request.last_target) {
                break;
            }
            views[*chosen].load = std::numeric_limits<double>::infinity();
        }
        retry_or_refuse(number);
    }

    /// Adds what a gate knows of its own engines: exact loads, and cache events that arrive late
    /// and of which one in ten is lost.
    auto add_gate_knowledge(std::size_t router, const trace_request& request,
                            std::vector<engine_view>& views) const -> void
    {
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (gates_[index] != router) {
                continue;
            }
            views[index].load = engines_[index].load;
            const auto* entry = engines_[index].cache.find(request.chat);
            const auto age = entry == nullptr ? 0 : now_ - entry->stored_at;
            const auto gap = (request.chat + index) % 10 == 0;
            views[index].cache_hint =
                age > cache_event_delay_seconds && age < max_hint_age_seconds && !gap;
        }
    }

    auto choose_with_cost(std::size_t number, placement_request& request,
                          const std::vector<engine_view>& views) const -> placement_decision
    {
        const auto mean = published_mean();
        for (const auto reused : {trace_[number].context, 0.0}) {
            request.cost = cost_with(trace_[number], reused);
            const auto decision = choose_engine(request, views, mean, limits_);
            const auto by_cache = decision.reason == placement_reason::last_target ||
                                  decision.reason == placement_reason::hold_for_last_target ||
                                  decision.reason == placement_reason::cache_hint;
            if (by_cache || reused == 0) {
                return decision;
            }
        }
        return {};
    }

    /// Mean load including the waiting demand, as published one to two seconds ago.
    auto published_mean() const -> double
    {
        auto sum = 0.0;
        auto count = 0.0;
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (is_serving(index)) {
                sum += published_loads_[index];
                count += 1;
            }
        }
        return mean_load_with_waiting(sum / count, published_waiting_cost_ / count, limits_);
    }

    auto gate_admits(std::size_t index, const trace_request& request) const -> bool
    {
        auto view = views_[index];
        view.load = engines_[index].load;
        view.requests = engines_[index].requests;
        view.large_load = engines_[index].large_load;
        return fits_load_bound(view, cost_at(index, request), published_mean(), limits_);
    }

    auto retry_or_refuse(std::size_t number) -> void
    {
        if (now_ + retry_seconds - trace_[number].at <= trace_[number].max_wait_seconds) {
            const auto cost = cost_with(trace_[number], trace_[number].context);
            waiting_cost_ += cost;
            schedule({now_ + retry_seconds, event_kind::arrival, number, 0, cost});
            return;
        }
        if (now_ >= warm_up_seconds) {
            result_.requests += 1;
            result_.refused += 1;
        }
    }

    auto current_time() const -> time_point
    {
        return time_point{duration{static_cast<std::int64_t>(now_ * 1e6)}};
    }

    const std::vector<trace_request>& trace_;
    placement_policy policy_;
    bool full_knowledge_;
    generator random_;
    placement_limits limits_;
    std::vector<engine_model> engines_;
    std::vector<engine_view> views_;
    std::vector<topology_node> instances_;
    std::vector<chat_table> tables_;
    std::vector<std::size_t> gates_;
    std::vector<double> published_loads_;
    std::vector<double> previous_loads_;
    std::vector<std::vector<double>> sent_costs_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::string chat_name_;
    double now_ = 0;
    double waiting_cost_ = 0;
    double previous_waiting_cost_ = 0;
    double published_waiting_cost_ = 0;
    run_result result_;
};

auto print(const char* measure, const std::string& scenario_name, std::string_view policy,
           std::uint64_t seed, double value, const char* unit) -> void
{
    std::printf("{\"measure\": \"%s\", \"scenario\": \"%s\", \"policy\": \"%.*s\", \"seed\": %llu, "
                "\"value\": %.4f, \"unit\": \"%s\"}\n",
                measure, scenario_name.c_str(), static_cast<int>(policy.size()), policy.data(),
                static_cast<unsigned long long>(seed), value, unit);
    std::fflush(stdout);
}

auto reuse_of(const run_result& result) -> double
{
    return result.reusable == 0 ? 0 : result.reused / result.reusable;
}

auto measure(const scenario& described, std::size_t instances, std::uint64_t seed) -> void
{
    const auto engines = instances * engines_per_nine_instances / 9;
    const auto trace = make_trace(described, engines, seed);
    const auto label = std::string{described.name} + "-" + std::to_string(instances);
    auto reference = fleet_run{trace, placement_policy::cyclamenpost, true, instances, seed}.run();
    print("cache_reuse_full_knowledge", label, "full_knowledge", seed, reuse_of(reference),
          "share");
    print("load_skew", label, "full_knowledge", seed, reference.worst_skew, "ratio");
    print("refused", label, "full_knowledge", seed, reference.refused / reference.requests,
          "share");
    for (const auto& row : placement_policy_names) {
        auto result = fleet_run{trace, row.value, false, instances, seed}.run();
        print("cache_reuse", label, row.name, seed, reuse_of(result) / reuse_of(reference),
              "ratio");
        print("load_skew", label, row.name, seed, result.worst_skew, "ratio");
        print("refused", label, row.name, seed, result.refused / result.requests, "share");
        print("busy_seconds", label, row.name, seed, static_cast<double>(result.skews.size()), "s");
    }
}

auto measure_chat_table(std::uint64_t seed) -> void
{
    auto table = chat_table{11000};
    for (auto number = 0; number < 60000; ++number) {
        table.record("chat-" + std::to_string(number), "engine-" + std::to_string(number % 12),
                     time_point{std::chrono::seconds{number / 100}});
    }
    print("bytes_per_chat", "chat_table", "cyclamenpost", seed,
          static_cast<double>(table.memory_bytes()) / static_cast<double>(table.size()), "B");
}

} // namespace

auto main() -> int
{
    constexpr auto seed = std::uint64_t{20261204};
    measure_chat_table(seed);
    for (const auto& described : scenarios()) {
        for (const auto instances : {3U, 9U, 27U, 81U}) {
            measure(described, instances, seed);
        }
    }
    return 0;
}
