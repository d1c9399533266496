#include "transport/pooled_stack_allocator.hpp"

#include <vector>

namespace pomelospread {

namespace {

struct free_stack_list {
    std::vector<boost::context::stack_context> stacks;
    boost::context::protected_fixedsize_stack allocator{pooled_stack_allocator::stack_bytes};

    ~free_stack_list() {
        for (auto& stack : stacks) {
            allocator.deallocate(stack);
        }
    }
};

free_stack_list& thread_free_stacks() {
    thread_local free_stack_list s_free_stacks;
    return s_free_stacks;
}

} // namespace

void pooled_stack_allocator::prepare_thread() {
    static_cast<void>(thread_free_stacks());
}

boost::context::stack_context pooled_stack_allocator::allocate() {
    auto& free = thread_free_stacks();
    if (free.stacks.empty()) {
        return free.allocator.allocate();
    }
    auto const stack = free.stacks.back();
    free.stacks.pop_back();
    return stack;
}

void pooled_stack_allocator::deallocate(boost::context::stack_context& stack) noexcept {
    auto& free = thread_free_stacks();
    if (free.stacks.size() < max_free_stacks_per_thread) {
        free.stacks.push_back(stack);
        return;
    }
    free.allocator.deallocate(stack);
}

} // namespace pomelospread
