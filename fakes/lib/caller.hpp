#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::fakes {

/// An entry instance whose address the caller knows at start.
struct entry_address {
    std::string instance;
    std::string address;
};

/// Settings of a caller.
struct caller_options {
    std::string name = "caller";
    std::vector<entry_address> entries;
    std::size_t chats = 100;
    std::size_t turns = 3;
    std::size_t bookings = 100;
    /// Jobs (a chat with all its turns, or a booking) in progress at the same time.
    std::size_t parallel = 16;
    std::vector<std::string> organisations{"label-one"};
    std::string model = "quote-7b";
    std::string service = "orders";
    std::size_t max_tokens = 24;
    std::size_t prompt_bytes = 400;
    /// Pause between the turns of a chat.
    duration think_time{};
    /// Longest time for one job; afterwards the last refusal is final.
    duration job_time = std::chrono::seconds{30};
    /// Longest time for one attempt; afterwards the caller closes the connection.
    duration attempt_time = std::chrono::seconds{20};
    /// Text added to the content of every chat.
    std::string marker;
    std::uint64_t seed = 1;
    std::string history_file;
};

/// Final result of one turn or booking.
enum class call_result { answered, not_run, unknown, wrong, cut };

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
    std::vector<double> first_token_ms;
    std::vector<double> gap_ms;
    /// First few deviations and refusals, for people.
    std::vector<std::string> notes;

    auto count(call_result result) const -> std::size_t;
};

/// The value below which `share` of the values lie; 0 without values.
auto quantile(std::vector<double> values, double share) -> double;

/// Formats the totals as a short table.
auto format_report(const caller_report& report) -> std::string;

namespace detail {
struct caller_state;
}

/// Runs returning chats and bookings against the fleet the way a well-behaved caller does: asks
/// lookup, keeps the answer while it is valid, repeats an attempt only when it did not run or
/// carries an idempotency key, and verifies every answer.
class caller {
public:
    caller();
    caller(const caller&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    ~caller();

    /// Starts the jobs and calls `done` after the last one. Fails with `history_unreadable`.
    auto start(event_loop& loop, caller_options options, std::function<void()> done)
        -> result<void>;

    auto report() const -> const caller_report&;

private:
    std::unique_ptr<detail::caller_state> state_;
};

} // namespace cyclamenpost::fakes
