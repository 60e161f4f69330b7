#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cyclamenpost/gates/gate.hpp"

namespace cyclamenpost::testing {

/// Target and injected faults of one run of the gate model. With `cold` the target always reports
/// itself cold and the model counts requests, otherwise it is warm and the model sums up costs.
struct model_options {
    std::uint64_t seed = 1;
    bool cold = true;
    double cold_limit = 1;
    bool list_changes = true;
    bool faults = true;
    bool restarts = true;
    std::chrono::seconds length{90};
};

/// Gates of one target at four instances, the target, and the messages between them in virtual
/// time. Messages are lost or delayed, instances pause, links fail, and instances receive a second
/// instance list late or not within the run.
class gate_model {
public:
    explicit gate_model(const model_options& options) : options_{options}, random_{options.seed}
    {
        auto limits = gate_limits{};
        limits.cold_limit = options.cold_limit;
        for (std::size_t index = 0; index < names.size(); ++index) {
            gates_[index] = make_gate("t", names[index], limits, now_);
            on_list_change(gates_[index], {1, "a", "b", {}}, now_);
            set_mean_load(gates_[index], mean, mean, now_);
        }
        schedule_list();
        schedule_reports();
    }

    auto run() -> void
    {
        const auto end = now_ + options_.length;
        while (now_ < end) {
            now_ += step;
            deliver();
            if (options_.faults) {
                inject_faults();
            }
            for (std::size_t index = 0; index < names.size(); ++index) {
                run_instance(index);
            }
        }
    }

    /// Requests that the target started, and the highest load it had at a start.
    std::size_t starts = 0;
    double highest_load = 0;

    /// With this mean, the bound of each request of at most cost 3 is the load multiple times the
    /// mean.
    static constexpr auto mean = 16.0;
    static constexpr auto bound = 20.0;

private:
    static constexpr std::array<const char*, 4> names{"a", "b", "c", "d"};
    static constexpr auto step = std::chrono::milliseconds{20};

    struct running_request {
        std::uint64_t id = 0;
        double cost = 1;
    };

