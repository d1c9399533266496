#include "gateway/rate_divider.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/rate_division_messages.hpp"
#include "protocol/platform_client.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

/// Holders confirm the division within a lease several times. A missing part of the bursts of extra attempts
/// delays no request, so without rates the rounds are fewer and homes that hold no part take none.
constexpr auto rates_round_interval = milliseconds(1000);
constexpr auto bursts_round_interval = milliseconds(2000);
/// Instances that know no division yet, and need tokens.
constexpr auto unknown_interval = milliseconds(300);
/// Other instances, which need tokens, hear of changes of the holders.
constexpr auto guest_interval = milliseconds(2500);
constexpr auto check_interval = milliseconds(100);
/// Time limit of an exchange with peers, of which a round makes a few.
constexpr auto peer_timeout = milliseconds(500);
constexpr std::size_t max_message_bytes = std::size_t{16} * 1024;

milliseconds jittered(milliseconds interval) {
    auto const spread = static_cast<std::uint64_t>(interval.count() / 4 + 1);
    return interval + milliseconds(thread_random()() % spread);
}

} // namespace

rate_divider::rate_divider(io_thread& thread, rate_division_store& store, connection_cache& connections,
                           endpoint self, callbacks functions)
    : m_thread(thread), m_store(store), m_connections(connections), m_self(std::move(self)),
      m_callbacks(std::move(functions)),
      m_keeper(m_self,
               {.exchange = [this](auto const& peers, auto const& state) { return exchange(peers, state); },
                .read = [this] { return read(); },
                .write = [this](auto const& next, auto expected) { return write(next, expected); },
                .part_changed = [this] { publish_part(); },
                .now = [] { return boot_clock::now(); }}) {}

void rate_divider::start_if_needed() {
    if (!m_is_running && !m_is_stopping && m_callbacks.demand().is_divided) {
        m_is_running = true;
        m_thread.spawn([this] { run(); });
    }
}

void rate_divider::resign() {
    m_keeper.resign();
    publish_part();
}

void rate_divider::run() {
    for (auto demand = m_callbacks.demand(); !m_is_stopping && demand.is_divided;
         demand = m_callbacks.demand()) {
        if (boot_clock::now() >= (demand.is_short ? m_next_needed_round : m_next_round)) {
            run_round(demand);
        }
        boost::this_fiber::sleep_for(check_interval);
    }
    m_is_running = false;
}

void rate_divider::run_round(part_demand const& demand) {
    auto fleet = m_callbacks.fleet();
    fleet.needs_tokens = demand.is_short;
    // Before an instance has read the members, it is a home in its own view.
    bool const is_home = fleet.has_read_members && fleet.homes.contains(m_self) && !fleet.is_alone;
    bool const is_unknown = m_keeper.division().version.number == 0;
    bool const is_participant = m_keeper.takes_part() || (is_home && (is_unknown || demand.includes_rates));
    auto const rates_interval = is_unknown ? unknown_interval : rates_round_interval;
    m_next_round =
        boot_clock::now() + jittered(demand.includes_rates ? rates_interval : bursts_round_interval);
    if (is_participant || demand.is_short ||
        (is_unknown && fleet.has_read_members && demand.includes_rates)) {
        m_next_needed_round =
            is_participant || is_unknown ? m_next_round : boot_clock::now() + jittered(guest_interval);
        m_keeper.run_round(fleet);
        publish_part();
    }
}

void rate_divider::publish_part() {
    m_callbacks.part_changed(m_keeper.part(), m_keeper.valid_until(), m_keeper.answering_holders());
}

std::map<endpoint, rate_division_state> rate_divider::exchange(std::vector<endpoint> const& peers,
                                                               rate_division_state const& state) {
    struct progress {
        std::map<endpoint, rate_division_state> answers;
        std::size_t open = 0;
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable is_over;
    };
    auto const shared = std::make_shared<progress>();
    auto const body = encode_rate_division_state(state);
    shared->open = peers.size();
    for (auto const& peer : peers) {
        m_thread.spawn([this, shared, peer, body] {
            try {
                shared->answers.insert_or_assign(peer, ask(peer, body));
            } catch (error const& failure) {
                log_line(log_level::info, "rate_holder_silent")
                    .field("peer", to_string(peer))
                    .field("reason", failure.what())
                    .write();
            }
            --shared->open;
            shared->is_over.notify_all();
        });
    }
    std::unique_lock lock(shared->mutex);
    shared->is_over.wait(lock, [&] { return shared->open == 0; });
    return std::move(shared->answers);
}

rate_division_state rate_divider::ask(endpoint const& peer, std::string const& body) {
    auto const deadline = std::chrono::steady_clock::now() + peer_timeout;
    auto connection = m_connections.acquire_idle(peer);
    if (connection == nullptr) {
        connection = m_connections.open(peer, deadline);
    }
    http_request request(boost::beast::http::verb::post, std::string(path) + "?from=" + to_string(m_self),
                         11);
    set_header_field(request, "Host", to_string(peer));
    request.body() = body;
    request.prepare_payload();
    auto const response = connection->exchange(request, max_message_bytes, deadline);
    m_connections.release(peer, std::move(connection));
    if (response.result_int() != 200) {
        throw malformed_message("the peer responded with status " + std::to_string(response.result_int()));
    }
    return decode_rate_division_state(response.body());
}

http_response rate_divider::handle(http_request const& request) {
    std::string_view const target(request.target().data(), request.target().size());
    try {
        auto const peer = parse_endpoint(query_parameter(target, "from"), "from");
        auto const answer = m_keeper.answer(peer, decode_rate_division_state(request.body()));
        return make_response(200, "application/octet-stream", encode_rate_division_state(answer));
    } catch (invalid_input const& failure) {
        return make_response(400, "text/plain", failure.what());
    } catch (malformed_message const& failure) {
        return make_response(400, "text/plain", failure.what());
    }
}

rate_division rate_divider::read() {
    try {
        auto result = m_store.read_division();
        m_callbacks.record_store_call(true, "");
        return result;
    } catch (error const& failure) {
        m_callbacks.record_store_call(false, failure.what());
        throw;
    }
}

bool rate_divider::write(rate_division const& next, store_version expected) {
    try {
        bool const is_written = m_store.replace_division(next, expected);
        log_line(log_level::info, is_written ? "rate_division_written" : "rate_division_conflict")
            .field("replaced", expected.number)
            .field("holders", static_cast<std::uint64_t>(next.holders.size()))
            .field("previous",
                   static_cast<std::uint64_t>(next.previous_holders ? next.previous_holders->size() : 0))
            .field("settled", next.is_settled() ? "yes" : "no")
            .write();
        m_callbacks.record_store_call(true, "");
        return is_written;
    } catch (error const& failure) {
        m_callbacks.record_store_call(false, failure.what());
        throw;
    }
}

} // namespace pomelospread
