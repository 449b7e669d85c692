#pragma once

#include <cstdint>
#include <json/json.h>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// A process as the leader knows it.
struct ProcessStatus {
    std::string id;
    std::string role;
    std::string domain;
    std::uint64_t index = 0; ///< applied state index
    std::string state;
    std::string sources; ///< of its program; empty if it does not tell

    static bool fromJson(const Json::Value &value, ProcessStatus &process);
};

/// Answer to `GET /v1/status`.
struct StatusPage {
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    std::uint64_t manifestVersion = 0;
    std::vector<ProcessStatus> processes;
    std::uint64_t confirmed = 0; ///< processes that confirmed the current manifest
    std::uint64_t known = 0;
    std::uint64_t everywhereIndex = 0; ///< confirmed by every process that may hold a valid proof; 0 soon after an election
    Json::Value withdrawals{Json::arrayValue};

    static bool fromJson(const Json::Value &value, StatusPage &page);
    /// Number of processes that have applied the state up to @p wanted.
    std::uint64_t confirmedIndex(std::uint64_t wanted) const;
    /// True if the withdrawal of the key is reported done.
    bool isWithdrawalDone(const std::string &keyId) const;
    std::string text() const;
};
}
