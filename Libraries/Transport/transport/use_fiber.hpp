// A completion token for Boost.Asio that suspends the calling fiber until the operation completes.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <tuple>
#include <type_traits>
#include <utility>

namespace pomelospread {

/// Pass `use_fiber(error)` where Asio expects a handler: the call returns the operation's value and stores
/// its error code in `error`. The operation must complete on the calling thread's io_context, and every
/// operation must carry a deadline of its own (for example `beast::tcp_stream::expires_after`).
class use_fiber {
public:
    explicit use_fiber(boost::system::error_code& error) noexcept : m_error(&error) {}

    [[nodiscard]] boost::system::error_code* error() const noexcept { return m_error; }

private:
    boost::system::error_code* m_error;
};

namespace detail {

template<class... Values>
struct fiber_completion {
    bool completed = false;
    boost::fibers::context* waiting_fiber = nullptr;
    boost::system::error_code error;
    std::optional<std::tuple<Values...>> values;

    void complete(boost::system::error_code code, Values... given) {
        error = code;
        values.emplace(std::move(given)...);
        completed = true;
        if (waiting_fiber != nullptr) {
            boost::fibers::context::active()->schedule(waiting_fiber);
        }
    }

    void wait() {
        // One thread runs both the fiber and the handler, so testing and suspending cannot race.
        if (!completed) {
            waiting_fiber = boost::fibers::context::active();
            waiting_fiber->suspend();
        }
    }
};

} // namespace detail

} // namespace pomelospread

namespace boost::asio {

template<class... Values>
class async_result<pomelospread::use_fiber, void(boost::system::error_code, Values...)> {
public:
    template<class Initiation, class... Arguments>
    static auto initiate(Initiation&& initiation, pomelospread::use_fiber token, Arguments&&... arguments) {
        pomelospread::detail::fiber_completion<Values...> wait;
        std::forward<Initiation>(initiation)(
            [&wait](boost::system::error_code code, Values... values) {
                wait.complete(code, std::move(values)...);
            },
            std::forward<Arguments>(arguments)...);
        wait.wait();
        *token.error() = wait.error;
        if constexpr (sizeof...(Values) == 1) {
            return std::get<0>(std::move(*wait.values));
        }
    }
};

} // namespace boost::asio
