// Startup and shutdown code that the main functions of the stand-ins share.
#pragma once

#include "base/flags.hpp"
#include "transport/io_thread.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <span>
#include <string_view>

namespace pomelospread {

/// Parses the flags that `source_file` defines, calls `body` and returns its exit code. Prints an exception
/// and returns exit code 64 for invalid input, otherwise 1.
template<class Body>
int run_stand_in(int argc, char** argv, std::string_view source_file, Body body) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        auto const command_line =
            parse_command_line(std::span(argv + 1, static_cast<std::size_t>(argc - 1)), source_file);
        if (command_line.help) {
            std::cout << describe_flags(source_file);
            return 0;
        }
        return body();
    } catch (invalid_input const& failure) {
        std::cerr << failure.what() << "\n";
        return static_cast<int>(exit_code::usage);
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << "\n";
        return static_cast<int>(exit_code::failure);
    }
}

/// Blocks until SIGTERM or SIGINT.
inline void wait_for_stop_signal() {
    boost::asio::io_context io(1);
    boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
    stop_signals.async_wait([](auto const&, int) {});
    io.run();
}

} // namespace pomelospread
