#include <boost/test/unit_test.hpp>

#include "platform/protocoladapter.h"

#include <rapidcheck.h>

using namespace Yuccagrade;
using namespace Yuccagrade::Mesh;
namespace utf = boost::unit_test;

namespace
{
const std::string document = R"({"version":"0000001f","routes":[
 {"name":"r-1","host":"a.example","pathPrefix":"/p/","routeType":"safe","timeoutS":1.2,"targetLatencyS":2,"priority":2,
  "weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":false},
 {"name":"r-2","host":"b.example","pathPrefix":"/q/","routeType":"unsafe","timeoutS":1.5,"targetLatencyS":2,"priority":0,
  "service":"s2","maxAttempts":2,"public":true}],
 "services":[{"name":"s1","healthCheck":"/healthz","maxConnections":370,"protocol":"h1","tls":false},
  {"name":"s2","healthCheck":"/healthz","maxConnections":550,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"ratePerS":73,"burst":70}]})";

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    const auto at = text.find(what);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), with);
}

std::size_t findingsOf(const std::string &text)
{
    FleetConfig config;
    Findings findings;
    Platform::readDocument(text, config, findings);
    return findings.size();
}

HttpMessage heartbeat(const std::string &body, const std::string &target = "/Instances.Heartbeat/i-7f")
{
    HttpMessage message;
    message.method = "POST";
    message.target = target;
    message.body = body;
    return message;
}

const std::string heartbeatBody = R"({"address":"10.128.0.9:8080","born":1782481240028,"info":{"service":"s1","version":"v1","zone":"z","slots":72},)"
                                  R"("status":{"state":"ready","sequence":4,"coldRemainingS":1.5}})";
}

