#include "base/log.hpp"

#include "base/errors.hpp"
#include "base/log_rate_limiter.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace pomelospread {

namespace {

constexpr std::size_t queue_capacity_lines = 65536;
constexpr auto batch_interval = std::chrono::milliseconds(20);
/// Limit for each event. At this rate, two lines per request use about 0.2 % of a core.
constexpr std::uint32_t default_lines_per_second = 500;
/// The log thread wakes at least this often, so that suppressed lines are reported even when no other line is
/// written.
constexpr auto report_interval = std::chrono::seconds(1);

struct queued_line {
    log_level level;
    std::string text;
};

struct process_log_state {
    std::atomic<log_level> level{log_level::info};
    std::atomic<log_format> format{log_format::key_value};
    std::atomic<std::uint64_t> dropped{0};
    log_rate_limiter rate_limiter{default_lines_per_second};
    std::atomic<bool> running{false};
    std::mutex mutex;
    std::condition_variable wake_up;
    std::vector<queued_line> queue;
    std::thread thread;
};

process_log_state& process_log() {
    static process_log_state s_log;
    return s_log;
}

void write_to_easylogging(queued_line const& line) {
    switch (line.level) {
    case log_level::debug:
        LOG(DEBUG) << line.text;
        break;
    case log_level::info:
        LOG(INFO) << line.text;
        break;
    case log_level::warning:
        LOG(WARNING) << line.text;
        break;
    case log_level::error:
        LOG(ERROR) << line.text;
        break;
    }
}

void run_writer() {
    auto& log = process_log();
    std::vector<queued_line> batch;
    std::uint64_t reported_dropped_lines = 0;
    for (;;) {
        {
            std::unique_lock lock(log.mutex);
            log.wake_up.wait_for(lock, report_interval, [&] { return !log.queue.empty() || !log.running; });
            if (log.queue.empty() && !log.running) {
                return;
            }
            batch.swap(log.queue);
        }
        for (auto const& line : batch) {
            write_to_easylogging(line);
        }
        batch.clear();
        auto const dropped_lines = log.dropped.load();
        if (dropped_lines != reported_dropped_lines) {
            log_line(log_level::warning, "log_lines_dropped").field("total", dropped_lines).write();
            reported_dropped_lines = dropped_lines;
        }
        log.rate_limiter.report_suppressed(std::chrono::steady_clock::now(),
                                           [](std::string_view event, std::uint64_t lines) {
                                               log_line(log_level::warning, "log_lines_left_out")
                                                   .field("of", event)
                                                   .field("lines", lines)
                                                   .write();
                                           });
        // Collects the lines of this interval for one batch. While the log thread sleeps, no thread waits for
        // the notification, so that a busy request path does not pay for wake-ups.
        if (log.running) {
            std::this_thread::sleep_for(batch_interval);
        }
    }
}

void append_escaped(std::string& text, std::string_view value) {
    constexpr std::string_view hex_digits = "0123456789abcdef";
    for (char const c : value) {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (byte < 0x20) {
            text += "\\u00";
            text += hex_digits[byte >> 4U];
            text += hex_digits[byte & 0xFU];
        } else {
            text += c;
        }
    }
}

bool needs_quotes(std::string_view value) {
    return value.empty() || std::ranges::any_of(value, [](char c) {
               return c == ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) < 0x20;
           });
}

} // namespace

log_line::log_line(log_level level, std::string_view event)
    : m_level(level), m_enabled(level >= log_writer::level() &&
                                process_log().rate_limiter.admit(event, std::chrono::steady_clock::now())) {
    if (!m_enabled) {
        return;
    }
    m_text.reserve(256);
    field("event", event);
}

void log_line::append_key(std::string_view key) {
    if (log_writer::format() == log_format::json) {
        if (!m_text.empty()) {
            m_text += ',';
        }
        m_text += '"';
        m_text += key;
        m_text += "\":";
        return;
    }
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
}

log_line& log_line::field(std::string_view key, std::string_view value) {
    if (!m_enabled) {
        return *this;
    }
    append_key(key);
    bool const quoted = log_writer::format() == log_format::json || needs_quotes(value);
    if (quoted) {
        m_text += '"';
    }
    append_escaped(m_text, value);
    if (quoted) {
        m_text += '"';
    }
    return *this;
}

log_line& log_line::field(std::string_view key, std::int64_t value) {
    if (m_enabled) {
        append_key(key);
        m_text += std::to_string(value);
    }
    return *this;
}

log_line& log_line::field(std::string_view key, std::uint64_t value) {
    if (m_enabled) {
        append_key(key);
        m_text += std::to_string(value);
    }
    return *this;
}

void log_line::write() {
    if (!m_enabled) {
        return;
    }
    if (log_writer::format() == log_format::json) {
        m_text += '}';
    }
    auto& log = process_log();
    bool was_empty = false;
    {
        std::lock_guard const lock(log.mutex);
        if (log.queue.size() >= queue_capacity_lines) {
            log.dropped.fetch_add(1);
            return;
        }
        was_empty = log.queue.empty();
        log.queue.push_back({m_level, std::move(m_text)});
    }
    if (was_empty) {
        log.wake_up.notify_one();
    }
}

void log_writer::start(log_level level, log_format format) {
    auto& log = process_log();
    log.level = level;
    log.format = format;
    el::Configurations configuration;
    configuration.setToDefault();
    bool const json = format == log_format::json;
    configuration.setGlobally(el::ConfigurationType::Format,
                              json ? R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}","level":"%level",%msg)"
                                   : "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    log.running = true;
    log.thread = std::thread(run_writer);
}

void log_writer::stop() {
    auto& log = process_log();
    {
        std::lock_guard const lock(log.mutex);
        log.running = false;
    }
    log.wake_up.notify_one();
    if (log.thread.joinable()) {
        log.thread.join();
    }
}

void log_writer::set_lines_per_second(std::uint32_t value) {
    process_log().rate_limiter.set_lines_per_second(value);
}

log_level log_writer::level() noexcept {
    return process_log().level.load(std::memory_order_relaxed);
}

log_format log_writer::format() noexcept {
    return process_log().format.load(std::memory_order_relaxed);
}

std::uint64_t log_writer::dropped_lines() noexcept {
    return process_log().dropped.load();
}

log_level parse_log_level(std::string_view text) {
    constexpr std::array<std::pair<std::string_view, log_level>, 4> names{{{"debug", log_level::debug},
                                                                           {"info", log_level::info},
                                                                           {"warning", log_level::warning},
                                                                           {"error", log_level::error}}};
    for (auto const& [name, level] : names) {
        if (name == text) {
            return level;
        }
    }
    throw invalid_input({{.field = "log_level",
                          .problem = "\"" + std::string(text) + "\" is not a level",
                          .allowed = "debug, info, warning, error"}});
}

log_format parse_log_format(std::string_view text) {
    if (text == "key_value") {
        return log_format::key_value;
    }
    if (text == "json") {
        return log_format::json;
    }
    throw invalid_input({{.field = "log_format",
                          .problem = "\"" + std::string(text) + "\" is not a format",
                          .allowed = "key_value, json"}});
}

} // namespace pomelospread
