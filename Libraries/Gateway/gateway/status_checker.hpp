// Asks targets for their present load just before a choice, within a budget.
#pragma once

#include "gateway/forwarding_state.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <map>
#include <set>
#include <span>
#include <string>

namespace pomelospread {

/// Belongs to one thread. A target's checks, summed over the instances that use its pool, stay under the
/// agreed rate: each instance takes an equal part of it.
class status_checker {
public:
    status_checker(io_thread& thread, forwarding_state& state, target_client& targets)
        : m_thread(thread), m_state(state), m_targets(targets) {}

    struct check_target {
        std::string id;
        endpoint address;
    };

    /// Checks the targets at once and returns when all answered or at `until`. A target that is being checked
    /// is not checked twice; one beyond its budget is left out.
    void refresh(std::span<check_target const> targets, std::string const& health_path, steady_time until);

private:
    struct allowance {
        double tokens = 0;
        steady_time filled_at{};
    };

    [[nodiscard]] bool try_spend(std::string const& id, steady_time now);
    void check(check_target const& target, std::string const& health_path);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_targets;
    std::map<std::string, allowance> m_allowances;
    std::set<std::string> m_running;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

} // namespace pomelospread
