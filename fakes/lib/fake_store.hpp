#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost::fakes {

/// How the store treats its readers.
enum class store_mode { normal, busy, silent };

inline constexpr std::array store_mode_names{
    enum_name<store_mode>{store_mode::normal, "normal"},
    enum_name<store_mode>{store_mode::busy, "busy"},
    enum_name<store_mode>{store_mode::silent, "silent"},
};

/// The platform's key-value store, as far as instances read it: pages, watches, a history that can
/// be dropped, and ways to fail.
class fake_store {
public:
    explicit fake_store(event_loop& loop);

    /// Listens on "ip:port". Fails with `listen_failed`.
    auto listen(const std::string& address) -> result<void>;

    auto address() const -> std::string;

    /// Writes an item and answers the watches that wait for it.
    auto put(const std::string& key, const std::string& value) -> void;

    /// Removes an item.
    auto remove(const std::string& key) -> void;

    /// Changes how readers are treated; waiting watches stay silent in every mode but `normal`.
    auto set_mode(store_mode mode) -> void;

    /// Forgets all changes: watches from before get 410.
    auto drop_history() -> void;

    /// Changes since the start.
    auto revision() const -> std::uint64_t;

    /// Calls of readers since the start.
    auto request_count() const -> std::uint64_t;

private:
    struct change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<server_exchange> exchange;
        timer limit;
        bool answered = false;
    };

    auto serve(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto serve_range(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto serve_watch(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto answer_watch(watch& waiting) -> bool;
    auto wake_watches() -> void;

    event_loop& loop_;
    http1_server server_;
    std::string address_;
    store_mode mode_ = store_mode::normal;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    std::uint64_t request_count_ = 0;
    std::map<std::string, change> items_;
    std::list<change> history_;
    std::list<watch> watches_;
    std::list<std::shared_ptr<server_exchange>> unanswered_;
};

} // namespace cyclamenpost::fakes
