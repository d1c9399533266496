#include "log_reader.hpp"
#include "request_explainer.hpp"
#include "timeline.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <vector>

using namespace pomelospread;

namespace {

std::string const target_chosen_line =
    "time=2026-01-26T09:55:25.002 level=INFO event=target_chosen request=r1 route=a tables=8 pool=p "
    "target=i-1 "
    "purpose=first expected_ms=441 slowdown_percent=104 report_age_ms=6 in_flight=3 others=0 candidates=165 "
    "left_ms=2993";

std::string request_done_line(std::string const& fields) {
    return "time=2026-01-26T09:55:28.100 level=INFO event=request_done request=r1 route=a tables=8 pool=p "
           "target=i-1 caller_gone=no " +
           fields;
}

struct explained_case {
    std::vector<std::string> lines;
    std::string cause; ///< A part of the expected cause.
};

} // namespace

TEST_GROUP(log_lines){};

TEST(log_lines, key_value_and_json_lines_are_parsed_with_the_collectors_prefix) {
    auto const unquoted = parse_log_line("  10.0022 front-a-7 " + target_chosen_line, "file");
    STRCMP_EQUAL("front-a-7", unquoted->source.c_str());
    STRCMP_EQUAL("target_chosen", unquoted->event.c_str());
    DOUBLES_EQUAL(441, unquoted->numeric_field("expected_ms"), 0);
    auto const quoted = parse_log_line(R"(time=t event=x reason="a \"b\" c=d" n=1)", "file");
    STRCMP_EQUAL("file", quoted->source.c_str());
    STRCMP_EQUAL("a \"b\" c=d", std::string(quoted->field("reason")).c_str());
    STRCMP_EQUAL("1", std::string(quoted->field("n")).c_str());
    auto const json = parse_log_line(R"(node-1 {"time":"t","event":"y","n":2})", "file");
    STRCMP_EQUAL("node-1", json->source.c_str());
    DOUBLES_EQUAL(2, json->numeric_field("n"), 0);
}

TEST(log_lines, lines_without_an_event_are_rejected) {
    for (auto const* line : {"", "hello", "{", "{}", "time=", "a=b c=\"", R"({"event":""})"}) {
        CHECK_FALSE(parse_log_line(line, "file").has_value());
    }
}

TEST_GROUP(request_explanations){};

TEST(request_explanations, state_the_cause) {
    std::string const try_failed_line =
        "time=2026-01-26T09:55:28.099 event=try_failed request=r1 target=i-1 sent=yes "
        "cancelled=no after_ms=2990 reason=";
    std::array<explained_case, 9> const cases{{
        {{target_chosen_line, request_done_line("outcome=ran status=200 ms=450")}, "answered by i-1"},
        {{target_chosen_line, request_done_line("outcome=ran status=200 ms=2000")},
         "slower than its last report"},
        {{target_chosen_line, request_done_line("outcome=ran status=500 ms=450")}, "answered 500 itself"},
        {{target_chosen_line, try_failed_line + "\"no answer in time\"",
          request_done_line("outcome=unknown status=504 ms=3000")},
         "gave no answer"},
        {{target_chosen_line, try_failed_line + "\"no connection: refused\"",
          request_done_line("outcome=unknown status=502 ms=30")},
         "gone or cut off"},
        {{"time=2026-01-26T09:55:25 event=no_place request=r1 pool=p answer=refuse waiting=40 "
          "place_every_ms=90 "
          "in_time_ms=200",
          request_done_line("outcome=not-run status=503 ms=1")},
         "refused under load"},
        {{request_done_line("outcome=not-run status=404 ms=0")}, "no route of tables 8"},
        {{target_chosen_line}, "logged no end"},
        {{target_chosen_line, "time=2026-01-26T09:55:26 event=log_lines_left_out of=request_done lines=12"},
         "left out 12"},
    }};
    for (auto const& test_case : cases) {
        request_explainer explainer("r1");
        for (auto const& line : test_case.lines) {
            explainer.add_entry(*parse_log_line(line, "file"));
        }
        CHECK_TEXT(explainer.cause().find(test_case.cause) != std::string::npos, explainer.cause().c_str());
        CHECK(explainer.describe_steps().size() > 1);
    }
}

TEST(request_explanations, steps_of_several_instances_are_ordered_by_time) {
    request_explainer explainer("r1");
    explainer.add_entry(*parse_log_line(request_done_line("outcome=ran status=200 ms=450"), "b"));
    explainer.add_entry(*parse_log_line(target_chosen_line, "a"));
    auto const steps = explainer.describe_steps();
    STRCMP_EQUAL("at a:", steps[0].c_str());
    STRCMP_EQUAL("at b:", steps[2].c_str());
    CHECK_FALSE(request_explainer("r2").has_entries());
}

TEST_GROUP(timelines){};

TEST(timelines, count_events_per_second) {
    timeline events;
    CHECK(events.is_empty());
    events.add_entry(*parse_log_line(request_done_line("outcome=not-run status=503 ms=1"), "a"));
    events.add_entry(*parse_log_line("time=2026-01-26T09:55:29.000 event=tables_applied version=9", "a"));
    events.add_entry(
        *parse_log_line("time=2026-01-26T09:55:29.100 event=store_lost call=tables reason=x", "a"));
    auto const text = events.to_text();
    CHECK(text.find("2026-01-26T09:55:28             1            1            0") != std::string::npos);
    CHECK(text.find("tables 9 store lost by 1") != std::string::npos);
    CHECK(events.to_svg().find("<polyline") != std::string::npos);
}
