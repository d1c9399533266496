// Runs this instance's keeper of the division of the fleet's rates.
#pragma once

#include "coordination/platform_store.hpp"
#include "coordination/rate_division_keeper.hpp"
#include "gateway/workspace_rates.hpp"
#include "protocol/http_connection.hpp"
#include "transport/io_thread.hpp"

#include <functional>
#include <string_view>

namespace pomelospread {

/// Used on one thread. Without limits nothing is read, sent or scheduled.
class rate_divider {
public:
    struct sources {
        /// What is known of the fleet now.
        std::function<rate_division_fleet()> fleet;
        /// A call to the platform's store succeeded or failed.
        std::function<void(bool is_available, std::string_view reason)> record_store_call;
    };

    rate_divider(io_thread& thread, workspace_rates& rates, rate_division_store& store,
                 connection_cache& connections, endpoint self, sources known);

    /// Starts if any workspace has a limit. Call whenever the tables change.
    void start_if_needed();
    void stop() noexcept { m_is_stopping = true; }
    /// This instance leaves, and gives its part up.
    void resign();

    /// Answers another instance's request.
    [[nodiscard]] http_response handle(http_request const& request);

    [[nodiscard]] rate_division const& division() const noexcept { return m_keeper.division(); }

    static constexpr std::string_view path = "/rate-division";

private:
    void run();
    void run_round(bool needs_tokens);
    void publish_part();
    [[nodiscard]] std::map<endpoint, rate_division_state> exchange(std::vector<endpoint> const& peers,
                                                                   rate_division_state const& state);
    [[nodiscard]] rate_division_state ask(endpoint const& peer, std::string const& body);
    [[nodiscard]] rate_division read();
    [[nodiscard]] bool write(rate_division const& next, store_version expected);

    io_thread& m_thread;
    workspace_rates& m_rates;
    rate_division_store& m_store;
    connection_cache& m_connections;
    endpoint m_self;
    sources m_sources;
    rate_division_keeper m_keeper;
    boot_clock::time_point m_next_round{};
    boot_clock::time_point m_next_needed_round{}; ///< While tokens are needed.
    bool m_is_running = false;
    bool m_is_stopping = false;
};

} // namespace pomelospread
