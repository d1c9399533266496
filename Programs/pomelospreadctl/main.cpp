// The operators' command line of the pomelospread load balancer.
#include "base/flags.hpp"
#include "commands.hpp"

#include <csignal>
#include <iostream>
#include <span>

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    using namespace pomelospread;
    try {
        return static_cast<int>(run_command(std::span(argv + 1, static_cast<std::size_t>(argc - 1))));
    } catch (std::exception const& failure) {
        return static_cast<int>(report_failure(failure));
    }
}
