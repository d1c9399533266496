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
    std::uint64_t tries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t failures = 0; ///< Requests that ended with a failing target's answer.
};

struct run_settings {
    scenario what;
    pool_size pool;
    double load = 0.75;
    double seconds = 20;
    std::uint64_t seed = 1;
};

/// One try of one request at one target.
struct try_copy {
    std::uint32_t request = 0;
    std::uint32_t target = 0;
    std::uint32_t place = 0; ///< For the strategy's own use.
    virtual_time started = 0;
    bool cancelled = false;
    bool running = false;
    bool finished = false;
};

using copy_handle = std::shared_ptr<try_copy>;

class simulation;

/// A way to choose targets. One object serves every instance of a run.
class strategy {
public:
    virtual ~strategy() = default;

    /// A new request reached its instance.
    virtual void arrived(simulation& world, std::uint32_t request) = 0;
    /// A try's answer reached its instance; `failed` for a 5xx answer.
    virtual void answered(simulation& world, copy_handle const& copy, bool failed) = 0;
    /// The target left or joined the table.
    virtual void set_present(simulation& world, std::uint32_t target, bool present) = 0;
    /// A slot of a target became free; only a policy that knows everything may look.
    virtual void slot_freed(simulation&) {}
    /// The instance died; its requests in progress are not counted.
    virtual void instance_died(simulation&, std::uint32_t) {}
    /// How many homes of the pool callers are placed at; 0 places them at any instance.
    [[nodiscard]] virtual std::uint32_t homes() const { return 0; }
};

/// One run. Requests, targets and instances are known by their numbers; homes are the first instances.
class simulation {
public:
    explicit simulation(run_settings const& settings);

    run_result run(strategy& policy);

    /// @name For strategies
    /// @{
    [[nodiscard]] virtual_time now() const noexcept { return m_now; }
    [[nodiscard]] std::uint32_t instance_of(std::uint32_t request) const {
        return m_requests[request].instance;
    }
    [[nodiscard]] bool is_done(std::uint32_t request) const { return m_requests[request].done; }
    [[nodiscard]] std::size_t target_count() const noexcept { return m_targets.size(); }
    [[nodiscard]] bool is_present(std::uint32_t target) const { return m_targets[target].present; }
    [[nodiscard]] std::uint32_t in_target(std::uint32_t target) const;
    /// Whether the target answers every request with a failure now.
    [[nodiscard]] bool fails_fast(std::uint32_t target) const;
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_settings.pool.slots; }
    [[nodiscard]] std::mt19937_64& random() noexcept { return m_random; }
    /// Sends a try; it reaches the target one network latency later.
    copy_handle send(std::uint32_t request, std::uint32_t target);
    /// Puts a request into a target with no latency.
    void send_at_once(std::uint32_t request, std::uint32_t target);
    /// Tells the target that a try is no longer wanted.
    void cancel(copy_handle const& copy);
    /// Another instance serves the request from now on; its answer comes back `latency` later.
    void move(std::uint32_t request, std::uint32_t instance, virtual_time latency);
    /// The request's answer is accepted.
    void complete(std::uint32_t request, bool failed);
    void at(virtual_time when, std::function<void()> what);
    run_result& result() noexcept { return m_result; }
    /// @}

private:
    struct request_state {
        virtual_time arrived = 0;
        std::uint32_t instance = 0;
        virtual_time way_back = 0;
        bool done = false;
    };
    struct fake_target {
        std::deque<copy_handle> waiting;
        std::uint32_t busy = 0;
        bool present = true;
        std::vector<virtual_time> slow_from; ///< Starts of slow times, in order.
        virtual_time joined = -1;            ///< When a cold target joined.
    };
    struct event {
        virtual_time when;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(event const& other) const {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    [[nodiscard]] copy_handle make_copy(std::uint32_t request, std::uint32_t target);
    void plan_targets();
    void plan_changes(strategy& policy);
    void next_arrival(strategy& policy);
    [[nodiscard]] double current_load() const;
    [[nodiscard]] std::uint32_t choose_instance(strategy const& policy);
    void reach_target(strategy& policy, copy_handle const& copy);
    void start_next(strategy& policy, std::uint32_t target);
    void start(strategy& policy, copy_handle const& copy);
    [[nodiscard]] virtual_time end_of_work(fake_target const& target, double work) const;

    run_settings m_settings;
    std::mt19937_64 m_random;
    std::mt19937_64 m_service_random;
    virtual_time m_now = 0;
    std::uint64_t m_next_event = 0;
    std::priority_queue<event> m_events;
    std::vector<fake_target> m_targets;
    std::vector<request_state> m_requests;
    std::vector<bool> m_instance_alive;
    strategy* m_policy = nullptr;
    run_result m_result;
};
