// The exception types of pomelospread. Every failure that crosses a library boundary is one of these types.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace pomelospread {

/// Base of every exception that pomelospread throws. `what()` is a message for operators.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A problem with one setting, or with one field of a table row.
struct field_problem {
    std::string file;     ///< Empty where the value did not come from a file.
    std::size_t line = 0; ///< One-based; 0 where the value did not come from a file.
    std::string field;    ///< The field's full name, for example `pool "fees-ledger".slots_per_target`.
    std::string problem;  ///< What is wrong with the value.
    std::string allowed;  ///< The allowed range or form.
};

/// Formats the problem as `file:line: field: problem (allowed: range)`; parts that are empty are left out.
[[nodiscard]] std::string to_string(field_problem const& problem);

/// Input from an operator or a caller is invalid. Lists every problem found, not only the first.
class invalid_input : public error {
public:
    explicit invalid_input(std::vector<field_problem> problems);

    [[nodiscard]] std::vector<field_problem> const& problems() const noexcept { return m_problems; }

private:
    std::vector<field_problem> m_problems;
};

/// The platform refused the operation or was unreachable; the operation had no effect.
class platform_unavailable : public error {
public:
    using error::error;
};

/// The platform's response was lost; the operation may or may not have taken effect.
class platform_outcome_unknown : public error {
public:
    using error::error;
};

/// A conditional write failed because the stored version is not the one that it was based on.
class version_conflict : public error {
public:
    using error::error;
};

/// A connection could not be established; no byte of the request was sent.
class connect_failed : public error {
public:
    using error::error;
};

/// An exchange ended without a complete response, after request bytes may have reached the other end.
class exchange_incomplete : public error {
public:
    using error::error;
};

/// The deadline passed before the operation completed.
class deadline_exceeded : public error {
public:
    using error::error;
};

/// A message from another process could not be decoded or failed authentication.
class malformed_message : public error {
public:
    using error::error;
};

} // namespace pomelospread