// Guards against misread units and member names.
BOOST_AUTO_TEST_CASE(recordedDocumentIsRead)
{
    FleetConfig config;
    Findings findings;
    Platform::readDocument(document, config, findings);
    BOOST_REQUIRE_MESSAGE(findings.empty(), toText(findings));
    BOOST_TEST(config.version == 0x1fU);
    const Route *route = config.route("a.example", "/p/x");
    BOOST_REQUIRE(route);
    BOOST_TEST(route->timeoutMs == 1'200);
    BOOST_TEST(route->latencyGoalMs == 2'000);
    BOOST_TEST((route->repeatability == Repeatability::Idempotent));
    BOOST_TEST(route->services.at(1).weight == 10);
    BOOST_TEST((config.route("b.example", "/q/")->repeatability == Repeatability::AtMostOnce));
    BOOST_TEST(config.route("b.example", "/q/")->open);
    BOOST_TEST(config.teamOfKey("k2")->ratePerS == 73);
    BOOST_TEST(config.limits.idleTimeoutMs == 15'000);
    BOOST_TEST(config.service("s1")->maxConnections == 370);
}

// Guards against an empty list of teams that is read as a missing one, after which requests need no key.
BOOST_AUTO_TEST_CASE(onlyAMissingListOfTeamsWaivesKeys)
{
    const auto requiresKeys = [](const std::string &text) {
        FleetConfig config;
        Findings findings;
        Platform::readDocument(text, config, findings);
        BOOST_REQUIRE_MESSAGE(findings.empty(), toText(findings));
        return config.requiresKeys;
    };
    const std::string teams = document.substr(document.find(R"("tenants")"));
    BOOST_TEST(requiresKeys(document));
    BOOST_TEST(requiresKeys(replaced(document, teams, R"("tenants":[]})")));
    BOOST_TEST(requiresKeys(replaced(document, R"("apiKeys":["k1","k2"],)", "")));
    BOOST_TEST(!requiresKeys(replaced(document, ",\n " + teams, "}")));
    for (const std::string value : {"null", "{}", "\"\"", "0", "false"}) {
        BOOST_TEST(findingsOf(replaced(document, teams, R"("tenants":)" + value + '}')) == 1U, value);
    }
}

// Guards against a configuration that is refused for a download route, and against cold limits and regions that are dropped.
BOOST_AUTO_TEST_CASE(downloadsColdLimitsAndRegionsAreRead)
{
    std::string text = replaced(document, R"("safe","timeoutS":1.2)", R"("download","allowedRegions":["north"],"timeoutS":1.2)");
    text = replaced(text, R"("maxConnections":370)", R"("maxConnections":370,"coldStartS":3.0,"coldPerS":13.0)");
    text = replaced(text, R"("burst":70)", R"("burst":70,"allowedRegions":["south"])");
    FleetConfig config;
    Findings findings;
    Platform::readDocument(text, config, findings);
    BOOST_REQUIRE_MESSAGE(findings.empty(), toText(findings));
    BOOST_TEST((config.route("a.example", "/p/x")->repeatability == Repeatability::Idempotent));
    BOOST_TEST(config.route("a.example", "/p/x")->regions == std::vector<std::string>{"north"}, boost::test_tools::per_element());
    BOOST_TEST(config.service("s1")->warmUpMs == 3'000);
    BOOST_TEST(config.service("s1")->coldRatePerS == 13);
    BOOST_TEST(config.service("s2")->coldRatePerS == 0);
    BOOST_TEST(config.teamOfKey("k1")->regions == std::vector<std::string>{"south"}, boost::test_tools::per_element());
    BOOST_TEST(findingsOf(replaced(text, R"(["north"])", "[7]")) == 1U);
}

// Guards against a work time that is ignored, and against a false one that excludes a server for good.
BOOST_AUTO_TEST_CASE(loadFieldIsReadWithAndWithoutTheWorkTime)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    const auto load = [&adapter](const std::string &text) {
        HttpMessage message;
        message.status = 200;
        message.fields = {{"X-Yuccagrade-Server-Load", text}, {"X-Yuccagrade-Cold-Ms", "1500"}};
        const UpstreamAnswer answer = adapter.readAnswer(message);
        BOOST_TEST(answer.coldLeftMs.value_or(0) == 1'500);
        return answer.load;
    };
    BOOST_TEST(load("3,1,8,250")->workTimeFactor == 2.5);
    BOOST_TEST(load("3,1,8,250")->busy == 4);
    BOOST_TEST(load("3,1,8")->workTimeFactor == 1);
    BOOST_TEST(load("3,1,8,-5")->workTimeFactor == 1);
    BOOST_TEST(load("3,1,8,999999999")->workTimeFactor == 20);
    BOOST_TEST(!load("3,1"));
    BOOST_TEST(!load("2000000000,2000000000,8"));
}

// Guards against calls of one request that are ranked differently, because the ids of nested calls are not taken apart.
BOOST_AUTO_TEST_CASE(nestedCallsNameTheirRequest)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    const auto read = [&adapter](const std::string &id) {
        HttpMessage message;
        message.fields = {{"X-Yuccagrade-Request-Id", id}};
        return adapter.readRequest(message);
    };
    BOOST_TEST(read("a1").parentId.empty());
    BOOST_TEST(read("a1").treeId == "a1");
    BOOST_TEST(read("a1.b2").parentId == "a1");
    BOOST_TEST(read("a1.b2.c3").parentId == "a1.b2");
    BOOST_TEST(read("a1.b2.c3").treeId == "a1");
}

// Guards against orders for a domain that are taken for other calls.
BOOST_AUTO_TEST_CASE(evacuationOrdersAreRead)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    BOOST_TEST((adapter.readOperatorCall(heartbeat("", "/Evacuations.Start/milano-a")).kind == OperatorCall::Kind::StartEvacuation));
    BOOST_TEST(adapter.readOperatorCall(heartbeat("", "/Evacuations.Start/milano-a")).domain == "milano-a");
    BOOST_TEST((adapter.readOperatorCall(heartbeat("", "/Evacuations.End/milano-a")).kind == OperatorCall::Kind::EndEvacuation));
    BOOST_TEST((adapter.readOperatorCall(heartbeat("", "/Evacuations.Other/milano-a")).kind == OperatorCall::Kind::Unknown));
}

// Guards against accepting an invalid configuration.
BOOST_AUTO_TEST_CASE(invalidDocumentsAreRefused)
{
    BOOST_TEST(findingsOf(document.substr(0, document.size() / 2)) == 1U);
    BOOST_TEST(findingsOf(document + "x") == 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"service\":\"s2\",\"maxA", "\"service\":\"s9\",\"maxA")) == 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"timeoutS\":1.2", "\"timeoutS\":0")) == 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"unsafe\"", "\"odd\"")) == 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"targetLatencyS\":2,", "\"targetLatencyS\":62,")) == 1U);
    BOOST_TEST(findingsOf(replaced(document, "0000001f", "1f")) == 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"weight\":90", "\"weight\":\"90\"")) >= 1U);
    BOOST_TEST(findingsOf(replaced(document, "\"routes\":[", "\"routen\":[")) >= 1U);
    BOOST_TEST(findingsOf("[]") == 1U);
}

