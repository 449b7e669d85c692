#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "config/manifest.h"
#include "config/settings.h"

#include <fstream>
#include <iterator>

using namespace Yuccagrade;
namespace utf = boost::unit_test;

namespace
{
const std::string header = "[manifest]\nversion = 3\n[domain d]\nregion = r\n[service s]\n[team a]\nrate = 5\nburst = 5\n";

std::string readFile(const std::string &name)
{
    std::ifstream file(std::string(YUCCAGRADE_SOURCE_FOLDER) + '/' + name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Findings of a manifest that consists of the header and @p text.
std::string manifestFindings(const std::string &text)
{
    Findings findings;
    parseManifest(header + text, "m", findings);
    return toText(findings);
}

std::string settingsFindings(const std::string &text)
{
    Findings findings;
    parseSettings(text, "s", findings);
    return toText(findings);
}

const std::string nodeSettings =
    "role = node\nid = n1\ndomain = d\nregion = r\ncaller-address = 127.0.0.1:1\npeer-address = 127.0.0.2:2\n"
    "operator-address = 127.0.0.1:3\nseeds = 127.0.0.1:4, 127.0.0.1:5\nseeds = [::1]:6\n"
    "cluster-secret-file = /c\noperator-secret-file = /o\n";

// Text that often resembles a file of the format, so that the checks behind the line reader are reached.
rc::Gen<std::string> textLike(const FileFormat &format)
{
    std::vector<std::string> words{"\n", " = ", "[", "]\n", "x", "*", "1e9999", "-1", "/a", "yes", "127.0.0.1:1", "\n  ", " ;"};
    for (const Option &option : format.options) {
        words.push_back('\n' + std::string(option.name) + " = ");
        words.push_back("\n[" + std::string(option.section) + " x]\n");
    }
    const auto word = rc::gen::oneOf(rc::gen::elementOf(words), rc::gen::arbitrary<std::string>());
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(word), [](const std::vector<std::string> &parts) {
        std::string text;
        for (const std::string &part : parts) {
            text += part;
        }
        return text;
    });
}
}

// Guards against a check that stops at the first defect, and against wrong lines.
BOOST_AUTO_TEST_CASE(manifestReportsAllFindings)
{
    BOOST_TEST(manifestFindings("[route x]\npath = nowhere\nservice = t\nteams = a, b\nspeed = 1\n[team c]\nrate = -1\nhome-region = q\n[zone z]\n")
               == "m:10: path = 'nowhere': expected /path, or /path/* for a prefix\n"
                  "m:11: [route x]: there is no [service t]\n"
                  "m:12: [route x]: there is no [team b]\n"
                  "m:13: unknown name 'speed' in section [route]\n"
                  "m:14: 'burst' is missing in section [team]\n"
                  "m:15: rate = '-1': expected number from 0.01 to 1000000 requests/s\n"
                  "m:16: [team c]: no domain is in region 'q'\n"
                  "m:17: unknown section [zone z]\n");
}

// Guards against combinations that the layer cannot fulfil, such as an action without a team.
BOOST_AUTO_TEST_CASE(manifestRefusesContradictions)
{
    const std::string route = "[route x]\npath = /x\nservice = s\n";
    BOOST_TEST(manifestFindings(route + "teams = a\n") == "");
    BOOST_TEST(manifestFindings(route).find("'teams' is missing") != std::string::npos);
    BOOST_TEST(manifestFindings(route + "open = yes\naction = yes\n").find("cannot be open") != std::string::npos);
    BOOST_TEST(manifestFindings(route + "teams = *\naction = yes\nidempotent = yes\n").find("cannot be idempotent") != std::string::npos);
    BOOST_TEST(manifestFindings(route + "teams = *\naction = yes\nisolated = serve\n").find("isolated node") != std::string::npos);
    BOOST_TEST(manifestFindings(route + "teams = *\ntimeout-ms = 30000\n").find("above timeout-ceiling-ms") != std::string::npos);
    BOOST_TEST(manifestFindings(route + "teams = *\n[route y]\npath = /x\nservice = s\nteams = *\n").find("same method and path") != std::string::npos);
    BOOST_TEST(manifestFindings("[team a]\nrate = 1\n").find("occurs twice") != std::string::npos);
    BOOST_TEST(manifestFindings("; \xff\n").find("UTF-8") != std::string::npos);
}

// Guards against inih cutting two long section names to the same name.
BOOST_AUTO_TEST_CASE(longSectionNamesAreFindings)
{
    BOOST_TEST(manifestFindings("[service " + std::string(42, 'n') + "]\n").find("longer than 49 bytes") != std::string::npos);
}

// Guards against examples that do not have the size of the deployments or do not parse.
BOOST_AUTO_TEST_CASE(examplesAreValid)
{
    for (const auto &[name, domains] : {std::pair("scambiotech", 3U), std::pair("palnakhi", 4U)}) {
        Findings findings;
        const Manifest manifest = parseManifest(readFile("examples/" + std::string(name) + ".ini"), name, findings);
        BOOST_TEST(toText(findings) == "");
        BOOST_TEST(manifest.domains.size() == domains);
        BOOST_TEST(manifest.services.size() == 4U);
        BOOST_TEST(manifest.teams.size() == 8U);
        Findings again;
        BOOST_TEST((parseManifest(toText(manifest), name, again) == manifest));
        BOOST_TEST(toText(again) == "");
    }
}

// Guards against a writer that loses an option or writes lines that inih cuts.
BOOST_AUTO_TEST_CASE(manifestRoundTrip, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        Manifest manifest;
        manifest.version = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 53);
        manifest.domains = {{"d", "r"}};
        manifest.services = {{"s", *rc::gen::inRange(0, 10'001)}};
        const int teams = *rc::gen::inRange(1, 40);
        RouteSpec route;
        route.name = "x";
        route.method = "POST";
        route.path = "/p/";
        route.prefix = *rc::gen::arbitrary<bool>();
        route.service = "s";
        for (int i = 0; i < teams; ++i) {
            manifest.teams.push_back({"team-" + std::to_string(i), *rc::gen::inRange(1, 1'000'000) / 7.0 + 1, 1.5, 2, i % 2 == 0 ? "r" : ""});
            route.teams.push_back(manifest.teams.back().name);
        }
        route.action = *rc::gen::arbitrary<bool>();
        route.isolatedServe = !route.action;
        route.priority = *rc::gen::element(Priority::Critical, Priority::Normal, Priority::Bulk);
        route.timeoutMs = *rc::gen::inRange(1, 30'000);
        route.timeoutCeilingMs = 30'000;
        RouteSpec open = route;
        open.name = "y";
        open.method = "GET";
        open.open = true;
        open.action = false;
        open.teams.clear();
        manifest.routes = {route, open};
        manifest.limits = {*rc::gen::inRange(0, 11), 120'000};
        Findings findings;
        RC_ASSERT(parseManifest(toText(manifest), "m", findings) == manifest);
        RC_ASSERT(findings.empty());
    }));
}

// Guards against a crash or an endless loop on arbitrary text, and against a valid manifest that cannot be written back.
BOOST_AUTO_TEST_CASE(parsersAcceptArbitraryText, *utf::label("property"))
{
    BOOST_TEST(rc::check([] {
        Findings findings;
        const Manifest manifest = parseManifest(*textLike(manifestFormat()), "m", findings);
        parseManifest(header + *textLike(manifestFormat()), "m", findings);
        RC_ASSERT(!findings.empty() || manifest.version > 0);
        parseSettings(*textLike(settingsFormat()), "s", findings);
        parseSettings(nodeSettings + *textLike(settingsFormat()), "s", findings);
    }));
}

// Guards against wrong defaults of the addresses.
BOOST_AUTO_TEST_CASE(settingsOfNode)
{
    Findings findings;
    const Settings settings = parseSettings(nodeSettings, "s", findings);
    BOOST_TEST(toText(findings) == "");
    BOOST_TEST(settings.seeds.size() == 3U);
    BOOST_TEST(settings.peerAdvertise == "127.0.0.2:2");
    BOOST_TEST(settings.sourceAddress == "127.0.0.2");
}

// Guards against a control host that starts with settings of a node or with a group that lacks it.
BOOST_AUTO_TEST_CASE(settingsAreCheckedForTheRole)
{
    BOOST_TEST(settingsFindings("role = control\nid = c1\ndomain = d\nregion = r\ncaller-address = 1.1.1.1:1\npeer-address = 0.0.0.0:2\n"
                                "operator-address = 127.0.0.1:70000\nmembers = c2=127.0.0.1:4\nmembers = c2=127.0.0.1:4\n"
                                "cluster-secret-file = /c\noperator-secret-file = /o\nlog-level = loud\nport = 7\n")
               == "s:0: 'data-folder' is missing for role control\n"
                  "s:0: peers cannot connect to '0.0.0.0:2'; set peer-advertise to an address of this host\n"
                  "s:5: 'caller-address' is not allowed for role control\n"
                  "s:7: operator-address = '127.0.0.1:70000': expected ip:port, port from 1 to 65535\n"
                  "s:9: id 'c1' of this process is not listed\n"
                  "s:9: 'c2' is listed twice\n"
                  "s:9: '127.0.0.1:4' is listed twice\n"
                  "s:12: log-level = 'loud': expected debug|info|warning|error\n"
                  "s:13: unknown name 'port'\n");
    Findings findings;
    readSettings("no-such-file", findings);
    BOOST_TEST(findings.size() == 1U);
}

// Guards against an event that operators cannot look up, and against rows of events that no longer exist.
BOOST_AUTO_TEST_CASE(eventPageMatchesTheCatalogue)
{
    const std::string page = readFile("docs/EVENTS.md");
    std::size_t rows = 0;
    for (std::size_t position = page.find("\n| "); position != std::string::npos; position = page.find("\n| ", position + 1)) {
        rows += page[position + 3] >= '0' && page[position + 3] <= '9' ? 1 : 0;
    }
    BOOST_TEST(rows == eventCatalogue().size());
    for (const EventInfo &info : eventCatalogue()) {
        const std::string row = "\n| " + std::to_string(static_cast<int>(info.event)) + " | " + std::string(severityName(info.severity)) + " | `"
            + std::string(info.name) + "` | " + std::string(info.text) + " |\n";
        BOOST_TEST(page.find(row) != std::string::npos, "missing or different:" << row);
    }
}

// Guards against a page that differs from what the program accepts.
BOOST_AUTO_TEST_CASE(manifestPageMatchesTheTables)
{
    const std::string page = readFile("docs/MANIFEST.md");
    BOOST_TEST(page.find(markdownRows(manifestFormat())) != std::string::npos);
    BOOST_TEST(page.find(markdownRows(settingsFormat())) != std::string::npos);
}
