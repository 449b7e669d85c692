#pragma once

#include "base/clock.h"
#include "jsoncodec.h"

namespace Yuccagrade
{
/// What became of one loan so far. Both amounts are totals, so a report may be lost, repeated or late.
struct LoanReport {
    std::uint64_t loan = 0;
    double spent = 0;
    double returned = 0; ///< given back unused

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, LoanReport &out);
};

/// One team in a request of method `borrow`.
struct BorrowItem {
    std::string team;
    double wanted = 0; ///< tokens
    double left = 0; ///< unspent tokens at the borrower
    double waiting = 0; ///< part of `wanted` that requests wait for
    double demand = 0; ///< estimated demand in tokens/s
    std::vector<LoanReport> reports;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, BorrowItem &out);
};

/// Request of method `borrow`.
struct BorrowRequest {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string lender; ///< identity of the lender that the reports refer to
    bool coordinator = false; ///< the borrower lends on to its own domain
    std::vector<BorrowItem> items;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, BorrowRequest &out);
};

/// Tokens lent to the borrower.
struct Loan {
    std::string team;
    std::uint64_t id = 0; ///< unique at the lender
    double amount = 0;
    TimeMs validMs = 0; ///< counts from the sending time of the request

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, Loan &out);
};

/// Response of method `borrow`.
struct BorrowResponse {
    std::string lender; ///< identity of the lender; differs after a restart
    std::vector<Loan> loans;

    Json::Value toJson() const;
    static bool fromJson(const Json::Value &value, BorrowResponse &out);
};
}
