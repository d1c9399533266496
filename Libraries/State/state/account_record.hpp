// The record of one request in the account of its customer.
#pragma once

#include <cstdint>
#include <string>

namespace pomelospread {

/// The same `id` may be stored twice; an export then takes the record that has an outcome.
struct account_record {
    std::string id; ///< Unique in the fleet; log lines have it as the request id.
    std::string customer;
    std::string key;          ///< The idempotency key; empty for idempotent requests.
    std::int64_t unix_ms = 0; ///< When the instance received the request.
    std::string method;
    std::string path;
    std::string route;
    std::string target;       ///< The target of the last attempt; empty when there was none.
    std::string outcome;      ///< `ran`, `not-run`, `unknown`, or empty while in progress.
    std::uint16_t status = 0; ///< The HTTP status of the response to the caller.

    template<class Archive>
    void serialize(Archive& archive) {
        archive(id, customer, key, unix_ms, method, path, route, target, outcome, status);
    }

    bool operator==(account_record const&) const = default;
};

} // namespace pomelospread
