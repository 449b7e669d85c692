#include "operatorapi.h"

#include "base/errc.h"
#include "base/secret.h"
#include "config/teamkey.h"
#include "protocol/jsoncodec.h"

namespace Yuccagrade
{
namespace
{
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr std::size_t keyIdChars = 12;

int statusOf(std::error_code error)
{
    if (error == Errc::NotLeader) {
        return statusMisdirected;
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

Event eventOf(std::error_code error)
{
    return error == Errc::Conflict || error == Errc::Malformed ? Event::ManifestRefused : Event::MalformedRequest;
}
}

OperatorApi::OperatorApi(ClusterCore &core)
    : m_core(core)
{
}

// Every answer reflects committed state of the leader; a host that may be isolated sends operators elsewhere.
void OperatorApi::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    Json::Value body(Json::objectValue);
    const std::string &text = exchange->request().body;
    if (!text.empty() && (!parseJson(text, body) || !body.isObject())) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (!m_core.leader()) {
        answerError(exchange, Errc::NotLeader, Json::Value(Json::objectValue));
    } else if (exchange->request().method == "GET" && !m_core.isCurrent()) {
        answerError(exchange, Errc::Unavailable, Json::Value(Json::objectValue));
    } else if (!route(exchange, body)) {
        answerError(exchange, Errc::NotFound, Json::Value(Json::objectValue));
    }
}

bool OperatorApi::route(const ExchangePtr &exchange, const Json::Value &body)
{
    const std::string target = exchange->request().method + ' ' + exchange->request().path;
    if (target == "POST /v1/manifest") {
        putManifest(exchange, body);
    } else if (target == "POST /v1/keys") {
        giveKey(exchange, body);
    } else if (target == "POST /v1/keys/withdraw") {
        withdrawKey(exchange, body);
    } else if (target == "POST /v1/members") {
        addMember(exchange, body);
    } else if (target == "POST /v1/members/remove") {
        removeMember(exchange, body);
    } else if (target == "GET /v1/manifest") {
        exchange->respond(jsonResponse(200, manifestPage()));
    } else if (target == "GET /v1/keys") {
        exchange->respond(jsonResponse(200, keysPage()));
    } else if (target == "GET /v1/status") {
        exchange->respond(jsonResponse(200, statusPage()));
    } else {
        return false;
    }
    return true;
}

void OperatorApi::putManifest(const ExchangePtr &exchange, const Json::Value &body)
{
    PutManifest command;
    if (!JsonReader(body).read("submission", command.submission).read("text", command.text).ok()) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    submit(exchange, command, [this](Json::Value &answer) {
        m_core.host().log().write(Event::ManifestAccepted, {{"version", answer["version"].asString()}, {"index", answer["index"].asString()}});
    });
}

// Key and id follow from the submission, so that a resend after a lost answer gets the same key although no plain key
// is stored.
void OperatorApi::giveKey(const ExchangePtr &exchange, const Json::Value &body)
{
    GiveKey command;
    if (!JsonReader(body).read("submission", command.submission).read("team", command.team).ok()) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    const std::string seed = command.submission + '\n' + command.team;
    const std::string &secret = m_core.host().clusterSecret();
    const TeamKey key{'k' + sha256("key id\n" + seed).substr(0, keyIdChars), hmacSha256(secret, "team key\n" + seed)};
    command.keyId = key.id;
    command.salt = sha256("salt\n" + seed).substr(0, keyIdChars);
    command.hash = hashKeySecret(command.salt, key.secret);
    submit(exchange, command, [this, key, team = command.team](Json::Value &answer) {
        answer["key"] = toText(key);
        m_core.host().log().write(Event::KeyGiven, {{"key", key.id}, {"team", team}});
    });
}

void OperatorApi::withdrawKey(const ExchangePtr &exchange, const Json::Value &body)
{
    WithdrawKey command;
    if (!JsonReader(body).read("submission", command.submission).read("keyId", command.keyId).ok()) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
        return;
    }
    submit(exchange, command, [this, keyId = command.keyId](Json::Value &answer) {
        if (LeaderState *leader = m_core.leader()) {
            leader->withdrawals.try_emplace(keyId, m_core.host().loop().clock().now());
        }
        m_core.host().log().write(Event::KeyWithdrawn, {{"key", keyId}, {"index", answer["index"].asString()}});
    });
}

void OperatorApi::addMember(const ExchangePtr &exchange, const Json::Value &body)
{
    std::string id;
    std::string address;
    if (!JsonReader(body).read("id", id).read("address", address).ok()) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (const auto error = m_core.replica().addMember(id, address, memberChanged(exchange))) {
        answerError(exchange, error, Json::Value(Json::objectValue));
    }
}

void OperatorApi::removeMember(const ExchangePtr &exchange, const Json::Value &body)
{
    std::string id;
    if (!JsonReader(body).read("id", id).ok()) {
        answerError(exchange, Errc::Malformed, Json::Value(Json::objectValue));
    } else if (const auto error = m_core.replica().removeMember(id, memberChanged(exchange))) {
        answerError(exchange, error, Json::Value(Json::objectValue));
    }
}

ProposalCallback OperatorApi::memberChanged(const ExchangePtr &exchange)
{
    return [this, exchange](std::error_code error, std::uint64_t index) {
        if (error) {
            answerError(exchange, error, Json::Value(Json::objectValue));
            return;
        }
        Json::Value answer;
        answer["index"] = Json::UInt64{index};
        exchange->respond(jsonResponse(200, answer));
    };
}

void OperatorApi::submit(const ExchangePtr &exchange, const Command &command, std::function<void(Json::Value &answer)> complete)
{
    m_core.propose(toJson(command), [this, exchange, complete = std::move(complete)](std::error_code error, const ApplyResult &result) {
        if (error) {
            answerError(exchange, error, result.answer);
            return;
        }
        Json::Value answer = result.answer;
        complete(answer);
        exchange->respond(jsonResponse(200, answer));
    });
}

void OperatorApi::answerError(const ExchangePtr &exchange, std::error_code error, const Json::Value &answer)
{
    Json::Value body = answer;
    if (!body.isMember("message")) {
        body["message"] = error.message();
    }
    body["event"] = static_cast<int>(eventOf(error));
    if (error == Errc::NotLeader) {
        body["leader"] = m_core.leaderOperatorAddress();
    }
    if (error == Errc::Conflict || error == Errc::Malformed) {
        m_core.host().log().write(eventOf(error), {{"path", exchange->request().path}, {"reason", body["message"].asString()}});
    }
    exchange->respond(jsonResponse(statusOf(error), body));
}

Json::Value OperatorApi::manifestPage() const
{
    Json::Value page;
    page["version"] = Json::UInt64{m_core.state().manifest()->version};
    page["index"] = Json::UInt64{m_core.state().manifestIndex()};
    page["text"] = m_core.state().manifestText();
    return page;
}

Json::Value OperatorApi::keysPage() const
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

Json::Value OperatorApi::withdrawalsPage(LeaderState &leader)
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

Json::Value OperatorApi::membersPage()
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

Json::Value OperatorApi::statusPage()
{
    LeaderState &leader = *m_core.leader();
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
        process["index"] = Json::UInt64{m_core.view().confirmedIndex(member.id)};
        process["state"] = member.draining ? "draining" : "up";
        page["processes"].append(process);
    }
    const InForce inForce = leader.confirmations.inForce(m_core.state().manifestIndex());
    page["inForce"]["confirmed"] = inForce.confirmed;
    page["inForce"]["known"] = inForce.known;
    page["everywhereIndex"] = Json::UInt64{leader.confirmations.confirmedByAll(m_core.host().loop().clock().now())};
    page["withdrawals"] = withdrawalsPage(leader);
    page["members"] = membersPage();
    page["floors"] = Json::Value(Json::arrayValue);
    for (const auto &[domain, floor] : m_core.state().floorHolders()) {
        page["floors"].append(floor.toJson());
    }
    return page;
}
}