// Guards against an empty or null member that is read as a missing one, and so lifts a limit or sends requests elsewhere.
BOOST_AUTO_TEST_CASE(emptyAndNullMembersAreNoMissingOnes)
{
    const std::string single = R"("service":"s2","maxAttempts")";
    const std::string parts = R"("weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}])";
    const std::vector<std::pair<std::string, std::string>> changes = {
        {parts, R"("service":"s1","weightedServices":[])"},
        {parts, R"("service":"s1","weightedServices":null)"},
        {parts, R"("service":"s1","weightedServices":{})"},
        {single, R"("service":"s2","allowedRegions":[],"maxAttempts")"},
        {single, R"("service":"s2","allowedRegions":null,"maxAttempts")"},
        {single, R"("service":"s2","allowedRegions":[""],"maxAttempts")"},
        {R"("burst":70)", R"("burst":70,"allowedRegions":[])"},
        {R"("ratePerS":73)", R"("ratePerS":null)"},
        {R"("burst":70)", R"("burst":null)"},
        {R"("priority":1)", R"("priority":null)"},
        {R"("apiKeys":["k1","k2"])", R"("apiKeys":null)"},
        {R"("apiKeys":["k1","k2"])", R"("apiKeys":[""])"},
        {R"("maxAttempts":2,"public":false)", R"("maxAttempts":null,"public":false)"},
        {R"("public":false)", R"("public":null)"},
        {R"("public":false)", R"("public":"false")"},
        {R"("maxConnections":370)", R"("maxConnections":null)"},
        {R"("healthCheck":"/healthz","maxConnections":370)", R"("healthCheck":null,"maxConnections":370)"},
        {R"("maxBodyBytes":67108864)", R"("maxBodyBytes":null)"},
        {R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15})", R"("limits":null)"},
    };
    for (const auto &[present, changed] : changes) {
        BOOST_TEST(findingsOf(replaced(document, present, changed)) >= 1U, changed);
    }
    // Left out, each of them has a meaning of its own.
    BOOST_TEST(findingsOf(replaced(document, R"("ratePerS":73,"burst":70)", R"("burst":70)")) == 0U);
    BOOST_TEST(findingsOf(replaced(document, R"("priority":1,)", "")) == 0U);
    BOOST_TEST(findingsOf(replaced(document, R"("maxAttempts":2,"public":false)", R"("maxAttempts":2)")) == 0U);
    BOOST_TEST(findingsOf(replaced(document, R"("healthCheck":"/healthz","maxConnections":370)", R"("coldPerS":0)")) == 0U);
}

// Guards against time limits and sizes that turn negative because a number in a configuration is too large.
BOOST_AUTO_TEST_CASE(hugeNumbersOfADocumentAreBounded)
{
    for (const std::string number : {"1e300", "99999999999999999999", "1e18"}) {
        std::string text = replaced(document, "\"timeoutS\":1.2", std::string("\"timeoutS\":").append(number));
        text = replaced(text, "\"maxBodyBytes\":67108864", std::string("\"maxBodyBytes\":").append(number));
        text = replaced(text, "\"maxConnections\":370", std::string("\"maxConnections\":").append(number));
        FleetConfig config;
        Findings findings;
        Platform::readDocument(text, config, findings);
        BOOST_REQUIRE_MESSAGE(findings.empty(), toText(findings));
        BOOST_TEST(config.route("a.example", "/p/x")->timeoutMs > 1'000'000, number);
        BOOST_TEST(config.limits.maxBodyBytes > 1'000'000U, number);
        BOOST_TEST(config.service("s1")->maxConnections > 1'000'000, number);
    }
}

// Guards against a crash on malformed documents and announcements.
BOOST_AUTO_TEST_CASE(cutAndChangedInputNeverThrows, *utf::label("property"))
{
    BOOST_TEST(rc::check("truncated and modified input never throws", [](unsigned at, char byte, unsigned cutAt) {
        std::string text = document;
        text[at % text.size()] = byte;
        findingsOf(text.substr(0, cutAt % (text.size() + 1)));
        std::string changed = heartbeatBody;
        changed[at % changed.size()] = byte;
        std::string error;
        Platform::readAnnouncement(heartbeat(changed), error);
    }));
}

