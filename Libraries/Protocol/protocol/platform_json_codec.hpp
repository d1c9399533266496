// The JSON forms in which the platform's services speak; shared by the adapter and the stand-in.
#pragma once

#include "coordination/platform.hpp"

#include <nlohmann/json.hpp>

namespace pomelospread {

[[nodiscard]] nlohmann::json to_json(table_cell const& cell);
[[nodiscard]] nlohmann::json to_json(instance_entry const& entry);

/// Each throws `malformed_message` for another form.
[[nodiscard]] table_cell table_cell_from_json(nlohmann::json const& document);
[[nodiscard]] instance_entry instance_entry_from_json(nlohmann::json const& document);

/// Instance identities are written as 16 hexadecimal digits.
[[nodiscard]] std::string format_instance_id(instance_id id);
/// Throws `invalid_input` naming `instance`.
[[nodiscard]] instance_id parse_instance_id(std::string_view text);

} // namespace pomelospread
