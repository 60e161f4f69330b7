#include "process_target.hpp"

#include <algorithm>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

#include "fake_target.hpp"

namespace cyclamenpost::fakes {

namespace {

constexpr auto status_ok = 200;
constexpr auto status_misdirected = 421;
constexpr auto status_unavailable = 503;
constexpr std::size_t max_head_bytes = 65536;
constexpr auto default_deadline_ms = 3000;
constexpr auto max_copy_delay_ms = 300;
constexpr auto max_duplicate_delay_ms = 400;
constexpr auto mille = 1000U;
constexpr auto percent = 100;

auto open_to_append(const std::string& path) -> result<int>
{
    constexpr auto mode = 0644;
    const auto file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (file < 0) {
        return fail(error_id::listen_failed, step::listen, path, "the file cannot be written");
    }
    return file;
}

/// A line that is not written would hide a run or a refusal, so the target must not go on without
/// it.
auto write_line(int file, const std::string& text) -> void
{
    const auto line = text + "\n";
    if (write(file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        abort();
    }
}

auto field_text(const request_head& head, std::string_view name) -> std::string
{
    return std::string{find_field(head.fields, name).value_or(std::string_view{})};
}

auto answer_text(const std::string& id, int status, header_fields fields, std::string_view body)
    -> std::string
{
    auto head = response_head{};
    head.status = status;
    head.fields = std::move(fields);
    head.fields.push_back({"X-Attempt-Id", id});
    return write_response_head(head, body_framing::length, body.size()) + std::string{body};
}

auto refusal_text(const std::string& id) -> std::string
{
    return answer_text(id, status_unavailable, {{"X-Not-Executed", "1"}}, {});
}

/// A complete stream with all its events.
auto stream_text(const std::string& id) -> std::string
{
    auto head = response_head{};
    head.status = status_ok;
    head.fields = {
        {"X-Attempt-Id", id}, {"X-Server-Seal", "seal"}, {"Content-Type", "text/event-stream"}};
    auto text = write_response_head(head, body_framing::chunked, 0);
    for (auto event = 1; event <= fake_target::events_per_stream; ++event) {
        const auto number = std::to_string(event);
        auto piece = "id: " + number;
        piece.append("\ndata: piece ").append(number).append("\n\n");
        text += write_chunk(piece);
    }
    return text + write_chunk({});
}

} // namespace

process_target::process_target(event_loop& loop, process_target_options options)
    : loop_(loop),
      options_(std::move(options)),
      random_(options_.seed),
      refusal_random_(options_.seed)
{}

process_target::~process_target()
{
    for (const auto file : {runs_file_, refusals_file_}) {
        if (file >= 0) {
            ::close(file);
        }
    }
}

auto process_target::start() -> result<void>
{
    BOOST_LEAF_ASSIGN(runs_file_, open_to_append(options_.runs_file));
    if (!options_.refusals_file.empty()) {
        BOOST_LEAF_ASSIGN(refusals_file_, open_to_append(options_.refusals_file));
    }
    BOOST_LEAF_ASSIGN(listener_, tcp_listener::open(loop_, options_.address,
                                                    [this](tcp_connection accepted, const auto&) {
                                                        accept(std::move(accepted));
                                                    }));
    return {};
}

auto process_target::call_later(duration delay, std::function<void()> action) -> void
{
    const auto number = next_timer_++;
    timers_[number] = loop_.call_after(delay, [this, number, action = std::move(action)] {
        const auto own = std::move(timers_[number]);
        timers_.erase(number);
        action();
    });
}

auto process_target::draw_delay(int least_ms, int most_ms) -> duration
{
    return std::chrono::milliseconds{
        least_ms + static_cast<int>(random_() % static_cast<unsigned>(most_ms - least_ms))};
}

auto process_target::draw_fault() -> bool
{
    return random_() % mille < options_.faults_per_mille;
}

auto process_target::accept(tcp_connection accepted) -> void
{
    connections_.remove_if([](const auto& each) { return each->closed; });
    if (connections_.size() >= options_.max_connections) {
        accepted.reset();
        return;
    }
    auto opened = std::make_shared<connection>();
    opened->tcp = std::move(accepted);
    opened->idle_since = monotonic_now();
    auto parsed = http1_handlers{};
    parsed.on_body = [raw = opened.get()](std::string_view bytes) { raw->body += bytes; };
    parsed.on_complete = [raw = opened.get()] { raw->busy = true; };
    opened->parser = std::make_unique<http1_parser>(http1_parser::kind::request, std::move(parsed),
                                                    max_head_bytes);
    auto events = tcp_handlers{};
    events.on_bytes = [this, weak = std::weak_ptr{opened}](std::string_view bytes) {
        if (const auto from = weak.lock()) {
            on_bytes(from, bytes);
        }
    };
    events.on_closed = [raw = opened.get()](close_reason) { raw->closed = true; };
    opened->tcp.set_handlers(std::move(events));
    connections_.push_back(std::move(opened));
}

auto process_target::on_bytes(const std::shared_ptr<connection>& from, std::string_view bytes)
    -> void
{
    const auto forgotten =
        !from->parser->in_message() && monotonic_now() - from->idle_since > options_.idle_limit;
    from->parser->parse(bytes);
    if (forgotten || from->parser->failure() != parse_failure::none) {
        from->tcp.reset();
        from->closed = true;
        return;
    }
    if (from->busy) {
        receive(from);
    }
}

auto process_target::receive(const std::shared_ptr<connection>& from) -> void
{
    auto next = request{};
    next.from = from;
    next.head = std::move(from->parser->request());
    next.body = std::exchange(from->body, {});
    next.id = field_text(next.head, "X-Attempt-Id");
    auto limit_ms = default_deadline_ms;
    const auto limit = field_text(next.head, "X-Deadline-Ms");
    std::from_chars(limit.data(), limit.data() + limit.size(), limit_ms);
    next.deadline = monotonic_now() + std::chrono::milliseconds{limit_ms};
    if (field_text(next.head, "X-Expect-Instance") != options_.id) {
        answer(next,
               answer_text(next.id, status_misdirected, {{"X-Instance-Id", options_.id}}, {}));
        return;
    }
    if (running_ >= options_.slots && waiting_.size() >= options_.max_waiting) {
        refuse(next);
        return;
    }
    if (running_ < options_.slots && refuses_despite_room(next.id)) {
        refuse_despite_room(next);
        return;
    }
    waiting_.push_back(std::move(next));
    start_waiting();
}

auto process_target::start_waiting() -> void
{
    while (running_ < options_.slots && !waiting_.empty()) {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        if (monotonic_now() >= next.deadline) {
            refuse(next);
        }
        else if (!next.from->closed || random_() % 2 == 0) {
            run(std::move(next));
        }
    }
}

auto process_target::refuse(const request& refused) -> void
{
    answer(refused, refusal_text(refused.id));
}

auto process_target::refuses_despite_room(const std::string& id) -> bool
{
    // the id decides, not a draw: all targets refuse the same requests, so that these pause and
    // return rather than go to another target
    return refusals_file_ >= 0 &&
           std::hash<std::string>{}(id) % mille < options_.refusals_per_mille &&
           refused_despite_room_.insert(id).second;
}

auto process_target::refuse_despite_room(const request& refused) -> void
{
    record(refusal_event::refused, refused.id);
    // half of the duplicates wait for the request to run, up to the longest delay; a delay that is
    // drawn meets the run rarely
    const auto at_run = refusal_random_() % 2 == 0;
    const auto delay_ms = at_run ? max_duplicate_delay_ms
                                 : 1 + static_cast<int>(refusal_random_() % max_duplicate_delay_ms);
    duplicates_[refused.id] = {refused.from, at_run};
    refuse(refused);
    call_later(std::chrono::milliseconds{delay_ms},
               [this, id = refused.id] { write_duplicate(id); });
}

auto process_target::write_duplicate(const std::string& id) -> void
{
    const auto pending = duplicates_.extract(id);
    if (pending.empty() || pending.mapped().to->closed) {
        return;
    }
    auto& to = *pending.mapped().to;
    to.tcp.send(refusal_text(id));
    record(duplicate_event(to, id), id);
}

auto process_target::duplicate_event(const connection& to, const std::string& id) const
    -> refusal_event
{
    if (to.running.contains(id)) {
        return refusal_event::duplicate_during_run;
    }
    const auto runs = std::ranges::any_of(
        connections_, [&](const auto& each) { return each->running.contains(id); });
    return runs ? refusal_event::duplicate_during_other_run : refusal_event::duplicate;
}

auto process_target::record(refusal_event event, const std::string& id) -> void
{
    write_line(refusals_file_, std::string{name_in(refusal_event_names, event)} + " " + id);
}

auto process_target::run(request next) -> void
{
    write_line(runs_file_, next.id);
    ++running_;
    next.from->running.insert(next.id);
    const auto pending = duplicates_.find(next.id);
    if (pending != duplicates_.end() && pending->second.awaits_run) {
        constexpr auto max_run_delay_ms = 30U;
        call_later(std::chrono::milliseconds{1 + refusal_random_() % max_run_delay_ms},
                   [this, id = next.id] { write_duplicate(id); });
    }
    if (draw_fault()) {
        lose_answer(next);
        return;
    }
    const auto mean_ms = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.work).count());
    const auto least_ms = mean_ms * (percent - options_.work_spread_percent) / percent;
    const auto most_ms = mean_ms * (percent + options_.work_spread_percent) / percent;
    call_later(draw_delay(least_ms, most_ms + 1), [this, done = std::move(next)] {
        const auto streams = find_field(done.head.fields, "X-Prompt-Prefix").has_value();
        answer(done, streams ? stream_text(done.id)
                             : answer_text(done.id, status_ok, {{"X-Server-Seal", "seal"}},
                                           "answer of " + options_.id + " to " + done.body));
        end_run(done);
    });
}

