#include "request_explainer.hpp"

#include <algorithm>
#include <array>

namespace pomelospread {

namespace {

std::string text(log_entry const& entry, std::string_view name) {
    return std::string(entry.field(name));
}

std::string describe(log_entry const& entry) {
    if (entry.event == "target_chosen") {
        auto const age = entry.numeric_field("report_age_ms");
        return text(entry, "purpose") + " attempt at " + text(entry, "target") + " of " +
               text(entry, "pool") + ": " + text(entry, "expected_ms") + " ms expected, " +
               text(entry, "left_ms") + " ms left, requests in progress: own " + text(entry, "in_flight") +
               ", other instances' " + text(entry, "others") + ", slowdown " +
               text(entry, "slowdown_percent") + " %, " +
               (age < 0 ? "no load report" : "load report " + text(entry, "report_age_ms") + " ms old") +
               ", tables " + text(entry, "tables") + ", " + text(entry, "candidates") + " candidates";
    }
    if (entry.event == "no_place") {
        return "no permit available at any target of " + text(entry, "pool") + ": " + text(entry, "waiting") +
               " requests wait, a permit is released every " + text(entry, "place_every_ms") + " ms, " +
               text(entry, "in_time_ms") + " ms left for a start on time; decision: " + text(entry, "answer");
    }
    if (entry.event == "try_failed") {
        return "the attempt at " + text(entry, "target") + " failed after " + text(entry, "after_ms") +
               " ms (sent: " + text(entry, "sent") + ", cancelled: " + text(entry, "cancelled") +
               "): " + text(entry, "reason");
    }
    if (entry.event == "request_done") {
        return "responded with status " + text(entry, "status") + " after " + text(entry, "ms") +
               " ms, outcome " + text(entry, "outcome") +
               (entry.field("reason").empty() ? "" : ": " + text(entry, "reason"));
    }
    std::string line = entry.event;
    for (auto const& [name, value] : entry.fields) {
        if (name != "event" && name != "time" && name != "level" && name != "request") {
            line.append(" ").append(name).append("=").append(value);
        }
    }
    return line;
}

bool contains_any(std::string_view text, std::initializer_list<std::string_view> words) {
    return std::ranges::any_of(words, [&](auto word) { return text.find(word) != std::string_view::npos; });
}

} // namespace

void request_explainer::add_entry(log_entry const& entry) {
    if (entry.field("request") == m_request_id) {
        m_entries.push_back(entry);
    } else if (m_entries.empty() && (entry.event == "tables_applied")) {
        m_last_tables_change[entry.source] = entry;
    } else if (m_entries.empty() && (entry.event == "store_lost" || entry.event == "store_regained")) {
        m_last_store_change[entry.source] = entry;
    } else if (entry.event == "log_lines_left_out") {
        m_dropped_lines[entry.source] += static_cast<std::uint64_t>(entry.numeric_field("lines"));
    }
}

std::vector<log_entry> request_explainer::sorted_entries() const {
    auto steps = m_entries;
    std::ranges::stable_sort(steps, {}, &log_entry::time);
    return steps;
}

std::vector<std::string> request_explainer::describe_steps() const {
    std::vector<std::string> lines;
    std::string source;
    for (auto const& step : sorted_entries()) {
        if (step.source != source) {
            source = step.source;
            lines.push_back("at " + source + ":");
            if (auto const tables = m_last_tables_change.find(source); tables != m_last_tables_change.end()) {
                lines.push_back("  " + tables->second.time + "  tables " + text(tables->second, "version") +
                                " in force before the request, from " + text(tables->second, "source"));
            }
            if (auto const store = m_last_store_change.find(source);
                store != m_last_store_change.end() && store->second.event == "store_lost") {
                lines.push_back("  " + store->second.time +
                                "  the store was unreachable: " + text(store->second, "reason"));
            }
        }
        lines.push_back("  " + step.time + "  " + describe(step));
    }
    return lines;
}

std::string request_explainer::cause() const {
    auto const steps = sorted_entries();
    auto const last = [&](std::string_view event) -> log_entry const* {
        auto const found = std::ranges::find(steps.rbegin(), steps.rend(), event, &log_entry::event);
        return found == steps.rend() ? nullptr : &*found;
    };
    auto const* done = last("request_done");
    auto const* chosen = last("target_chosen");
    auto const* failed = last("try_failed");
    if (done == nullptr) {
        auto const source = steps.empty() ? std::string() : steps.back().source;
        auto const dropped_lines = m_dropped_lines.find(source);
        if (dropped_lines != m_dropped_lines.end()) {
            return "unknown: the log of " + source + " left out " + std::to_string(dropped_lines->second) +
                   " lines";
        }
        return "unknown: the instance logged no end of the request; it was killed, could not write its log, "
               "or is still processing the request";
    }
    auto const outcome = done->field("outcome");
    auto const status = done->numeric_field("status");
    if (done->field("caller_gone") == "yes") {
        return "the caller disconnected before the response, after " + text(*done, "ms") + " ms";
    }
    if (outcome == "ran" && status < 500) {
        if (chosen != nullptr && done->numeric_field("ms") > 2 * chosen->numeric_field("expected_ms")) {
            return "answered late: " + text(*done, "target") + " was expected to take " +
                   text(*chosen, "expected_ms") + " ms and the request took " + text(*done, "ms") +
                   " ms; the target was slower than its last report (" + text(*chosen, "report_age_ms") +
                   " ms old) stated";
        }
        return "answered by " + text(*done, "target");
    }
    if (outcome == "ran") {
        return "the target " + text(*done, "target") + " ran the request and answered " +
               text(*done, "status") + " itself";
    }
    if (status == 404) {
        return "no route of tables " + text(*done, "tables") + " matches the request's host and path";
    }
    if (outcome == "not-run") {
        if (auto const* no_permit = last("no_place")) {
            return "refused under load: the targets of " + text(*no_permit, "pool") +
                   " had no permit available, " + text(*no_permit, "waiting") +
                   " requests were waiting and a permit was released every " +
                   text(*no_permit, "place_every_ms") + " ms, too late for this request";
        }
        if (auto const* no_target = last("no_target")) {
            return "refused: " + text(*no_target, "usable") + " targets of " + text(*no_target, "pool") +
                   " were usable";
        }
        return "refused before any target ran the request: " + text(*done, "reason");
    }
    if (failed == nullptr) {
        return "no response from " + (chosen == nullptr ? "any target" : text(*chosen, "target")) +
               " within the " + (chosen == nullptr ? std::string() : text(*chosen, "left_ms") + " ms of ") +
               "remaining time; the target was slow, frozen or cut off";
    }
    auto const reason = failed->field("reason");
    if (contains_any(reason, {"no connection", "connecting"})) {
        return text(*failed, "target") + " could not be connected to: it was gone or cut off (" +
               std::string(reason) + ")";
    }
    if (contains_any(reason, {"time", "canceled"})) {
        return text(*failed, "target") + " took the request and gave no answer in " +
               text(*failed, "after_ms") + " ms" +
               (chosen == nullptr ? "" : ", where " + text(*chosen, "expected_ms") + " ms were expected") +
               ": slow, frozen or cut off";
    }
    return text(*failed, "target") + " failed the exchange after " + text(*failed, "after_ms") +
           " ms: " + std::string(reason);
}

} // namespace pomelospread
