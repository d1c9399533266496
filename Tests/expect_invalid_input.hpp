// Helpers that the unit tests share.
#pragma once

#include "base/errors.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

/// Expects `statement` to throw `invalid_input` with a problem whose rendering contains `wanted`.
template<class Statement>
void expect_invalid_input(Statement statement, std::string const& wanted) {
    try {
        statement();
    } catch (pomelospread::invalid_input const& failure) {
        if (std::string(failure.what()).find(wanted) != std::string::npos) {
            return;
        }
        FAIL((std::string("the error lacks \"") + wanted + "\": " + failure.what()).c_str());
    }
    FAIL((std::string("nothing was thrown; expected \"") + wanted + "\"").c_str());
}