auto process_target::end_run(const request& ended) -> void
{
    ended.from->running.erase(ended.id);
    --running_;
    start_waiting();
}

auto process_target::answer(const request& to, const std::string& text) -> void
{
    const auto& from = to.from;
    if (from->closed) {
        return;
    }
    from->tcp.send(text);
    from->busy = false;
    from->idle_since = monotonic_now();
    if (draw_fault()) {
        call_later(draw_delay(1, max_copy_delay_ms), [from, text] {
            if (!from->closed) {
                from->tcp.send(text);
            }
        });
    }
}

auto process_target::lose_answer(const request& lost) -> void
{
    constexpr auto least_ms = 50;
    constexpr auto most_ms = 2500;
    call_later(draw_delay(least_ms, most_ms), [this, lost] {
        auto& from = *lost.from;
        if (!from.closed) {
            switch (random_() % 5) {
            case 0:
                // claims nothing on whether the request was executed
                answer(lost, answer_text(lost.id, status_unavailable, {}, {}));
                break;
            case 1:
                from.tcp.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
                break_connection(from);
                break;
            default:
                break_connection(from);
                break;
            }
        }
        end_run(lost);
    });
}

auto process_target::break_connection(connection& broken) -> void
{
    if (random_() % 3 == 0) {
        broken.tcp.close();
    }
    else {
        broken.tcp.reset();
    }
    broken.closed = true;
}

} // namespace cyclamenpost::fakes
