// Structured log lines in key=value or JSON form, written through easylogging++ by a thread of their own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

enum class log_level { debug, info, warning, error };
enum class log_format { key_value, json };

/// One structured line, with its fields in the order of the calls. It is formatted on the calling thread and
/// written by the log thread.
class log_line {
public:
    /// `event` names what happened, for example `target_chosen`.
    log_line(log_level level, std::string_view event);

    log_line& field(std::string_view key, std::string_view value);
    log_line& field(std::string_view key, char const* value) { return field(key, std::string_view(value)); }
    log_line& field(std::string_view key, std::int64_t value);
    log_line& field(std::string_view key, std::uint64_t value);
    log_line& field(std::string_view key, int value) { return field(key, std::int64_t{value}); }

    /// Queues the line. Never waits for the output: when the queue is full, the line is dropped and counted.
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
    /// Starts the thread. Lines below `level` are discarded at the cost of one comparison.
    static void start(log_level level, log_format format);
    /// Limits the lines of each event. The lines beyond the limit are counted and reported as
    /// `log_lines_left_out`.
    static void set_lines_per_second(std::uint32_t value);
    /// Writes every queued line and joins the thread.
    static void stop();

    [[nodiscard]] static log_level level() noexcept;
    [[nodiscard]] static log_format format() noexcept;
    /// Lines dropped because the queue was full, since the start of the process.
    [[nodiscard]] static std::uint64_t dropped_lines() noexcept;
};

/// Parses `debug`, `info`, `warning` or `error`; throws `invalid_input` naming `log_level`.
[[nodiscard]] log_level parse_log_level(std::string_view text);
/// Parses `key_value` or `json`; throws `invalid_input` naming `log_format`.
[[nodiscard]] log_format parse_log_format(std::string_view text);

} // namespace pomelospread
