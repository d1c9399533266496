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
class load_prober {
public:
    load_prober(io_thread& thread, forwarding_state& state, target_client& targets)
        : m_thread(thread), m_state(state), m_target_client(targets) {}

    struct probe_target {
        std::string id;
        endpoint address;
    };

    /// Checks the targets at once and returns when all answered or at `until`. A target that is being checked
    /// is not checked twice; one beyond its budget is left out.
    void probe_targets(std::span<probe_target const> targets, std::string const& health_path,
                       steady_time until);

private:
    struct token_bucket {
        double tokens = 0;
        steady_time refilled_at{};
    };

    [[nodiscard]] bool try_take_token(std::string const& id, steady_time now);
    void run_probe(probe_target const& target, std::string const& health_path);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_target_client;
    std::map<std::string, token_bucket> m_token_buckets;
    std::set<std::string> m_probes_in_progress;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_probe_finished;
};

} // namespace pomelospread
