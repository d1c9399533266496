#include "base/read_file.hpp"

#include "base/errors.hpp"

#include <fstream>
#include <sstream>

namespace pomelospread {

std::string read_file(std::string const& name, std::string_view setting) {
    std::ifstream file(name);
    if (!file) {
        throw invalid_input({{.field = std::string(setting),
                              .problem = "\"" + name + "\" cannot be read",
                              .allowed = "a file"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace pomelospread
