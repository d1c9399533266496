// Bounds the memory that the bodies of all responses in progress take together.
#pragma once

#include <cstddef>

namespace pomelospread {

struct response_memory_limits {
    /// A body of up to this size needs no share, so that responses of the usual size are read at any time.
    std::size_t free_body_bytes = std::size_t{64} * 1024;
    /// Of all shares. A growing body takes up to three times its size; a small instance has 260 MB in all.
    std::size_t max_shared_bytes = std::size_t{32} * 1024 * 1024;
};

/// Targets may send bodies without end, each up to the limit of one response. Not thread-safe.
class response_memory {
public:
    explicit response_memory(response_memory_limits limits = {}) : m_limits(limits) {}

    /// The part that one body takes. Must not outlive its `response_memory`.
    class share {
    public:
        explicit share(response_memory& memory) : m_memory(memory) {}
        ~share() { m_memory.m_shared_bytes -= m_bytes; }
        share(share const&) = delete;
        share& operator=(share const&) = delete;

        /// The body has grown to `body_bytes`. Returns false when there is no memory for it.
        [[nodiscard]] bool grow_to(std::size_t body_bytes);

    private:
        response_memory& m_memory;
        std::size_t m_bytes = 0;
    };

private:
    response_memory_limits m_limits;
    std::size_t m_shared_bytes = 0;
};

} // namespace pomelospread
