#include "base/foreign_text.hpp"
#include "platform/document_codec.hpp"
#include "platform/store_responses.hpp"
#include "platform/wire_format.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace pomelospread;

namespace {

constexpr std::size_t nesting_levels = 100'000;
constexpr std::size_t long_text_bytes = std::size_t{10} * 1024 * 1024;
/// The longest log text that an entry may cause.
constexpr std::size_t max_logged_bytes = 256;

/// One field of an otherwise valid entry, and what its value is replaced by.
struct odd_value {
    std::string field;
    std::string value;
    std::string reason; ///< Part of the reason; empty: the entry remains valid.
};

std::string nested(std::string const& opening, std::string const& closing) {
    std::string text;
    for (std::size_t level = 0; level < nesting_levels; ++level) {
        text += opening;
    }
    text += "1";
    for (std::size_t level = 0; level < nesting_levels; ++level) {
        text += closing;
    }
    return text;
}

std::string quoted(std::string const& text) {
    return '"' + text + '"';
}

using entry_fields = std::vector<std::pair<std::string, std::string>>;

entry_fields const target_fields{
    {"service", R"("s")"},    {"addr", R"("10.0.0.9:80")"}, {"zone", R"("z")"},     {"version", R"("v1")"},
    {"slots", "6"},           {"state", R"("ready")"},      {"warmup_left_s", "0"}, {"seq", "4"},
    {"born", "1700000000000"}};
entry_fields const member_fields{{"id", R"("00000000000000aa")"},        {"zone", R"("z")"},
                                 {"caller_address", R"("10.0.0.1:80")"}, {"peer_address", R"("10.0.0.1:81")"},
                                 {"admin_address", R"("10.0.0.1:0")"},   {"leaving", "false"},
                                 {"processor_permille", "500"}};

std::string entry_with(entry_fields fields, std::string const& name, std::string const& value) {
    auto const found = std::ranges::find(fields, name, &entry_fields::value_type::first);
    if (found == fields.end()) {
        fields.emplace_back(name, value);
    } else {
        found->second = value;
    }
    std::string text;
    for (auto const& [field, content] : fields) {
        text += (text.empty() ? "{" : ",") + quoted(field) + ":" + content;
    }
    return text + "}";
}

std::string row(std::string const& key, std::string const& document) {
    return R"({"key":")" + key + R"(","value":")" + platform::encode_base64(document) + R"("})";
}

/// A response with one row between two valid ones.
std::string response_around(std::string const& odd_row, std::string const& valid_entry) {
    auto text = R"({"rows":[)" + row("a", valid_entry);
    text += "," + odd_row + "," + row("z", valid_entry);
    return text + R"(],"ver":7,"now_s":1.5})";
}

std::string response(std::string const& rows) {
    return R"({"rows":[)" + rows + R"(],"ver":7,"now_s":1.5})";
}

std::vector<odd_value> const odd_target_values{
    {"slots", "0", "slots: 0 is out of range (allowed: 1 to 65536)"},
    {"slots", "-1", "slots"},
    {"slots", "65537", "slots"},
    {"slots", "4611686018427387904", "slots"},
    {"slots", "9223372036854775807", "slots"},
    {"slots", "9223372036854775808", "slots"},
    {"slots", "18446744073709551617", "slots"},
    {"slots", "3.0", "slots"},
    {"slots", "1e400", "not a JSON object"},
    {"slots", "null", "slots"},
    {"slots", "65536", ""},
    {"addr", R"("10.0.0.9:0")", "1 to 65535"},
    {"addr", R"("10.0.0.9:65536")", "addr"},
    {"addr", R"("10.0.0.9:99999999999")", "addr"},
    {"addr", R"("10.0.0.9:-1")", "addr"},
    {"addr", R"("host.example:80")", "addr"},
    {"addr", R"("10.0.0.9")", "addr"},
    {"addr", R"("10.0.0.9\u0000x:80")", "addr"},
    {"addr", quoted(std::string(long_text_bytes, 'a')), "addr"},
    {"addr", R"("[::1]:80")", ""},
    {"service", R"("")", "service"},
    {"service", R"("a\nb")", "service"},
    {"service", quoted(std::string(long_text_bytes, 's')), "service"},
    {"service", "\"\xff\xfe\"", "not a JSON object"},
    {"zone", quoted(std::string(201, 'z')), "zone"},
    {"zone", R"("z\u0000")", "zone"},
    {"zone", R"("\u00fc \"1\"")", ""},
    {"warmup_left_s", "-1", "warmup_left_s: -1000 ms is out of range (allowed: 0 to 86400000 ms)"},
    {"warmup_left_s", "1e9", "warmup_left_s"},
    {"warmup_left_s", "1e300", "warmup_left_s"},
    {"warmup_left_s", "9223372036854775807", "warmup_left_s"},
    {"seq", "3.0", "seq"},
    {"seq", "18446744073709551615", "seq"},
    {"born", "1.5", "born"},
    {"born", "-1", "born"},
    {"born", "9223372036854775808", "born"},
    {"born", "1e19", "born"},
    {"born", "9223372036854775807", ""},
    {"unknown", nested("[", "]"), ""},
    {"unknown", nested(R"({"a":)", "}"), ""},
    {"unknown", nested("[", ""), "not a JSON object"},
    {"unknown", "123456789012345678901234567890", ""},
    {"unknown", "1e400", "not a JSON object"},
    {"unknown", R"("\ud800")", "not a JSON object"},
};

std::vector<odd_value> const odd_member_values{
    {"caller_address", R"("10.0.0.1:0")", "caller_address"},
    {"peer_address", R"("10.0.0.1:0")", "peer_address"},
    {"peer_address", R"("10.0.0.1\u0000:80")", "peer_address"},
    {"peer_address", R"("host.example:80")", "peer_address"},
    {"admin_address", R"("10.0.0.1:65536")", "admin_address"},
    {"zone", R"("a\r\nb")", "zone"},
    {"zone", quoted(std::string(201, 'z')), "zone"},
    {"id", R"("0")", "instance"},
    {"id", quoted(std::string(long_text_bytes, 'f')), "instance"},
    {"processor_permille", "-1", "processor_permille"},
    {"processor_permille", "3.0", "processor_permille"},
    {"processor_permille", "4294967297", "processor_permille"},
    {"processor_permille", "18446744073709551615", "processor_permille"},
    {"processor_permille", "1e400", "not a JSON object"},
    {"leaving", "0", "type"},
    {"unknown", nested("[", "]"), ""},
    {"unknown", nested(R"({"a":)", "}"), ""},
};

/// Documents of a row that are not an object with fields.
std::vector<std::string> const odd_documents{
    nested("[", "]"), nested(R"({"a":)", "}"), nested("[", ""), "1e400", std::string(long_text_bytes, '\xff'),
    "\"\xff\""};

std::vector<std::pair<std::string, std::string>> const odd_ids{{"", "id"},
                                                               {R"(i\r\nX: y)", "id"},
                                                               {R"(\u0000)", "id"},
                                                               {R"(i\u007f)", "id"},
                                                               {" i", "id"},
                                                               {std::string(201, 'i'), "id"},
                                                               {std::string(long_text_bytes, 'i'), "id"},
                                                               {R"(\"i\")", ""},
                                                               {"i ü", ""}};

template<class Page>
void check_page(Page const& page, std::size_t valid_entries, std::string const& reason,
                std::string const& description) {
    auto const text = description.substr(0, 100);
    LONGS_EQUAL_TEXT(valid_entries + (reason.empty() ? 1 : 0), page.entries.size(), text.c_str());
    LONGS_EQUAL_TEXT(reason.empty() ? 0 : 1, page.decode_errors.size(), text.c_str());
    for (auto const& [key, error] : page.decode_errors) {
        CHECK_TEXT(key.size() <= max_logged_bytes && error.size() <= max_logged_bytes, text.c_str());
        CHECK_TEXT(error.find(reason) != std::string::npos, (text + ": " + error.substr(0, 200)).c_str());
        CHECK_FALSE_TEXT(has_control_character(key) || has_control_character(error), text.c_str());
    }
}

} // namespace

