#include "gateway/target_list_updates.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

/// An entry takes about 130 bytes of a datagram.
constexpr std::size_t max_entries_per_note = 8;
/// More would take longer to send to a whole fleet than the list itself to a few.
constexpr std::size_t max_notes = 16;

} // namespace

std::vector<target_list_update> make_target_list_updates(target_list_snapshot const& before,
                                                         target_list_snapshot const& after,
                                                         std::uint32_t age_ms) {
    std::vector<target_list_update> parts(1);
    auto const part_with_room = [&]() -> target_list_update& {
        if (parts.back().changed_targets.size() + parts.back().removed_target_ids.size() ==
            max_entries_per_note) {
            parts.emplace_back();
        }
        return parts.back();
    };
    for (auto const& target : after.targets) {
        auto const known = std::ranges::lower_bound(before.targets, target.id, {}, &listed_target::id);
        if (known == before.targets.end() || *known != target) {
            part_with_room().changed_targets.push_back(target);
        }
    }
    for (auto const& target : before.targets) {
        if (!std::ranges::binary_search(after.targets, target.id, {}, &listed_target::id)) {
            part_with_room().removed_target_ids.push_back(target.id);
        }
    }
    if (parts.size() > max_notes) {
        return {
            {.version = after.version, .digest = target_list_digest(after.targets), .list_age_ms = age_ms}};
    }
    auto list = before;
    auto digest = target_list_digest(before.targets);
    for (auto& part : parts) {
        part.version = before.version;
        part.list_age_ms = age_ms;
        part.delta_base_digest = digest;
        list = *apply_target_list_update(list, digest, part);
        digest = target_list_digest(list.targets);
        part.digest = digest;
    }
    parts.back().version = after.version;
    return parts;
}

std::optional<target_list_snapshot> apply_target_list_update(target_list_snapshot const& current,
                                                             std::uint64_t digest,
                                                             target_list_update const& note) {
    if (note.delta_base_digest == 0 || note.delta_base_digest != digest) {
        return std::nullopt;
    }
    target_list_snapshot next{.version = note.version, .targets = current.targets};
    std::erase_if(next.targets, [&](auto const& target) {
        return std::ranges::find(note.removed_target_ids, target.id) != note.removed_target_ids.end() ||
               std::ranges::find(note.changed_targets, target.id, &listed_target::id) !=
                   note.changed_targets.end();
    });
    next.targets.insert(next.targets.end(), note.changed_targets.begin(), note.changed_targets.end());
    std::ranges::sort(next.targets, {}, &listed_target::id);
    return next;
}

} // namespace pomelospread
