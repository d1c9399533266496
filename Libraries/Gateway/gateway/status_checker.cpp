#include "gateway/status_checker.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <memory>

namespace pomelospread {

namespace {

/// A check that takes longer tells nothing about the present.
constexpr auto check_timeout = std::chrono::milliseconds(300);
constexpr double allowance_seconds = 2.0;
constexpr std::size_t max_allowances = 4096;

} // namespace

bool status_checker::try_spend(std::string const& id, steady_time now) {
    if (m_allowances.size() > max_allowances) {
        m_allowances.clear();
    }
    auto const rate = m_state.checks_per_second();
    auto const [found, added] = m_allowances.try_emplace(id, allowance{.tokens = 1.0, .filled_at = now});
    auto& own = found->second;
    own.tokens = std::min(rate * allowance_seconds,
                          own.tokens + rate * std::chrono::duration<double>(now - own.filled_at).count());
    own.filled_at = now;
    if (own.tokens < 1.0) {
        return false;
    }
    own.tokens -= 1.0;
    return true;
}

void status_checker::refresh(std::span<check_target const> targets, std::string const& health_path,
                             steady_time until) {
    auto const now = std::chrono::steady_clock::now();
    std::vector<std::string> awaited;
    for (auto const& target : targets) {
        if (!m_running.contains(target.id)) {
            if (!try_spend(target.id, now)) {
                continue;
            }
            m_running.insert(target.id);
            m_thread.spawn([this, target, health_path] { check(target, health_path); });
        }
        awaited.push_back(target.id);
    }
    std::unique_lock lock(m_mutex);
    while (std::ranges::any_of(awaited, [&](auto const& id) { return m_running.contains(id); })) {
        if (m_changed.wait_until(lock, until) == boost::fibers::cv_status::timeout) {
            return;
        }
    }
}

void status_checker::check(check_target const& target, std::string const& health_path) {
    auto request = std::make_shared<http_request>(boost::beast::http::verb::get, health_path, 11);
    set_field(*request, "Host", to_string(target.address));
    set_field(*request, m_state.dialect.expected_target, target.id);
    target_client::attempt handle;
    m_state.counters.add(counter::status_checks);
    auto const report = m_targets.exchange(target.id, target.address, request,
                                           std::chrono::steady_clock::now() + check_timeout, handle,
                                           exchange_kind::status_check);
    auto const now = std::chrono::steady_clock::now();
    if (report.load) {
        m_state.board.report(target.id, *report.load, now);
        m_state.changes.note(target.id, report.load, false, now);
    } else {
        m_state.board.check_failed(target.id, now);
        log_line(log_level::info, "check_failed")
            .field("target", target.id)
            .field("reason", report.reason)
            .write();
    }
    m_running.erase(target.id);
    m_changed.notify_all();
}

} // namespace pomelospread
