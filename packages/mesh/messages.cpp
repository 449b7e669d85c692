#include "messages.h"

#include <array>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>

namespace Yuccagrade::Mesh
{
namespace
{
// From FrameType::Call on.
constexpr std::array<std::string_view, 12> frameTypeNames{"call",
                                                          "reply",
                                                          "cancel",
                                                          "sync",
                                                          "sync-reply",
                                                          "consensus-request",
                                                          "consensus-response",
                                                          "ping",
                                                          "pong",
                                                          "status",
                                                          "token-request",
                                                          "token-grant"};
constexpr std::array<std::string_view, 4> outcomeNames{"answered", "not-offered", "declined", "may-have-run"};
constexpr std::array<std::string_view, 3> upstreamStateNames{"ready", "draining", "unreachable"};

// Each overload lists the fields of a message in the order in which they are sent. M is const for encoding.
template<typename M>
concept IsLoadReport = std::is_same_v<std::remove_const_t<M>, LoadReport>;
template<typename M, typename T>
concept Is = std::is_same_v<std::remove_const_t<M>, T>;

auto fields(IsLoadReport auto &m)
{
    return std::tie(m.busy, m.limit, m.offeredLoad, m.makesCalls, m.workTimeFactor, m.newCallsPerS, m.declinedShare);
}
auto fields(Is<CallMessage> auto &m)
{
    return std::tie(m.callId,
                    m.upstreamId,
                    m.service,
                    m.requestId,
                    m.head,
                    m.body,
                    m.timeLeftMs,
                    m.latencyGoalMs,
                    m.priority,
                    m.treePriority,
                    m.kind,
                    m.nested,
                    m.idempotent,
                    m.headOnly,
                    m.offeredBefore);
}
auto fields(Is<ReplyMessage> auto &m)
{
    return std::tie(m.callId, m.outcome, m.status, m.head, m.body, m.reason, m.serviceMs, m.load);
}
auto fields(Is<CancelMessage> auto &m)
{
    return std::tie(m.callId);
}
auto fields(Is<UpstreamEntry> auto &m)
{
    return std::tie(m.id, m.service, m.domain, m.peerAddress, m.state, m.slots, m.warmUpLeftMs);
}
auto fields(Is<DrainedUpstream> auto &m)
{
    return std::tie(m.id, m.startedAt, m.sequence, m.isFinal);
}
auto fields(Is<StatusMessage> auto &m)
{
    return std::tie(m.upstreams, m.load);
}
auto fields(Is<DirectoryMessage> auto &m)
{
    return std::tie(m.upstreams, m.removed);
}
auto fields(Is<TeamDemand> auto &m)
{
    return std::tie(m.team, m.requestsPerS, m.unusedTokens, m.returnedTokens, m.receivedTokens, m.share, m.shareTokens, m.offlineTokens);
}
auto fields(Is<TeamShare> auto &m)
{
    return std::tie(m.team, m.share, m.tokens, m.reserve);
}
auto fields(Is<TokenRequest> auto &m)
{
    return std::tie(m.team, m.wanted, m.account, m.sequence);
}
auto fields(Is<TokenGrant> auto &m)
{
    return std::tie(m.team, m.granted, m.waitMs, m.account, m.sequence);
}
auto fields(Is<ServiceLevel> auto &m)
{
    return std::tie(m.service, m.level, m.own, m.isShortOfRetries, m.callsShortOfRetries);
}
auto fields(Is<SyncMessage> auto &m)
{
    return std::tie(m.sequence,
                    m.name,
                    m.peerAddress,
                    m.operatorAddress,
                    m.diskId,
                    m.configIndex,
                    m.directoryVersion,
                    m.directoryTerm,
                    m.upstreams,
                    m.drained,
                    m.needsDrained,
                    m.demand,
                    m.isFullDemand,
                    m.service,
                    m.load,
                    m.calledServices,
                    m.ownLevel,
                    m.account,
                    m.answeredSequence,
                    m.fleetSize);
}
auto fields(Is<SyncReplyMessage> auto &m)
{
    return std::tie(m.sequence,
                    m.leads,
                    m.leaderAddress,
                    m.majorityContactAgeMs,
                    m.configIndex,
                    m.hasDocument,
                    m.documentBase,
                    m.document,
                    m.hasDirectory,
                    m.directoryComplete,
                    m.directoryVersion,
                    m.directoryBase,
                    m.directoryTerm,
                    m.directory,
                    m.controlHosts,
                    m.shares,
                    m.hasDrained,
                    m.drained,
                    m.needsFullDemand,
                    m.levels,
                    m.account,
                    m.fleetSize,
                    m.evacuatedDomains);
}
auto fields(Is<ConsensusMessage> auto &m)
{
    return std::tie(m.sequence, m.sender, m.method, m.text);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template<typename T>
void packValue(Packer &packer, const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<std::underlying_type_t<T>>(value));
    } else if constexpr (requires { fields(value); }) {
        const auto list = fields(value);
        packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(list)>));
        std::apply(
            [&packer](const auto &...field) {
                (packValue(packer, field), ...);
            },
            list);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        packer.pack(value);
    } else {
        packer.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto &item : value) {
            packValue(packer, item);
        }
    }
}

