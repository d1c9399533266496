#include "protocol/platform_channel.hpp"
#include "repeating_target.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(platform_refusals) {
    io_thread thread{"test"};

    void teardown() override {
        thread.stop();
    }

    /// The status of the response to a write, or 0 if the platform refused it.
    unsigned write(platform_channel & channel) {
        try {
            return channel.call(boost::beast::http::verb::post, "/", "", 2s).result_int();
        } catch (platform_unavailable const&) {
            return 0;
        }
    }
};

TEST(platform_refusals, a_second_copy_of_a_refusal_is_not_taken_for_the_next_calls_refusal) {
    for (auto const* status : {"503 Down", "429 Later"}) {
        for (auto const time : copy_times) {
            repeating_target platform({response_with("", "", status), response_with("", "")}, time);
            unsigned first_status = 0;
            unsigned second_status = 0;
            thread.run_and_wait([&] {
                platform_channel channel(thread.io(), platform.address(),
                                         {.connect_timeout = 1s,
                                          .max_response_bytes = 1024,
                                          .max_idle_connections = 2,
                                          .max_idle_time = 5s});
                first_status = write(channel);
                std::this_thread::sleep_for(40ms);
                second_status = write(channel);
            });
            LONGS_EQUAL(0, first_status);
            LONGS_EQUAL(200, second_status);
        }
    }
}
