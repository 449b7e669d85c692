#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "base/errc.h"
#include "base/eventlog.h"
#include "base/ini.h"
#include "base/metrics.h"
#include "base/secret.h"

#include <sys/stat.h>

#include <cstdio>
#include <fstream>

using namespace Yuccagrade;
namespace utf = boost::unit_test;

// Guards against findings with a wrong line, which would send an operator to the wrong entry.
BOOST_AUTO_TEST_CASE(iniEntriesKeepTheirLines)
{
    Findings findings;
    const auto entries = parseIni("[a]\n; comment\nx = 1\n\n[b]\ny = 2\n", "f.ini", findings);
    BOOST_TEST(findings.empty());
    BOOST_REQUIRE_EQUAL(entries.size(), 2U);
    BOOST_TEST(entries[0].line == 3);
    BOOST_TEST(entries[1].section == "b");
    BOOST_TEST(entries[1].line == 6);
}

// Guards against inih cutting a long line without an error.
BOOST_AUTO_TEST_CASE(overLongIniLineIsAFinding)
{
    Findings findings;
    parseIni("[a]\nx = " + std::string(400, 'v') + "\nno separator\n", "f.ini", findings);
    BOOST_REQUIRE_EQUAL(findings.size(), 2U);
    BOOST_TEST(findings[0].line == 2);
    BOOST_TEST(findings[1].line == 3);
}

// Guards against a crash of the INI reader on arbitrary bytes.
BOOST_AUTO_TEST_CASE(iniReaderAcceptsArbitraryBytes, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::string &text) {
        Findings findings;
        parseIni(text, "f.ini", findings);
    }));
}

// Guards against a codec that loses bytes of keys and MACs.
BOOST_AUTO_TEST_CASE(base64UrlRoundTrip, *utf::label("property"))
{
    BOOST_TEST(rc::check([](const std::string &data) {
        std::string decoded;
        RC_ASSERT(base64UrlDecode(base64UrlEncode(data), decoded));
        RC_ASSERT(decoded == data);
    }));
}

// Guards against a secret that other users of the host can read.
BOOST_AUTO_TEST_CASE(secretFileModeIsChecked)
{
    const std::string path = "basetest-secret";
    std::ofstream(path) << "0123456789abcdef0123\n";
    std::string secret;
    chmod(path.c_str(), 0644);
    BOOST_TEST((readSecretFile(path, secret) == Errc::InsecureFile));
    chmod(path.c_str(), 0600);
    BOOST_TEST(!readSecretFile(path, secret));
    BOOST_TEST(secret == "0123456789abcdef0123");
    std::remove(path.c_str());
}

// Guards against a time line in which an answer stands before its request.
BOOST_AUTO_TEST_CASE(hybridClockOrdersMessages)
{
    Clock slow = Clock::system();
    slow.wall = [] {
        return TimeMs{1000};
    };
    HybridClock clock(slow);
    clock.observe({1500, 3});
    BOOST_TEST((clock.tick() > HybridTime{1500, 3}));
    clock.observe({1000 + 3'600'000, 0});
    BOOST_TEST(clock.tick().wallMs == 1500);
}

// Guards against an event that is written but not described.
BOOST_AUTO_TEST_CASE(catalogueIsSortedAndComplete)
{
    const auto &catalogue = eventCatalogue();
    for (std::size_t i = 1; i < catalogue.size(); ++i) {
        BOOST_TEST((catalogue[i - 1].event < catalogue[i].event));
    }
}

// Guards against quantiles that are far off.
BOOST_AUTO_TEST_CASE(summaryEstimatesQuantiles)
{
    Metrics metrics;
    for (int i = 0; i < 10'000; ++i) {
        metrics.sample("t", (i * 7919) % 10'000);
    }
    const std::string text = metrics.text();
    const auto position = text.find("t{quantile=\"0.99\"} ");
    BOOST_REQUIRE(position != std::string::npos);
    BOOST_TEST(std::stod(text.substr(position + 19)) == 9900.0, boost::test_tools::tolerance(0.02));
}
