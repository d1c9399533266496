// Small fake targets and callers in virtual time, which run the decision code of the entry instance.
#pragma once

#include "scenario.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

/// Virtual time in seconds.
using virtual_time = double;

/// What one run measured.
struct run_result {
    std::vector<float> latencies_ms; ///< One for each request after the warm-up.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t failures = 0; ///< Requests that ended with a failing target's answer.
};

struct run_settings {
    scenario conditions;
    pool_shape pool;
    double load = 0.75;
    double duration_s = 20;
    std::uint64_t seed = 1;
};

/// One try of one request at one target.
struct attempt {
    std::uint32_t request = 0;
    std::uint32_t target = 0;
    std::uint32_t permit_index = 0; ///< For the strategy's own use.
    virtual_time started_at = 0;
    bool cancelled = false;
    bool running = false;
    bool finished = false;
};

using attempt_handle = std::shared_ptr<attempt>;

class simulation;

/// A way to choose targets. One object serves every instance of a run.
class strategy {
public:
    virtual ~strategy() = default;

    /// A new request reached its instance.
    virtual void on_request_arrived(simulation& world, std::uint32_t request) = 0;
    /// A try's answer reached its instance; `failed` for a 5xx answer.
    virtual void on_response(simulation& world, attempt_handle const& copy, bool failed) = 0;
    /// The target left or joined the table.
    virtual void set_target_present(simulation& world, std::uint32_t target, bool present) = 0;
    /// A slot of a target became free; only a policy that knows everything may look.
    virtual void on_slot_freed(simulation&) {}
    /// The instance died; its requests in progress are not counted.
    virtual void on_instance_failed(simulation&, std::uint32_t) {}
    /// How many homes of the pool callers are placed at; 0 places them at any instance.
    [[nodiscard]] virtual std::uint32_t homes_per_pool() const { return 0; }
};

/// One run. Requests, targets and instances are known by their numbers; homes are the first instances.
class simulation {
public:
    explicit simulation(run_settings const& settings);

    run_result run(strategy& policy);

    /// @name For strategies
    /// @{
    [[nodiscard]] virtual_time now() const noexcept { return m_now; }
    [[nodiscard]] std::uint32_t serving_instance(std::uint32_t request) const {
        return m_requests[request].instance;
    }
    [[nodiscard]] bool is_completed(std::uint32_t request) const { return m_requests[request].done; }
    [[nodiscard]] std::size_t target_count() const noexcept { return m_targets.size(); }
    [[nodiscard]] bool is_present(std::uint32_t target) const { return m_targets[target].present; }
    [[nodiscard]] std::uint32_t requests_at_target(std::uint32_t target) const;
    /// Whether the target answers every request with a failure now.
    [[nodiscard]] bool is_failing_fast(std::uint32_t target) const;
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_settings.pool.slots; }
    [[nodiscard]] std::mt19937_64& random() noexcept { return m_random; }
    /// Sends a try; it reaches the target one network latency later.
    attempt_handle send(std::uint32_t request, std::uint32_t target);
    /// Puts a request into a target with no latency.
    void send_without_latency(std::uint32_t request, std::uint32_t target);
    /// Tells the target that a try is no longer wanted.
    void cancel(attempt_handle const& copy);
    /// Another instance serves the request from now on; its answer comes back `latency` later.
    void reassign(std::uint32_t request, std::uint32_t instance, virtual_time latency);
    /// The request's answer is accepted.
    void complete(std::uint32_t request, bool failed);
    void schedule(virtual_time when, std::function<void()> what);
    run_result& result() noexcept { return m_result; }
    /// @}

private:
    struct request_state {
        virtual_time arrived_at = 0;
        std::uint32_t instance = 0;
        virtual_time return_latency = 0;
        bool done = false;
    };
    struct simulated_target {
        std::deque<attempt_handle> waiting;
        std::uint32_t busy_slots = 0;
        bool present = true;
        std::vector<virtual_time> slow_phase_starts; ///< Starts of slow times, in order.
        virtual_time joined_at = -1;                 ///< When a cold target joined.
    };
    struct event {
        virtual_time when;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(event const& other) const {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    [[nodiscard]] attempt_handle make_attempt(std::uint32_t request, std::uint32_t target);
    void schedule_slow_phases();
    void schedule_changes(strategy& policy);
    void schedule_next_arrival(strategy& policy);
    [[nodiscard]] double current_load() const;
    [[nodiscard]] std::uint32_t choose_instance(strategy const& policy);
    void arrive_at_target(strategy& policy, attempt_handle const& copy);
    void start_next(strategy& policy, std::uint32_t target);
    void start(strategy& policy, attempt_handle const& copy);
    [[nodiscard]] virtual_time completion_time(simulated_target const& target, double work) const;

    run_settings m_settings;
    std::mt19937_64 m_random;
    std::mt19937_64 m_service_random;
    virtual_time m_now = 0;
    std::uint64_t m_next_event = 0;
    std::priority_queue<event> m_events;
    std::vector<simulated_target> m_targets;
    std::vector<request_state> m_requests;
    std::vector<bool> m_instance_alive;
    strategy* m_strategy = nullptr;
    run_result m_result;
};
