#pragma once

#include "base/eventlog.h"
#include "base/finding.h"

#include <json/json.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Yuccagrade
{
/// One line of an event file.
struct TimelineEvent {
    HybridTime time;
    std::string process;
    int event = 0;
    std::string name;
    std::map<std::string, std::string> fields;

    Json::Value toJson() const;
    std::string text() const;
};

/// What to show; an empty text matches everything.
struct TimelineFilter {
    std::string request; ///< also matches the nested calls of the request
    std::string team;
    std::string key; ///< key id
    std::string version;
    std::string event; ///< number or name
    std::string process;

    bool matches(const TimelineEvent &event) const;
};

/// Event files of many processes in one order: by hybrid time, then process, then place in the file.
class Timeline
{
public:
    explicit Timeline(TimelineFilter filter);
    /// Adds the matching events of one file. What a log collector put before the object of a line is skipped. Malformed lines
    /// become findings and are left out; whole lines without the wanted request id are not
    /// examined.
    void add(std::string_view text, const std::string &file, Findings &findings);
    /// Returns the events in order.
    std::vector<TimelineEvent> merged() const;

private:
    TimelineFilter m_filter;
    std::vector<TimelineEvent> m_events;
};

/// Parses one line. Returns false on a malformed line.
bool parseTimelineEvent(const std::string &line, TimelineEvent &event);
}
