#include "base/endpoint.hpp"
#include "base/flags.hpp"
#include "base/metrics.hpp"
#include "expect_invalid_input.hpp"

#include <gflags/gflags.h>

#include <array>

DEFINE_int64(test_number, 1, "A number.");
DEFINE_int64(forward_test_shared, 0, "A name that two commands use.");
DEFINE_bool(test_switch, false, "A switch.");

using namespace pomelospread;

TEST_GROUP(endpoints){};

TEST(endpoints, formatted_endpoints_are_the_parsed_text) {
    for (auto const* text : {"127.0.0.1:0", "10.1.2.3:65535", "[::1]:8080"}) {
        STRCMP_EQUAL(text, to_string(parse_endpoint(text, "field")).c_str());
    }
}

TEST(endpoints, rejects_other_text_and_names_the_field) {
    for (auto const* text :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:80x", ":80"}) {
        expect_invalid_input([&] { static_cast<void>(parse_endpoint(text, "--listen")); }, "--listen");
    }
}

TEST_GROUP(flags){};

static parsed_command_line parse_arguments(std::vector<std::string> texts) {
    std::vector<char*> arguments;
    for (auto& text : texts) {
        arguments.push_back(text.data());
    }
    return parse_command_line(arguments, "test_base.cpp");
}

TEST(flags, accepts_every_form_of_a_flag) {
    auto const parsed = parse_arguments({"--test_number=7", "word", "--test_switch"});
    LONGS_EQUAL(7, FLAGS_test_number);
    CHECK(FLAGS_test_switch);
    LONGS_EQUAL(1, parsed.positional.size());
    parse_arguments({"--test_number", "8", "--notest_switch"});
    LONGS_EQUAL(8, FLAGS_test_number);
    CHECK_FALSE(FLAGS_test_switch);
}

TEST(flags, a_name_that_two_commands_use_is_set_without_its_prefix) {
    // Guards against a setting that only its internal name sets, or that help and errors name differently.
    parse_arguments({"--test_shared=9"});
    LONGS_EQUAL(9, FLAGS_forward_test_shared);
    expect_invalid_input([] { parse_arguments({"--test_shared=nine"}); }, "--test_shared");
    expect_invalid_input([] { parse_arguments({"--forward_test_shared=9"}); }, "--forward_test_shared");
    CHECK(describe_flags("test_base.cpp").find("--test_shared (") != std::string::npos);
}

TEST(flags, reports_every_problem_at_once) {
    auto const parse_invalid = [] { parse_arguments({"--test_number=seven", "--no_such=1"}); };
    expect_invalid_input(parse_invalid, "--test_number");
    expect_invalid_input(parse_invalid, "--no_such");
}

TEST_GROUP(metrics){};

TEST(metrics, renders_counters_and_cumulative_buckets) {
    metrics values;
    values.add(counter::hedges, 3);
    values.request_latency.observe(std::chrono::milliseconds(2));
    values.request_latency.observe(std::chrono::hours(1));
    auto const text = values.render();
    CHECK(text.find("pomelospread_hedges_total 3\n") != std::string::npos);
    CHECK(text.find("pomelospread_request_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("pomelospread_request_seconds_count 2\n") != std::string::npos);
}
