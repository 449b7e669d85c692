#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "support/fleet.h"
#include "support/load.h"
#include "support/transfer.h"
#include "support/wait.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace Yuccagrade::Test;

namespace
{
constexpr auto manifest = R"([manifest]
version = 1
[domain d1]
region = r1
[domain d2]
region = r1
[domain d3]
region = r1
[service activation]
[route activate]
method = POST
path = /activate
service = activation
teams = *
priority = critical
action = yes
[team north]
rate = 100000
burst = 100000
)";

constexpr int clientThreads = 64;
constexpr int patientThreads = 4; ///< wait longer than a claim may age, so that a thawed node still has callers
constexpr long hastyTimeoutMs = 400;
constexpr long patientTimeoutMs = 15000;
constexpr std::uint64_t wantedActions = 10000;
constexpr std::uint64_t wantedExecutions = 3500; ///< a run in which little is executed shows little

FleetPlan plan()
{
    const NodePlan activation{"activation", {}, 20, 300};
    const std::vector<NodePlan> nodes{activation, activation, activation};
    return {{{"d1", "r1", 1, nodes}, {"d2", "r1", 1, nodes}, {"d3", "r1", 1, nodes}}, true};
}

/// All answers to the requests of one action.
struct ActionRecord {
    int sent = 0;
    int whole = 0;
    int notRun = 0;
    int claimed = 0; ///< 409
    int mayHaveRun = 0;
    int lost = 0; ///< no complete answer
};

/// Sends one action to several nodes at the same time, with the same Idempotency-Key.
class ActionClient
{
public:
    ActionClient()
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1L);
    }
    ~ActionClient()
    {
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }
    ActionClient(const ActionClient &) = delete;
    ActionClient &operator=(const ActionClient &) = delete;

    void send(const std::vector<std::string> &addresses, const std::string &key, const std::string &action, long timeoutMs, ActionRecord &record)
    {
        m_transfers.resize(std::max(m_transfers.size(), addresses.size()));
        for (size_t i = 0; i < addresses.size(); ++i) {
            m_transfers[i] = m_transfers[i] ? std::move(m_transfers[i]) : std::make_unique<Transfer>();
            HttpRequest request{"POST", addresses[i], "/activate", action + '.'};
            request.headers = {"Authorization: Bearer " + key, "Idempotency-Key: " + action, "Yuccagrade-Timeout-Ms: " + std::to_string(timeoutMs)};
            request.timeoutMs = timeoutMs;
            request.freshConnection = true;
            m_transfers[i]->prepare(request);
            curl_easy_setopt(m_transfers[i]->handle(), CURLOPT_PRIVATE, m_transfers[i].get());
            curl_multi_add_handle(m_multi, m_transfers[i]->handle());
            ++record.sent;
        }
        for (int running = 1; running > 0;) {
            curl_multi_perform(m_multi, &running);
            int left = 0;
            while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
                CURL *handle = message->easy_handle;
                const CURLcode error = message->data.result;
                Transfer *transfer = nullptr;
                curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
                curl_multi_remove_handle(m_multi, handle);
                count(transfer->finish(error), action, record);
            }
            curl_multi_poll(m_multi, nullptr, 0, 100, nullptr);
        }
    }

private:
    static void count(const HttpAnswer &answer, const std::string &action, ActionRecord &record)
    {
        const auto outcome = answer.headers.find("yuccagrade-outcome");
        if (answer.error != CURLE_OK || answer.status == 0) {
            ++record.lost;
        } else if (answer.status == 200) {
            record.whole += isOwnWholeAnswer(answer.body, action + '.') ? 1 : 0;
        } else if (outcome != answer.headers.end() && outcome->second == "not-run") {
            ++record.notRun;
        } else {
            ++(answer.status == 409 ? record.claimed : record.mayHaveRun);
        }
    }

    CURLM *m_multi = curl_multi_init();
    std::vector<std::unique_ptr<Transfer>> m_transfers;
};

