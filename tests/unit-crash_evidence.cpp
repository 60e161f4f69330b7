#include <map>
#include <random>

#include <doctest/doctest.h>

#include "cyclamenpost/limits/crash_evidence.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t common_part = 0xA;
constexpr std::uint64_t topic_part = 0xB;
constexpr std::uint64_t deadly_part = 0xD;

auto at(duration after) -> time_point
{
    return time_point{} + 1h + after;
}

auto keys_of(const std::vector<std::uint64_t>& parts, std::uint64_t whole) -> content_keys
{
    auto keys = content_keys{};
    for (const auto part : parts) {
        keys.push_back({part, static_cast<std::uint32_t>(keys.size())});
    }
    keys.push_back({whole, whole_content_depth});
    return keys;
}

/// Adds crashes of as many targets, 200 ms apart, of different requests with the same parts.
auto add_crashes(crash_evidence& evidence, const std::vector<std::uint64_t>& parts, int count,
                 time_point first, std::uint32_t first_target = 0) -> void
{
    for (auto index = 0; index < count; ++index) {
        const auto target = first_target + static_cast<std::uint32_t>(index);
        add_crash(evidence, {target, 1, first + index * 200ms, keys_of(parts, 1000 + target)});
    }
}

auto blocked_at(crash_evidence& evidence, time_point now) -> std::set<std::uint64_t>
{
    update_blocked(evidence, now, {});
    return evidence.blocked;
}

using id_set = std::set<std::uint64_t>;

} // namespace

TEST_CASE("crash_evidence: the part of a prompt that crashes targets is blocked, and no part that "
          "others share with it")
{
    auto evidence = crash_evidence{};
    add_crashes(evidence, {common_part, topic_part, deadly_part}, 3, at(0s));
    CHECK(blocked_at(evidence, at(900ms)).empty());
    CHECK(blocked_at(evidence, at(1s)) == id_set{deadly_part});
    CHECK(is_blocked(evidence, keys_of({common_part, 7, deadly_part}, 5)));
    CHECK_FALSE(is_blocked(evidence, keys_of({common_part, topic_part}, 6)));
}

TEST_CASE("crash_evidence: two crashes block nothing, nor do two reports of one crash")
{
    auto evidence = crash_evidence{};
    add_crashes(evidence, {common_part, deadly_part}, 2, at(0s));
    add_crashes(evidence, {common_part, deadly_part}, 2, at(100ms));
    CHECK(evidence.crashes.size() == 2);
    CHECK(blocked_at(evidence, at(5s)).empty());
}

TEST_CASE(
    "crash_evidence: an answer that began after the crashes clears a part, one before does not")
{
    auto evidence = crash_evidence{};
    add_crashes(evidence, {common_part}, 3, at(0s));
    add_begun(evidence, {common_part, at(-10ms)});
    CHECK(blocked_at(evidence, at(2s)) == id_set{common_part});
    CHECK(add_begun(evidence, {common_part, at(500ms)}));
    CHECK_FALSE(add_begun(evidence, {common_part, at(400ms)}));
    CHECK(blocked_at(evidence, at(2s)).empty());
}

TEST_CASE(
    "crash_evidence: a rack of targets that crashes at once blocks nothing while answers go on")
{
    auto evidence = crash_evidence{};
    for (auto target = 0U; target < 30; ++target) {
        add_crash(evidence, {target, 1, at(0s), keys_of({common_part, target % 20}, 100 + target)});
    }
    CHECK(blocked_at(evidence, at(100ms)).empty());
    add_begun(evidence, {common_part, at(300ms)});
    CHECK(blocked_at(evidence, at(2s)).empty());
}

TEST_CASE("crash_evidence: requests that ran beside the deadly ones stay out of suspicion")
{
    auto evidence = crash_evidence{};
    for (auto target = 0U; target < 6; ++target) {
        const auto when = at(target * 200ms);
        add_crash(evidence, {target, 1, when, keys_of({common_part, deadly_part}, 100 + target)});
        // the same neighbour, sent again after each crash
        add_crash(evidence, {target, 1, when, keys_of({common_part, topic_part}, 99)});
    }
    add_crash(evidence, {50, 1, at(1s), keys_of({common_part, deadly_part}, 200)});
    add_crash(evidence, {51, 1, at(1s), keys_of({common_part, deadly_part}, 201)});
    add_crash(evidence, {52, 1, at(1s), keys_of({common_part, deadly_part}, 202)});
    CHECK(blocked_at(evidence, at(2s)) == id_set{deadly_part});
}

TEST_CASE("crash_evidence: a part that crashes targets is found behind one request and its repeats")
{
    auto evidence = crash_evidence{};
    for (auto target = 0U; target < 4; ++target) {
        add_crash(evidence,
                  {target, 1, at(target * 200ms), keys_of({common_part, deadly_part}, 1)});
    }
    CHECK(blocked_at(evidence, at(2s)) == id_set{1});
    add_crash(evidence, {9, 1, at(2s), keys_of({common_part, deadly_part}, 2)});
    CHECK(blocked_at(evidence, at(2s)) == id_set{deadly_part});
}

