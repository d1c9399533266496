#include "platform/document_codec.hpp"
#include "platform/store_responses.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <string>

using namespace pomelospread;

namespace {

std::string row(std::string const& key, std::string const& document) {
    return R"({"table":"t","part":"","key":")" + key + R"(","ver":7,"value":")" +
           platform::encode_base64(document) + R"("})";
}

std::string answer(std::string const& rows, std::string const& more = "") {
    return R"({"rows":[)" + rows + R"(],"ver":7,"now_s":1.5)" + more + "}";
}

std::string const server =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":6,"state":"ready",)"
    R"("warmup_left_s":0,"seq":4,"born":1700000000000})";
std::string const manifest =
    R"({"version":"r3","services":[],"limits":{"max_header_bytes":9,"max_body_bytes":9,"header_timeout_s":1,)"
    R"("idle_timeout_s":1},"hosts":[]})";
std::string const member =
    R"({"id":"00000000000000aa","zone":"z","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81",)"
    R"("admin_address":"10.0.0.1:82","leaving":false})";

/// What no reader takes for an answer: missing, mistyped, truncated and foreign.
std::array<std::string, 9> const unreadable_answers{"",
                                                    "null",
                                                    "[1]",
                                                    "<html>",
                                                    R"({"ver":7})",
                                                    R"({"rows":{},"ver":7})",
                                                    R"({"rows":[]})",
                                                    R"({"rows":[],"ver":"7"})",
                                                    R"({"rows":[],"ver":-7})"};

/// Rows that hold no entry.
std::array<std::string, 7> const unreadable_rows{"1",
                                                 "{}",
                                                 R"({"key":5,"value":6})",
                                                 R"({"key":"k"})",
                                                 R"({"key":"k","value":"?"})",
                                                 R"({"key":"k","value":"bm90IGpzb24="})",
                                                 R"({"key":"k","value":null,"removed":"no"})"};

} // namespace

TEST_GROUP(store_answers){};

TEST(store_answers, an_answer_that_cannot_be_read_is_a_typed_error) {
    for (auto const& each : unreadable_answers) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_tables_response(each)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_targets_response(each)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_members_response(each)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_object_names_response(each)));
    }
    CHECK_THROWS(malformed_message,
                 static_cast<void>(platform::decode_object_names_response(R"({"names":[1]})")));
}

TEST(store_answers, a_row_that_cannot_be_read_costs_only_itself) {
    for (auto const& each : unreadable_rows) {
        auto const targets = platform::decode_targets_response(answer(each + "," + row("i-1", server)));
        LONGS_EQUAL(1, targets.entries.size());
        LONGS_EQUAL(1, targets.decode_errors.size());
        auto const members = platform::decode_members_response(answer(each + "," + row("m-1", member)));
        LONGS_EQUAL(1, members.entries.size());
        CHECK_FALSE(platform::decode_tables_response(answer(each)).content.has_value());
    }
}

TEST(store_answers, tables_come_from_the_row_of_that_name) {
    auto const seen =
        platform::decode_tables_response(answer(row("other", "{}") + "," + row("config", manifest)));
    LONGS_EQUAL(7, seen.store_version);
    LONGS_EQUAL(3, seen.content->version);
    CHECK_THROWS(malformed_message,
                 static_cast<void>(platform::decode_tables_response(answer(row("config", "{}")))));
}

TEST(store_answers, a_cut_page_names_where_the_next_one_begins) {
    auto const rows = row("i-1", server) + "," + row("i-2", server);
    STRCMP_EQUAL("i-2",
                 platform::decode_targets_response(answer(rows, R"(,"truncated":true)")).next_key.c_str());
    STRCMP_EQUAL("", platform::decode_targets_response(answer(rows, R"(,"truncated":1)")).next_key.c_str());
    STRCMP_EQUAL("", platform::decode_targets_response(answer("", R"(,"truncated":true)")).next_key.c_str());
    CHECK_FALSE(platform::decode_object_names_response(R"({"names":["a"],"truncated":true})").is_last);
}

TEST(store_answers, any_changed_byte_gives_a_value_or_a_typed_error) {
    std::array<std::string, 4> const sound{answer(row("config", manifest)), answer(row("i-1", server)),
                                           answer(row("m-1", member)), R"({"names":["a"],"truncated":true})"};
    bool const holds = rc::check("a changed answer", [&] {
        auto text = sound[*rc::gen::inRange<std::size_t>(0, sound.size())];
        auto const changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        }
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        try {
            static_cast<void>(platform::decode_tables_response(text));
            static_cast<void>(platform::decode_targets_response(text));
            static_cast<void>(platform::decode_members_response(text));
            static_cast<void>(platform::decode_object_names_response(text));
        } catch (malformed_message const&) {
        }
    });
    CHECK(holds);
}
