#pragma once

#include <cstdint>
#include <json/json.h>
#include <memory>
#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// What an upstream announces and how it works.
struct UpstreamOptions {
    std::string service;
    std::string listenAddress; ///< ip:port; port 0 picks a free one
    std::string nodeAddress = {}; ///< caller-address of its node; empty: no announcements, no nested calls
    int slots = 4;
    int connections = 100;
    double serviceMs = 5;
    bool exponential = false; ///< service time drawn from an exponential distribution with mean serviceMs
    std::uint64_t seed = 1;
    std::string executionLog = {}; ///< file to which each execution is appended (see Execution); survives a kill
    std::vector<std::string> nested = {}; ///< "path" (POST) or "METHOD path" to call one after the other through the own node
};

/// A stand-in upstream. It answers {"service", "path", "echo": request body, "nested": [answers], "complete": true}.
/// `GET /control?name=value` switches its faults: slow=FACTOR, shed=0|1, broken=none|short|middle|noanswer|foreign, late=MS,
/// cold=MS (five times slower at first, normal after MS), drain=0|1, announce=0|1,
/// failure=STATUS (of an answer whose nested call failed, 500 at first). `GET /control/stats` returns stats().
/// A call occupies a slot while it works and while its nested calls run; further calls wait in order of arrival.
class Upstream
{
public:
    /// Starts two threads. Throws std::runtime_error if the address cannot be used.
    explicit Upstream(const UpstreamOptions &options);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    /// Address it listens on.
    std::string address() const;
    /// Counters: executions per Idempotency-Key, headers seen by name (lower case), received, executed, shed, cancelled,
    /// keyLeaks (requests with an Authorization header or the text "ygk_"), concurrencyMax, waitingMax, nestedFailed,
    /// announced, receivedDraining, msSinceReceived.
    Json::Value stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
