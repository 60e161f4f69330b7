#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cyclamenpost/configuration/config_state.hpp"
#include "cyclamenpost/configuration/instance_list.hpp"
#include "cyclamenpost/configuration/platform_client.hpp"
#include "cyclamenpost/membership/cluster_node.hpp"

namespace cyclamenpost {

/// Notifications of the configuration service, called on the loop's thread.
struct config_handlers {
    /// A new operator text or instance list was put in force.
    std::function<void()> on_applied;
    /// The instance list in force is confirmed as current. Called periodically while it is.
    std::function<void()> on_list_confirmed;
};

/// Identity and start conditions of the configuration service.
struct config_options {
    /// Id of this instance.
    std::string instance;
    /// "IP:port" of the platform's service.
    std::string platform;
    /// Bus addresses of peers to ask for their versions until this instance is ready.
    std::vector<std::string> seed_peers;
    /// Seed of the platform client's retry jitter.
    std::uint64_t seed = 0;
};

/// Owns the operator text and the instance list in force at this instance. Reads both from the
/// platform and exchanges them with peers by offers, fetches and parts.
class config_service {
public:
    config_service(event_loop& loop, cluster_node& cluster, config_options options);

    /// Starts to read the platform and to ask peers.
    auto start(config_handlers handlers) -> void;

    /// Ends all calls to the platform and the periodic work.
    auto stop() -> void;

    /// Handles an offer, fetch or part. Returns false for any other message.
    auto on_message(const wire::envelope& message) -> bool;

    /// Handles the versions that a peer's probe carried; fetches a higher one.
    auto on_peer_config_version(const peer_config_version& peer) -> void;

    /// Whether the instance may serve: text and list are in force and catch-up has ended.
    auto ready() const -> bool;

    /// State of the operator text; its `config` is null before the first text.
    auto text() const -> const config_state&;

    /// State of the instance list; its `list` is null before the first list.
    auto list() const -> const instance_list_state&;

    /// Counters of the calls to the platform.
    auto platform_calls() const -> platform_counters;

    /// Whether the last call to the platform succeeded.
    auto platform_reachable() const -> bool;

private:
    struct peer_transfer;
    auto handle_text(published_text offered) -> void;
    auto handle_list(std::string json) -> void;
    auto propagate_change(published_kind kind) -> void;
    auto push_offer(published_kind kind) -> void;
    auto offer_of(published_kind kind) const -> wire::envelope;
    auto on_offer(const wire::envelope& message) -> void;
    auto on_fetch(const wire::envelope& message) -> void;
    auto on_part(const wire::envelope& message) -> void;
    auto begin_fetch(published_kind kind, const std::string& from, text_version wanted) -> void;
    auto send_fetch(published_kind kind) -> void;
    auto history_of(published_kind kind) const -> const text_history&;
    auto ask_peers() -> void;
    auto list_is_confirmed() const -> bool;
    auto update_watching() -> void;

    event_loop& loop_;
    cluster_node& cluster_;
    config_options options_;
    config_handlers handlers_;
    config_state text_;
    instance_list_state list_;
    catch_up_state catch_up_;
    std::unique_ptr<platform_client> platform_;
    std::array<std::shared_ptr<peer_transfer>, 2> transfers_;
    timer periodic_;
};

} // namespace cyclamenpost