// Guards against mixing up the fields of an announcement, and against accepting an invalid one.
BOOST_AUTO_TEST_CASE(announcementsAreReadAndForgedOnesRefused)
{
    std::string error;
    const auto read = Platform::readAnnouncement(heartbeat(heartbeatBody), error);
    BOOST_REQUIRE_MESSAGE(read, error);
    BOOST_TEST(read->id == "i-7f");
    BOOST_TEST(read->slots == 72);
    BOOST_TEST(read->startedAt == 1782481240028);
    BOOST_TEST(read->warmUpLeftMs == 1'500);
    BOOST_TEST(!read->draining);
    for (const auto &[what, with] : std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"odd\""},
                                                                                     {"\"10.128.0.9:8080\"", "\"nowhere\""},
                                                                                     {"\"slots\":72", "\"slots\":\"72\""},
                                                                                     {"\"sequence\":4", "\"sequence\":-4"},
                                                                                     {"1782481240028", "1782481240028.5"},
                                                                                     {"\"service\":\"s1\",", ""}}) {
        error.clear();
        BOOST_TEST(!Platform::readAnnouncement(heartbeat(replaced(heartbeatBody, what, with)), error));
        BOOST_TEST(!error.empty());
    }
    const auto departure = Platform::readAnnouncement(heartbeat("", "/Instances.Deregister/i-7f"), error);
    BOOST_REQUIRE(departure);
    BOOST_TEST((departure->kind == Announcement::Kind::Departure));
}

// Guards against odd announcements that end the process, name a server, or outdate the announcements that follow.
BOOST_AUTO_TEST_CASE(oddAnnouncementsNameNoServer)
{
    constexpr std::size_t depth = 100'000;
    const std::vector<std::pair<std::string, std::string>> replacements{{"8080", "0"},
                                                                        {"8080", "65536"},
                                                                        {"8080", "99999999999999999999"},
                                                                        {"8080", "-1"},
                                                                        {"8080", ""},
                                                                        {"10.128.0.9:8080", "10.128.0.999:8080"},
                                                                        {"\"slots\":72", "\"slots\":99999999999999999999"},
                                                                        {"\"slots\":72", "\"slots\":1e300"},
                                                                        {"\"sequence\":4", "\"sequence\":1e300"},
                                                                        {"\"sequence\":4", "\"sequence\":18446744073709551615"},
                                                                        {"1782481240028", "9223372036854775807"},
                                                                        {"1782481240028", "1e999"},
                                                                        {"\"coldRemainingS\":1.5", "\"coldRemainingS\":1e308"},
                                                                        {"\"coldRemainingS\":1.5", "\"coldRemainingS\":1e999"},
                                                                        {"72", std::string(depth, '[') + std::string(depth, ']')},
                                                                        {"72", std::string(depth, '[')}};
    std::string error;
    BOOST_REQUIRE(Platform::readAnnouncement(heartbeat(heartbeatBody), error));
    for (const auto &[what, with] : replacements) {
        error.clear();
        const std::string label = what + " -> " + with.substr(0, 40);
        BOOST_TEST(!Platform::readAnnouncement(heartbeat(replaced(heartbeatBody, what, with)), error), label);
        BOOST_TEST(!error.empty(), label);
    }
}

