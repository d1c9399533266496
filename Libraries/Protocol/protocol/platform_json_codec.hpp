// The JSON representations in the platform's HTTP API; shared by `platform_client` and the platform stand-in.
#pragma once

#include "coordination/platform.hpp"

#include <nlohmann/json.hpp>

namespace pomelospread {

[[nodiscard]] nlohmann::json to_json(table_cell const& cell);
[[nodiscard]] nlohmann::json to_json(instance_entry const& entry);

/// Throws `malformed_message` when the document has another form.
[[nodiscard]] table_cell table_cell_from_json(nlohmann::json const& document);
[[nodiscard]] instance_entry instance_entry_from_json(nlohmann::json const& document);

/// Renders an instance id as 16 hexadecimal digits.
[[nodiscard]] std::string format_instance_id(instance_id id);
/// Reads 1 to 16 hexadecimal digits, not all zero. Throws `invalid_input` naming `instance`.
[[nodiscard]] instance_id parse_instance_id(std::string_view text);

} // namespace pomelospread
