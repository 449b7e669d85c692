#include "statuspage.h"

#include "protocol/jsoncodec.h"

#include <algorithm>
#include <sstream>

namespace Yuccagrade
{
bool ProcessStatus::fromJson(const Json::Value &value, ProcessStatus &process)
{
    JsonReader reader(value);
    process.sources = value.isObject() && value["sources"].isString() ? value["sources"].asString() : std::string();
    reader.read("id", process.id).read("role", process.role).read("domain", process.domain);
    return reader.read("index", process.index).read("state", process.state).ok();
}

bool StatusPage::fromJson(const Json::Value &value, StatusPage &page)
{
    Json::Value inForce;
    JsonReader reader(value);
    reader.read("leader", page.leader).read("term", page.term).read("index", page.index).read("manifestVersion", page.manifestVersion);
    reader.read("everywhereIndex", page.everywhereIndex).readList("processes", page.processes).read("inForce", inForce).read("withdrawals", page.withdrawals);
    return reader.ok() && page.withdrawals.isArray() && JsonReader(inForce).read("confirmed", page.confirmed).read("known", page.known).ok();
}

std::uint64_t StatusPage::confirmedIndex(std::uint64_t wanted) const
{
    return std::count_if(processes.begin(), processes.end(), [wanted](const ProcessStatus &process) {
        return process.index >= wanted;
    });
}

bool StatusPage::isWithdrawalDone(const std::string &keyId) const
{
    return std::any_of(withdrawals.begin(), withdrawals.end(), [&](const Json::Value &item) {
        std::string id;
        bool done = false;
        return JsonReader(item).read("keyId", id).read("done", done).ok() && id == keyId && done;
    });
}

std::string StatusPage::text() const
{
    std::ostringstream out;
    out << "leader " << leader << ", term " << term << ", state index " << index << '\n';
    out << "manifest version " << manifestVersion << " in force on " << confirmed << " of " << known << " processes\n";
    for (const Json::Value &item : withdrawals) {
        std::string id;
        bool done = false;
        if (JsonReader(item).read("keyId", id).read("done", done).ok()) {
            out << "withdrawal of key " << id << (done ? " is in force\n" : " is not yet in force everywhere\n");
        }
    }
    for (const ProcessStatus &process : processes) {
        out << process.id << "  " << process.role << "  " << process.domain << "  index " << process.index << "  " << process.state;
        out << "  sources " << (process.sources.empty() ? "unknown" : process.sources) << '\n';
    }
    return out.str();
}
}
