// A discrete-event simulation of callers, instances and targets in virtual time. Strategies choose the
// targets; the system strategy runs the decision code of the entry instance.
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

/// The measurements of one run.
struct run_result {
    std::vector<float> latencies_ms; ///< Of the successful requests that arrived after the warm-up.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t failures = 0; ///< Requests that ended with a failing target's response.
};

struct run_settings {
    scenario conditions;
    pool_shape pool;
    double load = 0.75; ///< Share of the pool's slots that is busy on average.
    double duration_s = 20;
    std::uint64_t seed = 1;
};

/// One sending of a request to a target.
struct attempt {
    std::uint32_t request = 0;
    std::uint32_t target = 0;
    std::uint32_t permit_index = 0; ///< For use by the strategy.
    virtual_time started_at = 0;
    bool cancelled = false; ///< The strategy no longer wants the response.
    bool running = false;   ///< It has occupied a slot of the target.
    bool finished = false;  ///< The target is done with it.
};

using attempt_handle = std::shared_ptr<attempt>;

class simulation;

/// A strategy for the choice of targets. One object makes the choices of every instance in a run.
class strategy {
public:
    virtual ~strategy() = default;

    /// A new request arrived at its instance.
    virtual void on_request_arrived(simulation& sim, std::uint32_t request) = 0;
    /// The response to an attempt arrived at the instance; `failed` when it is a 5xx response.
    virtual void on_response(simulation& sim, attempt_handle const& handle, bool failed) = 0;
    /// The target joined (`present`) or left the table.
    virtual void set_target_present(simulation& sim, std::uint32_t target, bool present) = 0;
    /// A request ended and freed a slot of a target. Only the omniscient strategy uses this, since no
    /// instance receives such a notification.
    virtual void on_slot_freed(simulation&) {}
    /// The instance failed: it receives no new request. The simulation does not end its requests in progress;
    /// the system strategy still completes them, and they count.
    virtual void on_instance_failed(simulation&, std::uint32_t) {}
    /// Number of home instances to which the callers are sent; 0 sends them to any instance.
    [[nodiscard]] virtual std::uint32_t homes_per_pool() const { return 0; }
};

/// One run. Requests, targets and instances are identified by their indices; the homes are the first
/// instances.
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
    /// Whether the target currently fails every request at once.
    [[nodiscard]] bool is_failing_fast(std::uint32_t target) const;
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_settings.pool.slots; }
    [[nodiscard]] std::mt19937_64& random() noexcept { return m_random; }
    /// Sends an attempt, which arrives at the target after `one_way_latency_s`.
    attempt_handle send(std::uint32_t request, std::uint32_t target);
    /// Sends an attempt that arrives at the target immediately.
    void send_without_latency(std::uint32_t request, std::uint32_t target);
    /// Cancels an attempt. After `one_way_latency_s` the target stops working on it, when it has begun; one
    /// that waits at the target is skipped.
    void cancel(attempt_handle const& handle);
    /// Assigns the request to another instance; `latency` is added to the request's latency for the way back.
    void reassign(std::uint32_t request, std::uint32_t instance, virtual_time latency);
    /// Ends the request with a response. Has no effect when the request was already completed.
    void complete(std::uint32_t request, bool failed);
    void schedule(virtual_time when, std::function<void()> action);
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
        std::vector<virtual_time> slow_phase_starts; ///< Starts of the slow phases, in order.
        virtual_time joined_at = -1; ///< When a cold target joined; negative for other targets.
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
    void schedule_fleet_events(strategy& policy);
    void schedule_next_arrival(strategy& policy);
    [[nodiscard]] double current_load() const;
    [[nodiscard]] std::uint32_t choose_instance(strategy const& policy);
    void arrive_at_target(strategy& policy, attempt_handle const& handle);
    void start_next(strategy& policy, std::uint32_t target_index);
    void start(strategy& policy, attempt_handle const& handle);
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
