// The main function's frame that the stand-ins share: flags, one thread of fibers, an orderly stop.
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

/// Reads the flags of `file`, calls `body`, and turns an exception into exit code 1 or 64.
template<class Body>
int run_stand_in(int argc, char** argv, std::string_view file, Body body) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        auto const line = parse_command_line(std::span(argv + 1, static_cast<std::size_t>(argc - 1)), file);
        if (line.help) {
            std::cout << describe_flags(file);
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
    boost::asio::io_context signals(1);
    boost::asio::signal_set waiting(signals, SIGTERM, SIGINT);
    waiting.async_wait([](auto const&, int) {});
    signals.run();
}

} // namespace pomelospread
