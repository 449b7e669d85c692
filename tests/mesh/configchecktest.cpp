#include <boost/test/unit_test.hpp>

#include "mesh/configcheck.h"

#include <algorithm>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;

namespace
{
FleetConfig soundConfig()
{
    FleetConfig config;
    config.version = 7;
    config.services = {{"stock", "/health", 10}, {"orders", "/health", 10, 3'000, 13}};
    config.routes = {{.name = "stock", .host = "a.example", .prefix = "/s/", .timeoutMs = 1'000, .latencyGoalMs = 500, .services = {{"stock", 1}}},
                     {.name = "all", .host = "a.example", .prefix = "/", .timeoutMs = 1'000, .latencyGoalMs = 500, .services = {{"stock", 3}, {"orders", 1}}}};
    config.teams = {{"red", {"key-1", "key-2"}, std::nullopt, 10, 10}};
    return config;
}

ConfigRemarks remarksOf(FleetConfig config)
{
    Findings findings;
    config.index(findings);
    return checkConfig(config, findings);
}

bool contains(const ConfigRemarks &remarks, RemarkKind kind, const std::string &subject, const std::string &message)
{
    return std::any_of(remarks.begin(), remarks.end(), [&](const ConfigRemark &remark) {
        return remark.kind == kind && remark.subject == subject && remark.message.find(message) != std::string::npos;
    });
}

bool warns(const FleetConfig &config, const std::string &subject, const std::string &message)
{
    const ConfigRemarks remarks = remarksOf(config);
    return remarks.size() == 1 && contains(remarks, RemarkKind::Warning, subject, message);
}
}

// Guards against warnings of a sound configuration, such as one where a longer prefix is covered by a shorter one.
BOOST_AUTO_TEST_CASE(soundConfigurationHasNoRemarks)
{
    BOOST_TEST(remarksOf(soundConfig()).empty());
}

// Guards against an entry without effect or a contradiction that the check does not report.
BOOST_AUTO_TEST_CASE(eachWarningIsReported)
{
    const auto changed = [](const auto &change) {
        FleetConfig config = soundConfig();
        change(config);
        return config;
    };
    const auto route = [&](const auto &change) {
        return changed([&](FleetConfig &config) {
            change(config.routes.front());
        });
    };
    const auto team = [&](const auto &change) {
        return changed([&](FleetConfig &config) {
            change(config.teams.front());
        });
    };
    BOOST_TEST(warns(route([](Route &item) {
                         item.prefix = "/s?x=1/";
                     }),
                     "route stock",
                     "no path has"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.prefix = "/s x/";
                     }),
                     "route stock",
                     "no path has"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.host = "http://a.example";
                     }),
                     "route stock",
                     "no host name has"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.prefix = '/' + std::string(16'384, 'x') + '/';
                     }),
                     "route stock",
                     "longer than the header"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.latencyGoalMs = 1'001;
                     }),
                     "route stock",
                     "above its time limit"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.services = {{"stock", 1}, {"orders", 0}};
                     }),
                     "route stock",
                     "weight is 0"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.services = {{"stock", 1}, {"stock", 1}};
                     }),
                     "route stock",
                     "service stock more than once"));
    BOOST_TEST(warns(route([](Route &item) {
                         item.name = "all";
                     }),
                     "route all",
                     "more than once"));
    BOOST_TEST(warns(team([](Team &item) {
                         item.keys.clear();
                     }),
                     "team red",
                     "no keys"));
    BOOST_TEST(warns(team([](Team &item) {
                         item.keys.push_back("key-1");
                     }),
                     "team red",
                     "repeats 1"));
    BOOST_TEST(warns(team([](Team &item) {
                         item.burst = 0;
                     }),
                     "team red",
                     "less than one request"));
    BOOST_TEST(warns(team([](Team &item) {
                         item.burst = 0.5;
                     }),
                     "team red",
                     "less than one request"));
    BOOST_TEST(warns(team([](Team &item) {
                         item.ratePerS = 0;
                     }),
                     "team red",
                     "no rate limit"));
    BOOST_TEST(warns(changed([](FleetConfig &config) {
                         config.services.push_back({"new", "/health", 1});
                     }),
                     "service new",
                     "not used"));
    BOOST_TEST(warns(changed([](FleetConfig &config) {
                         config.services[1].warmUpMs = 0;
                     }),
                     "service orders",
                     "no warm-up time"));
    BOOST_TEST(warns(changed([](FleetConfig &config) {
                         config.limits.headerTimeoutMs = 20'000;
                     }),
                     "limits",
                     "idle"));
    BOOST_TEST(warns(changed([](FleetConfig &config) {
                         config.routes.front().regions = {"alps"};
                         config.teams.front().regions = {"nordic"};
                     }),
                     "route stock",
                     "every request of red"));
    // Requests to a route without keys belong to no team.
    BOOST_TEST(remarksOf(changed([](FleetConfig &config) {
                   config.routes.front().regions = {"alps"};
                   config.routes.front().open = true;
                   config.teams.front().regions = {"nordic"};
               })).empty());
}

