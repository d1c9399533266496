// The order in which groups of waiting requests, such as customers or workspaces, have their turns.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace pomelospread {

/// Round robin over the groups that have waiting requests: a group that begins to wait, or was served, comes
/// after all others. Which of a group's requests is served is up to the owner. Not thread-safe.
template<class Group>
class group_turns {
public:
    /// A further request of the group waits.
    void add(Group const& group) {
        auto const [found, added] = m_members.try_emplace(group);
        if (added) {
            place_last(group, found->second);
        }
        ++found->second.waiting;
    }
    /// A request of the group no longer waits and was not served. The group must have a waiting request.
    void remove(Group const& group) {
        auto const found = m_members.find(group);
        if (--found->second.waiting == 0) {
            m_order.erase(found->second.turn);
            m_members.erase(found);
        }
    }
    /// A request of the group was served. The group must have a waiting request.
    void serve(Group group) {
        auto& member = m_members.find(group)->second;
        m_order.erase(member.turn);
        place_last(group, member);
        remove(group);
    }
    /// The group whose turn is next. A request must be waiting.
    [[nodiscard]] Group const& next() const { return m_order.begin()->second; }
    /// Lower numbers come first. The group must have a waiting request.
    [[nodiscard]] std::uint64_t turn_of(Group const& group) const {
        return m_members.find(group)->second.turn;
    }
    /// How many requests of the group wait.
    [[nodiscard]] std::size_t waiting(Group const& group) const {
        auto const found = m_members.find(group);
        return found == m_members.end() ? 0 : found->second.waiting;
    }

private:
    struct member_state {
        std::uint64_t turn = 0;
        std::size_t waiting = 0;
    };

    void place_last(Group const& group, member_state& member) {
        member.turn = ++m_last_turn;
        m_order.emplace(member.turn, group);
    }

    std::map<Group, member_state> m_members;
    std::map<std::uint64_t, Group> m_order;
    std::uint64_t m_last_turn = 0;
};

} // namespace pomelospread
