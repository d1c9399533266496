#include "protocol/peer_link.hpp"

#include "base/log.hpp"
#include "protocol/platform_json_codec.hpp"
#include "transport/listener.hpp"
#include "transport/socket_options.hpp"
#include "transport/use_fiber.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <mutex>
#include <utility>

namespace pomelospread {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto connect_timeout = std::chrono::milliseconds(1000);

/// A frame is a 32-bit big-endian length followed by that many bytes. Throws `exchange_incomplete`.
void write_frame(beast::tcp_stream& stream, std::string const& bytes) {
    auto const length = boost::endian::native_to_big(static_cast<std::uint32_t>(bytes.size()));
    std::array const buffers{asio::buffer(&length, sizeof(length)), asio::buffer(bytes)};
    boost::system::error_code error;
    asio::async_write(stream, buffers, use_fiber(error));
    if (error) {
        throw exchange_incomplete("writing to a peer: " + error.message());
    }
}

std::string read_frame(beast::tcp_stream& stream) {
    std::uint32_t length = 0;
    boost::system::error_code error;
    asio::async_read(stream, asio::buffer(&length, sizeof(length)), use_fiber(error));
    if (error) {
        throw exchange_incomplete("reading from a peer: " + error.message());
    }
    boost::endian::big_to_native_inplace(length);
    if (length > max_frame_bytes) {
        throw malformed_message("frame of a peer too large: " + std::to_string(length) + " bytes");
    }
    std::string bytes(length, '\0');
    asio::async_read(stream, asio::buffer(bytes), use_fiber(error));
    if (error) {
        throw exchange_incomplete("reading from a peer: " + error.message());
    }
    return bytes;
}

} // namespace

ack_status pending_ack::wait_until(steady_time deadline) {
    std::unique_lock lock(m_mutex);
    m_completed.wait_until(lock, deadline, [&] { return m_result.has_value(); });
    return m_result.value_or(ack_status::no_reply);
}

void pending_ack::complete(ack_status result, std::string payload) {
    if (!m_result) {
        m_result = result;
        m_payload = std::move(payload);
        m_completed.notify_all();
    }
}

peer_link::peer_link(io_thread& thread, instance_id self, instance_entry peer,
                     std::atomic<std::uint64_t> const& last_stored_sequence, broken_handler on_broken)
    : m_thread(thread), m_self(self), m_peer(std::move(peer)), m_last_stored_sequence(last_stored_sequence),
      m_on_broken(std::move(on_broken)), m_stream(thread.io()) {}

std::shared_ptr<pending_ack> peer_link::add_pending_ack(std::uint64_t sequence) {
    auto ack = std::make_shared<pending_ack>();
    if (m_closed) {
        ack->complete(ack_status::no_reply);
        return ack;
    }
    m_pending_acks.emplace(sequence, ack);
    m_outbox_changed.notify_one();
    return ack;
}

std::shared_ptr<pending_ack> peer_link::send(claim_message message) {
    message.sequence = m_next_sequence++;
    auto ack = add_pending_ack(message.sequence);
    if (!m_closed) {
        m_outbox.claims.push_back(std::move(message));
    }
    return ack;
}

std::shared_ptr<pending_ack> peer_link::send(record_replica_message message) {
    message.sequence = m_next_sequence++;
    auto ack = add_pending_ack(message.sequence);
    if (!m_closed) {
        m_outbox.records.push_back(std::move(message));
    }
    return ack;
}

std::shared_ptr<pending_ack> peer_link::send(tables_request message) {
    message.sequence = m_next_sequence++;
    auto ack = add_pending_ack(message.sequence);
    if (!m_closed) {
        m_outbox.tables_requests.push_back(message);
    }
    return ack;
}

void peer_link::send_unacknowledged(outcome_message message) {
    if (!m_closed) {
        m_outbox.outcomes.push_back(std::move(message));
        m_outbox_changed.notify_one();
    }
}

void peer_link::send_unacknowledged(record_replica_message message) {
    message.sequence = 0;
    if (!m_closed) {
        m_outbox.records.push_back(std::move(message));
        m_outbox_changed.notify_one();
    }
}

void peer_link::send_unacknowledged(pool_load_update message) {
    if (!m_closed) {
        m_outbox.load_updates.push_back(std::move(message));
        m_outbox_changed.notify_one();
    }
}

void peer_link::start() {
    m_thread.spawn([self = shared_from_this()] { self->run(); });
}

void peer_link::run() {
    try {
        connect();
        m_thread.spawn([self = shared_from_this()] { self->read_loop(); });
        write_loop();
    } catch (error const& failure) {
        close_after_failure(failure.what());
    }
}