/// Clients that send actions from many threads until stop().
class Crowd
{
public:
    Crowd(const std::vector<std::string> &addresses, const std::string &key)
        : m_addresses(addresses)
        , m_key(key)
    {
        for (int i = 0; i < clientThreads; ++i) {
            m_threads.emplace_back([this, i] {
                run(i);
            });
        }
    }
    ~Crowd()
    {
        stop();
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    std::uint64_t finished() const
    {
        return m_finished;
    }
    /// Actions with a whole answer.
    std::uint64_t answered() const
    {
        return m_answered;
    }
    /// Ends after the running requests. Returns the answers per action.
    const std::map<std::string, ActionRecord> &stop()
    {
        m_stopping = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
        return m_records;
    }

private:
    std::vector<std::string> pick(Yuccagrade::Random &random, size_t count) const
    {
        std::vector<std::string> chosen;
        const size_t first = random.below(m_addresses.size());
        for (size_t i = 0; i < count; ++i) {
            // Three nodes per domain: a step of 4 spreads the requests over nodes and domains.
            chosen.push_back(m_addresses[(first + 4 * i) % m_addresses.size()]);
        }
        return chosen;
    }
    void run(int number)
    {
        Yuccagrade::Random random(static_cast<std::uint64_t>(number) + 1);
        ActionClient client;
        const long timeoutMs = number < patientThreads ? patientTimeoutMs : hastyTimeoutMs;
        for (int serial = 0; !m_stopping; ++serial) {
            const std::string action = "a" + std::to_string(number) + '-' + std::to_string(serial);
            // Every fourth action is sent once, so that its only answer must hold for ever.
            const bool once = serial % 4 == 0;
            // Every eighth one is repeated even after a whole answer.
            const bool repeats = serial % 8 == 1;
            ActionRecord record;
            for (int round = 0; round < (once ? 1 : 3) && (record.whole == 0 || repeats); ++round) {
                client.send(pick(random, once ? 1 : 3), m_key, action, timeoutMs, record);
            }
            const std::scoped_lock lock(m_mutex);
            m_records[action] = record;
            ++m_finished;
            m_answered += record.whole > 0 ? 1 : 0;
        }
    }

    std::vector<std::string> m_addresses;
    std::string m_key;
    std::mutex m_mutex; ///< guards m_records
    std::map<std::string, ActionRecord> m_records;
    std::atomic<std::uint64_t> m_finished = 0;
    std::atomic<std::uint64_t> m_answered = 0;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

struct Mesh : Fleet {
    TeamKey team;

    Mesh()
        : Fleet(plan())
    {
        start();
        apply(manifest);
        team = giveKey("north");
        // The claim groups form after the manifest is in force.
        for (const Host *node : nodes()) {
            int probe = 0;
            const auto activates = [&] {
                return call(*node, "/activate", team.key, "probe", node->id + "-probe-" + std::to_string(++probe)).status == 200;
            };
            BOOST_REQUIRE(waitFor(activates, 20000));
        }
    }
    std::vector<Host *> domain(const std::string &name)
    {
        std::vector<Host *> result;
        for (const auto &group : {nodes(), controls()}) {
            std::copy_if(group.begin(), group.end(), std::back_inserter(result), [&name](const Host *host) {
                return host->domain == name;
            });
        }
        return result;
    }
    std::vector<Host *> allBut(const std::vector<Host *> &hosts)
    {
        std::vector<Host *> result;
        for (const auto &group : {nodes(), controls()}) {
            std::copy_if(group.begin(), group.end(), std::back_inserter(result), [&hosts](Host *host) {
                return std::find(hosts.begin(), hosts.end(), host) == hosts.end();
            });
        }
        return result;
    }
    /// Cuts only what @p one sends to the others.
    void cutOneWay(const std::vector<Host *> &one)
    {
        FaultRule outward;
        outward.stallToTarget = true;
        FaultRule inward; // connections that the others opened
        inward.stallToSender = true;
        for (const Host *a : one) {
            for (const Host *b : allBut(one)) {
                proxy().setRule(a->ip, b->peerAdvertise, outward);
                proxy().setRule(b->ip, a->peerAdvertise, inward);
            }
        }
    }
    void loseAnswers(int count)
    {
        FaultRule rule;
        rule.dropAnswers = count;
        partition(nodes(), nodes(), rule);
    }
};

bool elapsed(double sinceMs, double durationMs)
{
    return waitFor(
        [&] {
            return steadyMs() - sinceMs >= durationMs;
        },
        durationMs + 1000);
}

/// Waits until @p count more actions have ended, at most @p boundMs.
void letRun(const Crowd &crowd, std::uint64_t count, double boundMs)
{
    const std::uint64_t until = crowd.finished() + count;
    waitFor(
        [&] {
            return crowd.finished() >= until;
        },
        boundMs);
}

/// Brings failures about, mostly two at a time, while the crowd sends.
void bringFailuresAbout(Mesh &mesh, const Crowd &crowd)
{
    letRun(crowd, 500, 5000);
    // A node that is entry, target and claim replica is killed together with the upstream of another host.
    mesh.host("d1-n1").daemon->kill();
    mesh.host("d2-n1").upstream->kill();
    letRun(crowd, 600, 4000);
    mesh.start(mesh.host("d1-n1"));
    mesh.start(mesh.host("d2-n1"));
    // A node is frozen past the age of its claims, an upstream for some of that time; meanwhile paths fail.
    const double frozenAt = steadyMs();
    mesh.host("d2-n2").daemon->freeze();
    mesh.host("d3-n1").upstream->freeze();
    letRun(crowd, 500, 3000);
    mesh.host("d3-n1").upstream->resume();
    mesh.cutOneWay({&mesh.host("d1-n2")});
    letRun(crowd, 500, 3000);
    mesh.proxy().clearRules();
    mesh.loseAnswers(20);
    letRun(crowd, 500, 3000);
    mesh.proxy().clearRules();
    elapsed(frozenAt, 11500);
    mesh.host("d2-n2").daemon->resume();
    // Two claim replicas in different domains lose their memory at once.
    mesh.host("d1-n3").daemon->kill();
    mesh.host("d3-n3").daemon->kill();
    letRun(crowd, 400, 3000);
    mesh.start(mesh.host("d1-n3"));
    mesh.start(mesh.host("d3-n3"));
    mesh.loseAnswers(20);
    letRun(crowd, 600, 4000);
    mesh.proxy().clearRules();
    // A domain is cut off both ways; then a whole host of another one is killed.
    FaultRule stall;
    stall.cut = FaultRule::Cut::Stall;
    mesh.partition(mesh.domain("d3"), mesh.allBut(mesh.domain("d3")), stall);
    letRun(crowd, 500, 3000);
    Fleet::kill(mesh.host("d2-n3"));
    letRun(crowd, 300, 3000);
    mesh.proxy().clearRules();
    mesh.start(mesh.host("d2-n3"));
    // Answers are lost while an upstream dies in the middle of its work.
    mesh.loseAnswers(50);
    mesh.host("d1-n2").upstream->kill();
    letRun(crowd, 600, 4000);
    mesh.start(mesh.host("d1-n2"));
    mesh.proxy().clearRules();
}
}

// Guards against an action that runs twice (invariant 9) and against a "not-run" that is untrue (invariant 8) while nodes,
// claim replicas and upstreams are killed, frozen and cut off, and answers are lost. A record of an execution is never
// removed, so no execution at the end means none at the time of the answer either.
BOOST_FIXTURE_TEST_CASE(actionsRunAtMostOnceUnderFailures, Mesh)
{
    Crowd crowd(callerAddresses(), team.key);
    bringFailuresAbout(*this, crowd);
    waitFor(
        [&] {
            return crowd.finished() >= wantedActions && crowd.answered() >= wantedExecutions;
        },
        45000);
    const std::map<std::string, ActionRecord> &records = crowd.stop();
    std::map<std::string, int> executions;
    for (const Execution &execution : this->executions()) {
        ++executions[execution.action];
    }
    ActionRecord sum;
    int executed = 0;
    int repeated = 0;
    int untrue = 0;
    int onceNotRun = 0;
    for (const auto &[action, record] : records) {
        const auto found = executions.find(action);
        const int count = found == executions.end() ? 0 : found->second;
        sum.sent += record.sent;
        sum.whole += record.whole;
        sum.notRun += record.notRun;
        sum.claimed += record.claimed;
        sum.mayHaveRun += record.mayHaveRun;
        sum.lost += record.lost;
        executed += count > 0 ? 1 : 0;
        repeated += count > 1 ? 1 : 0;
        const bool onlyNotRun = record.notRun == record.sent;
        onceNotRun += onlyNotRun && record.sent == 1 ? 1 : 0;
        untrue += onlyNotRun && count > 0 ? 1 : 0;
        BOOST_TEST(record.whole <= count, action << " has " << record.whole << " whole answers from " << count << " executions");
        BOOST_TEST(count <= 1, action << " ran " << count << " times");
        BOOST_TEST((!onlyNotRun || count == 0), action << " ran although all its answers say not-run");
    }
    BOOST_TEST_MESSAGE("actions " << records.size() << ", executed " << executed << ", more than once " << repeated << ", untrue not-run " << untrue
                                  << "; requests " << sum.sent << ": whole " << sum.whole << ", not-run " << sum.notRun << " (only request of its action "
                                  << onceNotRun << "), 409 " << sum.claimed << ", may-have-run " << sum.mayHaveRun << ", lost " << sum.lost);
    BOOST_TEST(records.size() >= wantedActions);
    BOOST_TEST(executed >= static_cast<int>(wantedExecutions));
    // The failures must have had an effect, otherwise the run shows nothing.
    BOOST_TEST(onceNotRun > 0);
    BOOST_TEST(sum.claimed > 0);
    BOOST_TEST(sum.mayHaveRun > 0);
    BOOST_TEST(sum.lost > 0);
}
