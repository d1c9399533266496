// One request in a customer's account.
#pragma once

#include <cstdint>
#include <string>

namespace pomelospread {

/// What the account tells about one request. The same `id` may be stored twice; the one with an outcome wins.
struct account_record {
    std::string id; ///< Unique in the fleet; the request id of the log lines.
    std::string customer;
    std::string key;          ///< The idempotency key, empty for idempotent requests.
    std::int64_t unix_ms = 0; ///< When the instance received the request.
    std::string method;
    std::string path;
    std::string route;
    std::string target;       ///< The last target that was tried, empty when none was.
    std::string outcome;      ///< `ran`, `not-run`, `unknown`, or empty while in progress.
    std::uint16_t status = 0; ///< The status that the caller was answered.

    template<class Archive>
    void serialize(Archive& archive) {
        archive(id, customer, key, unix_ms, method, path, route, target, outcome, status);
    }

    bool operator==(account_record const&) const = default;
};

} // namespace pomelospread
