#include "coordination/placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace pomelospread {

namespace {

std::uint64_t rendezvous_weight(std::string_view pool, instance_id id) {
    return XXH3_64bits_withSeed(pool.data(), pool.size(), id);
}

std::vector<instance_entry> members_with_status(std::span<member_view const> members, member_status status) {
    std::vector<instance_entry> result;
    for (auto const& member : members) {
        if (member.status == status) {
            result.push_back(member.entry);
        }
    }
    return result;
}

std::vector<instance_entry> selectable_members(std::span<member_view const> members) {
    for (auto const status : {member_status::alive, member_status::suspect, member_status::leaving}) {
        if (auto found = members_with_status(members, status); !found.empty()) {
            return found;
        }
    }
    return {};
}

/// Orders the candidates by preference: rounds with one candidate of each zone, by descending weight
/// within a zone.
std::vector<instance_entry> rank_across_zones(std::string_view pool, std::vector<instance_entry> pending) {
    std::ranges::sort(pending, [&](auto const& left, auto const& right) {
        return std::pair(rendezvous_weight(pool, left.id), left.id) >
               std::pair(rendezvous_weight(pool, right.id), right.id);
    });
    std::vector<instance_entry> result;
    while (!pending.empty()) {
        std::set<std::string> zones;
        std::vector<instance_entry> next_rounds;
        for (auto& entry : pending) {
            if (zones.insert(entry.zone).second) {
                result.push_back(std::move(entry));
            } else {
                next_rounds.push_back(std::move(entry));
            }
        }
        pending = std::move(next_rounds);
    }
    return result;
}

bool contains(std::span<instance_entry const> entries, instance_id id) {
    return std::ranges::any_of(entries, [&](auto const& entry) { return entry.id == id; });
}

instance_id choose_witness(instance_entry const& primary, std::span<instance_entry const> order) {
    auto const in_other_zone = std::ranges::find_if(
        order, [&](auto const& entry) { return entry.id != primary.id && entry.zone != primary.zone; });
    if (in_other_zone != order.end()) {
        return in_other_zone->id;
    }
    auto const other = std::ranges::find_if(order, [&](auto const& entry) { return entry.id != primary.id; });
    return other == order.end() ? 0 : other->id;
}

std::chrono::milliseconds random_ttl(placement_limits const& limits, random_source& random) {
    std::uniform_real_distribution<double> share(1.0 - limits.ttl_jitter_share, 1.0);
    auto const milliseconds = static_cast<double>(limits.max_ttl.count()) * share(random);
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

} // namespace

std::vector<instance_entry> ranked_home_instances(std::string_view pool, std::size_t count,
                                                  std::span<member_view const> members) {
    auto order = rank_across_zones(pool, selectable_members(members));
    order.resize(std::min(order.size(), count));
    return order;
}

std::vector<instance_entry> replica_candidates(instance_entry const& self, pool_row const& pool,
                                               std::span<member_view const> members) {
    auto order = rank_across_zones(pool.name, members_with_status(members, member_status::alive));
    std::erase_if(order, [&](auto const& entry) { return entry.id == self.id; });
    std::stable_partition(order.begin(), order.end(),
                          [&](auto const& entry) { return entry.zone != self.zone; });
    return order;
}

std::optional<address_response> select_caller_addresses(pool_row const& pool, std::string_view caller_zone,
                                                        std::span<member_view const> members, key_epoch epoch,
                                                        placement_limits const& limits,
                                                        random_source& random) {
    auto const order = rank_across_zones(pool.name, selectable_members(members));
    if (order.empty()) {
        return std::nullopt;
    }
    auto const home_total = std::min(order.size(), static_cast<std::size_t>(home_count(pool)));
    auto homes = std::vector(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(home_total));
    std::ranges::shuffle(homes, random);
    auto const in_other_zone = std::stable_partition(
        homes.begin(), homes.end(), [&](auto const& entry) { return entry.zone == caller_zone; });
    address_response response;
    response.reason = in_other_zone != homes.begin() ? "home_in_caller_zone" : "home_in_other_zone";
    response.prefix = {
        .primary = homes.front().id, .witness = choose_witness(homes.front(), order), .epoch = epoch};
    response.ttl = random_ttl(limits, random);
    response.addresses = homes;
    for (auto const& entry : order) {
        if (!contains(response.addresses, entry.id)) {
            response.addresses.push_back(entry);
        }
    }
    response.addresses.resize(std::min(response.addresses.size(), limits.max_addresses));
    return response;
}

} // namespace pomelospread
