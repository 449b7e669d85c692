#include "borrowmessages.h"

#include <cmath>

namespace Yuccagrade
{
namespace
{
bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}
}

Json::Value LoanReport::toJson() const
{
    Json::Value value;
    value["loan"] = Json::UInt64(loan);
    value["spent"] = spent;
    value["returned"] = returned;
    return value;
}

bool LoanReport::fromJson(const Json::Value &value, LoanReport &out)
{
    return JsonReader(value).read("loan", out.loan).read("spent", out.spent).read("returned", out.returned).ok()
        && isAmount(out.spent) && isAmount(out.returned);
}

Json::Value BorrowItem::toJson() const
{
    Json::Value value;
    value["team"] = team;
    value["wanted"] = wanted;
    value["left"] = left;
    value["waiting"] = waiting;
    value["demand"] = demand;
    value["reports"] = toJsonList(reports);
    return value;
}

bool BorrowItem::fromJson(const Json::Value &value, BorrowItem &out)
{
    return JsonReader(value)
               .read("team", out.team)
               .read("wanted", out.wanted)
               .read("left", out.left)
               .read("waiting", out.waiting)
               .read("demand", out.demand)
               .readList("reports", out.reports)
               .ok()
        && isAmount(out.wanted) && isAmount(out.left) && isAmount(out.waiting) && isAmount(out.demand);
}

Json::Value BorrowRequest::toJson() const
{
    Json::Value value;
    value["id"] = id;
    value["incarnation"] = Json::UInt64(incarnation);
    value["lender"] = lender;
    value["coordinator"] = coordinator;
    value["items"] = toJsonList(items);
    return value;
}

bool BorrowRequest::fromJson(const Json::Value &value, BorrowRequest &out)
{
    return JsonReader(value)
        .read("id", out.id)
        .read("incarnation", out.incarnation)
        .read("lender", out.lender)
        .read("coordinator", out.coordinator)
        .readList("items", out.items)
        .ok();
}

Json::Value Loan::toJson() const
{
    Json::Value value;
    value["team"] = team;
    value["id"] = Json::UInt64(id);
    value["amount"] = amount;
    value["validMs"] = Json::Int64(validMs);
    return value;
}

bool Loan::fromJson(const Json::Value &value, Loan &out)
{
    return JsonReader(value)
               .read("team", out.team)
               .read("id", out.id)
               .read("amount", out.amount)
               .read("validMs", out.validMs)
               .ok()
        && isAmount(out.amount);
}

Json::Value BorrowResponse::toJson() const
{
    Json::Value value;
    value["lender"] = lender;
    value["loans"] = toJsonList(loans);
    return value;
}

bool BorrowResponse::fromJson(const Json::Value &value, BorrowResponse &out)
{
    return JsonReader(value).read("lender", out.lender).readList("loans", out.loans).ok();
}
}
