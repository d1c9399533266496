#include "gateway/target_list_updates.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

/// An entry takes about 130 bytes of a datagram.
constexpr std::size_t max_entries_per_update = 8;
/// Bytes of the entries of one update; the other parts of its datagram take up to 110 of 1400 bytes.
constexpr std::size_t max_entry_bytes_per_update = 1290;
/// Bytes that the encoding of a target adds to its texts.
constexpr std::size_t fixed_entry_bytes = 60;
/// Sending more updates to the entire fleet would take longer than sending the complete list to a few
/// instances.
constexpr std::size_t max_updates = 48;

std::size_t entry_bytes(listed_target const& target) {
    return fixed_entry_bytes + target.id.size() + target.pool.size() + target.address.address.size() +
           target.zone.size();
}

} // namespace

std::vector<target_list_update> make_target_list_updates(target_list_snapshot const& before,
                                                         target_list_snapshot const& after,
                                                         std::uint32_t age_ms) {
    std::vector<target_list_update> updates(1);
    std::size_t used_bytes = 0;
    auto const update_with_room = [&](std::size_t bytes) -> target_list_update& {
        if (updates.back().changed_targets.size() + updates.back().removed_target_ids.size() ==
                max_entries_per_update ||
            used_bytes + bytes > max_entry_bytes_per_update) {
            updates.emplace_back();
            used_bytes = 0;
        }
        used_bytes += bytes;
        return updates.back();
    };
    for (auto const& target : after.targets) {
        auto const previous = std::ranges::lower_bound(before.targets, target.id, {}, &listed_target::id);
        if (previous == before.targets.end() || *previous != target) {
            update_with_room(entry_bytes(target)).changed_targets.push_back(target);
        }
    }
    for (auto const& target : before.targets) {
        if (!std::ranges::binary_search(after.targets, target.id, {}, &listed_target::id)) {
            update_with_room(fixed_entry_bytes + target.id.size()).removed_target_ids.push_back(target.id);
        }
    }
    if (updates.size() > max_updates) {
        return {
            {.version = after.version, .digest = target_list_digest(after.targets), .list_age_ms = age_ms}};
    }
    auto list = before;
    auto digest = target_list_digest(before.targets);
    for (auto& update : updates) {
        update.version = before.version;
        update.list_age_ms = age_ms;
        update.delta_base_digest = digest;
        list = *apply_target_list_update(list, digest, update);
        digest = target_list_digest(list.targets);
        update.digest = digest;
    }
    updates.back().version = after.version;
    return updates;
}

std::optional<target_list_snapshot> apply_target_list_update(target_list_snapshot const& current,
                                                             std::uint64_t digest,
                                                             target_list_update const& update) {
    if (update.delta_base_digest == 0 || update.delta_base_digest != digest) {
        return std::nullopt;
    }
    target_list_snapshot next{
        .version = update.version, .targets = current.targets, .retained_ids = current.retained_ids};
    auto const is_updated = [&](std::string const& id) {
        return std::ranges::find(update.removed_target_ids, id) != update.removed_target_ids.end() ||
               std::ranges::find(update.changed_targets, id, &listed_target::id) !=
                   update.changed_targets.end();
    };
    std::erase_if(next.retained_ids, is_updated);
    std::erase_if(next.targets, [&](auto const& target) { return is_updated(target.id); });
    next.targets.insert(next.targets.end(), update.changed_targets.begin(), update.changed_targets.end());
    std::ranges::sort(next.targets, {}, &listed_target::id);
    return next;
}

} // namespace pomelospread
