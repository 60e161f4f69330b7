#include "fake_target.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

constexpr auto status_ok = 200;
constexpr auto status_misdirected = 421;
constexpr auto status_server_error = 500;
constexpr auto status_unavailable = 503;
constexpr std::uint64_t cut_event_number = 3;
constexpr std::size_t cut_event_bytes = 3;
constexpr std::size_t max_unsent_bytes = std::size_t{256} << 10U;
constexpr std::size_t endless_line_bytes = 16'000;

auto field_text(const request_head& head, std::string_view name) -> std::string
{
    return std::string{find_field(head.fields, name).value_or(std::string_view{})};
}

auto event_text(std::uint64_t number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

/// Head of an answer to the request, with its id.
auto answer_head(const request_head& request, int status) -> response_head
{
    auto head = response_head{};
    head.status = status;
    head.fields.push_back({"X-Attempt-Id", field_text(request, "X-Attempt-Id")});
    return head;
}

} // namespace

fake_target::fake_target(event_loop& loop, std::string id, std::string service, std::string zone)
    : loop_(loop),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      server_(std::make_unique<http1_server>(
          loop, server_limits{},
          [this](const std::shared_ptr<server_exchange>& exchange) { serve(exchange); }))
{}

auto fake_target::listen(const std::string& address) -> result<void>
{
    BOOST_LEAF_CHECK(server_->listen(address));
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(server_->port());
    return {};
}

auto fake_target::store_entry(const std::string& state) const -> std::string
{
    return nlohmann::json{{"backend", service_},
                          {"address", address_},
                          {"zone", zone_},
                          {"version", "v1"},
                          {"capacity", 8},
                          {"state", state},
                          {"seq", 1},
                          {"cold_remaining_ms", 0},
                          {"born", 1}}
        .dump();
}

auto fake_target::id() const -> const std::string&
{
    return id_;
}

auto fake_target::address() const -> const std::string&
{
    return address_;
}

auto fake_target::store_key() const -> std::string
{
    return "servers/" + id_;
}

auto fake_target::set_mode(target_mode mode) -> void
{
    mode_ = mode;
}

auto fake_target::set_delay(duration delay) -> void
{
    delay_ = delay;
}

auto fake_target::run_counts() const -> const std::map<std::string, int>&
{
    return run_counts_;
}

auto fake_target::running_requests() const -> std::size_t
{
    return running_.size();
}

auto fake_target::last_request() const -> const request_head&
{
    return last_request_;
}

auto fake_target::set_deadly_text(std::string text) -> void
{
    deadly_text_ = std::move(text);
}

auto fake_target::set_leaving(bool leaving) -> void
{
    leaving_ = leaving;
}

auto fake_target::set_rest(duration rest) -> void
{
    rest_ = rest;
}

