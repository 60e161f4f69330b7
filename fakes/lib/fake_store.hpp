#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost::fakes {

/// How the store answers its readers.
enum class store_mode {
    normal,
    /// Answers every request with 503.
    busy,
    /// Accepts requests and never answers them.
    silent,
};

inline constexpr std::array store_mode_names{
    enum_name<store_mode>{store_mode::normal, "normal"},
    enum_name<store_mode>{store_mode::busy, "busy"},
    enum_name<store_mode>{store_mode::silent, "silent"},
};

/// A fake of the platform's key-value store, limited to what instances read: ranges in pages,
/// watches, and a history that can be dropped. `set_mode` simulates failures.
class fake_store {
public:
    explicit fake_store(event_loop& loop);

    /// Listens on "ip:port". Fails with `listen_failed`.
    auto listen(const std::string& address) -> result<void>;

    /// Address on which the store listens, "ip:port".
    auto address() const -> std::string;

    /// Writes an item and answers the watches on its prefix.
    auto put(const std::string& key, const std::string& value) -> void;

    /// Removes an item and answers the watches on its prefix.
    auto remove(const std::string& key) -> void;

    /// Changes how readers are answered. Pending watches are answered only in mode `normal`.
    auto set_mode(store_mode mode) -> void;

    /// Answers the requests that were accepted in mode `silent`; the mode becomes `normal`.
    auto answer_late() -> void;

    /// Closes the connections of all watches that are waiting. Returns their number.
    auto cut_watches() -> std::size_t;

    /// Drops the history of changes; a watch from before the present revision is answered 410.
    auto drop_history() -> void;

    /// Comes back from a copy of an earlier revision: what was written since is gone, its revisions
    /// are given out again, and the era rises by one. The history must reach back to the start.
    auto restore(std::uint64_t to_revision) -> void;

    /// Sets the text of the era field in all answers; an empty one leaves the field out.
    auto set_era_text(const std::string& text) -> void;

    /// Present revision; each change increments it.
    auto revision() const -> std::uint64_t;

    /// Requests of readers since the start.
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
        timer timeout;
        bool answered = false;
    };

    /// Head of an answer, with the era field.
    auto head_of(int status) const -> response_head;
    auto serve(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto serve_range(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto serve_watch(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto answer_watch(watch& pending) -> bool;
    auto answer_due_watches() -> void;

    event_loop& loop_;
    http1_server server_;
    std::string address_;
    store_mode mode_ = store_mode::normal;
    std::uint64_t era_ = 1;
    std::string era_text_ = "1";
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t request_count_ = 0;
    std::map<std::string, change> items_;
    std::list<change> history_;
    std::list<watch> watches_;
    std::list<std::shared_ptr<server_exchange>> unanswered_;
};

} // namespace cyclamenpost::fakes