void peer_link::close_after_failure(char const* reason) {
    if (m_closed) {
        return;
    }
    log_line(log_level::warning, "peer_link_broken")
        .field("peer", format_instance_id(m_peer.id))
        .field("reason", reason)
        .write();
    close();
    m_on_broken(m_peer.id);
}

void peer_link::connect() {
    boost::system::error_code error;
    m_stream.expires_after(connect_timeout);
    m_stream.async_connect(to_asio_endpoint(m_peer.peer_address), use_fiber(error));
    if (error) {
        throw connect_failed("connecting to peer " + to_string(m_peer.peer_address) + ": " + error.message());
    }
    configure_socket(m_stream.socket());
    write_frame(m_stream, encode(peer_hello{.from = m_self, .to = m_peer.id}));
    auto const hello = decode<peer_hello>(read_frame(m_stream));
    if (hello.from != m_peer.id) {
        throw connect_failed("another incarnation of the instance listens at " +
                             to_string(m_peer.peer_address));
    }
    m_stream.expires_never();
}

void peer_link::read_loop() {
    try {
        while (!m_closed) {
            auto reply = decode<peer_reply>(read_frame(m_stream));
            for (auto& ack : reply.acks) {
                auto const found = m_pending_acks.find(ack.sequence);
                if (found == m_pending_acks.end()) {
                    continue;
                }
                found->second->complete(ack.accepted ? ack_status::accepted : ack_status::refused,
                                        std::move(ack.payload));
                m_pending_acks.erase(found);
            }
        }
    } catch (error const& failure) {
        close_after_failure(failure.what());
    }
}

void peer_link::write_loop() {
    while (!m_closed) {
        if (m_outbox.empty()) {
            std::unique_lock lock(m_mutex);
            m_outbox_changed.wait(lock, [&] { return m_closed || !m_outbox.empty(); });
            continue;
        }
        m_writing = true;
        auto batch = std::exchange(m_outbox, peer_batch{});
        batch.last_stored_sequence = m_last_stored_sequence.load();
        write_frame(m_stream, encode(batch));
        m_writing = false;
    }
}

void peer_link::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_stream.close();
    for (auto& [sequence, ack] : m_pending_acks) {
        ack->complete(ack_status::no_reply);
    }
    m_pending_acks.clear();
    m_outbox_changed.notify_all();
}

peer_link_cache::peer_link_cache(io_thread& thread, instance_id self,
                                 std::atomic<std::uint64_t> const& last_stored_sequence,
                                 peer_link::broken_handler on_broken)
    : m_thread(thread), m_self(self), m_last_stored_sequence(last_stored_sequence),
      m_on_broken(std::move(on_broken)) {}

std::shared_ptr<peer_link> peer_link_cache::link_to(instance_entry const& peer) {
    auto& link = m_links[peer.id];
    if (link == nullptr || link->is_closed()) {
        link = std::make_shared<peer_link>(m_thread, m_self, peer, m_last_stored_sequence, m_on_broken);
        link->start();
    }
    return link;
}

void peer_link_cache::close_all_except(std::set<instance_id> const& alive) {
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (alive.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->close();
        it = m_links.erase(it);
    }
}

void peer_link_cache::close_all() {
    close_all_except({});
}

bool peer_link_cache::are_flushed() const {
    for (auto const& [id, link] : m_links) {
        if (!link->is_closed() && !link->is_flushed()) {
            return false;
        }
    }
    return true;
}

peer_server::peer_server(io_thread& thread, endpoint const& address, instance_id self, handler on_batch)
    : m_thread(thread), m_self(self), m_handler(std::move(on_batch)),
      m_acceptor(thread, address, listener_sharing::exclusive) {}

void peer_server::start() {
    m_acceptor.start([this](asio::ip::tcp::socket socket) {
        configure_socket(socket);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        m_thread.spawn([this, stream] {
            m_streams.insert(stream.get());
            serve_link(*stream);
            m_streams.erase(stream.get());
        });
    });
}

void peer_server::serve_link(beast::tcp_stream& stream) {
    try {
        stream.expires_after(connect_timeout);
        auto const hello = decode<peer_hello>(read_frame(stream));
        write_frame(stream, encode(peer_hello{.from = m_self, .to = hello.from}));
        if (hello.to != m_self) {
            return;
        }
        // From here on the socket's TCP user timeout and keep-alive detect a dead peer.
        stream.expires_never();
        while (!m_stopped) {
            auto const reply = m_handler(hello.from, decode<peer_batch>(read_frame(stream)));
            if (!reply.acks.empty()) {
                write_frame(stream, encode(reply));
            }
        }
    } catch (error const& failure) {
        log_line(log_level::info, "peer_link_ended").field("reason", failure.what()).write();
    }
}

void peer_server::stop() {
    m_stopped = true;
    m_acceptor.close();
    for (auto* stream : m_streams) {
        stream->close();
    }
}

} // namespace pomelospread