bool isInRange(std::uint8_t value, CallOutcome /*unused*/)
{
    return value < outcomeNames.size();
}

bool isInRange(std::uint8_t value, UpstreamState /*unused*/)
{
    return value < upstreamStateNames.size();
}

template<typename T>
bool unpackValue(const msgpack::object &object, T &value)
{
    if constexpr (std::is_enum_v<T>) {
        std::underlying_type_t<T> number{};
        object.convert(number);
        value = static_cast<T>(number);
        return isInRange(number, value);
    } else if constexpr (requires { fields(value); }) {
        auto list = fields(value);
        if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<decltype(list)>) {
            return false;
        }
        std::size_t next = 0;
        return std::apply(
            [&](auto &...field) {
                return (unpackValue(object.via.array.ptr[next++], field) && ...);
            },
            list);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        object.convert(value);
        return true;
    } else {
        if (object.type != msgpack::type::ARRAY) {
            return false;
        }
        value.resize(object.via.array.size);
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (!unpackValue(object.via.array.ptr[i], value[i])) {
                return false;
            }
        }
        return true;
    }
}
}

std::string_view frameTypeName(FrameType type)
{
    const auto index = static_cast<std::size_t>(type) - 1;
    return index < frameTypeNames.size() ? frameTypeNames[index] : "unknown";
}

std::string_view outcomeName(CallOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view upstreamStateName(UpstreamState state)
{
    return upstreamStateNames[static_cast<std::size_t>(state)];
}

template<typename T>
std::string encode(const T &message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packValue(packer, message);
    return {buffer.data(), buffer.size()};
}

template<typename T>
bool decode(std::string_view text, T &message)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(text.data(), text.size());
        return unpackValue(handle.get(), message);
    } catch (const std::exception &) {
        // msgpack throws on any malformed input; the caller logs the error.
        return false;
    }
}

template std::string encode(const CallMessage &message);
template std::string encode(const ReplyMessage &message);
template std::string encode(const CancelMessage &message);
template std::string encode(const StatusMessage &message);
template std::string encode(const DirectoryMessage &message);
template std::string encode(const SyncMessage &message);
template std::string encode(const SyncReplyMessage &message);
template std::string encode(const ConsensusMessage &message);
template std::string encode(const TokenRequest &message);
template std::string encode(const TokenGrant &message);
template bool decode(std::string_view text, CallMessage &message);
template bool decode(std::string_view text, ReplyMessage &message);
template bool decode(std::string_view text, CancelMessage &message);
template bool decode(std::string_view text, StatusMessage &message);
template bool decode(std::string_view text, DirectoryMessage &message);
template bool decode(std::string_view text, SyncMessage &message);
template bool decode(std::string_view text, SyncReplyMessage &message);
template bool decode(std::string_view text, ConsensusMessage &message);
template bool decode(std::string_view text, TokenRequest &message);
template bool decode(std::string_view text, TokenGrant &message);
}
