// A check of `invalid_input` exceptions for the unit tests.
#pragma once

#include "base/errors.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

/// Fails the test unless `statement` throws `invalid_input` with a message that contains `expected`.
template<class Statement>
void expect_invalid_input(Statement statement, std::string const& expected) {
    try {
        statement();
    } catch (pomelospread::invalid_input const& failure) {
        if (std::string(failure.what()).find(expected) != std::string::npos) {
            return;
        }
        FAIL((std::string("the error message does not contain \"") + expected + "\": " + failure.what())
                 .c_str());
    }
    FAIL((std::string("invalid_input was not thrown; expected a message with \"") + expected + "\"").c_str());
}
