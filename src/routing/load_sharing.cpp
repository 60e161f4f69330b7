#include "cyclamenpost/routing/load_sharing.hpp"

#include <algorithm>

#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/store_readers.hpp"

namespace cyclamenpost {

namespace {

auto collector_of(const std::vector<std::string>& zone_members) -> std::string
{
    const auto readers = store_readers(zone_members);
    return readers.empty() ? std::string{} : readers.front();
}

} // namespace

auto load_recipients_of(const std::map<std::string, std::vector<std::string>>& members,
                        const std::string& own_id, const std::string& own_zone) -> load_recipients
{
    auto recipients = load_recipients{};
    for (const auto& [zone, ids] : members) {
        const auto collector = collector_of(ids);
        if (zone != own_zone) {
            recipients.other_collectors.push_back(collector);
        }
        else if (collector == own_id) {
            recipients.zone_peers = ids;
        }
        else {
            recipients.collector = collector;
        }
    }
    std::erase(recipients.zone_peers, own_id);
    if (!recipients.collector.empty()) {
        recipients.other_collectors.clear();
    }
    return recipients;
}

auto loads_received_after(const target_table& table, time_point after, report_origin farthest,
                          time_point now) -> std::vector<shared_load>
{
    auto loads = std::vector<shared_load>{};
    for (const auto& [id, known] : table.targets) {
        if (!known.load || known.load->received_at <= after || known.load->origin > farthest) {
            continue;
        }
        const auto age = now - known.load->reported_at;
        if (age < table.settings.max_load_age) {
            loads.push_back({name_key(id), known.load->requests, age, known.load->pace});
        }
    }
    return loads;
}

auto merge_shared_loads(target_table& table, const std::vector<shared_load>& loads,
                        report_origin origin, time_point now) -> void
{
    for (const auto& load : loads) {
        const auto id = table.id_by_key.find(load.target);
        if (id == table.id_by_key.end()) {
            continue;
        }
        auto& known = table.targets.at(id->second);
        const auto at = now - load.age;
        if (known.load && known.load->reported_at >= at) {
            continue;
        }
        note_answer(table, known, at);
        const auto begun = known.load && known.last_started > at ? known.load->started_since : 0;
        known.load = reported_load{load.requests, at, begun, origin, now, load.pace};
    }
}

} // namespace cyclamenpost