// Guards against forwarding a caller's key or forged identity fields to a server.
BOOST_AUTO_TEST_CASE(callCarriesTheLayersFieldsOnly)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    HttpMessage request;
    request.method = "POST";
    request.target = "/p/x?q=%20";
    request.body = "abc";
    request.fields = {{"Host", "a.example"},
                      {"Authorization", "Bearer k1"},
                      {"x-yuccagrade-tenant", "forged"},
                      {"X-Yuccagrade-Caller-Service", "forged"},
                      {"X-Yuccagrade-Request-Id", "9c41"},
                      {"X-Yuccagrade-Deadline-Ms", "5000"},
                      {"Connection", "keep-alive, X-Hop"},
                      {"X-Hop", "1"},
                      {"X-Kept", "2"},
                      {"Transfer-Encoding", "chunked"}};
    const CallerRequest read = adapter.readRequest(request);
    BOOST_TEST(read.key.value() == "k1");
    BOOST_TEST(read.timeLeftMs.value() == 5'000);
    BOOST_TEST(read.requestId == "9c41");
    const std::string head = adapter.renderCall(request, {"t1", "s1"}) + adapter.renderHop("9c41", "i-7f", 1234.5);
    BOOST_TEST(head.starts_with("POST /p/x?q=%20 HTTP/1.1\r\n"));
    for (const std::string line : {"X-Yuccagrade-Tenant: t1\r\n",
                                   "X-Yuccagrade-Caller-Service: s1\r\n",
                                   "X-Yuccagrade-Target-Instance: i-7f\r\n",
                                   "X-Yuccagrade-Deadline-Ms: 1234\r\n",
                                   "Content-Length: 3\r\n",
                                   "X-Kept: 2\r\n",
                                   "X-Yuccagrade-Request-Id: 9c41\r\n"}) {
        BOOST_TEST(head.find(line) != std::string::npos, line);
    }
    BOOST_TEST(head.find("9c41") == head.rfind("9c41"));
    for (const std::string text : {"Bearer", "forged", "X-Hop", "chunked", "5000"}) {
        BOOST_TEST(head.find(text) == std::string::npos, text);
    }
}

// Guards against 401 for a known key whose scheme or blanks are written in another way.
BOOST_AUTO_TEST_CASE(keyIsReadInEveryForm)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    const auto keyOf = [&adapter](const std::string &value) {
        HttpMessage request;
        request.fields = {{"authorization", value}};
        return adapter.readRequest(request).key.value_or("none");
    };
    for (const std::string value : {"Bearer k1", "bearer k1", "BEARER   k1", "Bearer k1\t", "Bearer\tk1 "}) {
        BOOST_TEST(keyOf(value) == "k1", value);
    }
    for (const std::string value : {"Bearerk1", "Basic k1", "Bearer", "", "k1"}) {
        BOOST_TEST(keyOf(value) == "none", value);
    }
}

// Guards against misread response metadata, such as "not executed" for a request that the server may have executed.
BOOST_AUTO_TEST_CASE(answersOfServersAreTakenApart)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    HttpMessage response;
    response.status = 503;
    response.fields = {{"X-Yuccagrade-Not-Executed", "1"}, {"X-Yuccagrade-Server-Load", "3,2,8"}, {"Keep-Alive", "timeout=9, max=5"}};
    UpstreamAnswer answer = adapter.readAnswer(response);
    BOOST_TEST(answer.notExecuted);
    BOOST_TEST(answer.load.value().busy == 5);
    BOOST_TEST(answer.idleTimeoutMs.value() == 9'000);
    response.fields = {{"X-Yuccagrade-Server-Signature", "3e1b"}, {"X-Yuccagrade-Request-Id", "9c41"}, {"X-Yuccagrade-Server-Load", "x"}};
    answer = adapter.readAnswer(response);
    BOOST_TEST(!answer.notExecuted);
    BOOST_TEST(answer.hasSignature);
    BOOST_TEST(answer.requestId == "9c41");
    BOOST_TEST(!answer.load);
    response.status = 421;
    BOOST_TEST(adapter.readAnswer(response).wrongUpstream);
    BOOST_TEST(adapter.renderRefusal("9c41", 503, 250).find("Retry-After: 0.250\r\n") != std::string::npos);
    BOOST_TEST(adapter.renderRefusal("9c41", 504, -1).find("Retry-After") == std::string::npos);
}

// Guards against a limit, or the leave of a server, that is not read from its responses.
BOOST_AUTO_TEST_CASE(limitAndLeaveOfAServerAreRead)
{
    const ProtocolAdapter adapter = Platform::makeProtocolAdapter();
    HttpMessage response;
    response.status = 200;
    BOOST_TEST(!adapter.readAnswer(response).limitPerS);
    BOOST_TEST(!adapter.readAnswer(response).leaving);
    response.fields = {{"server-limit", " 19.4"}, {"Server-Leaving", "1"}};
    BOOST_TEST(adapter.readAnswer(response).limitPerS.value() == 19.4);
    BOOST_TEST(adapter.readAnswer(response).leaving);
    for (const std::string value : {"", "x", "-1", "nan", "inf", "1e999", "3 4"}) {
        response.fields = {{"Server-Limit", value}, {"Server-Leaving", "0"}};
        BOOST_TEST(!adapter.readAnswer(response).limitPerS, value);
        BOOST_TEST(!adapter.readAnswer(response).leaving);
    }
}
