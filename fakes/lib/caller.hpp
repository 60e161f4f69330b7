#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::fakes {

/// An entry instance and its address, "ip:port".
struct entry_address {
    std::string instance;
    std::string address;
};

/// Settings of a caller.
struct caller_options {
    std::string name = "caller";
    /// Instances that answer lookups; each lookup goes to a random one.
    std::vector<entry_address> entries;
    std::size_t chats = 100;
    /// Turns per chat.
    std::size_t turns = 3;
    std::size_t bookings = 100;
    /// Jobs in progress at the same time; a job is a chat with all its turns, or a booking.
    std::size_t concurrent_jobs = 16;
    std::vector<std::string> organisations{"label-one"};
    std::string model = "quote-7b";
    std::string service = "orders";
    /// Tokens per answer.
    std::size_t max_tokens = 24;
    /// Padding of each turn's prompt.
    std::size_t prompt_bytes = 400;
    /// Pause between the turns of a chat.
    duration think_time{};
    /// Time limit for one turn or booking with all its attempts. A retry that would start after it
    /// is not made, and the last result is final.
    duration call_timeout = std::chrono::seconds{30};
    /// Time limit for one attempt; the caller then closes the connection.
    duration attempt_timeout = std::chrono::seconds{20};
    /// Text added to every prompt, for example one that `crash_on` of an engine matches.
    std::string prompt_marker;
    std::uint64_t seed = 1;
    /// Empty records no history.
    std::string history_file;
};

/// Final result of one turn or booking.
enum class call_result {
    /// Complete and verified.
    answered,
    /// Refused or not connected, so that no target ran it.
    not_run,
    /// May have run.
    unknown,
    /// Answered with content that differs from the expected answer.
    wrong,
    /// The connection or stream broke before the answer was complete.
    cut,
};

inline constexpr std::array call_result_names{
    enum_name<call_result>{call_result::answered, "answered"},
    enum_name<call_result>{call_result::not_run, "not_run"},
    enum_name<call_result>{call_result::unknown, "unknown"},
    enum_name<call_result>{call_result::wrong, "wrong"},
    enum_name<call_result>{call_result::cut, "cut"},
};

/// Totals of a caller.
struct caller_report {
    std::array<std::size_t, call_result_names.size()> results{};
    std::size_t attempts = 0;
    /// Time from sending the request to the first token, per streamed answer.
    std::vector<double> first_token_ms;
    /// Time between successive tokens of one stream.
    std::vector<double> inter_token_ms;
    /// Descriptions of the first calls that were not answered.
    std::vector<std::string> notes;

    auto count(call_result result) const -> std::size_t;
};

/// The smallest value that at least `share` of the values do not exceed; 0 without values.
auto quantile(std::vector<double> latencies_ms, double share) -> double;

/// Formats the totals as a short table. scripts/bench_zone parses it.
auto format_report(const caller_report& report) -> std::string;

namespace detail {
struct caller_state;
}

/// Sends chats of several turns and bookings to the fleet as a correct client does: it asks lookup
/// for addresses and keeps them while they are valid, retries an attempt only when it did not run
/// or carries an idempotency key, and verifies every answer.
class caller {
public:
    caller();
    caller(const caller&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    ~caller();

    /// Starts the jobs and calls `done` after the last one. Fails with `history_unreadable` when
    /// the history file cannot be opened.
    auto start(event_loop& loop, caller_options options, std::function<void()> done)
        -> result<void>;

    auto report() const -> const caller_report&;

private:
    std::unique_ptr<detail::caller_state> state_;
};

} // namespace cyclamenpost::fakes
