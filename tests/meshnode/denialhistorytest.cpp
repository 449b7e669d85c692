#include <boost/test/unit_test.hpp>

#include "meshnode/denialhistory.h"

using namespace Yuccagrade::Mesh;

namespace
{
std::shared_ptr<const FleetConfig> config(std::uint64_t version, const std::vector<std::string> &prefixes, const std::vector<std::string> &keys)
{
    auto result = std::make_shared<FleetConfig>();
    result->version = version;
    result->services = {{"stock", {}, 0}};
    for (const std::string &prefix : prefixes) {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.prefix = prefix;
        route.timeoutMs = 1'000;
        route.services = {{"stock", 1}};
        result->routes.push_back(route);
    }
    result->teams = {{"red", keys, std::nullopt, 0, 0}};
    Yuccagrade::Findings findings;
    result->index(findings);
    BOOST_REQUIRE(findings.empty());
    return result;
}

Denial denial(const std::string &path, const std::string &key = {})
{
    return {"r", "h", path, key, 1, 0};
}
}

// Guards against a log that cannot tell a denial by an outdated configuration from one of a wrong request.
BOOST_AUTO_TEST_CASE(denialByAnOutdatedConfigurationIsRecognized)
{
    DenialHistory history;
    BOOST_TEST(history.setConfig(config(1, {"/a/"}, {"k1"})).empty());
    history.record(denial("/b/x"));
    history.record(denial("/c/x"));
    history.record(denial("/a/x", "k2"));
    const auto outdated = history.setConfig(config(2, {"/b/"}, {"k2"}));
    BOOST_REQUIRE(outdated.size() == 1U);
    BOOST_TEST(outdated.front().path == "/b/x");
    BOOST_TEST(history.setConfig(config(3, {"/a/", "/b/"}, {"k2"})).size() == 1U);
    BOOST_TEST(history.setConfig(config(4, {"/a/", "/b/"}, {"k2"})).empty());
    BOOST_TEST(history.lastVersionKnowing(denial("/b/y")) == 4U);
    BOOST_TEST(history.lastVersionKnowing(denial("/a/y", "k1")) == 1U);
    BOOST_TEST(history.lastVersionKnowing(denial("/d/y")) == 0U);
    BOOST_TEST(history.lastVersionKnowing(denial("/a/y", noKey)) == 0U);
    auto open = std::make_shared<FleetConfig>(*config(5, {"/a/"}, {}));
    open->teams.clear();
    open->requiresKeys = false;
    history.setConfig(open);
    BOOST_TEST(history.lastVersionKnowing(denial("/a/y", noKey)) == 5U);
    BOOST_TEST(history.lastVersionKnowing(denial("/a/y", "k3")) == 0U);
}
