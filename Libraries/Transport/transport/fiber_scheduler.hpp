// A Boost.Fiber scheduling algorithm that runs the thread's io_context while no fiber is ready.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <atomic>
#include <chrono>

namespace pomelospread {

/// Round-robin scheduling of one thread's fibers together with its io_context.
///
/// The dispatcher fiber polls the io_context once per round of ready fibers and blocks in it when there are
/// none, so an idle thread sleeps in the kernel. Asio handlers run only on the dispatcher's stack and must
/// not block. `notify` may be called from any thread, the other functions only from the owning thread.
class fiber_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit fiber_scheduler(boost::asio::io_context& io);

    void awakened(boost::fibers::context* fiber) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    [[nodiscard]] bool has_ready_fibers() const noexcept override;
    void suspend_until(std::chrono::steady_clock::time_point const& wake_up) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context& m_io;
    boost::fibers::scheduler::ready_queue_type m_ready_queue;
    std::size_t m_ready_worker_count = 0;
    /// Set by `notify` until the dispatcher is about to block: `pick_next` may run the handler that `notify`
    /// posted after the dispatcher already looked for fibers that other threads made ready.
    std::atomic<bool> m_notified{false};
};

} // namespace pomelospread
