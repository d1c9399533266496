#include "entry/request_context.hpp"

#include <nlohmann/json.hpp>

namespace pomelospread {

request_result make_result_without_response(outcome_kind kind, std::string reason) {
    nlohmann::json const body{{"error", "no_answer"}, {"outcome", to_string(kind)}, {"reason", reason}};
    unsigned const status = kind == outcome_kind::unknown ? 502 : 503;
    auto response = make_response(status, "application/json", body.dump() + "\n");
    return {.outcome = kind, .response = std::move(response), .reason = std::move(reason)};
}

} // namespace pomelospread
