#include "fake_target.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

constexpr auto ok = 200;
constexpr auto misdirected = 421;
constexpr auto server_error = 500;
constexpr auto service_unavailable = 503;
constexpr std::uint64_t cut_event = 3;

auto text_of(const request_head& head, std::string_view name) -> std::string
{
    return std::string{find_field(head.fields, name).value_or(std::string_view{})};
}

auto event_text(std::uint64_t number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
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
    return runs_;
}

auto fake_target::running_requests() const -> std::size_t
{
    return running_.size();
}

auto fake_target::last_request() const -> const request_head&
{
    return last_request_;
}

auto fake_target::crash() -> void
{
    running_.clear();
    server_.reset();
}

auto fake_target::head_for(const run& work, int status) const -> response_head
{
    auto head = response_head{};
    head.status = status;
    head.fields.push_back({"X-Attempt-Id", text_of(work.exchange->head, "X-Attempt-Id")});
    if (mode_ != target_mode::no_receipt) {
        head.fields.push_back({"X-Server-Seal", "seal-" + id_});
    }
    return head;
}

auto fake_target::serve(const std::shared_ptr<server_exchange>& exchange) -> void
{
    last_request_ = exchange->head;
    if (text_of(exchange->head, "X-Expect-Instance") != id_) {
        auto head = response_head{};
        head.status = misdirected;
        head.fields.push_back({"X-Instance-Id", id_});
        exchange->respond(std::move(head), {});
        return;
    }
    if (mode_ == target_mode::full) {
        auto head = response_head{};
        head.status = service_unavailable;
        head.fields.push_back({"X-Not-Executed", "1"});
        exchange->respond(std::move(head), {});
        return;
    }
    ++runs_[text_of(exchange->head, "X-Attempt-Id")];
    auto& work = running_.emplace_back();
    work.exchange = exchange;
    auto* entry = &work;
    exchange->on_cancelled = [this, entry] { end(*entry); };
    if (mode_ == target_mode::mute) {
        return;
    }
    work.next = loop_.call_after(delay_ + duration{1}, [this, entry] { answer(*entry); });
}

auto fake_target::answer(run& work) -> void
{
    if (mode_ == target_mode::answer_lost) {
        work.exchange->abort();
        end(work);
        return;
    }
    if (mode_ == target_mode::failing) {
        work.exchange->respond(head_for(work, server_error), "failed");
        end(work);
        return;
    }
    if (!find_field(work.exchange->head.fields, "X-Prompt-Prefix")) {
        work.exchange->respond(head_for(work, ok),
                               "answer of " + id_ + " to " + work.exchange->body);
        end(work);
        return;
    }
    auto head = head_for(work, ok);
    head.fields.push_back({"Content-Type", "text/event-stream"});
    const auto last = text_of(work.exchange->head, "Last-Event-Id");
    auto had = std::uint64_t{0};
    std::from_chars(last.data(), last.data() + last.size(), had);
    work.event = had + 1;
    work.exchange->begin_stream(std::move(head));
    send_event(work);
}

auto fake_target::send_event(run& work) -> void
{
    if (mode_ == target_mode::cut_stream && work.event == cut_event) {
        work.exchange->write(event_text(work.event).substr(0, cut_event));
        work.exchange->abort();
        end(work);
        return;
    }
    if (work.event > events_per_stream) {
        work.exchange->finish();
        end(work);
        return;
    }
    work.exchange->write(event_text(work.event++));
    auto* entry = &work;
    work.next = loop_.call_after(delay_ + duration{1}, [this, entry] { send_event(*entry); });
}

auto fake_target::end(const run& work) -> void
{
    work.exchange->on_cancelled = nullptr;
    running_.remove_if([&](const run& known) { return &known == &work; });
}

} // namespace cyclamenpost::fakes
