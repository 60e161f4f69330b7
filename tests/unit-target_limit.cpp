#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <random>
#include <type_traits>
#include <utility>
#include <vector>

#include "cyclamenpost/routing/target_limit.hpp"

#include "property.hpp"

using namespace cyclamenpost;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr auto target_key = std::uint32_t{0x9e3779b9};
constexpr auto infinity = std::numeric_limits<double>::infinity();

/// Beginning of the virtual time; the shared clock is then close to 1.8e9 s.
constexpr auto start = time_point{seconds{86'400}};
constexpr auto wall_offset = duration{seconds{1'799'900'000}};

auto seconds_of(double value) -> duration
{
    return duration{std::llround(value * 1e6)};
}

/// What one target announces and how many requests reach each instance for it.
struct scenario {
    std::size_t instances = 8;
    double limit = 4.2;
    /// Requests per second and instance, in Poisson arrivals.
    double demand = 1.2;
    /// Silence before each clump of requests; none without one.
    duration silence{};
    /// Time with demand after each clump.
    duration busy{};
    std::size_t clump = 20;
    duration length = seconds{60};
    std::uint64_t seed = 1;
    /// Instances learn of the limit during this time.
    duration learning{};
    duration clock_error{};
    duration transit{};
    /// Every so often one instance restarts with an empty state, and one leaves or joins.
    duration restart_every{};
    duration change_every{};
    /// Time for which the member lists differ after a change.
    duration disagreement = seconds{2};
};

struct passed_requests {
    /// Times at which the counted requests reach the target.
    std::vector<time_point> counted;
    /// Requests per second, as a share of the limit.
    double use = 0;
    /// Highest number in any 4 s.
    std::size_t highest = 0;
};

struct simulated_instance {
    target_limit state;
    fleet_position position;
    bool member = true;
    /// Unset until the instance knows the limit.
    std::optional<time_point> learns_at;
    bool knows = false;
    /// When it adopts the newest list of members.
    time_point adopts_at{};
};

auto highest_in_window(std::vector<time_point> times) -> std::size_t
{
    std::sort(times.begin(), times.end());
    auto highest = std::size_t{0};
    auto first = std::size_t{0};
    for (auto last = std::size_t{0}; last < times.size(); ++last) {
        while (times[last] - times[first] > seconds{4}) {
            ++first;
        }
        highest = std::max(highest, last - first + 1);
    }
    return highest;
}

auto allowed(double limit) -> double
{
    return 1.5 * 4 * limit + 5;
}

/// Arrival times of all requests with their instances, in order.
auto arrivals_of(const scenario& load, std::mt19937_64& random)
    -> std::vector<std::pair<time_point, std::size_t>>
{
    auto arrivals = std::vector<std::pair<time_point, std::size_t>>{};
    auto gap = std::exponential_distribution<double>{load.demand};
    const auto period = load.silence + load.busy;
    for (auto instance = std::size_t{0}; instance < load.instances; ++instance) {
        if (load.silence > duration{}) {
            for (auto when = load.silence; when < load.length; when += period) {
                arrivals.insert(arrivals.end(), load.clump, {start + when, instance});
            }
        }
        for (auto when = seconds_of(gap(random)); when < load.length;
             when += seconds_of(gap(random))) {
            if (load.silence == duration{} || when % period >= load.silence) {
                arrivals.emplace_back(start + when, instance);
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

/// A fleet that shares one limited target.
class simulated_fleet {
public:
    explicit simulated_fleet(const scenario& load) : load_{load}, random_{load.seed}
    {
        fleet_.resize(load.instances);
        for (auto rank = std::size_t{0}; rank < fleet_.size(); ++rank) {
            auto& instance = fleet_[rank];
            const auto error = within(load.clock_error * 2) - load.clock_error;
            instance.position = {rank, fleet_.size(), wall_offset + error};
            instance.learns_at = start + within(load.learning);
        }
    }

    auto run() -> passed_requests
    {
        auto result = passed_requests{};
        auto next_restart = start + load_.restart_every;
        auto next_change = start + load_.change_every;
        for (const auto& [when, index] : arrivals_of(load_, random_)) {
            if (load_.restart_every > duration{} && when >= next_restart) {
                auto& restarted = fleet_[random_() % fleet_.size()];
                restarted.state = {};
                restarted.knows = false;
                restarted.learns_at.reset();
                next_restart += load_.restart_every;
            }
            if (load_.change_every > duration{} && when >= next_change) {
                change_members(when);
                next_change += load_.change_every;
            }
            arrive(fleet_[index], when, result);
        }
        result.use = static_cast<double>(result.counted.size()) * 1e6 /
                     static_cast<double>(load_.length.count()) / load_.limit;
        result.highest = highest_in_window(result.counted);
        return result;
    }

private:
    auto within(duration range) -> duration
    {
        return range > duration{} ? duration{static_cast<std::int64_t>(
                                        random_() % static_cast<std::uint64_t>(range.count() + 1))}
                                  : duration{};
    }

    /// One instance leaves, or the one that left joins again. The others learn of it within the
    /// time of disagreement.
    auto change_members(time_point when) -> void
    {
        if (away_) {
            fleet_[*away_].member = true;
            away_.reset();
        }
        else {
            away_ = random_() % fleet_.size();
            fleet_[*away_].member = false;
        }
        for (auto& instance : fleet_) {
            instance.adopts_at = when + within(load_.disagreement);
        }
    }

    /// Gives an instance the newest list of members once it learns of it.
    auto update_position(simulated_instance& instance, time_point when) -> void
    {
        if (instance.adopts_at == time_point{} || when < instance.adopts_at) {
            return;
        }
        const auto index = static_cast<std::size_t>(&instance - fleet_.data());
        instance.position.members = fleet_.size() - (away_ ? 1 : 0);
        instance.position.rank = away_ && *away_ < index ? index - 1 : index;
        instance.position.since = instance.adopts_at;
        instance.adopts_at = {};
    }

    auto arrive(simulated_instance& instance, time_point when, passed_requests& result) -> void
    {
        if (!instance.member) {
            return;
        }
        update_position(instance, when);
        if (!instance.knows && instance.learns_at && when >= *instance.learns_at) {
            note_limit(instance.state, load_.limit, *instance.learns_at, *instance.learns_at);
            instance.knows = true;
        }
        if (!has_turn(instance.state, instance.position, target_key, when)) {
            return;
        }
        use_turn(instance.state, instance.position, target_key, when);
        if (!instance.knows) {
            // the answer to the first request names the limit
            instance.learns_at = instance.learns_at.value_or(when + milliseconds{60});
            return;
        }
        note_limit(instance.state, load_.limit, when, when);
        const auto unmeasured = load_.learning > duration{} || load_.restart_every > duration{}
                                    ? milliseconds{500}
                                    : milliseconds{0};
        if (when >= *instance.learns_at + unmeasured) {
            result.counted.push_back(when + within(load_.transit));
        }
    }

    scenario load_;
    std::mt19937_64 random_;
    std::vector<simulated_instance> fleet_;
    std::optional<std::size_t> away_;
};

constexpr std::size_t fleet_sizes[] = {8, 67, 195, 390};
constexpr double limits[] = {0.25, 1.2, 4.2, 40};

/// Runs all loads for one fleet size and limit and checks the bound. Returns the lowest use of the
/// limit with sufficient steady demand, negative without any.
auto run_loads(scenario base) -> double
{
    auto least_used = 2.0;
    const auto run = [&](const scenario& load) {
        auto passed = simulated_fleet{load}.run();
        INFO("instances " << load.instances << ", limit " << load.limit << ", demand "
                          << load.demand << ", silence " << load.silence.count() << ", busy "
                          << load.busy.count() << ", seed " << load.seed);
        CHECK(static_cast<double>(passed.highest) <= allowed(load.limit));
        return passed;
    };
    for (auto seed = std::uint64_t{1}; seed <= 2; ++seed) {
        base.seed = seed;
        for (const auto demand : {1.2, 4.0}) {
            auto load = base;
            load.demand = demand;
            const auto steady = run(load);
            if (demand * static_cast<double>(load.instances) >= 2 * load.limit) {
                least_used = std::min(least_used, steady.use);
            }
            load.silence = seconds{10};
            load.busy = seconds{5};
            run(load);
        }
        auto clumps = base;
        clumps.silence = seconds{10};
        run(clumps);
    }
    return least_used > 1.5 ? -1 : least_used;
}

} // namespace

// Guards against a limit that is exceeded or left unused because instances divide it badly.
TEST_CASE("target limit: a fleet keeps within the limit and uses four fifths of it")
{
    for (const auto instances : fleet_sizes) {
        for (const auto limit : limits) {
            auto load = scenario{};
            load.instances = instances;
            load.limit = limit;
            // 100 turns at 0.25 requests per second
            load.length = limit < 1 ? seconds{400} : seconds{100};
            INFO("instances " << instances << ", limit " << limit);
            const auto used = run_loads(load);
            if (used >= 0) {
                CHECK(used >= 0.8);
            }
        }
    }
}

// Guards against an excess that only arises when instances differ in what they know: of the limit,
// of the time, of the members and of the turns already used.
TEST_CASE("target limit: the bound holds while instances learn, restart, leave and disagree")
{
    enum class disturbance { learning, restarts, clocks, members, transit, all };
    for (const auto kind : {disturbance::learning, disturbance::restarts, disturbance::clocks,
                            disturbance::members, disturbance::transit, disturbance::all}) {
        for (const auto instances : fleet_sizes) {
            for (const auto limit : limits) {
                const auto has = [kind](disturbance one) {
                    return kind == one || kind == disturbance::all;
                };
                auto load = scenario{};
                load.instances = instances;
                load.limit = limit;
                load.length = seconds{60};
                load.learning = has(disturbance::learning) ? seconds{3} : seconds{0};
                load.restart_every = has(disturbance::restarts) ? seconds{4} : seconds{0};
                load.clock_error = has(disturbance::clocks) ? milliseconds{100} : milliseconds{0};
                load.change_every = has(disturbance::members) ? seconds{7} : seconds{0};
                load.transit = has(disturbance::transit) ? milliseconds{50} : milliseconds{0};
                INFO("disturbance " << static_cast<int>(kind));
                run_loads(load);
            }
        }
    }
}

namespace {

/// Position of the only instance of a fleet, which owns every turn.
constexpr auto alone = fleet_position{0, 1, wall_offset, {}};

auto after(double when) -> time_point
{
    return start + seconds_of(when);
}

/// Announces a limit as of the given time.
auto announce(target_limit& limit, std::optional<double> announced, double when) -> limit_change
{
    return note_limit(limit, announced, after(when), after(when));
}

/// Requests that may be sent at one moment.
auto pass_at_once(target_limit limit, const fleet_position& position, time_point now) -> int
{
    auto passed = 0;
    while (passed < 20'000 && has_turn(limit, position, target_key, now)) {
        use_turn(limit, position, target_key, now);
        ++passed;
    }
    return passed;
}

/// How the instances learn what the target announces.
enum class news {
    /// All at once.
    common,
    /// Each from its own answers, and from reports of the others that take up to 1 s.
    reports,
};

/// A report on its way: the time of its arrival, the receiver, the value and its time.
struct report {
    time_point arrives;
    std::size_t receiver;
    double value;
    time_point as_of;
};

/// Highest number of requests in any 4 s, and requests per second, of a fleet that has more demand
/// than turns, while the target announces what `announced` returns for a time.
template <typename Announced>
auto requests_with_announcements(std::size_t instances, news kind, std::uint64_t seed,
                                 Announced&& announced) -> std::pair<std::size_t, double>
{
    auto random = std::mt19937_64{seed};
    const auto first_value = announced(duration{});
    auto states = std::vector<target_limit>(instances);
    for (auto& state : states) {
        note_limit(state, first_value, start, start);
    }
    const auto later = [](const report& left, const report& right) {
        return left.arrives > right.arrives;
    };
    auto reports = std::priority_queue<report, std::vector<report>, decltype(later)>{later};
    auto passed = std::vector<time_point>{};
    for (auto now = start; now < start + seconds{60}; now += milliseconds{20}) {
        if (kind == news::common && (now - start) % milliseconds{100} == duration{}) {
            const auto value = announced(now - start);
            for (auto& state : states) {
                note_limit(state, value, now, now);
            }
        }
        for (; !reports.empty() && reports.top().arrives <= now; reports.pop()) {
            const auto& next = reports.top();
            note_limit(states[next.receiver], next.value, next.as_of, now);
        }
        const auto begin = random() % instances;
        for (auto count = std::size_t{0}; count < instances; ++count) {
            const auto rank = (begin + count) % instances;
            const auto position = fleet_position{rank, instances, wall_offset, {}};
            if (!has_turn(states[rank], position, target_key, now)) {
                continue;
            }
            use_turn(states[rank], position, target_key, now);
            passed.push_back(now);
            if (kind == news::reports) {
                const auto value = announced(now - start);
                note_limit(states[rank], value, now, now);
                for (auto other = std::size_t{0}; other < instances; ++other) {
                    if (other != rank) {
                        reports.push({now + milliseconds{random() % 1000}, other, value, now});
                    }
                }
            }
        }
    }
    return {highest_in_window(passed), static_cast<double>(passed.size()) / 60};
}

} // namespace

// Guards against a value that replaces a lower one before 4 s have passed, or is kept for long.
TEST_CASE("target limit: the lowest value of the last 4 s applies")
{
    auto limit = target_limit{};
    CHECK(!current_limit(limit, start));
    CHECK(announce(limit, 4, 0) == limit_change::began);
    CHECK(announce(limit, 40, 0.1) == limit_change::none);
    CHECK(current_limit(limit, after(4)) == 4);
    // at the latest half a second after the window, also without another announcement
    CHECK(current_limit(limit, after(4.5)) == 40);
    CHECK(current_limit(limit, after(3600)) == 40);
    CHECK(announce(limit, 40, 5) == limit_change::changed);
    CHECK(announce(limit, 37, 6) == limit_change::none);
    CHECK(current_limit(limit, after(6)) == 37);
    CHECK(announce(limit, 35, 7) == limit_change::changed);
    // each change is small, but not their sum
    CHECK(announce(limit, 34, 8) == limit_change::none);
    CHECK(announce(limit, 31, 9) == limit_change::changed);
    CHECK(current_limit(limit, after(3600)) == 31);
    CHECK(announce(limit, 8, 3600) == limit_change::changed);
    CHECK(current_limit(limit, after(3600)) == 8);
}

// Guards against a window that forgets values: compares it with a list of all announcements.
TEST_CASE("target limit: the window agrees with a list of all announcements")
{
    auto random = std::mt19937_64{3};
    auto limit = target_limit{};
    auto all = std::vector<std::pair<time_point, double>>{};
    const auto lowest_since = [&all](time_point from) {
        auto lowest = all.back().second;
        for (const auto& [when, value] : all) {
            lowest = when > from ? std::min(lowest, value) : lowest;
        }
        return lowest;
    };
    for (auto when = start; when < start + seconds{300};) {
        when += milliseconds{random() % 8 == 0 ? random() % 6000 : random() % 400};
        const auto value = static_cast<double>(250 + random() % 50'000) / 1000;
        note_limit(limit, value, when, when);
        all.emplace_back(when, value);
        const auto now = when + milliseconds{random() % 200};
        const auto current = current_limit(limit, now);
        REQUIRE(current);
        CHECK(*current <= lowest_since(now - limit_window));
        CHECK(*current >= lowest_since(now - limit_window - limit_window_part));
    }
}

// Guards against turns that are given again with each change of the limit.
TEST_CASE("target limit: the bound holds for a limit that changes in every answer")
{
    for (const auto instances : fleet_sizes) {
        for (const auto kind : {news::common, news::reports}) {
            for (auto seed = std::uint64_t{1}; seed <= 2; ++seed) {
                INFO("instances " << instances << ", news " << static_cast<int>(kind) << ", seed "
                                  << seed);
                auto random = std::mt19937_64{seed};
                const auto noise = [&random](duration) {
                    return 4 + static_cast<double>(random() % 1000) / 1000;
                };
                const auto noisy = requests_with_announcements(instances, kind, seed, noise).first;
                CHECK(static_cast<double>(noisy) <= allowed(4));
                auto flip = false;
                const auto flaps = [&flip](duration) { return (flip = !flip) ? 4.0 : 40.0; };
                const auto [flapping, rate] =
                    requests_with_announcements(instances, kind, seed, flaps);
                CHECK(static_cast<double>(flapping) <= allowed(4));
                CHECK(rate >= 0.8 * 4);
                // falls by 2% every 0.1 s; the bound is that of the highest value
                const auto falls = [](duration when) {
                    const auto steps = static_cast<double>(when / milliseconds{100});
                    return std::max(1.0, 40 * std::pow(0.98, steps));
                };
                const auto falling =
                    requests_with_announcements(instances, kind, seed, falls).first;
                CHECK(static_cast<double>(falling) <= allowed(40));
            }
        }
    }
}

// Guards against a fleet that keeps the turns of a higher limit after it has fallen, or does not
// use a risen one.
TEST_CASE("target limit: a limit that falls and rises applies within 4.5 s")
{
    auto limit = target_limit{};
    announce(limit, 40, 0);
    CHECK(pass_at_once(limit, alone, after(60)) >= 60);
    announce(limit, 4, 60);
    CHECK(pass_at_once(limit, alone, after(60)) == 0);
    CHECK(pass_at_once(limit, alone, after(61)) == 4);
    announce(limit, 40, 62);
    CHECK(current_limit(limit, after(63.9)) == 4);
    CHECK(current_limit(limit, after(64.5)) == 40);
    CHECK(pass_at_once(limit, alone, after(64.5)) <= 1);
    CHECK(pass_at_once(limit, alone, after(65.5)) == 40);
}

// Guards against a limit that stays after the target has revoked it, that an old answer ends, or
// that late news begins again.
TEST_CASE("target limit: it ends with an attempt begun after the last announcement")
{
    auto limit = target_limit{};
    CHECK(announce(limit, std::nullopt, 0) == limit_change::none);
    CHECK(announce(limit, 1, 1) == limit_change::began);
    // answers without a limit to attempts from before the announcement, and at its time
    CHECK(note_limit(limit, std::nullopt, after(0.5), after(2)) == limit_change::none);
    CHECK(note_limit(limit, std::nullopt, after(1), after(2)) == limit_change::none);
    CHECK(current_limit(limit, after(2)) == 1);
    CHECK(note_limit(limit, std::nullopt, after(1.5), after(2)) == limit_change::ended);
    CHECK(!current_limit(limit, after(2)));
    CHECK(pass_at_once(limit, alone, after(2)) == 20'000);
    CHECK(pass_at_once(limit, fleet_position{}, after(2)) == 20'000);
    // a late copy of the announcement
    CHECK(note_limit(limit, 1, after(1.2), after(2)) == limit_change::none);
    CHECK(!current_limit(limit, after(2)));
    CHECK(announce(limit, 2, 3) == limit_change::began);
    CHECK(current_limit(limit, after(3)) == 2);
    // nothing of the first limit is left
    CHECK(pass_at_once(limit, alone, after(3)) == 0);
    CHECK(announce(limit, std::nullopt, 4) == limit_change::ended);
    CHECK(announce(limit, std::nullopt, 5) == limit_change::none);
    CHECK(note_limit(limit, 2, after(4.5), after(6)) == limit_change::none);
    CHECK(announce(limit, 2, 6) == limit_change::began);
}

// Guards against a report of another instance that raises the limit, is ignored although lower, or
// makes an old limit look new.
TEST_CASE("target limit: news from within the window can only lower the limit")
{
    auto limit = target_limit{};
    announce(limit, 10, 10);
    CHECK(note_limit(limit, 20, after(9), after(10)) == limit_change::none);
    CHECK(current_limit(limit, after(10)) == 10);
    CHECK(note_limit(limit, 4, after(9), after(10)) == limit_change::changed);
    CHECK(current_limit(limit, after(10)) == 4);
    CHECK(current_limit(limit, after(13.5)) == 10);
    CHECK(note_limit(limit, 4, after(2), after(14)) == limit_change::changed);
    CHECK(current_limit(limit, after(14)) == 10);
    CHECK(limit.announced_at == after(10));
    // a time in the future must not keep later answers from ending the limit
    CHECK(note_limit(limit, 10, after(1000), after(15)) == limit_change::none);
    CHECK(note_limit(limit, std::nullopt, after(16), after(16)) == limit_change::ended);
}

// Guards against values of a faulty target that stop its requests, or end the limit.
TEST_CASE("target limit: bad values do no harm")
{
    auto limit = target_limit{};
    for (const auto value : {-1.0, -infinity, infinity, std::nan("")}) {
        CHECK(announce(limit, value, 1) == limit_change::none);
        CHECK(!current_limit(limit, after(1)));
    }
    CHECK(announce(limit, 1e300, 2) == limit_change::none);
    CHECK(announce(limit, max_target_limit, 3) == limit_change::began);
    CHECK(current_limit(limit, after(3)) == max_target_limit);
    CHECK(announce(limit, 7, 4) == limit_change::changed);
    for (const auto value : {-1.0, -0.001, -infinity, infinity, std::nan("")}) {
        CHECK(announce(limit, value, 5) == limit_change::none);
        CHECK(current_limit(limit, after(5)) == 7);
    }
    CHECK(announce(limit, 100'001, 6) == limit_change::ended);
    for (const auto value : {0.0, -0.0, 1e-300, 0.1, 0.25}) {
        limit = {};
        CHECK(announce(limit, value, 7) == limit_change::began);
        CHECK(current_limit(limit, after(7)) == min_target_limit);
        CHECK(pass_at_once(limit, alone, after(60)) >= 1);
    }
}

// Guards against requests that are saved up while there is no demand.
TEST_CASE("target limit: unused turns expire")
{
    for (const auto instances : fleet_sizes) {
        for (const auto value : {0.25, 1.2, 4.2, 40.0, 100'000.0}) {
            INFO("instances " << instances << ", limit " << value);
            auto limit = target_limit{};
            announce(limit, value, 0);
            const auto validity = static_cast<double>(turn_validity(value).count()) / 1e6;
            auto all = 0;
            for (auto rank = std::size_t{0}; rank < instances; ++rank) {
                const auto position = fleet_position{rank, instances, wall_offset, {}};
                const auto passed = pass_at_once(limit, position, after(60));
                CHECK(passed < 20'000);
                CHECK(passed <= validity * value / static_cast<double>(instances) + 1);
                all += passed;
            }
            // together they own each turn once; the time of a request is rounded to 1 us
            CHECK(std::abs(all - validity * value) <= 1);
        }
    }
}

// Guards against turns that two instances own, or none, because times near 1.8e9 s are not exact.
TEST_CASE("target limit: each turn has one owner at the highest limit")
{
    for (const auto value : {0.25, 3.333, 40.0, 99'999.9, 100'000.0}) {
        for (const auto instances : fleet_sizes) {
            INFO("instances " << instances << ", limit " << value);
            const auto span = value > 1000 ? milliseconds{10} : milliseconds{40'000};
            const auto begin = after(100);
            auto turns = 0.0;
            for (auto rank = std::size_t{0}; rank < instances; ++rank) {
                const auto position = fleet_position{rank, instances, wall_offset, {}};
                auto limit = target_limit{};
                note_limit(limit, value, begin, begin);
                for (auto now = begin; now <= begin + span;) {
                    use_turn(limit, position, target_key, now);
                    turns += limit.used_until > std::chrono::nanoseconds{} ? 1 : 0;
                    const auto next = next_turn(limit, position, target_key, now);
                    REQUIRE(next);
                    now = *next;
                }
            }
            const auto expected = value * static_cast<double>(span.count()) / 1000;
            CHECK(turns >= expected - 1);
            CHECK(turns <= expected + 1);
        }
    }
}

// Guards against an instance without members that sends to a limited target, or divides by zero.
TEST_CASE("target limit: an instance that does not know the fleet has no turns")
{
    auto limit = target_limit{};
    announce(limit, 40, 0);
    const auto unknown = fleet_position{3, 0, wall_offset, {}};
    CHECK(!has_turn(limit, unknown, target_key, after(60)));
    CHECK(!next_turn(limit, unknown, target_key, after(60)));
    use_turn(limit, unknown, target_key, after(60));
    CHECK(limit.used_until == std::chrono::nanoseconds{});
}

// Guards against waiting requests that are woken too early, too late or never.
TEST_CASE("target limit: next_turn agrees with has_turn")
{
    check_property(
        [] {
            const auto thousandths = *rc::gen::weightedOneOf<std::int64_t>(
                {{4, rc::gen::inRange<std::int64_t>(250, 50'000)},
                 {1, rc::gen::inRange<std::int64_t>(50'000, 100'000'001)}});
            const auto members = *rc::gen::inRange<std::size_t>(1, 500);
            const auto rank = *rc::gen::inRange<std::size_t>(0, members);
            const auto key = *rc::gen::arbitrary<std::uint32_t>();
            const auto position = fleet_position{rank, members, wall_offset, {}};
            auto now = start + duration{*rc::gen::inRange<std::int64_t>(0, 1'000'000'000)};
            auto limit = target_limit{};
            note_limit(limit, static_cast<double>(thousandths) / 1000, now, now);
            now += duration{*rc::gen::inRange<std::int64_t>(0, 20'000'000)};
            for (auto step = 0; step < 20; ++step) {
                const auto next = next_turn(limit, position, key, now);
                RC_ASSERT(next.has_value());
                RC_ASSERT(has_turn(limit, position, key, now) == (*next == now));
                RC_ASSERT(has_turn(limit, position, key, *next));
                RC_ASSERT(*next - now <= seconds_of(static_cast<double>(members) * 1000 /
                                                    static_cast<double>(thousandths)) +
                                             duration{2});
                if (*next > now) {
                    const auto wait = (*next - now).count();
                    const auto early = now + duration{*rc::gen::inRange<std::int64_t>(0, wait)};
                    RC_ASSERT(!has_turn(limit, position, key, early));
                    RC_ASSERT(!has_turn(limit, position, key, *next - duration{1}));
                    RC_ASSERT(next_turn(limit, position, key, early) == next);
                }
                now = *next;
                const auto before = limit.used_until;
                use_turn(limit, position, key, now);
                RC_ASSERT(limit.used_until > before);
                const auto shared = now.time_since_epoch() + position.clock_offset;
                RC_ASSERT(limit.used_until <= shared);
                RC_ASSERT(limit.used_until >
                          shared - turn_validity(static_cast<double>(thousandths) / 1000));
                // the number of the turn belongs to this instance
                const auto interval = (1'000'000'000'000 + thousandths / 2) / thousandths;
                RC_ASSERT(limit.used_until.count() % interval == 0);
                RC_ASSERT(static_cast<std::uint64_t>(limit.used_until.count() / interval) %
                              members ==
                          (rank + key) % members);
            }
        },
        500);
}

// Guards against a state that grows with turns, time or announcements, and so against calls that
// take longer: the state has a fixed size, and a call reads each of its few parts a fixed number of
// times whatever the limit, the time since the last use and the number of members.
TEST_CASE("target limit: the state has a fixed size")
{
    static_assert(std::is_trivially_copyable_v<target_limit>);
    static_assert(sizeof(target_limit) <= 160);
    CHECK(target_limit{}.lowest.size() == 9);
    // a year without a request: a loop over turns would take 3e12 steps
    auto limit = target_limit{};
    announce(limit, max_target_limit, 0);
    const auto year = after(365.0 * 86'400);
    CHECK(has_turn(limit, alone, target_key, year));
    use_turn(limit, alone, target_key, year);
    CHECK(next_turn(limit, alone, target_key, year) == year);
}
