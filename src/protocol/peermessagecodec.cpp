#include "crocusport/protocol/peermessagecodec.h"

#include "cborstructure.h"
#include "jsonfields.h"

#include <iterator>
#include <utility>

namespace crocusport {

namespace {

// Names of the messages, by their index in PeerMessage.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> kTypeNames = {
    "hello",    "ping",     "ack",      "ping_req",    "ping_rep",
    "conf_req", "conf",     "slot_req", "slot_queued", "slot_grant",
    "slot_ref", "slot_rel", "slot_can", "explain_req", "explain_rep"
};

} // namespace

void describe(auto &fields, Is<MemberInfo> auto &member)
{
    fields.required("n", member.name);
    fields.required("i", member.incarnation);
    fields.required("a", member.address);
    fields.required("z", member.zone);
    fields.required("r", member.region);
    fields.required("s", member.state);
}

void describe(auto &fields, Is<Observation> auto &observation)
{
    fields.required("k", observation.kind);
    fields.required("s", observation.server);
    fields.required("t", observation.start);
    fields.defaulted("c", observation.crash);
    fields.defaulted("f", observation.fingerprint);
}

void describe(auto &fields, Is<HelloMessage> auto &message)
{
    fields.required("v", message.protocolVersion);
    fields.required("self", message.self);
    fields.bytes("nonce", message.nonce);
    fields.bytes("proof", message.proof);
}

namespace {

void describeGossip(auto &fields, auto &message)
{
    fields.required("seq", message.sequence);
    fields.required("up", message.updates);
    fields.required("obs", message.observations);
    fields.required("cv", message.configurationVersion);
}

} // namespace

void describe(auto &fields, Is<PingMessage> auto &message)
{
    describeGossip(fields, message);
}

void describe(auto &fields, Is<AckMessage> auto &message)
{
    describeGossip(fields, message);
}

void describe(auto &fields, Is<PingRequestMessage> auto &message)
{
    fields.required("seq", message.sequence);
    fields.required("to", message.target);
}

void describe(auto &fields, Is<PingReplyMessage> auto &message)
{
    fields.required("seq", message.sequence);
    fields.required("to", message.target);
    fields.required("ok", message.isReached);
}

void describe(auto &fields, Is<ConfigurationRequestMessage> auto &message)
{
    fields.required("have", message.haveVersion);
}

void describe(auto &fields, Is<ConfigurationMessage> auto &message)
{
    fields.required("cv", message.version);
    fields.required("doc", message.document);
}

void describe(auto &fields, Is<SlotRequestMessage> auto &message)
{
    auto &request = message.request;
    fields.required("id", request.request);
    fields.required("rt", request.router);
    fields.required("p", request.pool);
    fields.required("c", request.requestClass);
    fields.required("tm", request.team);
    fields.required("ti", request.tier);
    fields.defaulted("px", request.prefix);
    fields.required("fp", request.fingerprint);
    fields.required("z", request.zone);
    fields.defaulted("ex", request.excluded);
    fields.optional("on", request.runningOn);
    fields.required("w", message.waited);
    fields.required("rem", message.remaining);
}

void describe(auto &fields, Is<SlotQueuedMessage> auto &message)
{
    fields.required("id", message.request);
    fields.required("pos", message.position);
    fields.required("w", message.estimatedWait);
}

void describe(auto &fields, Is<SlotGrantMessage> auto &message)
{
    auto &grant = message.grant;
    fields.required("id", grant.request);
    fields.required("rt", grant.router);
    fields.required("p", grant.pool);
    fields.required("s", grant.server);
}

void describe(auto &fields, Is<SlotRefusedMessage> auto &message)
{
    auto &refusal = message.refusal;
    fields.required("id", refusal.request);
    fields.required("rt", refusal.router);
    fields.required("p", refusal.pool);
    fields.required("code", refusal.code);
    fields.required("ra", refusal.retryAfter);
}

void describe(auto &fields, Is<SlotReleaseMessage> auto &message)
{
    auto &release = message.release;
    fields.required("id", release.request);
    fields.required("p", release.pool);
    fields.required("s", release.server);
    fields.required("why", release.reason);
    fields.defaulted("ft", release.firstToken);
    fields.defaulted("gap", release.tokenGap);
    fields.defaulted("sv", release.serviceTime);
    fields.defaulted("out", release.outputTokens);
}

void describe(auto &fields, Is<SlotCancelMessage> auto &message)
{
    fields.required("id", message.request);
    fields.required("p", message.pool);
}

void describe(auto &fields, Is<ExplainRequestMessage> auto &message)
{
    fields.required("seq", message.sequence);
    fields.required("id", message.request);
}

void describe(auto &fields, Is<ExplainReplyMessage> auto &message)
{
    fields.required("seq", message.sequence);
    fields.required("ev", message.events);
}

namespace {

template<std::size_t index = 0>
Result<PeerMessage> decodeFields(const nlohmann::json &json, std::string_view type)
{
    if constexpr (index == kTypeNames.size()) {
        return makeError(ResultCode::MalformedMessage, "peer message has an unknown type");
    } else {
        if (type != kTypeNames[index])
            return decodeFields<index + 1>(json, type);
        std::variant_alternative_t<index, PeerMessage> message;
        FieldReader reader(json);
        describe(reader, message);
        if (!reader.error().empty())
            return makeError(ResultCode::MalformedMessage,
                             "peer message " + std::string(type) + ": " + reader.error());
        return PeerMessage(std::in_place_index<index>, std::move(message));
    }
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return std::visit(
        [&](const auto &alternative) {
            FieldWriter writer;
            describe(writer, alternative);
            auto json = writer.take();
            json["type"] = kTypeNames.at(message.index());
            std::string data;
            nlohmann::json::to_cbor(json, data);
            return data;
        },
        message);
}

Result<PeerMessage> decodePeerMessage(std::string_view data)
{
    if (data.size() > kMaxPeerMessageBytes)
        return makeError(ResultCode::MessageTooLarge,
                         "peer message has " + std::to_string(data.size()) + " bytes; allowed are "
                             + std::to_string(kMaxPeerMessageBytes));
    if (const auto fault = findCborFault(data, CborLimits {}); !fault.empty())
        return makeError(ResultCode::MalformedMessage, "peer " + std::string(fault));
    const auto json = nlohmann::json::from_cbor(data, true, false);
    if (!json.is_object())
        return makeError(ResultCode::MalformedMessage, "peer message is not a CBOR map");
    const auto type = json.find("type");
    const auto *name = type == json.end() ? nullptr : type->get_ptr<const std::string *>();
    if (!name)
        return makeError(ResultCode::MalformedMessage, "peer message has no type");
    return decodeFields(json, *name);
}

} // namespace crocusport
