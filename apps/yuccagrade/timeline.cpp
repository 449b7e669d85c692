#include "timeline.h"

#include "protocol/jsoncodec.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>

namespace Yuccagrade
{
namespace
{
// Later than any process can write; above this the calendar functions may overflow.
constexpr TimeMs maxWallMs = 253'402'300'799'000;

std::string field(const TimelineEvent &event, const std::string &name)
{
    const auto found = event.fields.find(name);
    return found == event.fields.end() ? std::string() : found->second;
}

std::string calendarTime(const HybridTime &time)
{
    const std::time_t seconds = time.wallMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    const std::string fraction = std::to_string(1000 + time.wallMs % 1000).substr(1);
    return buffer.data() + fraction + "Z+" + std::to_string(time.counter);
}
}

Json::Value TimelineEvent::toJson() const
{
    Json::Value value(Json::objectValue);
    for (const auto &[fieldName, fieldValue] : fields) {
        value[fieldName] = fieldValue;
    }
    value["time"] = toText(time);
    value["process"] = process;
    value["event"] = event;
    value["name"] = name;
    return value;
}

std::string TimelineEvent::text() const
{
    std::string line = calendarTime(time) + ' ' + process + " [" + std::to_string(event) + "] " + name;
    for (const auto &[fieldName, fieldValue] : fields) {
        line.append(" ").append(fieldName).append("=").append(fieldValue);
    }
    return line;
}

bool TimelineFilter::matches(const TimelineEvent &candidate) const
{
    const auto accepts = [](const std::string &wanted, const std::string &value) {
        return wanted.empty() || wanted == value;
    };
    const std::string id = field(candidate, "request");
    // Ids of nested calls begin with the id of the call that made them.
    const bool ofRequest = accepts(request, id) || id.starts_with(request + '.');
    return ofRequest && accepts(team, field(candidate, "team")) && accepts(key, field(candidate, "key")) && accepts(version, field(candidate, "version"))
        && accepts(process, candidate.process) && (accepts(event, candidate.name) || event == std::to_string(candidate.event));
}

Timeline::Timeline(TimelineFilter filter)
    : m_filter(std::move(filter))
{
}

void Timeline::add(std::string_view text, const std::string &file, Findings &findings)
{
    int line = 0;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        ++line;
        TimelineEvent event;
        const std::string_view content = text.substr(start, end - start);
        start = end + 1;
        // Parsing costs far more than this search; a line that is cut off still becomes a finding.
        if (!m_filter.request.empty() && content.ends_with('}') && content.find(m_filter.request) == std::string_view::npos) {
            continue;
        }
        if (!parseTimelineEvent(std::string(content.substr(std::min(content.find('{'), content.size()))), event)) {
            findings.push_back({file, line, "not an event; the line is left out"});
        } else if (m_filter.matches(event)) {
            m_events.push_back(std::move(event));
        }
    }
}

std::vector<TimelineEvent> Timeline::merged() const
{
    std::vector<TimelineEvent> events = m_events;
    std::stable_sort(events.begin(), events.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.time, a.process) < std::tie(b.time, b.process);
    });
    return events;
}

bool parseTimelineEvent(const std::string &line, TimelineEvent &event)
{
    Json::Value value;
    std::string time;
    if (!parseJson(line, value)) {
        return false;
    }
    JsonReader reader(value);
    reader.read("time", time).read("process", event.process).read("event", event.event).read("name", event.name);
    if (!reader.ok() || !parseHybridTime(time, event.time) || event.time.wallMs > maxWallMs) {
        return false;
    }
    for (const std::string &name : value.getMemberNames()) {
        if (name != "time" && name != "process" && name != "event" && name != "name") {
            event.fields[name] = value[name].isString() ? value[name].asString() : toText(value[name]);
        }
    }
    return true;
}
}