// Each decoder runs in a fiber, as in the instance: a fiber has a small stack.
TEST_GROUP(odd_entries) {
    io_thread thread{"odd"};

    void teardown() override {
        thread.stop();
    }

    template<class Work>
    void run_in_fiber(Work const& work) {
        std::optional<std::string> failure;
        thread.run_and_wait([&] {
            try {
                work();
            } catch (std::exception const& other) {
                failure = other.what();
            }
        });
        CHECK_TEXT(!failure, failure.value_or("").substr(0, 300).c_str());
    }

    template<class Work>
    void expect_malformed(Work const& work) {
        bool is_malformed = false;
        run_in_fiber([&] {
            try {
                work();
            } catch (malformed_message const&) {
                is_malformed = true;
            }
        });
        CHECK(is_malformed);
    }
};

TEST(odd_entries, a_target_entry_with_an_odd_value_names_no_target_and_the_others_hold) {
    for (auto const& [field, value, reason] : odd_target_values) {
        auto const document = entry_with(target_fields, field, value);
        std::optional<platform::row_page<platform::listed_row>> page;
        auto const valid = entry_with(target_fields, "unknown", "1");
        run_in_fiber(
            [&] { page = platform::decode_targets_response(response_around(row("odd", document), valid)); });
        check_page(*page, 2, reason, entry_with({}, field, value));
    }
}

