#include "cyclamenpost/gates/gate_service.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;

} // namespace

auto gate_service::on_message(const wire::envelope& message) -> bool
{
    switch (message.body_case()) {
    case wire::envelope::kPermitRequest:
        on_permit_request(message);
        return true;
    case wire::envelope::kPermitReply:
        on_permit_reply(message);
        return true;
    case wire::envelope::kPermitRelease: {
        const auto& body = message.permit_release();
        const auto found = gates_.find(body.target());
        if (found != gates_.end() && body.outcome() <= 2) {
            release_local(found->second, body.request_id(),
                          static_cast<permit_outcome>(body.outcome()));
        }
        return true;
    }
    case wire::envelope::kGateLease:
        on_lease(message);
        return true;
    case wire::envelope::kGateLeaseAck:
        on_lease_ack_message(message);
        return true;
    case wire::envelope::kGateHandover:
        on_handover_message(message);
        return true;
    default:
        return false;
    }
}

auto gate_service::on_permit_request(const wire::envelope& message) -> void
{
    const auto& body = message.permit_request();
    const auto cost = std::max(1.0, static_cast<double>(body.cost()));
    const auto decision =
        decide(body.target(),
               {body.request_id(), cost, message.from_instance(), message.from_incarnation()},
               body.fingerprint(), monotonic_now());
    auto reply = wire::envelope{};
    auto* answer = reply.mutable_permit_reply();
    answer->set_request_id(body.request_id());
    answer->set_granted(decision.granted);
    answer->set_reason(std::string(name_in(refusal_reason_names, decision.reason)));
    answer->set_target_incarnation(decision.target_incarnation);
    answer->set_retry_after_ms(static_cast<std::uint64_t>(decision.retry_after / 1ms));
    cluster_.send(message.from_instance(), reply);
}

auto gate_service::on_permit_reply(const wire::envelope& message) -> void
{
    const auto& body = message.permit_reply();
    const auto found = pending_requests_.find(body.request_id());
    if (found == pending_requests_.end() ||
        found->second.gate_instance != message.from_instance()) {
        return;
    }
    auto answer = permit_answer{};
    answer.granted = body.granted();
    answer.reason = body.reason();
    answer.retry_after = std::chrono::milliseconds(body.retry_after_ms());
    answer.permit.target_incarnation = body.target_incarnation();
    finish_pending(body.request_id(), std::move(answer));
}

auto gate_service::exchange_leases(time_point now) -> void
{
    auto by_peer = std::map<std::string, wire::envelope>{};
    for (auto& [name, gate] : gates_) {
        const auto lease = start_lease(gate, now);
        if (!lease) {
            continue;
        }
        auto peers = std::set<std::string>{gate.backup};
        for (const auto& former : gate.former_holders) {
            peers.insert(former.id);
        }
        peers.erase("");
        peers.erase(gate.self);
        for (const auto& peer : peers) {
            auto* body = by_peer[peer].mutable_gate_lease();
            body->set_list_version(lease->list_version);
            auto* entry = body->add_leases();
            entry->set_target(name);
            entry->set_term(lease->term);
            entry->set_target_incarnation(lease->target_incarnation);
            entry->set_state(static_cast<std::uint32_t>(lease->state));
            entry->set_takeover_done(lease->takeover_done);
        }
    }
    for (const auto& [peer, message] : by_peer) {
        cluster_.send(peer, message);
    }
}

auto gate_service::on_lease(const wire::envelope& message) -> void
{
    const auto now = monotonic_now();
    const auto& body = message.gate_lease();
    auto reply = wire::envelope{};
    auto* answers = reply.mutable_gate_lease_ack();
    answers->set_list_version(list_version_);
    for (const auto& entry : body.leases()) {
        auto* answer = answers->add_leases();
        answer->set_target(entry.target());
        answer->set_term(entry.term());
        const auto found = gates_.find(entry.target());
        if (found != gates_.end() && entry.state() <= 4) {
            const auto lease =
                lease_message{entry.term(), body.list_version(), entry.target_incarnation(),
                              static_cast<target_state>(entry.state()), entry.takeover_done()};
            const auto ack = on_lease_request(found->second, message.from_instance(), lease, now);
            answer->set_acknowledged(ack.acknowledged);
        }
    }
    cluster_.send(message.from_instance(), reply);
}

auto gate_service::on_lease_ack_message(const wire::envelope& message) -> void
{
    const auto now = monotonic_now();
    const auto& body = message.gate_lease_ack();
    for (const auto& entry : body.leases()) {
        const auto found = gates_.find(entry.target());
        if (found != gates_.end()) {
            on_lease_ack(found->second, message.from_instance(),
                         {entry.acknowledged(), entry.term(), body.list_version()}, now);
        }
    }
}

auto gate_service::on_handover_message(const wire::envelope& message) -> void
{
    const auto& body = message.gate_handover();
    const auto found = gates_.find(body.target());
    if (found == gates_.end() || body.state() > 4) {
        return;
    }
    const auto state = handover_state{
        body.target_incarnation(), static_cast<target_state>(body.state()), body.allowance(),
        static_cast<double>(body.outstanding_cost()), body.outstanding_requests()};
    on_handover(found->second, message.from_instance(), state, monotonic_now());
}

auto gate_service::hand_over_all() -> void
{
    const auto now = monotonic_now();
    for (auto& [name, gate] : gates_) {
        if (gate.role != gate_role::primary || gate.backup.empty()) {
            continue;
        }
        const auto backup = gate.backup;
        const auto state = hand_over(gate, now);
        auto message = wire::envelope{};
        auto* body = message.mutable_gate_handover();
        body->set_target(name);
        body->set_outstanding_cost(static_cast<std::uint64_t>(state.outstanding_cost));
        body->set_state(static_cast<std::uint32_t>(state.state));
        body->set_target_incarnation(state.target_incarnation);
        body->set_allowance(state.allowance);
        body->set_outstanding_requests(state.outstanding_requests);
        cluster_.send(backup, message);
    }
}

} // namespace cyclamenpost
