#pragma once

#include "clustercore.h"

namespace Yuccagrade
{
/// HTTP API of a control host for operators.
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
    void refuseMemberChange(const ExchangePtr &exchange, std::error_code error);
    ProposalCallback memberChangeCallback(const ExchangePtr &exchange);
    void proposeCommand(const ExchangePtr &exchange, const Command &command, std::function<void(Json::Value &answer)> onCommitted);
    void respondWithError(const ExchangePtr &exchange, std::error_code error, const Json::Value &answer);
    Json::Value manifestJson() const;
    Json::Value keysJson() const;
    Json::Value statusJson();
    Json::Value withdrawalsJson(LeaderState &leader);
    Json::Value membersJson();

    ClusterCore &m_core;
};
}