auto fake_target::add_notices(response_head& head) const -> void
{
    if (head.status == status_unavailable && rest_ > duration::zero()) {
        const auto seconds = std::chrono::duration<double>{rest_}.count();
        head.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (leaving_) {
        head.fields.push_back({"Server-Leaving", "1"});
    }
}

auto fake_target::crashed() const -> bool
{
    return server_ == nullptr;
}

auto fake_target::is_deadly(const request_head& head) const -> bool
{
    return !deadly_text_.empty() &&
           (head.target.find(deadly_text_) != std::string::npos ||
            field_text(head, "X-Prompt-Prefix").find(deadly_text_) != std::string::npos);
}

auto fake_target::crash() -> void
{
    running_.clear();
    server_.reset();
}

auto fake_target::head_for(const run& current, int status) const -> response_head
{
    auto head = answer_head(current.exchange->head, status);
    if (mode_ == target_mode::encoded) {
        head.fields.push_back({"Content-Encoding", "gzip"});
    }
    if (mode_ != target_mode::no_receipt) {
        head.fields.push_back({"X-Server-Seal", "seal-" + id_});
    }
    add_notices(head);
    return head;
}

auto fake_target::serve(const std::shared_ptr<server_exchange>& exchange) -> void
{
    last_request_ = exchange->head;
    if (field_text(exchange->head, "X-Expect-Instance") != id_) {
        auto head = answer_head(exchange->head, status_misdirected);
        head.fields.push_back({"X-Instance-Id", id_});
        exchange->respond(std::move(head), {});
        return;
    }
    if (mode_ == target_mode::full) {
        auto head = answer_head(exchange->head, status_unavailable);
        head.fields.push_back({"X-Not-Executed", "1"});
        add_notices(head);
        exchange->respond(std::move(head), {});
        return;
    }
    ++run_counts_[field_text(exchange->head, "X-Attempt-Id")];
    auto& current = running_.emplace_back();
    current.exchange = exchange;
    auto* entry = &current;
    exchange->on_cancelled = [this, entry] { end_run(*entry); };
    if (mode_ == target_mode::mute) {
        return;
    }
    current.next_step = loop_.call_after(delay_ + duration{1}, [this, entry] { answer(*entry); });
}

auto fake_target::answer(run& current) -> void
{
    if (is_deadly(current.exchange->head)) {
        if (find_field(current.exchange->head.fields, "X-Prompt-Prefix")) {
            auto head = head_for(current, status_ok);
            head.fields.push_back({"Content-Type", "text/event-stream"});
            current.exchange->begin_stream(std::move(head));
        }
        crash_timer_ = loop_.call_after(duration{1}, [this] { crash(); });
        return;
    }
    if (mode_ == target_mode::answer_lost) {
        if (run_counts_.size() % 2 == 0) {
            current.exchange->reset();
        }
        else {
            current.exchange->abort();
        }
        end_run(current);
        return;
    }
    if (mode_ == target_mode::failing) {
        current.exchange->respond(head_for(current, status_server_error), "failed");
        end_run(current);
        return;
    }
    if (mode_ == target_mode::unproven_refusal) {
        current.exchange->respond(head_for(current, status_unavailable), {});
        end_run(current);
        return;
    }
    const auto streams = find_field(current.exchange->head.fields, "X-Prompt-Prefix").has_value();
    if (mode_ == target_mode::endless && !streams) {
        current.exchange->begin_stream(head_for(current, status_ok));
        send_without_end(current, std::string(endless_line_bytes, 'x'));
        return;
    }
    if (!streams) {
        current.exchange->respond(head_for(current, status_ok),
                                  "answer of " + id_ + " to " + current.exchange->body);
        end_run(current);
        return;
    }
    auto head = head_for(current, status_ok);
    head.fields.push_back({"Content-Type", "text/event-stream"});
    const auto last = field_text(current.exchange->head, "Last-Event-Id");
    auto last_received = std::uint64_t{0};
    std::from_chars(last.data(), last.data() + last.size(), last_received);
    current.event = last_received + 1;
    current.exchange->begin_stream(std::move(head));
    send_event(current);
}

auto fake_target::send_event(run& current) -> void
{
    if (mode_ == target_mode::cut_stream && current.event == cut_event_number) {
        current.exchange->write(event_text(current.event).substr(0, cut_event_bytes));
        current.exchange->abort();
        end_run(current);
        return;
    }
    if (mode_ == target_mode::endless) {
        send_without_end(current, "data: " + std::string(endless_line_bytes, 'x') + "\n");
        return;
    }
    constexpr auto first_stalled_event = std::uint64_t{2};
    if (mode_ == target_mode::stalling && current.event == first_stalled_event) {
        send_without_end(current, ":\n\n");
        return;
    }
    if (current.event > events_per_stream) {
        current.exchange->finish();
        end_run(current);
        return;
    }
    current.exchange->write(event_text(current.event++));
    auto* entry = &current;
    current.next_step =
        loop_.call_after(delay_ + duration{1}, [this, entry] { send_event(*entry); });
}

auto fake_target::send_without_end(run& current, const std::string& bytes) -> void
{
    if (current.exchange->unsent_bytes() < max_unsent_bytes) {
        current.exchange->write(bytes);
    }
    auto* entry = &current;
    current.next_step = loop_.call_after(delay_ + duration{1},
                                         [this, entry, bytes] { send_without_end(*entry, bytes); });
}

auto fake_target::end_run(const run& current) -> void
{
    current.exchange->on_cancelled = nullptr;
    running_.remove_if([&](const run& other) { return &other == &current; });
}

} // namespace cyclamenpost::fakes
