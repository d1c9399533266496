#include "gateway/response_memory.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;

TEST_GROUP(response_memories) {
    response_memory memory{{.free_body_bytes = 100, .max_shared_bytes = 1000}};
};

TEST(response_memories, bodies_of_the_usual_size_are_admitted_while_others_take_everything) {
    response_memory::share endless(memory);
    CHECK(endless.grow_to(1100));
    CHECK_FALSE(endless.grow_to(1101));
    response_memory::share usual(memory);
    CHECK(usual.grow_to(100));
    CHECK_FALSE(usual.grow_to(101));
}

TEST(response_memories, share_is_returned_when_the_body_ends) {
    {
        response_memory::share ended(memory);
        CHECK(ended.grow_to(1100));
    }
    response_memory::share next(memory);
    CHECK(next.grow_to(600));
    CHECK(next.grow_to(500));
    CHECK(next.grow_to(1100));
}
