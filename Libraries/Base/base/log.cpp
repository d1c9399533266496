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
/// Of one event. Two lines a request take about a hundredth of a fifth of a core at this rate.
constexpr std::uint32_t default_lines_per_second = 500;
/// Longest wait for lines, so that counts of lines left out are told although nothing else is written.
constexpr auto report_interval = std::chrono::seconds(1);

struct queued_line {
    log_level level;
    std::string text;
};

struct log_state {
    std::atomic<log_level> level{log_level::info};
    std::atomic<log_format> format{log_format::key_value};
    std::atomic<std::uint64_t> dropped{0};
    log_rate_limiter budget{default_lines_per_second};
    std::atomic<bool> running{false};
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<queued_line> queue;
    std::thread thread;
};

log_state& state() {
    static log_state s_state;
    return s_state;
}

void write_through_library(queued_line const& line) {
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
    auto& self = state();
    std::vector<queued_line> batch;
    std::uint64_t reported_drops = 0;
    for (;;) {
        {
            std::unique_lock lock(self.mutex);
            self.wake.wait_for(lock, report_interval, [&] { return !self.queue.empty() || !self.running; });
            if (self.queue.empty() && !self.running) {
                return;
            }
            batch.swap(self.queue);
        }
        for (auto const& line : batch) {
            write_through_library(line);
        }
        batch.clear();
        auto const drops = self.dropped.load();
        if (drops != reported_drops) {
            log_line(log_level::warning, "log_lines_dropped").field("total", drops).write();
            reported_drops = drops;
        }
        self.budget.report_suppressed(std::chrono::steady_clock::now(),
                                      [](std::string_view event, std::uint64_t lines) {
                                          log_line(log_level::warning, "log_lines_left_out")
                                              .field("of", event)
                                              .field("lines", lines)
                                              .write();
                                      });
        // A short sleep turns many wake-ups into one batch, so that a busy request path pays no wake-up.
        if (self.running) {
            std::this_thread::sleep_for(batch_interval);
        }
    }
}

void append_escaped(std::string& text, std::string_view value) {
    constexpr std::string_view digits = "0123456789abcdef";
    for (char const c : value) {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (byte < 0x20) {
            text += "\\u00";
            text += digits[byte >> 4U];
            text += digits[byte & 0xFU];
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
                                state().budget.admit(event, std::chrono::steady_clock::now())) {
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
    auto& writer = state();
    bool was_empty = false;
    {
        std::lock_guard const lock(writer.mutex);
        if (writer.queue.size() >= queue_capacity_lines) {
            writer.dropped.fetch_add(1);
            return;
        }
        was_empty = writer.queue.empty();
        writer.queue.push_back({m_level, std::move(m_text)});
    }
    if (was_empty) {
        writer.wake.notify_one();
    }
}

void log_writer::start(log_level level, log_format format) {
    auto& self = state();
    self.level = level;
    self.format = format;
    el::Configurations configuration;
    configuration.setToDefault();
    bool const json = format == log_format::json;
    configuration.setGlobally(el::ConfigurationType::Format,
                              json ? R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}","level":"%level",%msg)"
                                   : "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    self.running = true;
    self.thread = std::thread(run_writer);
}

void log_writer::stop() {
    auto& self = state();
    {
        std::lock_guard const lock(self.mutex);
        self.running = false;
    }
    self.wake.notify_one();
    if (self.thread.joinable()) {
        self.thread.join();
    }
}

void log_writer::set_lines_per_second(std::uint32_t value) {
    state().budget.set_lines_per_second(value);
}

log_level log_writer::level() noexcept {
    return state().level.load(std::memory_order_relaxed);
}

log_format log_writer::format() noexcept {
    return state().format.load(std::memory_order_relaxed);
}

std::uint64_t log_writer::dropped_lines() noexcept {
    return state().dropped.load();
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
