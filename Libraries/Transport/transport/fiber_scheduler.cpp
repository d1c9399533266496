#include "transport/fiber_scheduler.hpp"

#include <boost/asio/post.hpp>

namespace pomelospread {

namespace fibers = boost::fibers;

fiber_scheduler::fiber_scheduler(boost::asio::io_context& io) : m_io(io) {}

void fiber_scheduler::awakened(fibers::context* fiber) noexcept {
    if (!fiber->is_context(fibers::type::dispatcher_context)) {
        ++m_ready_worker_count;
    }
    fiber->ready_link(m_ready_queue);
}

fibers::context* fiber_scheduler::pick_next() noexcept {
    // Handlers run only on the dispatcher's stack. On the stack of a fiber that is about to suspend, a
    // handler could make that same fiber ready, and the fiber must not resume itself.
    if (fibers::context::active()->is_context(fibers::type::dispatcher_context)) {
        m_io.poll();
    }
    if (m_ready_queue.empty()) {
        return nullptr;
    }
    auto* const fiber = &m_ready_queue.front();
    m_ready_queue.pop_front();
    if (!fiber->is_context(fibers::type::dispatcher_context)) {
        --m_ready_worker_count;
    }
    return fiber;
}

bool fiber_scheduler::has_ready_fibers() const noexcept {
    return m_ready_worker_count > 0;
}

void fiber_scheduler::suspend_until(std::chrono::steady_clock::time_point const& wake_up) noexcept {
    if (m_notified.exchange(false)) {
        return;
    }
    if (wake_up == (std::chrono::steady_clock::time_point::max)()) {
        m_io.run_one();
        return;
    }
    m_io.run_one_until(wake_up);
}

void fiber_scheduler::notify() noexcept {
    m_notified.store(true);
    boost::asio::post(m_io, [] {});
}

} // namespace pomelospread