TEST(odd_entries, a_member_entry_with_an_odd_value_names_no_member_and_the_others_hold) {
    for (auto const& [field, value, reason] : odd_member_values) {
        auto const document = entry_with(member_fields, field, value);
        auto const valid = entry_with(member_fields, "unknown", "1");
        std::optional<platform::row_page<listed_member>> page;
        run_in_fiber(
            [&] { page = platform::decode_members_response(response_around(row("odd", document), valid)); });
        check_page(*page, 2, reason, entry_with({}, field, value));
    }
}

TEST(odd_entries, an_odd_id_names_no_target_and_the_others_hold) {
    auto const valid = entry_with(target_fields, "unknown", "1");
    for (auto const& each : odd_ids) {
        std::optional<platform::row_page<platform::listed_row>> page;
        run_in_fiber([&] {
            page = platform::decode_targets_response(response_around(row(each.first, valid), valid));
        });
        check_page(*page, 2, each.second, "id " + each.first);
    }
}

TEST(odd_entries, a_document_that_is_no_entry_is_left_out) {
    auto const valid = entry_with(target_fields, "unknown", "1");
    for (auto const& document : odd_documents) {
        std::optional<platform::row_page<platform::listed_row>> page;
        run_in_fiber(
            [&] { page = platform::decode_targets_response(response_around(row("odd", document), valid)); });
        check_page(*page, 2, document.starts_with("{") ? "service is missing" : "not a JSON object",
                   document);
        expect_malformed([&] { static_cast<void>(platform::decode_manifest(document)); });
    }
}

TEST(odd_entries, a_deeply_nested_response_is_decoded_or_rejected) {
    auto const valid = entry_with(target_fields, "unknown", "1");
    auto const in_unknown_field =
        R"({"rows":[)" + row("a", valid) + R"(],"ver":7,"x":)" + nested("[", "]") + "}";
    auto const in_row = response(nested("[", "]") + "," + row("a", valid));
    std::vector<std::size_t> decoded_entries;
    run_in_fiber([&] {
        for (auto const& body : {in_unknown_field, in_row}) {
            decoded_entries.push_back(platform::decode_targets_response(body).entries.size());
        }
    });
    CHECK((decoded_entries == std::vector<std::size_t>{1, 1}));
    for (auto const& body : {nested("[", "]"), nested(R"({"a":)", "}"), nested("[", "")}) {
        expect_malformed([&] { static_cast<void>(platform::decode_targets_response(body)); });
        expect_malformed([&] { static_cast<void>(platform::decode_members_response(body)); });
        expect_malformed([&] { static_cast<void>(platform::decode_tables_response(body)); });
        expect_malformed([&] { static_cast<void>(platform::decode_object_names_response(body)); });
    }
}

TEST(odd_entries, of_a_field_that_is_repeated_the_last_value_counts) {
    auto const document = entry_with(target_fields, "x", R"(1,"slots":9)");
    LONGS_EQUAL(9, platform::decode_target_entry("i", document).target.slots);
}

TEST(odd_entries, an_odd_load_report_counts_as_none) {
    platform::wire_format const wire_format;
    for (auto const* text :
         {"-1,0,6", "3.5", "4294967296,0,6", "1e400,0,6", "1,2", ",,,", "99999999999999999999,0,6"}) {
        CHECK_FALSE_TEXT(wire_format.parse_load(text).has_value(), text);
    }
    LONGS_EQUAL(1, wire_format.parse_load("0,0,0,0")->slots);
}
