// Instances that compare the platform's list of members with those they know, in virtual time.
#include "coordination/member_list_audit.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

/// Instances that exchange heartbeats and introductions as `fleet_synchronizer` does, and the list.
class audited_fleet {
public:
    explicit audited_fleet(
        std::size_t size,
        std::function<bool(std::size_t, std::size_t)> sees_row = [](auto, auto) { return true; })
        : sees_row_of(std::move(sees_row)) {
        for (std::size_t i = 0; i < size; ++i) {
            start(i);
        }
    }

    void start(std::size_t i) {
        instance_entry const entry{.id = ++m_last_id,
                                   .zone = "z",
                                   .caller_address = {},
                                   .peer_address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
                                   .admin_address = {}};
        m_instances.resize(std::max(m_instances.size(), i + 1));
        auto& self = m_instances[i];
        self.members = std::make_unique<membership>(entry, m_limits);
        self.audit = member_list_audit();
        self.is_running = true;
        write_row(i);
        merge_list(i);
        for (std::size_t to = 0; to < m_instances.size(); ++to) {
            if (to != i && self.members->is_member(id_of(to))) {
                deliver(i, to, self.members->make_gossip_message(0, m_random), false);
            }
        }
    }
    void run(std::chrono::milliseconds duration) {
        for (auto const end = now + duration; now < end; now += m_limits.heartbeat_period) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                auto& self = m_instances[i];
                if (!self.is_running) {
                    continue;
                }
                self.members->tick(now);
                auto const message = self.members->make_gossip_message(0, m_random);
                for (auto const& receiver : self.members->choose_gossip_peers(m_random)) {
                    deliver(i, receiver.peer_address.port - 1U, message, true);
                }
                if (self.audit.is_read_due(*self.members, now, m_random)) {
                    audit(i);
                }
            }
        }
    }
    instance_id id_of(std::size_t i) const { return m_instances[i].members->self().id; }
    void stop(std::size_t i) { m_instances[i].is_running = false; }
    void forget(std::size_t observer) {
        // As an instance whose list lacked every other row when it started.
        m_instances[observer].members =
            std::make_unique<membership>(m_instances[observer].members->self(), m_limits);
    }
    bool all_know_all(std::set<std::size_t> const& numbers) const {
        return std::ranges::all_of(numbers, [&](auto observer) {
            return std::ranges::all_of(numbers, [&](auto other) {
                return observer == other || m_instances[observer].members->is_heard(id_of(other));
            });
        });
    }

    std::function<bool(std::size_t, std::size_t)> link_works = [](auto, auto) { return true; };
    /// Whether the list that an instance reads has another one's row.
    std::function<bool(std::size_t, std::size_t)> sees_row_of;
    std::map<endpoint, listed_member> rows;
    membership::time_point now{1h};
    std::size_t reads = 0;

private:
    struct instance {
        std::unique_ptr<membership> members;
        member_list_audit audit;
        bool is_running = false;
    };

    void write_row(std::size_t i) {
        auto const& entry = m_instances[i].members->self();
        rows[entry.peer_address] = {.entry = entry, .row_version = ++m_last_version};
    }
    std::vector<listed_member> merge_list(std::size_t i) {
        std::vector<listed_member> listed;
        std::vector<instance_entry> entries;
        for (auto const& [address, row] : rows) {
            if (!sees_row_of(i, address.port - 1U)) {
                continue;
            }
            listed.push_back(row);
            entries.push_back(row.entry);
        }
        m_instances[i].members->merge_platform_list(entries, now);
        return listed;
    }
    void audit(std::size_t i) {
        ++reads;
        auto& self = m_instances[i];
        auto const findings = self.audit.compare(merge_list(i), *self.members, now);
        for (auto const& entry : findings.unheard) {
            deliver(i, entry.peer_address.port - 1U, self.members->make_gossip_message(0, m_random), true);
        }
        if (findings.is_unregistered) {
            write_row(i);
        }
        for (auto const& gone : findings.gone) {
            if (rows[gone.entry.peer_address].row_version == gone.row_version) {
                rows.erase(gone.entry.peer_address);
            }
        }
    }
    void deliver(std::size_t from, std::size_t to, gossip_message const& message, bool is_heartbeat) {
        auto& receiver = m_instances[to];
        if (from == to || !receiver.is_running || !link_works(from, to)) {
            return;
        }
        bool const was_known = receiver.members->is_member(message.sender.id);
        bool const is_introduced =
            is_heartbeat && receiver.audit.should_introduce(message.sender.id, *receiver.members, now);
        receiver.members->apply_gossip(message, now);
        if (!is_introduced) {
            return;
        }
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (other != from && receiver.members->is_member(id_of(other)) && link_works(to, other) &&
                m_instances[other].is_running) {
                m_instances[other].members->apply_gossip(message, now);
            }
        }
        if (!was_known) {
            deliver(to, from, receiver.members->make_gossip_message(0, m_random), true);
        }
    }

    membership_limits m_limits;
    std::vector<instance> m_instances;
    instance_id m_last_id = 0;
    std::uint64_t m_last_version = 0;
    random_source m_random{20261207};
};

