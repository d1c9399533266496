#include "transport/fiber_scheduler.hpp"
#include "transport/io_thread.hpp"
#include "transport/pooled_stack_allocator.hpp"
#include "transport/use_fiber.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

double process_cpu_seconds() {
    std::timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

} // namespace

TEST_GROUP(fibers){};

TEST(fibers, a_thread_with_a_thousand_sleeping_fibers_uses_under_five_percent_of_a_core) {
    io_thread thread("test");
    std::atomic<int> started_count{0};
    std::atomic<bool> stopping{false};
    for (int i = 0; i < 1000; ++i) {
        thread.spawn([&] {
            ++started_count;
            while (!stopping) {
                boost::this_fiber::sleep_for(500ms);
            }
        });
    }
    while (started_count < 1000) {
        std::this_thread::sleep_for(1ms);
    }
    auto const wall_start = std::chrono::steady_clock::now();
    auto const cpu_start = process_cpu_seconds();
    std::this_thread::sleep_for(400ms);
    auto const cpu = process_cpu_seconds() - cpu_start;
    std::chrono::duration<double> const wall = std::chrono::steady_clock::now() - wall_start;
    stopping = true;
    CHECK(cpu / wall.count() < 0.05);
}

TEST(fibers, another_thread_wakes_a_waiting_fiber) {
    io_thread thread("test");
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool notified = false;
    std::promise<void> waiting;
    std::promise<bool> result;
    thread.spawn([&] {
        std::unique_lock lock(mutex);
        waiting.set_value();
        result.set_value(changed.wait_for(lock, 10s, [&] { return notified; }));
    });
    waiting.get_future().wait();
    std::thread other([&] {
        std::unique_lock lock(mutex);
        notified = true;
        changed.notify_one();
    });
    CHECK(result.get_future().get());
    other.join();
}

TEST(fibers, handlers_run_while_fibers_keep_the_thread_busy) {
    io_thread thread("test");
    std::promise<bool> result;
    thread.spawn([&] {
        bool fired = false;
        boost::asio::steady_timer timer(thread.io(), 1ms);
        timer.async_wait([&](auto) { fired = true; });
        auto const deadline = std::chrono::steady_clock::now() + 5s;
        while (!fired && std::chrono::steady_clock::now() < deadline) {
            boost::this_fiber::yield();
        }
        result.set_value(fired);
    });
    CHECK(result.get_future().get());
}

TEST(fibers, a_deadline_ends_a_read) {
    io_thread thread("test");
    std::promise<bool> result;
    thread.spawn([&] {
        boost::asio::ip::tcp::acceptor acceptor(thread.io(), {boost::asio::ip::address_v4::loopback(), 0});
        boost::beast::tcp_stream stream(thread.io());
        boost::system::error_code error;
        stream.async_connect(acceptor.local_endpoint(), use_fiber(error));
        stream.expires_after(20ms);
        char byte = 0;
        stream.async_read_some(boost::asio::buffer(&byte, 1), use_fiber(error));
        result.set_value(error == boost::beast::error::timeout);
    });
    CHECK(result.get_future().get());
}

TEST(fibers, a_polled_notification_still_ends_the_wait_of_the_dispatcher) {
    boost::asio::io_context io(1);
    auto const work = boost::asio::make_work_guard(io);
    fiber_scheduler scheduler(io);
    scheduler.notify();
    io.poll(); // As `pick_next` does after the dispatcher emptied its list of fibers from other threads.
    auto const start = std::chrono::steady_clock::now();
    scheduler.suspend_until(start + 2s);
    CHECK(std::chrono::steady_clock::now() - start < 1s);
}

TEST(fibers, a_thread_ends_before_its_dispatcher_releases_the_last_fiber) {
    for (int released_count = 1; released_count <= 9; ++released_count) {
        // Outlives the thread, since the scheduler polls it once more when the thread ends.
        boost::asio::io_context io(1);
        auto const work = boost::asio::make_work_guard(io);
        std::thread([released_count, &io] {
            pooled_stack_allocator::prepare_thread();
            boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io);
            auto const start_fiber = [](auto function) {
                return boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                                            pooled_stack_allocator{}, std::move(function));
            };
            boost::fibers::mutex mutex;
            boost::fibers::condition_variable changed;
            bool may_end = false;
            auto last = start_fiber([&] {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return may_end; });
            });
            std::vector<boost::fibers::fiber> released;
            released.reserve(static_cast<std::size_t>(released_count));
            for (int i = 0; i < released_count; ++i) {
                released.push_back(start_fiber([] {}));
            }
            std::ranges::for_each(released, &boost::fibers::fiber::join);
            boost::this_fiber::sleep_for(1ms); // The dispatcher returns their stacks to the pool.
            may_end = true;
            changed.notify_all();
            // The last fiber ends while this one is ready, so the thread ends before the dispatcher runs.
            boost::this_fiber::yield();
            last.detach();
        }).join();
    }
}

TEST(fibers, run_and_wait_passes_on_what_its_work_throws) {
    io_thread thread("test");
    CHECK_THROWS(std::runtime_error, thread.run_and_wait([] { throw std::runtime_error("failed"); }));
}
