// Probes the current load of targets just before one is chosen, within a rate limit for each target.
#pragma once

#include "gateway/forwarding_state.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace pomelospread {

/// Used on one thread. The load probes that the home instances of one host send to a target stay under the
/// configured rate together: each uses the share of it that `probe_rate_share` gives to its rank.
class load_prober {
public:
    load_prober(io_thread& thread, forwarding_state& state, target_client& targets)
        : m_thread(thread), m_state(state), m_target_client(targets) {}

    struct probe_target {
        std::string id;
        std::int64_t incarnation = 0;
        endpoint address;
    };

    /// Whether a probe of the target may be sent now, or is in progress.
    [[nodiscard]] bool can_probe(std::string const& id) const;

    using target_predicate = std::function<bool(std::string const& id)>;

    /// Probes the targets concurrently. Returns when all probes have finished, when `is_enough` returns true
    /// for one of the targets whose probe has finished, or at `until`. A target with a probe in progress is
    /// not probed again but waited for; one whose rate limit is reached is skipped.
    void probe_targets(std::span<probe_target const> targets, std::string const& health_path,
                       steady_time until, target_predicate const& is_enough = {});

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
