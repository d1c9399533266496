#include "gateway/list_notes.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

/// An entry takes about 130 bytes of a datagram.
constexpr std::size_t max_entries_per_note = 8;
/// More would take longer to send to a whole fleet than the list itself to a few.
constexpr std::size_t max_notes = 16;

} // namespace

std::vector<list_note> notes_between(target_reading const& before, target_reading const& after,
                                     std::uint32_t age_ms) {
    std::vector<list_note> parts(1);
    auto const part_with_room = [&]() -> list_note& {
        if (parts.back().changed.size() + parts.back().removed.size() == max_entries_per_note) {
            parts.emplace_back();
        }
        return parts.back();
    };
    for (auto const& target : after.targets) {
        auto const known = std::ranges::lower_bound(before.targets, target.id, {}, &listed_target::id);
        if (known == before.targets.end() || *known != target) {
            part_with_room().changed.push_back(target);
        }
    }
    for (auto const& target : before.targets) {
        if (!std::ranges::binary_search(after.targets, target.id, {}, &listed_target::id)) {
            part_with_room().removed.push_back(target.id);
        }
    }
    if (parts.size() > max_notes) {
        return {{.version = after.version, .digest = digest_of(after.targets), .age_ms = age_ms}};
    }
    auto list = before;
    auto digest = digest_of(before.targets);
    for (auto& part : parts) {
        part.version = before.version;
        part.age_ms = age_ms;
        part.base_digest = digest;
        list = *with_note(list, digest, part);
        digest = digest_of(list.targets);
        part.digest = digest;
    }
    parts.back().version = after.version;
    return parts;
}

std::optional<target_reading> with_note(target_reading const& current, std::uint64_t digest,
                                        list_note const& note) {
    if (note.base_digest == 0 || note.base_digest != digest) {
        return std::nullopt;
    }
    target_reading next{.version = note.version, .targets = current.targets};
    std::erase_if(next.targets, [&](auto const& target) {
        return std::ranges::find(note.removed, target.id) != note.removed.end() ||
               std::ranges::find(note.changed, target.id, &listed_target::id) != note.changed.end();
    });
    next.targets.insert(next.targets.end(), note.changed.begin(), note.changed.end());
    std::ranges::sort(next.targets, {}, &listed_target::id);
    return next;
}

} // namespace pomelospread
