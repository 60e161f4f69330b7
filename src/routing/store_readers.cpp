#include "cyclamenpost/routing/store_readers.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// a new instance stops waiting for an announced revision that no live instance can send it
constexpr duration max_catch_up_time = std::chrono::seconds{6};

} // namespace

auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>
{
    std::sort(zone_members.begin(), zone_members.end(),
              [](const std::string& left, const std::string& right) {
                  return hash64(left) < hash64(right);
              });
    zone_members.resize(std::min(zone_members.size(), readers_per_zone));
    return zone_members;
}

auto must_read_store(const std::vector<std::string>& readers, std::string_view own_id,
                     duration since_notice) -> bool
{
    const auto is_reader = std::find(readers.begin(), readers.end(), own_id) != readers.end();
    return is_reader || since_notice > notice_timeout;
}

auto preferred_reader(const std::vector<std::string>& readers, std::string_view own_id)
    -> std::string
{
    auto others = readers;
    std::erase(others, own_id);
    return others.empty() ? std::string{} : others[hash64(own_id) % others.size()];
}

auto change_source(const std::vector<std::string>& readers,
                   const std::map<std::string, std::uint64_t>& revisions, std::string_view own_id,
                   std::uint64_t revision, const std::string& seen_in) -> std::string
{
    const auto has_revision = [&](const std::string& id) {
        const auto known = revisions.find(id);
        return id != own_id && known != revisions.end() && known->second >= revision;
    };
    auto preferred = preferred_reader(readers, own_id);
    if (has_revision(preferred)) {
        return preferred;
    }
    const auto other = std::find_if(readers.begin(), readers.end(), has_revision);
    return other == readers.end() ? seen_in : *other;
}

auto knows_enough(const start_knowledge& known) -> bool
{
    if (known.listed_store) {
        return true;
    }
    if (known.revision == 0) {
        return false;
    }
    const auto confirmed = known.heard_reader || known.since_first_announced >= announcement_time;
    return (confirmed && known.revision >= known.newest_announced) ||
           known.since_first_announced >= max_catch_up_time;
}

} // namespace cyclamenpost
