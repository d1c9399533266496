// Main program of the pomelospread load balancer: an entry instance, or with `forward` a forwarding instance
// that takes its routes and targets from the platform's store.
#include "base/flags.hpp"
#include "base/log.hpp"
#include "entry/instance.hpp"
#include "entry/settings.hpp"
#include "gateway/gateway.hpp"
#include "gateway/gateway_settings.hpp"
#include "platform/store_client.hpp"
#include "platform/wire_format.hpp"

#include <csignal>
#include <iostream>
#include <span>

namespace {

using namespace pomelospread;

constexpr char const* usage =
    "pomelospread: an entry instance of the pomelospread load balancer\n\n"
    "usage: pomelospread [--SETTING=VALUE ...]\n"
    "       pomelospread --check_settings [--SETTING=VALUE ...]\n"
    "       pomelospread forward [--SETTING=VALUE ...]   take routes and targets from the platform\n\n"
    "Each setting can also be given as an environment variable; flags take precedence.\n"
    "SIGTERM and SIGINT start a planned stop.\n\n"
    "exit codes: 0 planned stop completed, 1 could not run, 64 invalid settings\n\nsettings:\n";

int run(std::span<char* const> arguments, bool check_only) {
    auto const command_line = parse_command_line(arguments, settings_flags_source);
    if (command_line.help) {
        std::cout << usage << settings_help();
        return static_cast<int>(exit_code::success);
    }
    if (command_line.version) {
        std::cout << "pomelospread " POMELOSPREAD_VERSION "\n";
        return static_cast<int>(exit_code::success);
    }
    if (!command_line.positional.empty()) {
        throw invalid_input({{.field = command_line.positional.front(),
                              .problem = "is not a setting",
                              .allowed = "--NAME=VALUE"}});
    }
    auto settings = read_settings();
    if (check_only) {
        std::cout << "the settings are valid\n";
        return static_cast<int>(exit_code::success);
    }
    log_writer::start(settings.min_log_level, settings.log_output_format);
    instance(std::move(settings)).run();
    log_writer::stop();
    return static_cast<int>(exit_code::success);
}

int run_forward(std::span<char* const> arguments, bool check_only) {
    auto const command_line = parse_command_line(arguments, gateway_flags_source);
    if (command_line.help) {
        std::cout << usage << gateway_settings_help();
        return static_cast<int>(exit_code::success);
    }
    auto const read = [arguments] { return read_gateway_settings(arguments); };
    auto settings = read();
    if (check_only) {
        std::cout << "the settings are valid\n";
        return static_cast<int>(exit_code::success);
    }
    log_writer::start(settings.min_log_level, log_format::key_value);
    log_writer::set_lines_per_second(settings.log_lines_per_second);
    platform::wire_format const wire_format;
    gateway(
        std::move(settings), wire_format,
        [](boost::asio::io_context& io, gateway_settings const& checked) -> std::unique_ptr<platform_store> {
            return std::make_unique<platform::store_client>(io, checked.store_address);
        })
        .run(read);
    return static_cast<int>(exit_code::success);
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<char*> arguments(argv + 1, argv + argc);
    bool const check_only = std::erase_if(arguments, [](char const* argument) {
                                return std::string_view(argument) == "--check_settings";
                            }) > 0;
    bool const forward = !arguments.empty() && std::string_view(arguments.front()) == "forward";
    try {
        return forward ? run_forward(std::span(arguments).subspan(1), check_only)
                       : run(arguments, check_only);
    } catch (invalid_input const& failure) {
        std::cerr << "pomelospread: " << failure.what() << "\n";
        return static_cast<int>(exit_code::usage);
    } catch (std::exception const& failure) {
        log_writer::stop();
        std::cerr << "pomelospread: " << failure.what() << "\n";
        return static_cast<int>(exit_code::failure);
    }
}
