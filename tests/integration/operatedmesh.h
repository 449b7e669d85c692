#pragma once

#include "soak/operator.h"
#include "support/testfolder.h"
#include "support/transfer.h"
#include "support/wait.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace Yuccagrade::Soak
{
constexpr double startBoundMs = 20'000;
constexpr double leaderBoundMs = 10'000;
// Of the team; more than the tests use.
constexpr double ratePerS = 10'000;

/// A configuration and the version that it builds on.
struct Change {
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::string document;

    Change(std::uint64_t baseVersion,
           std::uint64_t newVersion,
           const std::vector<RoutePlan> &routes = {{"read", "safe", "deep"}},
           const std::vector<std::string> &keys = {"key-0"})
        : base(baseVersion)
        , version(newVersion)
        , document(renderConfiguration(newVersion, routes, keys, ratePerS))
    {
    }
    std::string baseText() const
    {
        return base == 0 ? "0" : versionText(base);
    }
    std::string request() const
    {
        return renderRequest("POST", "/Config.Put", {{"X-Yuccagrade-Base-Version", baseText()}}, document);
    }
};

/// A mesh in platform mode in a temporary folder.
class OperatedMesh
{
public:
    OperatedMesh()
        : m_ledger(m_loop)
        , m_fleet(m_loop, m_ledger, program(), m_folder.path(), 1)
    {
        for (Host &host : m_fleet.hosts()) {
            if (host.control) {
                m_controls.push_back(&host);
            }
        }
        m_ledger.onRun = [this](const std::string &id) {
            const std::scoped_lock lock(m_runsMutex);
            ++m_runs[id];
        };
        m_loop.every(10, [this] {
            if (m_stopping) {
                m_loop.stop();
            }
        });
        m_thread = std::thread([this] {
            m_loop.run();
        });
        try {
            publish(m_controls, Change(0, 1), startBoundMs);
        } catch (...) {
            // No destructor runs for an object whose constructor throws, and a running thread would end the test program.
            stopLoop();
            throw;
        }
    }
    ~OperatedMesh()
    {
        stopLoop();
    }
    OperatedMesh(const OperatedMesh &) = delete;
    OperatedMesh &operator=(const OperatedMesh &) = delete;

    static long submit(const Host &control, const Change &change)
    {
        return Test::httpCall({.method = "POST",
                               .address = control.operatorAddress,
                               .path = "/Config.Put",
                               .body = change.document,
                               .headers = {"X-Yuccagrade-Base-Version: " + change.baseText()},
                               .timeoutMs = 1'000,
                               .freshConnection = true})
            .status;
    }
    /// Sends a change to @p controls in turn until one of them accepts it.
    static void publish(const std::vector<Host *> &controls, const Change &change, double boundMs = leaderBoundMs)
    {
        const bool accepted = Test::waitFor(
            [&] {
                return std::any_of(controls.begin(), controls.end(), [&change](const Host *control) {
                    return submit(*control, change) == 200;
                });
            },
            boundMs);
        if (!accepted) {
            throw std::runtime_error("version " + std::to_string(change.version) + " was not accepted");
        }
    }
    void stopLoop()
    {
        m_stopping = true;
        m_thread.join();
    }
    /// Waits for the control host that answers with the configuration in force. All other hosts have to follow it.
    Host &leader()
    {
        Host *found = nullptr;
        const bool settled = Test::waitFor(
            [&] {
                int leaders = 0;
                int followers = 0;
                for (Host *control : m_controls) {
                    const Test::HttpAnswer answer =
                        Test::httpCall({.address = control->operatorAddress, .path = "/Config.Get", .timeoutMs = 1'000, .freshConnection = true});
                    leaders += answer.status == 200 ? 1 : 0;
                    followers += answer.status == 307 ? 1 : 0;
                    if (answer.status == 200) {
                        found = control;
                        m_version = std::stoull(answer.body.substr(std::string("{\"version\":\"").size(), 8), nullptr, 16);
                    }
                }
                return leaders == 1 && leaders + followers == static_cast<int>(m_controls.size());
            },
            leaderBoundMs);
        if (!settled) {
            throw std::runtime_error("no control host leads all others");
        }
        return *found;
    }
    /// Version in force when leader() returned.
    std::uint64_t version() const
    {
        return m_version;
    }
    std::vector<Host *> controlsBeside(const Host &host) const
    {
        std::vector<Host *> result = m_controls;
        std::erase(result, &host);
        return result;
    }
    /// Sets the rule between a control host and all others.
    void setPaths(const Host &host, const Test::FaultRule &rule)
    {
        for (const Host *other : controlsBeside(host)) {
            m_fleet.setPath(host, *other, rule);
            m_fleet.setPath(*other, host, rule);
        }
    }
    /// Number of times that a server has started to run a request.
    int runsOf(const std::string &id) const
    {
        const std::scoped_lock lock(m_runsMutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }
    const std::vector<Host *> &controls() const
    {
        return m_controls;
    }
    Fleet &fleet()
    {
        return m_fleet;
    }
    std::vector<const Host *> nodes()
    {
        std::vector<const Host *> result;
        for (const Host &host : m_fleet.hosts()) {
            if (!host.control) {
                result.push_back(&host);
            }
        }
        return result;
    }

private:
    /// The environment variable YUCCAGRADE_DAEMON names another program, for trials with a mechanism switched off.
    static std::string program()
    {
        const char *other = std::getenv("YUCCAGRADE_DAEMON");
        return other ? other : YUCCAGRADED_PROGRAM;
    }

    Test::TestFolder m_folder;
    EventLoop m_loop;
    Ledger m_ledger; ///< used by the thread of the loop only
    mutable std::mutex m_runsMutex;
    std::map<std::string, int> m_runs;
    Fleet m_fleet;
    std::vector<Host *> m_controls;
    std::uint64_t m_version = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};
}
