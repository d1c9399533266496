#include "transport/io_thread.hpp"

#include "base/log.hpp"
#include "transport/fiber_scheduler.hpp"

#include <boost/fiber/operations.hpp>

#include <pthread.h>
#include <urcu/urcu-memb.h>

#include <exception>
#include <future>
#include <mutex>

namespace pomelospread {

io_thread::io_thread(std::string name)
    : m_name(std::move(name)), m_work_guard(boost::asio::make_work_guard(m_io)), m_thread([this] { run(); }) {
}

io_thread::~io_thread() {
    stop();
}

void io_thread::stop() {
    if (!m_thread.joinable()) {
        return;
    }
    {
        std::unique_lock lock(m_stop_mutex);
        m_stopping = true;
    }
    m_stop_condition.notify_all();
    m_thread.join();
}

void io_thread::spawn(std::function<void()> work) {
    m_live_fibers.fetch_add(1);
    boost::asio::post(m_io, [this, work = std::move(work)]() mutable { start_fiber(std::move(work)); });
}

void io_thread::run_and_wait(std::function<void()> const& work) {
    std::promise<void> done;
    spawn([&] {
        try {
            work();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

void io_thread::start_fiber(std::function<void()> work) {
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, pooled_stack_allocator{},
                         [this, work = std::move(work)] {
                             try {
                                 work();
                             } catch (std::exception const& failure) {
                                 // Only this fiber's request or connection fails; the process goes on with
                                 // the others.
                                 log_line(log_level::error, "fiber_failed")
                                     .field("thread", m_name)
                                     .field("reason", failure.what())
                                     .write();
                             }
                             m_live_fibers.fetch_sub(1);
                         })
        .detach();
}

void io_thread::run() {
    pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
    urcu_memb_register_thread();
    pooled_stack_allocator::prepare_thread();
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(m_io);
    // The main fiber only waits for `stop`; meanwhile the dispatcher fiber runs the io_context.
    {
        std::unique_lock lock(m_stop_mutex);
        m_stop_condition.wait(lock, [&] { return m_stopping.load(); });
    }
    constexpr auto fiber_end_poll_interval = std::chrono::milliseconds(5);
    while (m_live_fibers.load() > 0) {
        boost::this_fiber::sleep_for(fiber_end_poll_interval);
    }
    urcu_memb_unregister_thread();
}

} // namespace pomelospread