TEST_CASE("crash_evidence: a whole request without a prompt that crashes targets is blocked")
{
    auto evidence = crash_evidence{};
    for (auto target = 0U; target < 3; ++target) {
        add_crash(evidence, {target, 1, at(target * 100ms), keys_of({}, 1)});
        add_crash(evidence, {target, 1, at(target * 100ms), keys_of({}, 10 + target)});
    }
    CHECK(blocked_at(evidence, at(1s)) == id_set{1});
}

TEST_CASE("crash_evidence: a crash that its target survived does not count")
{
    // targets lose the answers of part of their requests and go on serving the others
    auto evidence = crash_evidence{};
    add_crashes(evidence, {deadly_part}, 3, at(0s));
    const auto first_survived = [](std::uint32_t target, incarnation_id incarnation,
                                   time_point seen) {
        CHECK(incarnation == 1);
        CHECK(seen >= at(0s));
        return target == 0;
    };
    update_blocked(evidence, at(2s), first_survived);
    CHECK(evidence.blocked.empty());
    CHECK(evidence.crashes.size() == 2);
}

TEST_CASE("crash_evidence: after the block one crash is enough to renew it, and an answer ends it")
{
    auto evidence = crash_evidence{};
    add_crashes(evidence, {common_part, deadly_part}, 3, at(0s));
    add_begun(evidence, {common_part, at(1s)});
    CHECK(blocked_at(evidence, at(9min)) == id_set{deadly_part});
    CHECK(blocked_at(evidence, at(11min)).empty());
    add_crash(evidence, {9, 1, at(11min), keys_of({common_part, deadly_part}, 2)});
    CHECK(blocked_at(evidence, at(11min)) == id_set{deadly_part});
    CHECK(blocked_at(evidence, at(22min)).empty());
    add_begun(evidence, {deadly_part, at(22min)});
    add_crash(evidence, {10, 1, at(23min), keys_of({common_part, deadly_part}, 3)});
    CHECK(blocked_at(evidence, at(24min)).empty());
}

