#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// What a message says of one target.
struct fleet_entry {
    /// Key of the target's id (`name_key`).
    std::uint32_t target = 0;
    /// Low bits of the target's start time (`start_bits`).
    std::uint32_t start = 0;
    /// Counts as of the time at which the list was made.
    fleet_figures figures;
};

/// Figures that one instance sends to others.
struct fleet_list {
    fleet_scope scope = fleet_scope::instance;
    std::uint32_t sequence = 0;
    /// Targets that are not listed keep what the sender said of them before.
    bool partial = false;
    std::vector<fleet_entry> entries;
};

/// Sender of a list.
struct fleet_sender {
    /// Key of the sender's id (`name_key`).
    std::uint32_t key = 0;
    std::uint64_t start_ms = 0;
    /// The sender is in the zone of this instance.
    bool same_zone = false;
};

/// What became of a list.
enum class fleet_merge {
    accepted,
    /// A list of this sender with this or a higher sequence number came before.
    out_of_order,
    /// The scope does not fit the sender's zone.
    wrong_zone,
};

inline constexpr std::array fleet_merge_names{
    enum_name<fleet_merge>{fleet_merge::accepted, "accepted"},
    enum_name<fleet_merge>{fleet_merge::out_of_order, "out_of_order"},
    enum_name<fleet_merge>{fleet_merge::wrong_zone, "wrong_zone"},
};

/// Result of merging a list.
struct fleet_merge_result {
    fleet_merge outcome = fleet_merge::accepted;
    /// Entries for unknown targets or for another incarnation.
    std::size_t ignored = 0;
};

/// Longest list. Failing targets come first.
inline constexpr std::size_t max_fleet_entries = 100;
inline constexpr std::size_t max_partial_entries = 32;

/// Time for which figures of others are valid.
inline constexpr duration max_fleet_age = std::chrono::seconds{2};

/// Low bits of a target's start time; they distinguish its incarnations in messages.
auto start_bits(const published_target& entry) -> std::uint32_t;

/// Records how an attempt ended. Failures become news for others.
auto record_attempt(target_table& table, target& used, bool answered, time_point now) -> void;

/// Records the time that a target took to the first byte of an answer.
auto record_first_byte(target_table& table, target& answering, duration waited, time_point now)
    -> void;

/// Records that an instance had an answer of the target at a time, as its load report shows.
auto note_answer(const target_table& table, target& known, time_point answered) -> void;

/// Lists what this instance (`instance`) or its zone or the fleet, as its collector, knows of
/// targets that have failures, or that report no load and have requests in flight. With `only`, a
/// partial list of these targets.
auto fleet_entries(target_table& table, fleet_scope scope, time_point now,
                   const std::vector<std::string>* only = nullptr) -> std::vector<fleet_entry>;

/// Remembers the requests in flight that this instance reports to its collector now.
auto note_reported(target_table& table, const std::vector<fleet_entry>& own) -> void;

/// At a collector: adds what the members of the zone and the other collectors have sent.
auto refresh_fleet_sums(target_table& table, time_point now) -> void;

/// Stores a list of another instance.
auto merge_fleet_list(target_table& table, const fleet_sender& sender, const fleet_list& list,
                      time_point now) -> fleet_merge_result;

/// Discards the figures of instances that are not among the members.
auto retain_fleet_sources(target_table& table, const std::vector<std::string>& members) -> void;

/// What the fleet knows of a target now, own requests and attempts included.
auto fleet_figures_at(const target& known, time_point now) -> fleet_figures;

/// Requests that the fleet has in flight at a target now, own ones included.
auto fleet_requests_at(const target& known, time_point now) -> std::uint32_t;

/// Share of the fleet's recent attempts at a target that failed, from 0 to 1.
///
/// Load pattern: a target hangs or fails some of its requests, and an instance sees 0.03 requests
/// per second there, so it cannot find out by itself.
auto failure_share_at(const target& known, time_point now) -> double;

/// Pace of a target now; 1 if it is not known or long ago.
///
/// Load pattern: a target becomes 2.5 times slower for about 600 ms at a time.
auto pace_at(const target_table& table, const target& known, time_point now) -> double;

/// Whether a target has not reported its load recently.
auto is_silent(const target_table& table, const target& known, time_point now) -> bool;

/// Whether the last attempts of this instance failed at most of the targets that it used. It is
/// then probably disconnected, and its failures say nothing about the targets.
auto fails_mostly(const target_table& table, time_point now) -> bool;

/// Limits early notices of failures.
struct notice_budget {
    double tokens = 3;
    time_point refilled_at{};
};

/// Takes one notice from the budget, if there is one.
auto take_notice(notice_budget& budget, time_point now) -> bool;

} // namespace cyclamenpost
