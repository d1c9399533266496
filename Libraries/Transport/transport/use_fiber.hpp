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

/// Pass `use_fiber(error)` where Asio expects a handler. The call returns the operation's value, if it has
/// one, and stores its error code in `error`. The operation must complete on the calling thread's io_context.
/// The token sets no deadline; the operation needs one of its own (for example
/// `beast::tcp_stream::expires_after`).
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

    void complete(boost::system::error_code code, Values... results) {
        error = code;
        values.emplace(std::move(results)...);
        completed = true;
        if (waiting_fiber != nullptr) {
            boost::fibers::context::active()->schedule(waiting_fiber);
        }
    }

    void wait() {
        // The fiber and the handler run on the same thread, so the handler cannot run between test and
        // suspend.
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
        pomelospread::detail::fiber_completion<Values...> completion;
        std::forward<Initiation>(initiation)(
            [&completion](boost::system::error_code code, Values... values) {
                completion.complete(code, std::move(values)...);
            },
            std::forward<Arguments>(arguments)...);
        completion.wait();
        *token.error() = completion.error;
        if constexpr (sizeof...(Values) == 1) {
            return std::get<0>(std::move(*completion.values));
        }
    }
};

} // namespace boost::asio
