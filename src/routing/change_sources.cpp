#include "cyclamenpost/routing/change_sources.hpp"

#include <algorithm>
#include <utility>

#include "cyclamenpost/routing/store_readers.hpp"

namespace cyclamenpost {

namespace {

auto leaves_unanswered(const change_sources& sources, const std::string& id, time_point now) -> bool
{
    const auto found = sources.unanswered.find(id);
    return found != sources.unanswered.end() && now - found->second < unanswered_retention;
}

/// Instances to ask for a revision, in this order: the readers from the preferred one on,
/// `seen_in`, all others.
auto possible_sources(const change_sources& sources, const std::vector<std::string>& readers,
                      std::string_view own_id, const store_position& revision,
                      const std::string& seen_in) -> std::vector<std::string>
{
    auto order = readers_from_preferred(readers, own_id);
    order.push_back(seen_in);
    for (const auto& [id, known] : sources.announced) {
        order.push_back(id);
    }
    std::erase_if(order, [&](const std::string& id) {
        const auto known = sources.announced.find(id);
        return id == own_id || known == sources.announced.end() || known->second < revision;
    });
    return order;
}

} // namespace

auto note_announced(change_sources& sources, const std::string& id, const store_position& revision,
                    const store_position& own_revision, time_point now) -> void
{
    sources.announced[id] = revision;
    const auto awaits = sources.awaited && sources.awaited->revision > own_revision;
    if (revision > own_revision && !awaits) {
        sources.awaited = {revision, now};
    }
}

auto note_heard(change_sources& sources, const std::string& id) -> void
{
    if (sources.fetch && sources.fetch->source == id) {
        sources.fetch->heard = true;
    }
}

auto note_changes(change_sources& sources, const std::string& id, bool last) -> void
{
    sources.unanswered.erase(id);
    if (last && sources.fetch && sources.fetch->source == id) {
        sources.fetch.reset();
    }
}

auto begin_fetch(change_sources& sources, std::string id, const store_position& revision,
                 time_point now) -> void
{
    sources.fetch = {std::move(id), revision, now, false};
}

auto take_failed_fetch(change_sources& sources, const store_position& own_revision, time_point now)
    -> std::optional<change_fetch>
{
    if (!sources.fetch) {
        return std::nullopt;
    }
    if (own_revision >= sources.fetch->revision) {
        sources.fetch.reset();
        return std::nullopt;
    }
    if (now - sources.fetch->asked_at <
        (sources.fetch->heard ? fetch_timeout : silent_source_time)) {
        return std::nullopt;
    }
    sources.unanswered[sources.fetch->source] = now;
    return std::exchange(sources.fetch, std::nullopt);
}

auto answering_reader(const change_sources& sources, const std::vector<std::string>& readers,
                      std::string_view own_id, time_point now) -> std::string
{
    const auto order = readers_from_preferred(readers, own_id);
    const auto found = std::find_if(order.begin(), order.end(), [&](const std::string& id) {
        return !leaves_unanswered(sources, id, now);
    });
    return found == order.end() ? std::string{} : *found;
}

auto change_source(const change_sources& sources, const std::vector<std::string>& readers,
                   std::string_view own_id, const store_position& revision,
                   const std::string& seen_in, time_point now) -> std::string
{
    const auto possible = possible_sources(sources, readers, own_id, revision, seen_in);
    if (possible.empty()) {
        return {};
    }
    const auto answering = std::find_if(possible.begin(), possible.end(), [&](const auto& id) {
        return !leaves_unanswered(sources, id, now);
    });
    if (answering != possible.end()) {
        return *answering;
    }
    return *std::min_element(possible.begin(), possible.end(), [&](const auto& a, const auto& b) {
        return sources.unanswered.at(a) < sources.unanswered.at(b);
    });
}

auto time_behind(const change_sources& sources, const store_position& own_revision, time_point now)
    -> duration
{
    return sources.awaited && sources.awaited->revision > own_revision
               ? now - sources.awaited->since
               : duration::zero();
}

} // namespace cyclamenpost