// Guards against a check that stops at the first remark, or that hides what the control hosts refuse.
BOOST_AUTO_TEST_CASE(errorsAndWarningsAreReportedTogether)
{
    FleetConfig config = soundConfig();
    config.routes[0].prefix = "/";
    config.routes[1].timeoutMs = 0;
    config.teams[0].keys.clear();
    const ConfigRemarks remarks = remarksOf(config);
    BOOST_TEST(contains(remarks, RemarkKind::Error, "route all", "has the host and prefix of route stock"));
    BOOST_TEST(contains(remarks, RemarkKind::Error, "route all", "time limit above 0"));
    BOOST_TEST(contains(remarks, RemarkKind::Warning, "team red", "no keys"));
}

// Guards against a change that the comparison leaves out, and against keys in its output.
BOOST_AUTO_TEST_CASE(comparisonListsEachChange)
{
    const FleetConfig before = soundConfig();
    FleetConfig after = before;
    after.version = 8;
    BOOST_TEST(compareConfigs(after, before).empty());
    after.version = 7;
    after.routes[0].timeoutMs = 2'000;
    after.routes[0].regions = {"alps"};
    after.routes[1].name = "any";
    after.services[1].coldRatePerS = 14;
    after.services.push_back({"new", "/health", 1});
    after.teams[0].keys = {"key-2", "key-3", "key-4"};
    after.teams[0].ratePerS = 20;
    after.limits.maxBodyBytes = 1'000;
    const ConfigRemarks remarks = compareConfigs(after, before);
    const auto differs = [&](const std::string &subject, const std::string &message) {
        return contains(remarks, RemarkKind::Difference, subject, message);
    };
    BOOST_TEST(contains(remarks, RemarkKind::Warning, "document", "not higher"));
    BOOST_TEST(differs("route stock", "time limit changed from 1000 ms to 2000 ms"));
    BOOST_TEST(differs("route stock", "regions changed from none to alps"));
    BOOST_TEST(differs("route any", "added"));
    BOOST_TEST(differs("route all", "removed"));
    BOOST_TEST(differs("service orders", "cold rate changed from 13/s to 14/s"));
    BOOST_TEST(differs("service new", "added"));
    BOOST_TEST(differs("team red", "2 keys added, 1 withdrawn"));
    BOOST_TEST(differs("team red", "rate changed from 10/s to 20/s"));
    BOOST_TEST(differs("limits", "body bytes changed from 67108864 to 1000"));
    BOOST_TEST(remarks.size() == 10U);
    BOOST_TEST(std::none_of(remarks.begin(), remarks.end(), [](const ConfigRemark &remark) {
        return remark.message.find("key-") != std::string::npos;
    }));
}

// Guards against a list of teams that is left out unnoticed, after which requests need no key.
BOOST_AUTO_TEST_CASE(comparisonNamesTheLossOfAllKeys)
{
    const FleetConfig before = soundConfig();
    FleetConfig after = before;
    after.version = before.version + 1;
    after.teams.clear();
    BOOST_TEST(!contains(compareConfigs(after, before), RemarkKind::Warning, "document", "requests need no key"));
    after.requiresKeys = false;
    BOOST_TEST(contains(compareConfigs(after, before), RemarkKind::Warning, "document", "requests need no key"));
    FleetConfig again = before;
    again.version = after.version + 1;
    BOOST_TEST(contains(compareConfigs(again, after), RemarkKind::Difference, "document", "requests need a key"));
}
