// The TCP links between instances: batched claims, account records, outcomes and in-flight counts.
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

/// How a message that asks for an answer ended.
enum class peer_result : std::uint8_t {
    accepted,
    refused,
    no_answer, ///< The peer may or may not have received it.
};

/// A wait for one answer. Belongs to one thread.
class peer_wait {
public:
    /// Suspends until the answer or the deadline.
    peer_result wait_until(steady_time deadline);
    void complete(peer_result result, std::string payload = {});
    [[nodiscard]] std::string const& payload() const noexcept { return m_payload; }
    [[nodiscard]] bool is_done() const noexcept { return m_result.has_value(); }

private:
    std::optional<peer_result> m_result;
    std::string m_payload;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_done;
};

/// One thread's link to one start of another instance. Everything queued while a frame is being written
/// goes out in the next frame. Call from fibers of the owning thread.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /// Called with the peer's identity when a link breaks that was not closed by its owner.
    using on_broken = std::function<void(instance_id)>;

    peer_link(io_thread& thread, instance_id self, instance_entry peer,
              std::atomic<std::uint64_t> const& stored, on_broken broken);

    /// Queues a message; the wait ends with `no_answer` when the link breaks.
    std::shared_ptr<peer_wait> send(claim_message message);
    std::shared_ptr<peer_wait> send(record_message message);
    std::shared_ptr<peer_wait> send(tables_request message);
    /// Queue without asking for an answer.
    void post(outcome_message message);
    void post(record_message message);
    void post(load_message message);

    /// Starts the fibers that connect, write and read.
    void start();
    /// Ends the link; every wait ends with `no_answer`.
    void close();
    [[nodiscard]] bool is_closed() const noexcept { return m_closed; }
    /// Whether every queued message has been written.
    [[nodiscard]] bool is_flushed() const noexcept { return m_outbox.empty() && !m_writing; }

private:
    std::shared_ptr<peer_wait> add_wait(std::uint64_t sequence);
    void run();
    void connect();
    void read_loop();
    /// Ends the link after a failure and tells the owner.
    void fail(char const* reason);
    void write_loop();

    io_thread& m_thread;
    instance_id m_self;
    instance_entry m_peer;
    std::atomic<std::uint64_t> const& m_stored;
    on_broken m_broken;
    boost::beast::tcp_stream m_stream;
    peer_batch m_outbox;
    std::uint64_t m_next_sequence = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<peer_wait>> m_waits;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_wake;
    bool m_writing = false;
    bool m_closed = false;
};

/// One thread's links, opened on demand.
class peer_links {
public:
    peer_links(io_thread& thread, instance_id self, std::atomic<std::uint64_t> const& stored,
               peer_link::on_broken broken);

    /// The link to a peer; a broken one is replaced by a new one.
    [[nodiscard]] std::shared_ptr<peer_link> to(instance_entry const& peer);
    /// Closes the links to instances that are not in `alive`.
    void retain(std::set<instance_id> const& alive);
    void close_all();
    [[nodiscard]] bool are_flushed() const;

private:
    io_thread& m_thread;
    instance_id m_self;
    std::atomic<std::uint64_t> const& m_stored;
    peer_link::on_broken m_broken;
    std::map<instance_id, std::shared_ptr<peer_link>> m_links;
};

/// Accepts links of other instances.
class peer_server {
public:
    /// Handles a batch and returns its answers; must not block.
    using handler = std::function<peer_reply(instance_id from, peer_batch batch)>;

    /// Throws `connect_failed` when the address cannot be bound.
    peer_server(io_thread& thread, endpoint const& address, instance_id self, handler handle);

    void start();
    /// Stops listening and closes every link. Call from a fiber of the server's thread.
    void stop();
    [[nodiscard]] endpoint local_address() const { return m_acceptor.local_address(); }

private:
    void serve(boost::beast::tcp_stream& stream);

    io_thread& m_thread;
    instance_id m_self;
    handler m_handle;
    connection_acceptor m_acceptor;
    std::set<boost::beast::tcp_stream*> m_streams;
    bool m_stopped = false;
};

} // namespace pomelospread
