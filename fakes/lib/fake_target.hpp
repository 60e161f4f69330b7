#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost::fakes {

/// What a target does with a request whose X-Expect-Instance header names it.
enum class target_mode {
    /// Answers; a stream sends all its events.
    normal,
    /// Does not run the request and answers 503 with X-Not-Executed.
    full,
    /// Runs the request and resets or closes the connection, in turn, instead of answering.
    answer_lost,
    /// Runs the request and never answers.
    mute,
    /// Runs the request and answers 500.
    failing,
    /// Resets the connection in the middle of a stream's third event.
    cut_stream,
    /// Answers without the X-Server-Seal header; such an answer is not trusted.
    no_receipt,
    /// Sends the first event of a stream, then a byte of a comment now and then.
    stalling,
    /// Sends bytes of an event, or of a plain answer, without end.
    endless,
    /// Answers with a Content-Encoding header.
    encoded,
    /// Runs the request and answers 503 without X-Not-Executed.
    unproven_refusal,
};

inline constexpr std::array target_mode_names{
    enum_name<target_mode>{target_mode::normal, "normal"},
    enum_name<target_mode>{target_mode::full, "full"},
    enum_name<target_mode>{target_mode::answer_lost, "answer_lost"},
    enum_name<target_mode>{target_mode::mute, "mute"},
    enum_name<target_mode>{target_mode::failing, "failing"},
    enum_name<target_mode>{target_mode::cut_stream, "cut_stream"},
    enum_name<target_mode>{target_mode::no_receipt, "no_receipt"},
    enum_name<target_mode>{target_mode::stalling, "stalling"},
    enum_name<target_mode>{target_mode::endless, "endless"},
    enum_name<target_mode>{target_mode::encoded, "encoded"},
    enum_name<target_mode>{target_mode::unproven_refusal, "unproven_refusal"},
};

/// A fake target of the platform. It answers with text, or with a stream of numbered events when
/// the request has an X-Prompt-Prefix header.
class fake_target {
public:
    fake_target(event_loop& loop, std::string id, std::string service, std::string zone);

    /// Listens on "ip:port". Fails with `listen_failed`.
    auto listen(const std::string& address) -> result<void>;

    /// The target's entry in the store, as JSON.
    auto store_entry(const std::string& state = "ready") const -> std::string;

    auto id() const -> const std::string&;

    /// Address on which the target listens, "ip:port".
    auto address() const -> const std::string&;

    /// Key of the target's entry in the store.
    auto store_key() const -> std::string;

    auto set_mode(target_mode mode) -> void;

    /// Time from a request to its answer, and from one event to the next.
    auto set_delay(duration delay) -> void;

    /// Number of runs by X-Attempt-Id.
    auto run_counts() const -> const std::map<std::string, int>&;

    /// Requests in progress.
    auto running_requests() const -> std::size_t;

    /// Headers of the last request.
    auto last_request() const -> const request_head&;

    /// Requests whose path or prompt holds this text crash the target when it begins the answer.
    auto set_deadly_text(std::string text) -> void;

    /// The target says in its answers that it is leaving.
    auto set_leaving(bool leaving) -> void;

    /// Time that the target asks for in refusals; 0 for none.
    auto set_rest(duration rest) -> void;

    /// Whether the target has crashed.
    auto crashed() const -> bool;

    /// Drops all connections and the listener, as a crash does.
    auto crash() -> void;

    /// Events of a complete stream.
    static constexpr int events_per_stream = 6;

private:
    struct run {
        std::shared_ptr<server_exchange> exchange;
        timer next_step;
        std::uint64_t event = 1;
    };

    auto is_deadly(const request_head& head) const -> bool;
    auto serve(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto answer(run& current) -> void;
    auto send_event(run& current) -> void;
    /// Sends the bytes again and again while the caller reads them.
    auto send_without_end(run& current, const std::string& bytes) -> void;
    auto end_run(const run& current) -> void;
    auto head_for(const run& current, int status) const -> response_head;
    /// Adds what the target says of itself in all its answers.
    auto add_notices(response_head& head) const -> void;

    event_loop& loop_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::unique_ptr<http1_server> server_;
    std::string address_;
    target_mode mode_ = target_mode::normal;
    duration delay_{};
    std::string deadly_text_;
    bool leaving_ = false;
    duration rest_{};
    timer crash_timer_;
    std::map<std::string, int> run_counts_;
    std::list<run> running_;
    request_head last_request_;
};

} // namespace cyclamenpost::fakes
