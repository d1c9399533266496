// Decides what a target's complete response says of its request, and whether the caller may receive it.
#pragma once

#include <cstdint>

namespace pomelospread {

enum class response_meaning : std::uint8_t {
    not_executed, ///< The target states that it did not run the request.
    deliverable,  ///< The target's own response; the caller receives it unchanged.
    /// The target's own response, with a status by which callers take the request for not run. The target
    /// does not state that, so the request may have run.
    withheld,
    foreign, ///< Not the target's own response to this request, which may have run.
};

struct response_properties {
    unsigned status = 0;
    bool states_not_executed = false;
    bool matches_request = false; ///< By the request's id.
    bool is_signed = false;
    bool is_encoded = false;
};

/// Whether callers take this status for the promise that the request was not run and never will be. They then
/// send also a request again that is not idempotent.
[[nodiscard]] constexpr bool promises_no_execution(unsigned status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

[[nodiscard]] constexpr response_meaning interpret_response(response_properties const& response) noexcept {
    // Only another target than the expected one responds with 421.
    if (response.status == 421 || (response.status >= 400 && response.states_not_executed)) {
        return response_meaning::not_executed;
    }
    if (!response.matches_request || !response.is_signed || response.is_encoded) {
        return response_meaning::foreign;
    }
    return promises_no_execution(response.status) ? response_meaning::withheld
                                                  : response_meaning::deliverable;
}

} // namespace pomelospread
