#include "gateway/response_meaning.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace pomelospread;

TEST_GROUP(response_meanings){};

// Guards against a target's own status that tells callers "not run" of a request that ran (REFUSED).
TEST(response_meanings, only_a_statement_of_the_target_lets_a_caller_take_a_request_for_not_run) {
    using enum response_meaning;
    struct {
        unsigned status;
        response_meaning stated;   ///< With a statement that the request was not run.
        response_meaning unstated; ///< Without one, in a signed response to this request.
    } const rows[] = {
        {200, deliverable, deliverable},   {204, deliverable, deliverable},  {302, deliverable, deliverable},
        {400, not_executed, deliverable},  {404, not_executed, deliverable}, {408, not_executed, withheld},
        {421, not_executed, not_executed}, {425, not_executed, deliverable}, {429, not_executed, withheld},
        {500, not_executed, deliverable},  {502, not_executed, deliverable}, {503, not_executed, withheld},
        {504, not_executed, deliverable},  {599, not_executed, deliverable},
    };
    for (auto const& row : rows) {
        auto const name = std::to_string(row.status);
        response_properties const own{.status = row.status, .matches_request = true, .is_signed = true};
        auto with_statement = own;
        with_statement.states_not_executed = true;
        CHECK_TEXT(interpret_response(with_statement) == row.stated, name.c_str());
        CHECK_TEXT(interpret_response(own) == row.unstated, name.c_str());
        // Not the target's own response to this request.
        auto const expected = row.unstated == not_executed ? not_executed : foreign;
        for (auto const flag : {&response_properties::matches_request, &response_properties::is_signed,
                                &response_properties::is_encoded}) {
            auto other = own;
            other.*flag = !(other.*flag);
            CHECK_TEXT(interpret_response(other) == expected, name.c_str());
        }
    }
}
