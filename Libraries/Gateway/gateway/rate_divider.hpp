// Runs this instance's keeper of the division of what the fleet may use as a whole: the rates of workspaces
// and the bursts of extra attempts.
#pragma once

#include "coordination/platform_store.hpp"
#include "coordination/rate_division_keeper.hpp"
#include "protocol/http_connection.hpp"
#include "transport/io_thread.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// What this instance asks of the division.
struct part_demand {
    bool is_divided = false; ///< There is anything to divide.
    bool is_short = false;   ///< Requests that arrive here need more than this instance has.
    /// Requests wait for tokens, so every instance that starts looks for the holders, and every home follows
    /// the division closely.
    bool includes_rates = false;
};

/// Used on one thread. While nothing is to be divided, nothing is read, sent or scheduled.
class rate_divider {
public:
    struct callbacks {
        /// What is known of the fleet now.
        std::function<rate_division_fleet()> fleet;
        std::function<part_demand()> demand;
        /// This instance's part, until when it is valid, and the other holders that answer.
        std::function<void(rate_part, boot_clock::time_point, std::vector<endpoint>)> part_changed;
        /// A call to the platform's store succeeded or failed.
        std::function<void(bool is_available, std::string_view reason)> record_store_call;
    };

    rate_divider(io_thread& thread, rate_division_store& store, connection_cache& connections, endpoint self,
                 callbacks functions);

    /// Starts if there is anything to divide. Call whenever the tables change.
    void start_if_needed();
    void stop() noexcept { m_is_stopping = true; }
    /// This instance leaves, and gives its part up.
    void resign();

    /// Answers another instance's request.
    [[nodiscard]] http_response handle(http_request const& request);

    [[nodiscard]] rate_division const& division() const noexcept { return m_keeper.division(); }
    [[nodiscard]] rate_part part() const { return m_keeper.part(); }

    static constexpr std::string_view path = "/rate-division";

private:
    void run();
    void run_round(part_demand const& demand);
    void publish_part();
    [[nodiscard]] std::map<endpoint, rate_division_state> exchange(std::vector<endpoint> const& peers,
                                                                   rate_division_state const& state);
    [[nodiscard]] rate_division_state ask(endpoint const& peer, std::string const& body);
    [[nodiscard]] rate_division read();
    [[nodiscard]] bool write(rate_division const& next, store_version expected);

    io_thread& m_thread;
    rate_division_store& m_store;
    connection_cache& m_connections;
    endpoint m_self;
    callbacks m_callbacks;
    rate_division_keeper m_keeper;
    boot_clock::time_point m_next_round{};
    boot_clock::time_point m_next_needed_round{}; ///< While more is needed than this instance has.
    bool m_is_running = false;
    bool m_is_stopping = false;
};

} // namespace pomelospread
