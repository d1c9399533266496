#include "protocol/http_types.hpp"

#include <utility>

namespace pomelospread {

http_response make_response(unsigned status, std::string_view content_type, std::string body) {
    http_response response;
    response.version(11);
    response.result(status);
    set_header_field(response, "Content-Type", content_type);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace pomelospread
