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

std::string response(std::string const& rows, std::string const& further_fields = "") {
    return R"({"rows":[)" + rows + R"(],"ver":7,"now_s":1.5)" + further_fields + "}";
}

std::string const target_entry =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":6,"state":"ready",)"
    R"("warmup_left_s":0,"seq":4,"born":1700000000000})";
std::string const manifest =
    R"({"version":"r3","services":[],"limits":{"max_header_bytes":9,"max_body_bytes":9,"header_timeout_s":1,)"
    R"("idle_timeout_s":1},"hosts":[]})";
std::string const member_entry =
    R"({"id":"00000000000000aa","zone":"z","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81",)"
    R"("admin_address":"10.0.0.1:82","leaving":false})";

/// Response bodies that every decoder rejects: empty, not JSON, or with fields that are missing or of the
/// wrong type.
std::array<std::string, 9> const malformed_responses{"",
                                                     "null",
                                                     "[1]",
                                                     "<html>",
                                                     R"({"ver":7})",
                                                     R"({"rows":{},"ver":7})",
                                                     R"({"rows":[]})",
                                                     R"({"rows":[],"ver":"7"})",
                                                     R"({"rows":[],"ver":-7})"};

/// Rows from which no entry can be decoded.
std::array<std::string, 7> const malformed_rows{"1",
                                                "{}",
                                                R"({"key":5,"value":6})",
                                                R"({"key":"k"})",
                                                R"({"key":"k","value":"?"})",
                                                R"({"key":"k","value":"bm90IGpzb24="})",
                                                R"({"key":"k","value":null,"removed":"no"})"};

} // namespace

TEST_GROUP(store_responses){};

TEST(store_responses, rows_of_evacuations_begin_and_end_them) {
    auto const body = response(R"({"table":"op","part":"","key":"evacuate/x","ver":5,"value":"e30="},)"
                               R"({"table":"op","part":"","key":"evacuate/y","ver":6,"removed":true},)"
                               R"({"table":"op","part":"q","key":"evacuate/z","ver":6,"value":"e30="},)"
                               R"({"table":"op","part":"","key":"evacuate/","ver":6,"value":"e30="})");
    auto const snapshot = platform::decode_tables_response(body);
    LONGS_EQUAL(2, snapshot.evacuations.size());
    STRCMP_EQUAL("x", snapshot.evacuations[0].zone.c_str());
    CHECK(snapshot.evacuations[0].is_evacuated);
    LONGS_EQUAL(5, snapshot.evacuations[0].changed_at.number);
    STRCMP_EQUAL("y", snapshot.evacuations[1].zone.c_str());
    CHECK_FALSE(snapshot.evacuations[1].is_evacuated);
}

TEST(store_responses, malformed_responses_are_rejected) {
    for (auto const& body : malformed_responses) {
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_tables_response(body)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_targets_response(body)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_members_response(body)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_rate_division_response(body)));
        CHECK_THROWS(malformed_message, static_cast<void>(platform::decode_object_names_response(body)));
    }
    CHECK_THROWS(malformed_message,
                 static_cast<void>(platform::decode_object_names_response(R"({"names":[1]})")));
}

TEST(store_responses, a_malformed_row_does_not_affect_the_other_rows) {
    for (auto const& malformed_row : malformed_rows) {
        auto const targets =
            platform::decode_targets_response(response(malformed_row + "," + row("i-1", target_entry)));
        LONGS_EQUAL(1, targets.entries.size());
        LONGS_EQUAL(1, targets.decode_errors.size());
        auto const members =
            platform::decode_members_response(response(malformed_row + "," + row("m-1", member_entry)));
        LONGS_EQUAL(1, members.entries.size());
        CHECK_FALSE(platform::decode_tables_response(response(malformed_row)).content.has_value());
    }
}

TEST(store_responses, a_division_of_rates_that_cannot_be_decoded_has_no_holders) {
    for (auto const* const value : {"", "?", "bm90IGpzb24=", "e30="}) {
        auto const division = platform::decode_rate_division_response(
            response(R"({"key":"division","ver":5,"value":")" + std::string(value) + R"("})"));
        LONGS_EQUAL(5, division.version.number);
        CHECK(division.holders.empty());
        CHECK(division.is_settled());
    }
    LONGS_EQUAL(0, platform::decode_rate_division_response(response("")).version.number);
}

TEST(store_responses, a_division_of_rates_is_decoded_as_it_was_encoded) {
    rate_division const division{.version = {.number = 7},
                                 .holders = {{"10.0.0.1", 7200}, {"10.0.0.2", 7200}},
                                 .previous_holders = {{{"10.0.0.1", 7200}}}};
    CHECK(platform::decode_rate_division_response(
              response(row("division", platform::encode_rate_division(division)))) == division);
}

TEST(store_responses, tables_are_decoded_from_the_row_with_the_key_config) {
    auto const snapshot =
        platform::decode_tables_response(response(row("other", "{}") + "," + row("config", manifest)));
    LONGS_EQUAL(7, snapshot.position.number);
    LONGS_EQUAL(3, snapshot.content->version);
    CHECK_THROWS(malformed_message,
                 static_cast<void>(platform::decode_tables_response(response(row("config", "{}")))));
}

TEST(store_responses, a_response_without_a_readable_era_has_era_zero) {
    std::array<std::pair<char const*, std::uint64_t>, 5> const cases{
        {{"2", 2}, {"18446744073709551615", ~0ULL}, {"18446744073709551616", 0}, {"-1", 0}, {"2x", 0}}};
    http_response response;
    LONGS_EQUAL(0, platform::store_era(response));
    for (auto const& [text, era] : cases) {
        set_header_field(response, "Store-Era", text);
        CHECK_EQUAL_TEXT(era, platform::store_era(response), text);
    }
}

TEST(store_responses, a_truncated_page_has_the_key_of_the_next_page) {
    auto const rows = row("i-1", target_entry) + "," + row("i-2", target_entry);
    STRCMP_EQUAL("i-2",
                 platform::decode_targets_response(response(rows, R"(,"truncated":true)")).next_key.c_str());
    STRCMP_EQUAL("", platform::decode_targets_response(response(rows, R"(,"truncated":1)")).next_key.c_str());
    STRCMP_EQUAL("",
                 platform::decode_targets_response(response("", R"(,"truncated":true)")).next_key.c_str());
    CHECK_FALSE(platform::decode_object_names_response(R"({"names":["a"],"truncated":true})").is_last);
}

TEST(store_responses, corrupted_responses_are_decoded_or_rejected) {
    std::array<std::string, 4> const valid_responses{
        response(row("config", manifest)), response(row("i-1", target_entry)),
        response(row("m-1", member_entry)), R"({"names":["a"],"truncated":true})"};
    bool const passed = rc::check("a corrupted response is decoded or rejected", [&] {
        auto text = valid_responses[*rc::gen::inRange<std::size_t>(0, valid_responses.size())];
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
    CHECK(passed);
}
