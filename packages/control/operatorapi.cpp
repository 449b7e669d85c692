#include "operatorapi.h"

#include "base/errc.h"
#include "base/secret.h"
#include "config/teamkey.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
namespace
{
constexpr int statusMisdirectedRequest = 421;
constexpr int statusUnavailable = 503;
constexpr std::size_t keyIdChars = 12;

int httpStatus(std::error_code error)
{
    if (error == Errc::NotLeader) {
        return statusMisdirectedRequest;
    }
    if (error == Errc::Conflict || error == Errc::Replayed) {
        return 409;
    }
    if (error == Errc::NotFound) {
        return 404;
    }
    if (error == Errc::Malformed || error == Errc::TooLarge) {
        return 400;
    }
    return statusUnavailable;
}

Event errorEvent(std::error_code error)
{
    return error == Errc::Conflict || error == Errc::Malformed ? Event::ManifestRefused : Event::MalformedRequest;
}
}

OperatorApi::OperatorApi(ClusterCore &core)
    : m_core(core)
{
}

// Answers only with committed state of the leader. A host that is not the leader refers operators to it, and a leader that
// may be isolated refuses reads.
void OperatorApi::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    Json::Value body(Json::objectValue);
    const std::string &text = exchange->request().body;
    if (!text.empty() && (!parseJson(text, body) || !body.isObject())) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (!m_core.leaderState()) {
        respondWithError(exchange, Errc::NotLeader, Json::Value(Json::objectValue));
    } else if (exchange->request().method == "GET" && !m_core.isStateCurrent()) {
        respondWithError(exchange, Errc::Unavailable, Json::Value(Json::objectValue));
    } else if (!route(exchange, body)) {
        respondWithError(exchange, Errc::NotFound, Json::Value(Json::objectValue));
    }
}

bool OperatorApi::route(const ExchangePtr &exchange, const Json::Value &body)
{
    const std::string methodAndPath = exchange->request().method + ' ' + exchange->request().path;
    if (methodAndPath == "POST /v1/manifest") {
        putManifest(exchange, body);
    } else if (methodAndPath == "POST /v1/keys") {
        giveKey(exchange, body);
    } else if (methodAndPath == "POST /v1/keys/withdraw") {
        withdrawKey(exchange, body);
    } else if (methodAndPath == "POST /v1/members") {
        addMember(exchange, body);
    } else if (methodAndPath == "POST /v1/members/remove") {
        removeMember(exchange, body);
    } else if (methodAndPath == "GET /v1/manifest") {
        exchange->respond(jsonResponse(200, manifestJson()));
    } else if (methodAndPath == "GET /v1/keys") {
        exchange->respond(jsonResponse(200, keysJson()));
    } else if (methodAndPath == "GET /v1/status") {
        exchange->respond(jsonResponse(200, statusJson()));
    } else {
        return false;
    }
    return true;
}

void OperatorApi::putManifest(const ExchangePtr &exchange, const Json::Value &body)
{
    PutManifest command;
    if (!JsonReader(body).read("submission", command.submission).read("text", command.text).ok()) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    proposeCommand(exchange, command, [this](Json::Value &answer) {
        m_core.host().log().write(Event::ManifestAccepted, {{"version", answer["version"].asString()}, {"index", answer["index"].asString()}});
    });
}

// Derives the key and its id from the submission, so that a repeated request after a lost response returns the same key,
// although the key is not stored in plain text.
void OperatorApi::giveKey(const ExchangePtr &exchange, const Json::Value &body)
{
    GiveKey command;
    if (!JsonReader(body).read("submission", command.submission).read("team", command.team).ok()) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    const std::string seed = command.submission + '\n' + command.team;
    const std::string &secret = m_core.host().clusterSecret();
    const TeamKey key{'k' + sha256("key id\n" + seed).substr(0, keyIdChars), hmacSha256(secret, "team key\n" + seed)};
    command.keyId = key.id;
    command.salt = sha256("salt\n" + seed).substr(0, keyIdChars);
    command.hash = hashKeySecret(command.salt, key.secret);
    proposeCommand(exchange, command, [this, key, team = command.team](Json::Value &answer) {
        answer["key"] = toText(key);
        m_core.host().log().write(Event::KeyGiven, {{"key", key.id}, {"team", team}});
    });
}

void OperatorApi::withdrawKey(const ExchangePtr &exchange, const Json::Value &body)
{
    WithdrawKey command;
    if (!JsonReader(body).read("submission", command.submission).read("keyId", command.keyId).ok()) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    proposeCommand(exchange, command, [this, keyId = command.keyId](Json::Value &answer) {
        if (LeaderState *leader = m_core.leaderState()) {
            leader->withdrawalTimes.try_emplace(keyId, m_core.host().loop().clock().now());
        }
        m_core.host().log().write(Event::KeyWithdrawn, {{"key", keyId}, {"index", answer["index"].asString()}});
    });
}

void OperatorApi::addMember(const ExchangePtr &exchange, const Json::Value &body)
{
    std::string id;
    std::string address;
    if (!JsonReader(body).read("id", id).read("address", address).ok()) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (const auto error = m_core.replica().addMember(id, address, memberChangeCallback(exchange))) {
        refuseMemberChange(exchange, error);
    }
}