    auto random_below(int limit) -> int
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(limit));
    }

    auto milliseconds(int low, int high) -> duration
    {
        return std::chrono::milliseconds{low + random_below(high - low)};
    }

    auto schedule(time_point when, std::function<void()> action) -> void
    {
        events_.emplace(when, std::move(action));
    }

    /// Runs the action at an instance, or after its pause if it is paused then.
    auto at_instance(std::size_t index, time_point when, std::function<void()> action) -> void
    {
        schedule(when, [this, index, action = std::move(action)] {
            if (now_ < paused_until_[index]) {
                at_instance(index, paused_until_[index], action);
                return;
            }
            action();
        });
    }

    auto deliver() -> void
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    auto schedule_list() -> void
    {
        if (!options_.list_changes) {
            return;
        }
        const auto primary = static_cast<std::size_t>(random_below(4));
        const auto backup = (primary + 1 + static_cast<std::size_t>(random_below(3))) % 4;
        const auto published = now_ + milliseconds(5000, 20000);
        const auto a_listed = random_below(2) == 0;
        for (std::size_t index = 0; index < names.size(); ++index) {
            auto change = list_change{2, names[primary], names[backup], {}};
            for (const auto* name : {"a", "b"}) {
                if (names[index] != std::string{name}) {
                    // the bound of a warm target holds only if a removed instance has really
                    // stopped
                    change.former_holders.push_back({name, !options_.cold || a_listed, {}});
                }
            }
            const auto received_at =
                published + milliseconds(0, random_below(3) == 0 ? 50000 : 3000);
            at_instance(index, received_at,
                        [this, index, change] { on_list_change(gates_[index], change, now_); });
        }
    }

    auto schedule_reports() -> void
    {
        schedule(now_ + std::chrono::milliseconds{500}, [this] {
            schedule_reports();
            if (!up_) {
                return;
            }
            auto report = load_report{};
            report.incarnation = incarnation_;
            report.state = options_.cold ? target_state::cold : target_state::warm;
            report.running = static_cast<double>(running_.size());
            report.cost = running_cost();
            for (std::size_t index = 0; index < names.size(); ++index) {
                at_instance(index, now_ + milliseconds(1, 400), [this, index, report] {
                    if (report.incarnation == incarnation_) {
                        on_load_report(gates_[index], report, now_);
                    }
                });
            }
        });
    }

    auto inject_faults() -> void
    {
        const auto index = static_cast<std::size_t>(random_below(4));
        if (random_below(300) == 0) {
            const auto until = now_ + milliseconds(100, 6000);
            paused_until_[index] = std::max(paused_until_[index], until);
        }
        if (random_below(300) == 0) {
            const auto other = static_cast<std::size_t>(random_below(4));
            const auto until = now_ + milliseconds(500, 15000);
            broken_until_[index][other] = until;
            broken_until_[other][index] = until;
        }
        if (options_.restarts && up_ && random_below(400) == 0) {
            restart();
        }
    }

    auto restart() -> void
    {
        up_ = false;
        running_.clear();
        for (std::size_t index = 0; index < names.size(); ++index) {
            at_instance(index, now_ + milliseconds(1, 100),
                        [this, index] { on_stream_closed(gates_[index], now_); });
        }
        // an engine takes longer to start than the lifetime of a permit
        schedule(now_ + milliseconds(800, 4000), [this] {
            up_ = true;
            ++incarnation_;
        });
    }

    auto send(std::size_t from, std::size_t to, std::function<void()> action) -> void
    {
        if (options_.faults && (now_ < broken_until_[from][to] || random_below(10) == 0)) {
            return;
        }
        const auto late = options_.faults && random_below(10) == 0;
        at_instance(to, now_ + milliseconds(1, late ? 3000 : 40), std::move(action));
    }

    auto run_instance(std::size_t index) -> void
    {
        if (now_ < paused_until_[index]) {
            return;
        }
        on_tick(gates_[index], now_);
        set_mean_load(gates_[index], mean, mean, now_);
        if (const auto lease = start_lease(gates_[index], now_)) {
            send_lease(index, *lease);
        }
        for (auto attempt = 0; attempt < 3; ++attempt) {
            request_permits(index);
        }
    }

    auto send_lease(std::size_t from, const lease_message& lease) -> void
    {
        for (std::size_t to = 0; to < names.size(); ++to) {
            if (to == from) {
                continue;
            }
            send(from, to, [this, from, to, lease] {
                const auto answer = on_lease_request(gates_[to], names[from], lease, now_);
                send(to, from, [this, from, to, answer] {
                    on_lease_ack(gates_[from], names[to], answer, now_);
                });
            });
        }
    }

    auto request_permits(std::size_t index) -> void
    {
        auto request = permit_request{};
        request.request_id = ++next_id_;
        request.cost = 1 + random_below(3);
        request.holder = "h";
        if (!request_permit(gates_[index], request, now_).granted) {
            return;
        }
        const auto id = request.request_id;
        const auto cost = request.cost;
        schedule(now_ + milliseconds(0, 480), [this, index, id, cost] { start(index, id, cost); });
    }

    auto start(std::size_t index, std::uint64_t id, double cost) -> void
    {
        if (!up_) {
            end(index, id, permit_outcome::failed);
            return;
        }
        running_.push_back({id, cost});
        ++starts;
        highest_load = std::max(highest_load, options_.cold ? static_cast<double>(running_.size())
                                                            : running_cost());
        schedule(now_ + milliseconds(50, 3000),
                 [this, index, id] { end(index, id, permit_outcome::failed); });
    }

    auto end(std::size_t index, std::uint64_t id, permit_outcome how) -> void
    {
        std::erase_if(running_, [&](const auto& request) { return request.id == id; });
        if (options_.faults && random_below(10) == 0) {
            return;
        }
        at_instance(index, now_ + milliseconds(1, 40),
                    [this, index, id, how] { release_permit(gates_[index], id, how, now_); });
    }

    auto running_cost() const -> double
    {
        auto sum = 0.0;
        for (const auto& request : running_) {
            sum += request.cost;
        }
        return sum;
    }

    model_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::array<gate, 4> gates_;
    std::array<time_point, 4> paused_until_{};
    std::array<std::array<time_point, 4>, 4> broken_until_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<running_request> running_;
    bool up_ = true;
    incarnation_id incarnation_ = 1;
    std::uint64_t next_id_ = 0;
};

} // namespace cyclamenpost::testing
