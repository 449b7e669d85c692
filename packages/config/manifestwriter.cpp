#include "manifest.h"

#include <charconv>

namespace Yuccagrade
{
namespace
{
// Entries of one section; options that equal their default are left out.
class SectionWriter
{
public:
    SectionWriter(std::string &out, std::string_view kind, const std::string &name = {})
        : m_out(out)
        , m_kind(kind)
    {
        m_out += (m_out.empty() ? "[" : "\n[") + std::string(kind) + (name.empty() ? "" : ' ' + name) + "]\n";
    }

    void put(std::string_view option, std::string_view value)
    {
        const Option *entry = manifestFormat().option(m_kind, option);
        if (entry && (entry->required || entry->fallback != value)) {
            m_out += std::string(option) + " = " + std::string(value) + '\n';
        }
    }

    void put(std::string_view option, std::int64_t value)
    {
        put(option, std::to_string(value));
    }

    void put(std::string_view option, double value)
    {
        char buffer[32];
        const auto end = std::to_chars(buffer, buffer + sizeof buffer, value).ptr;
        put(option, std::string_view(buffer, end - buffer));
    }

    void putFlag(std::string_view option, bool value)
    {
        put(option, value ? "yes" : "no");
    }

private:
    std::string &m_out;
    std::string_view m_kind;
};

void write(std::string &out, const RouteSpec &route)
{
    SectionWriter writer(out, "route", route.name);
    writer.put("method", route.method);
    writer.put("path", route.prefix ? route.path + '*' : route.path);
    writer.put("service", route.service);
    writer.putFlag("open", route.open);
    if (route.allTeams) {
        writer.put("teams", "*");
    }
    // One line per team, since inih limits the length of a line.
    for (const std::string &team : route.teams) {
        writer.put("teams", team);
    }
    writer.put("priority", priorityName(route.priority));
    writer.putFlag("action", route.action);
    writer.putFlag("idempotent", route.idempotent);
    writer.put("timeout-ms", route.timeoutMs);
    writer.put("timeout-ceiling-ms", route.timeoutCeilingMs);
    writer.put("isolated", route.isolatedServe ? "serve" : "refuse");
    writer.putFlag("internal", route.internal);
}

void write(std::string &out, const TeamSpec &team)
{
    SectionWriter writer(out, "team", team.name);
    writer.put("rate", team.rate);
    writer.put("burst", team.burst);
    writer.put("weight", team.weight);
    if (!team.homeRegion.empty()) {
        writer.put("home-region", team.homeRegion);
    }
}
}

std::string toText(const Manifest &manifest)
{
    std::string out;
    SectionWriter(out, "manifest").put("version", static_cast<std::int64_t>(manifest.version));
    for (const DomainSpec &domain : manifest.domains) {
        SectionWriter(out, "domain", domain.name).put("region", domain.region);
    }
    for (const ServiceSpec &service : manifest.services) {
        SectionWriter(out, "service", service.name).put("queue-ms", service.queueMs);
    }
    for (const RouteSpec &route : manifest.routes) {
        write(out, route);
    }
    for (const TeamSpec &team : manifest.teams) {
        write(out, team);
    }
    SectionWriter limits(out, "limits");
    limits.put("retries", static_cast<std::int64_t>(manifest.limits.retries));
    limits.put("claim-window-s", manifest.limits.claimWindowMs / 1000);
    return out;
}
}