void OperatorApi::removeMember(const ExchangePtr &exchange, const Json::Value &body)
{
    std::string id;
    if (!JsonReader(body).read("id", id).ok()) {
        respondWithError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (const auto error = m_core.replica().removeMember(id, memberChangeCallback(exchange))) {
        refuseMemberChange(exchange, error);
    }
}

// Conflict and NotFound are judged by the members that this host knows; another leader may have changed them since.
void OperatorApi::refuseMemberChange(const ExchangePtr &exchange, std::error_code error)
{
    const bool isFinal = error == Errc::Conflict || error == Errc::NotFound;
    respondWithError(exchange, isFinal && !m_core.isStateCurrent() ? make_error_code(Errc::Unavailable) : error, Json::Value(Json::objectValue));
}

ProposalCallback OperatorApi::memberChangeCallback(const ExchangePtr &exchange)
{
    return [this, exchange](std::error_code error, std::uint64_t index) {
        if (error) {
            respondWithError(exchange, error, Json::Value(Json::objectValue));
            return;
        }
        Json::Value answer;
        answer["index"] = Json::UInt64{index};
        exchange->respond(jsonResponse(200, answer));
    };
}

void OperatorApi::proposeCommand(const ExchangePtr &exchange, const Command &command, std::function<void(Json::Value &answer)> onCommitted)
{
    m_core.propose(toJson(command), [this, exchange, onCommitted = std::move(onCommitted)](std::error_code error, const ApplyResult &result) {
        if (error) {
            respondWithError(exchange, error, result.answer);
            return;
        }
        Json::Value answer = result.answer;
        onCommitted(answer);
        exchange->respond(jsonResponse(200, answer));
    });
}

void OperatorApi::respondWithError(const ExchangePtr &exchange, std::error_code error, const Json::Value &answer)
{
    Json::Value body = answer;
    if (!body.isMember("message")) {
        body["message"] = error.message();
    }
    body["event"] = static_cast<int>(errorEvent(error));
    if (error == Errc::NotLeader) {
        body["leader"] = m_core.leaderOperatorAddress();
    }
    if (error == Errc::Conflict || error == Errc::Malformed) {
        m_core.host().log().write(errorEvent(error), {{"path", exchange->request().path}, {"reason", body["message"].asString()}});
    }
    exchange->respond(jsonResponse(httpStatus(error), body));
}

Json::Value OperatorApi::manifestJson() const
{
    Json::Value page;
    page["version"] = Json::UInt64{m_core.state().manifest()->version};
    page["index"] = Json::UInt64{m_core.state().manifestIndex()};
    page["text"] = m_core.state().manifestText();
    return page;
}

Json::Value OperatorApi::keysJson() const
{
    Json::Value page;
    page["keys"] = Json::Value(Json::arrayValue);
    for (const KeyRecord &record : m_core.state().keys()) {
        Json::Value key;
        key["keyId"] = record.id;
        key["team"] = record.team;
        key["withdrawnIndex"] = Json::UInt64{record.withdrawnIndex};
        page["keys"].append(key);
    }
    return page;
}

Json::Value OperatorApi::withdrawalsJson(LeaderState &leader)
{
    const TimeMs now = m_core.host().loop().clock().now();
    Json::Value list(Json::arrayValue);
    for (const KeyRecord &record : m_core.state().keys()) {
        if (record.withdrawnIndex > 0) {
            Json::Value item;
            item["keyId"] = record.id;
            item["done"] = leader.confirmations.isWithdrawalDone(record.withdrawnIndex, leader.withdrawnAt(record.id), now);
            list.append(item);
        }
    }
    return list;
}

Json::Value OperatorApi::membersJson()
{
    Json::Value list(Json::arrayValue);
    for (const GroupMember &member : m_core.replica().core()->log().members()) {
        Json::Value item;
        item["id"] = member.id;
        item["address"] = member.address;
        item["voter"] = member.voter;
        list.append(item);
    }
    return list;
}

Json::Value OperatorApi::statusJson()
{
    LeaderState &leader = *m_core.leaderState();
    Json::Value page;
    page["leader"] = m_core.host().identity().id;
    page["term"] = Json::UInt64{m_core.replica().core()->term()};
    page["index"] = Json::UInt64{m_core.state().index()};
    page["manifestVersion"] = Json::UInt64{m_core.state().manifest()->version};
    page["processes"] = Json::Value(Json::arrayValue);
    for (const Member &member : m_core.view().upMembers()) {
        Json::Value process;
        process["id"] = member.id;
        process["role"] = member.control ? "control" : "node";
        process["domain"] = member.domain;
        process["sources"] = member.sources;
        process["index"] = Json::UInt64{m_core.view().confirmedIndex(member.id)};
        process["state"] = member.draining ? "draining" : "up";
        page["processes"].append(process);
    }
    const InForce inForce = leader.confirmations.inForce(m_core.state().manifestIndex());
    page["inForce"]["confirmed"] = inForce.confirmed;
    page["inForce"]["known"] = inForce.known;
    page["everywhereIndex"] = Json::UInt64{leader.confirmations.confirmedByAll(m_core.host().loop().clock().now())};
    page["withdrawals"] = withdrawalsJson(leader);
    page["members"] = membersJson();
    page["floors"] = Json::Value(Json::arrayValue);
    for (const auto &[domain, floor] : m_core.state().floorHolders()) {
        page["floors"].append(floor.toJson());
    }
    return page;
}
}
