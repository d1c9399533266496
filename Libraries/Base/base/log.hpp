// Structured log lines: key=value or JSON, written by a thread of their own through easylogging++.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

enum class log_level { debug, info, warning, error };
enum class log_format { key_value, json };

/// One structured line; fields keep their order. Built on the calling thread, written by the log thread.
class log_line {
public:
    /// `event` names what happened, for example `target_chosen`.
    log_line(log_level level, std::string_view event);

    log_line& field(std::string_view key, std::string_view value);
    log_line& field(std::string_view key, char const* value) { return field(key, std::string_view(value)); }
    log_line& field(std::string_view key, std::int64_t value);
    log_line& field(std::string_view key, std::uint64_t value);
    log_line& field(std::string_view key, int value) { return field(key, std::int64_t{value}); }

    /// Queues the line. Never blocks: a line that finds the queue full is counted as dropped.
    void write();

private:
    void append_key(std::string_view key);

    log_level m_level;
    bool m_enabled;
    std::string m_text;
};

/// Owns the log thread; one per process. Thread-safe.
class log_writer {
public:
    /// Starts the thread. Lines below `level` cost one comparison.
    static void start(log_level level, log_format format);
    /// Of each event; lines beyond are counted and told as `log_lines_left_out`.
    static void set_lines_per_second(std::uint32_t value);
    /// Writes every queued line and ends the thread.
    static void stop();

    [[nodiscard]] static log_level level() noexcept;
    [[nodiscard]] static log_format format() noexcept;
    /// Lines dropped because the queue was full, since the start.
    [[nodiscard]] static std::uint64_t dropped_lines() noexcept;
};

/// Reads `debug`, `info`, `warning` or `error`; throws `invalid_input` naming `log_level`.
[[nodiscard]] log_level parse_log_level(std::string_view text);
/// Reads `key_value` or `json`; throws `invalid_input` naming `log_format`.
[[nodiscard]] log_format parse_log_format(std::string_view text);

} // namespace pomelospread
