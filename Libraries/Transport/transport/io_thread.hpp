// A thread that owns an io_context and the fibers that run on it.
#pragma once

#include "transport/pooled_stack_allocator.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace pomelospread {

/// One thread with one io_context and its own fibers. A fiber never moves to another thread.
class io_thread {
public:
    /// Starts the thread. Thread listings of the operating system show the first 15 characters of `name`.
    explicit io_thread(std::string name);
    ~io_thread();

    io_thread(io_thread const&) = delete;
    io_thread& operator=(io_thread const&) = delete;

    [[nodiscard]] boost::asio::io_context& io() noexcept { return m_io; }

    /// Starts a fiber on this thread. Thread-safe. A `std::exception` that `work` throws is logged and ends
    /// only that fiber; any other exception ends the process.
    void spawn(std::function<void()> work);

    /// Runs `work` in a fiber of this thread, waits for its end and throws what it threw. Must not be called
    /// from a fiber of this thread.
    void run_and_wait(std::function<void()> const& work);

    /// Waits until every fiber has ended and joins the thread. The io_context remains, so that sockets and
    /// timers that the fibers used can be destroyed afterwards. Must not be called from a fiber of this
    /// thread.
    void stop();

    /// Number of fibers that were started and have not ended. Thread-safe.
    [[nodiscard]] std::size_t live_fibers() const noexcept { return m_live_fibers.load(); }

private:
    void run();
    void start_fiber(std::function<void()> work);

    std::string m_name;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work_guard;
    std::atomic<std::size_t> m_live_fibers{0};
    std::atomic<bool> m_stopping{false};
    boost::fibers::mutex m_stop_mutex;
    boost::fibers::condition_variable m_stop_condition;
    std::thread m_thread;
};

} // namespace pomelospread
