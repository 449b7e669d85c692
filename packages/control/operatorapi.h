#pragma once

#include "clustercore.h"

namespace Yuccagrade
{
/// The operators' HTTP interface of a control host.
class OperatorApi
{
public:
    explicit OperatorApi(ClusterCore &core);

    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    using ExchangePtr = std::shared_ptr<HttpExchange>;

    bool route(const ExchangePtr &exchange, const Json::Value &body);
    void putManifest(const ExchangePtr &exchange, const Json::Value &body);
    void giveKey(const ExchangePtr &exchange, const Json::Value &body);
    void withdrawKey(const ExchangePtr &exchange, const Json::Value &body);
    void addMember(const ExchangePtr &exchange, const Json::Value &body);
    void removeMember(const ExchangePtr &exchange, const Json::Value &body);
    ProposalCallback memberChanged(const ExchangePtr &exchange);
    void submit(const ExchangePtr &exchange, const Command &command, std::function<void(Json::Value &answer)> complete);
    void answerError(const ExchangePtr &exchange, std::error_code error, const Json::Value &answer);
    Json::Value manifestPage() const;
    Json::Value keysPage() const;
    Json::Value statusPage();
    Json::Value withdrawalsPage(LeaderState &leader);
    Json::Value membersPage();

    ClusterCore &m_core;
};
}
