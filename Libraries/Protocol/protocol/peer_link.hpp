// The TCP links between instances. They carry batches of claims, record replicas, outcomes, load updates and
// requests for the tables.
#pragma once

#include "protocol/http_types.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/connection_acceptor.hpp"
#include "transport/io_thread.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace pomelospread {

/// The result of a message that requests an acknowledgement.
enum class ack_status : std::uint8_t {
    accepted,
    refused,
    no_reply, ///< No acknowledgement came; the peer may or may not have received the message.
};

/// The acknowledgement of one message, to wait for. Belongs to one thread.
class pending_ack {
public:
    /// Suspends until the acknowledgement arrives or the deadline passes; `no_reply` in the latter case.
    ack_status wait_until(steady_time deadline);
    void complete(ack_status result, std::string payload = {});
    [[nodiscard]] std::string const& payload() const noexcept { return m_payload; }
    [[nodiscard]] bool is_done() const noexcept { return m_result.has_value(); }

private:
    std::optional<ack_status> m_result;
    std::string m_payload;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_completed;
};

/// One thread's link to one incarnation of another instance. The messages that are queued while a frame is
/// being written are sent together in the next frame. Call from fibers of the owning thread.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /// Called with the peer's id when the link fails, but not when its owner closes it.
    using broken_handler = std::function<void(instance_id)>;

    peer_link(io_thread& thread, instance_id self, instance_entry peer,
              std::atomic<std::uint64_t> const& last_stored_sequence, broken_handler on_broken);

    /// Queues a message; its acknowledgement completes with `no_reply` when the link fails or is closed.
    std::shared_ptr<pending_ack> send(claim_message message);
    std::shared_ptr<pending_ack> send(record_replica_message message);
    std::shared_ptr<pending_ack> send(tables_request message);
    /// Queues a message without requesting an acknowledgement.
    void send_unacknowledged(outcome_message message);
    void send_unacknowledged(record_replica_message message);
    void send_unacknowledged(pool_load_update message);

    /// Starts the fibers that connect, write and read.
    void start();
    /// Closes the link; every pending acknowledgement completes with `no_reply`.
    void close();
    [[nodiscard]] bool is_closed() const noexcept { return m_closed; }
    /// Whether every queued message has been written.
    [[nodiscard]] bool is_flushed() const noexcept { return m_outbox.empty() && !m_writing; }

private:
    std::shared_ptr<pending_ack> add_pending_ack(std::uint64_t sequence);
    void run();
    void connect();
    void read_loop();
    /// Closes the link after a failure and notifies the owner.
    void close_after_failure(char const* reason);
    void write_loop();

    io_thread& m_thread;
    instance_id m_self;
    instance_entry m_peer;
    std::atomic<std::uint64_t> const& m_last_stored_sequence;
    broken_handler m_on_broken;
    boost::beast::tcp_stream m_stream;
    peer_batch m_outbox;
    std::uint64_t m_next_sequence = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_ack>> m_pending_acks;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_outbox_changed;
    bool m_writing = false;
    bool m_closed = false;
};

/// One thread's links to other instances, opened on demand.
class peer_link_cache {
public:
    peer_link_cache(io_thread& thread, instance_id self,
                    std::atomic<std::uint64_t> const& last_stored_sequence,
                    peer_link::broken_handler on_broken);

    /// The link to a peer; opens a new one when there is none or it is closed.
    [[nodiscard]] std::shared_ptr<peer_link> link_to(instance_entry const& peer);
    /// Closes the links to instances that are not in `alive`.
    void close_all_except(std::set<instance_id> const& alive);
    void close_all();
    [[nodiscard]] bool are_flushed() const;

private:
    io_thread& m_thread;
    instance_id m_self;
    std::atomic<std::uint64_t> const& m_last_stored_sequence;
    peer_link::broken_handler m_on_broken;
    std::map<instance_id, std::shared_ptr<peer_link>> m_links;
};

/// Accepts the links that other instances open.
class peer_server {
public:
    /// Handles a batch and returns its acknowledgements; must not block the thread.
    using handler = std::function<peer_reply(instance_id from, peer_batch batch)>;

    /// Throws `connect_failed` when the address cannot be bound.
    peer_server(io_thread& thread, endpoint const& address, instance_id self, handler on_batch);

    void start();
    /// Stops listening and closes every link. Call from a fiber of the server's thread.
    void stop();
    [[nodiscard]] endpoint local_address() const { return m_acceptor.local_address(); }

private:
    void serve_link(boost::beast::tcp_stream& stream);

    io_thread& m_thread;
    instance_id m_self;
    handler m_handler;
    connection_acceptor m_acceptor;
    std::set<boost::beast::tcp_stream*> m_streams;
    bool m_stopped = false;
};

} // namespace pomelospread
