// Allocates fiber stacks with a guard page and reuses the stacks that a thread freed.
#pragma once

#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>

#include <cstddef>

namespace pomelospread {

/// A stack allocator for Boost.Fiber. Each thread retains up to `max_free_stacks_per_thread` freed stacks for
/// reuse. A stack is virtual memory; only the pages that a fiber touched are resident.
class pooled_stack_allocator {
public:
    static constexpr std::size_t stack_bytes = std::size_t{256} * 1024;
    static constexpr std::size_t max_free_stacks_per_thread = 512;

    /// Call on each thread before its first use of Boost.Fiber. Fibers that ended last return their stacks
    /// while the thread's scheduler is destroyed, so the free stacks have to be destroyed after it.
    static void prepare_thread();

    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context& stack) noexcept;
};

} // namespace pomelospread