std::set<std::size_t> numbers_below(std::size_t end) {
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < end; ++i) {
        result.insert(i);
    }
    return result;
}

/// Digests of each member arrive less often in larger fleets, as for `membership_limits::suspect_after`.
std::chrono::seconds find_time(std::size_t size) {
    return 15s * static_cast<int>(1 + (size - 1) / 16);
}

} // namespace

TEST_GROUP(member_list_audits){};

// Guards against an instance that nobody finds any more after its row was removed (QUOTA).
TEST(member_list_audits, an_instance_writes_its_row_again_when_it_is_missing) {
    audited_fleet fleet(2);
    fleet.run(2s);
    fleet.rows.erase(fleet.rows.begin());
    fleet.run(find_time(2));
    LONGS_EQUAL(2, fleet.rows.size());
}

TEST(member_list_audits, an_instance_replaces_the_row_of_a_process_that_ended) {
    audited_fleet fleet(2);
    fleet.run(2s);
    fleet.rows.begin()->second.entry.id = 999;
    fleet.run(find_time(2));
    LONGS_EQUAL(fleet.id_of(0), fleet.rows.begin()->second.entry.id);
}

// Guards against instances that know only themselves and never find each other (QUOTA).
TEST(member_list_audits, instances_that_do_not_know_each_other_find_each_other) {
    for (std::size_t const size : {2U, 3U, 17U, 40U}) {
        audited_fleet fleet(size);
        fleet.run(2s);
        for (std::size_t i = 0; i < size; ++i) {
            fleet.forget(i);
        }
        fleet.run(find_time(size));
        CHECK(fleet.all_know_all(numbers_below(size)));
    }
}

// Guards against groups that stay apart after a cut (BUDGET).
TEST(member_list_audits, groups_that_were_cut_off_find_each_other) {
    for (std::size_t const size : {2U, 17U, 40U}) {
        audited_fleet fleet(size);
        fleet.run(2s);
        fleet.link_works = [](auto from, auto to) { return from % 2 == to % 2; };
        fleet.run(60s);
        CHECK_FALSE(fleet.all_know_all(numbers_below(size)));
        fleet.link_works = [](auto, auto) { return true; };
        fleet.run(find_time(size));
        CHECK(fleet.all_know_all(numbers_below(size)));
        LONGS_EQUAL(size, fleet.rows.size());
    }
}

// Guards against groups that stay apart since no member of one was ever known in the other (FAILBACK).
TEST(member_list_audits, groups_that_never_knew_each_other_find_each_other) {
    struct {
        std::size_t size;
        std::size_t first_group_size;
    } const rows[] = {{6, 2}, {17, 6}, {17, 1}, {17, 8}, {40, 20}};
    for (auto const& row : rows) {
        auto const is_same_group = [&row](auto one, auto other) {
            return (one < row.first_group_size) == (other < row.first_group_size);
        };
        audited_fleet fleet(row.size, is_same_group);
        fleet.run(12s);
        CHECK_FALSE(fleet.all_know_all(numbers_below(row.size)));
        fleet.sees_row_of = [](auto, auto) { return true; };
        fleet.run(find_time(row.size));
        CHECK(fleet.all_know_all(numbers_below(row.size)));
    }
}

TEST(member_list_audits, rows_of_instances_that_are_gone_are_removed) {
    audited_fleet fleet(6);
    fleet.run(2s);
    fleet.stop(1);
    fleet.stop(4);
    fleet.run(5min);
    LONGS_EQUAL(4, fleet.rows.size());
    CHECK(fleet.all_know_all({0, 2, 3, 5}));
}

TEST(member_list_audits, the_list_is_read_as_often_in_a_large_fleet) {
    for (std::size_t const size : {4U, 40U}) {
        audited_fleet fleet(size);
        fleet.run(30s);
        fleet.reads = 0;
        fleet.run(400s);
        CHECK(fleet.reads >= 60 && fleet.reads <= 140);
    }
}