TEST_CASE("crash_evidence: the evidence is bounded, and crashes behind a block are kept longest")
{
    auto evidence = crash_evidence{};
    evidence.settings.max_crashes = 20;
    evidence.settings.max_keys = 8;
    evidence.settings.max_begun = 50;
    add_crashes(evidence, {deadly_part}, 3, at(0s));
    REQUIRE(blocked_at(evidence, at(1s)) == id_set{deadly_part});
    auto next_key = std::uint64_t{10'000};
    for (auto target = 100U; target < 300; ++target) {
        for (auto key = 0; key < 20; ++key) {
            add_crash(evidence, {target, 1, at(2s), keys_of({next_key++}, target)});
        }
        add_begun(evidence, {target, at(2s)});
    }
    CHECK(evidence.crashes.size() <= 20);
    CHECK(evidence.crashes.back().keys.size() <= 8);
    CHECK(evidence.begun.size() <= 50);
    CHECK(blocked_at(evidence, at(4s)).contains(deadly_part));
    const auto shared = evidence_to_share(evidence, at(4s));
    CHECK(shared.crashes.size() <= 24);
    auto shared_keys = std::size_t{0};
    for (const auto& crash : shared.crashes) {
        shared_keys += crash.keys.size();
    }
    CHECK(shared_keys <= 128);
    CHECK(shared.begun.size() <= 32);
}

TEST_CASE("crash_evidence: an instance that learns the shared evidence blocks the same")
{
    auto evidence = crash_evidence{};
    add_crashes(evidence, {common_part, topic_part, deadly_part}, 8, at(0s));
    add_begun(evidence, {common_part, at(1700ms)});
    REQUIRE(blocked_at(evidence, at(3s)) == id_set{deadly_part});
    for (const auto later : {4s, 60s, 300s}) {
        auto started = crash_evidence{};
        const auto shared = evidence_to_share(evidence, at(later));
        for (const auto& crash : shared.crashes) {
            add_crash(started, crash);
        }
        for (const auto& answer : shared.begun) {
            add_begun(started, answer);
        }
        CHECK(blocked_at(started, at(later)) == id_set{deadly_part});
    }
    CHECK(evidence_to_share(crash_evidence{}, at(0s)).crashes.empty());
}

namespace {

/// A fleet that sends prompts, of which some hold a part that crashes targets, in virtual time.
struct tainted_fleet {
    std::size_t instances = 9;
    std::uint32_t targets = 12;
    double per_second = 100;
    double tainted_share = 0.05;
    /// Instances that reach only half of the others, and one that starts after six seconds.
    std::size_t half_cut = 2;
    duration stable = 3s;
    time_point late_start = at(6s);
    std::mt19937_64 random;

    struct message {
        time_point arrival;
        std::size_t to;
        shared_evidence known;
    };
    std::vector<crash_evidence> known{};
    std::vector<message> messages{};
    std::map<std::uint32_t, time_point> down_until{};
    std::uint32_t incarnation = 1;
    std::vector<time_point> crashes{};
    int late_requests = 0;
    int sound_refused = 0;
    int sound_sent = 0;

    auto reaches(std::size_t from, std::size_t to) const -> bool
    {
        const auto is_cut = [&](std::size_t one, std::size_t other) {
            return one < half_cut && other % 2 == 1;
        };
        return from != to && !is_cut(from, to) && !is_cut(to, from);
    }

    auto send(std::size_t from, std::size_t to, const shared_evidence& what, time_point now) -> void
    {
        if (reaches(from, to)) {
            messages.push_back({now + 5ms + std::chrono::milliseconds{random() % 20}, to, what});
        }
    }

    auto deliver(time_point now) -> void
    {
        std::erase_if(messages, [&](const message& next) {
            if (next.arrival > now) {
                return false;
            }
            for (const auto& crash : next.known.crashes) {
                add_crash(known[next.to], crash);
            }
            for (const auto& answer : next.known.begun) {
                add_begun(known[next.to], answer);
            }
            return true;
        });
    }

    auto request(std::size_t instance, time_point now) -> void
    {
        const auto tainted =
            now > at(2s) && std::uniform_real_distribution{}(random) < tainted_share;
        auto parts = std::vector<std::uint64_t>{1 + random() % 3, 100 + random() % 80};
        if (tainted) {
            parts = {1, 100, deadly_part};
        }
        const auto keys = keys_of(parts, random());
        // a request that a crash ended is sent once more
        for (auto attempt = 0; attempt < (tainted ? 2 : 1); ++attempt) {
            if (is_blocked(known[instance], keys)) {
                sound_refused += tainted ? 0 : 1;
                return;
            }
            const auto target = static_cast<std::uint32_t>(random() % targets);
            if (now < down_until[target]) {
                return;
            }
            if (!tainted) {
                ++sound_sent;
                for (const auto& key : keys) {
                    add_begun(known[instance], {key.id, now});
                }
                return;
            }
            // the rule gives an instance that has just started the same time to learn
            const auto has_had_time = instance != instances - 1 || now > late_start + stable;
            late_requests +=
                has_had_time && crashes.size() >= 5 && now > crashes[4] + stable ? 1 : 0;
            crash(instance, target, keys, now);
        }
    }

    auto crash(std::size_t instance, std::uint32_t target, const content_keys& keys, time_point now)
        -> void
    {
        crashes.push_back(now);
        down_until[target] = now + 3s;
        auto own = target_crash{target, incarnation, now, keys};
        add_crash(known[instance], own);
        for (std::size_t other = 0; other < instances; ++other) {
            send(instance, other, {{own}, {}}, now);
        }
        // requests of other instances that the target had not begun to answer
        for (auto beside = 0; beside < 3; ++beside) {
            const auto seen_at = random() % instances;
            const auto bystander =
                target_crash{target, incarnation, now,
                             keys_of({1 + random() % 3, 100 + random() % 80}, random())};
            add_crash(known[seen_at], bystander);
            for (std::size_t other = 0; other < instances; ++other) {
                send(seen_at, other, {{bystander}, {}}, now);
            }
        }
        ++incarnation;
    }

    auto run() -> void
    {
        known.resize(instances);
        const auto starts_late = instances - 1;
        const auto step = 5ms;
        auto arrivals = std::poisson_distribution<int>{per_second * 0.005};
        for (auto now = at(0s); now < at(40s); now += step) {
            deliver(now);
            if (now == late_start) {
                known[starts_late] = crash_evidence{};
            }
            for (auto left = arrivals(random); left > 0; --left) {
                const auto instance = random() % instances;
                if (instance != starts_late || now > late_start + 500ms) {
                    request(instance, now);
                }
            }
            const auto millisecond = (now - at(0s)) / 1ms;
            for (std::size_t index = 0; index < instances; ++index) {
                if (millisecond % 100 == 0) {
                    update_blocked(known[index], now, {});
                }
                if (millisecond % 500 == 0) {
                    const auto shared = evidence_to_share(known[index], now);
                    for (auto sent = 0; sent < 2 && !shared.crashes.empty(); ++sent) {
                        send(index, random() % instances, shared, now);
                    }
                }
            }
        }
    }
};

} // namespace

TEST_CASE(
    "crash_evidence: no more than three requests with a deadly part reach targets after five "
    "crashes and the time to tell, also with instances cut off from half of the others and one "
    "that starts late")
{
    for (const auto instances : {9U, 30U}) {
        for (const auto share : {0.02, 0.05, 0.2}) {
            for (const auto seed : {1U, 2U, 3U, 4U}) {
                auto fleet = tainted_fleet{};
                fleet.instances = instances;
                fleet.targets = instances + 3;
                fleet.per_second = 10.0 * instances;
                fleet.tainted_share = share;
                fleet.random.seed(seed);
                fleet.run();
                CAPTURE(instances);
                CAPTURE(share);
                CAPTURE(seed);
                CAPTURE(fleet.crashes.size());
                CHECK(fleet.late_requests <= 3);
                CHECK(fleet.sound_sent > 0);
                // one in a hundred; the users call half of the requests lost
                CHECK(fleet.sound_refused * 100 <= fleet.sound_sent);
            }
        }
    }
}
