#include "crocusport/protocol/peermessagecodec.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;
using namespace crocusport::test;

namespace {

template<typename T>
T any()
{
    if constexpr (requires { typename T::ValueType; })
        return T(any<typename T::ValueType>());
    else
        return *rc::gen::arbitrary<T>();
}

Duration anyDuration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(-1'000'000'000'000, 1'000'000'000'000));
}

MemberInfo anyMember()
{
    return { any<RouterName>(),
             any<Incarnation>(),
             any<SocketAddress>(),
             any<AvailabilityZone>(),
             any<Region>(),
             *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Dead,
                               MemberState::Leaving) };
}

template<typename Message>
Message anyGossip()
{
    Message message { any<std::uint64_t>(), {}, {}, any<ConfigurationVersion>() };
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        message.updates.push_back(anyMember());
        message.observations.push_back(
            { *rc::gen::element(ObservationKind::Leaving, ObservationKind::Crashed,
                                ObservationKind::Suspected),
              any<BackendServerName>(), any<StartNumber>(), any<std::string>(),
              any<Fingerprint>() });
    }
    return message;
}

SlotRequestMessage anySlotRequest()
{
    SlotRequestMessage message;
    message.request = { any<RequestId>(),
                        any<RouterName>(),
                        any<PoolName>(),
                        any<ClassName>(),
                        any<TeamName>(),
                        Tier(*rc::gen::inRange(kUrgentTier, kLowestTier + 1)),
                        {},
                        {},
                        any<PrefixHash>(),
                        any<Fingerprint>(),
                        any<AvailabilityZone>(),
                        {},
                        {} };
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
        message.request.excluded.push_back(any<BackendServerName>());
    if (any<bool>())
        message.request.runningOn = any<BackendServerName>();
    message.waited = anyDuration();
    message.remaining = anyDuration();
    return message;
}

PeerMessage anyMessage(std::size_t index)
{
    switch (index) {
    case 0:
        return HelloMessage { any<std::uint32_t>(), anyMember(), any<std::string>(),
                              any<std::string>() };
    case 1:
        return anyGossip<PingMessage>();
    case 2:
        return anyGossip<AckMessage>();
    case 3:
        return PingRequestMessage { any<std::uint64_t>(), any<RouterName>() };
    case 4:
        return PingReplyMessage { any<std::uint64_t>(), any<RouterName>(), any<bool>() };
    case 5:
        return ConfigurationRequestMessage { any<ConfigurationVersion>() };
    case 6:
        return ConfigurationMessage { any<ConfigurationVersion>(), any<std::string>() };
    case 7:
        return anySlotRequest();
    case 8:
        return SlotQueuedMessage { any<RequestId>(), any<std::uint32_t>(), anyDuration() };
    case 9:
        return SlotGrantMessage { { any<RequestId>(), any<RouterName>(), any<PoolName>(),
                                    any<BackendServerName>() } };
    case 10:
        return SlotRefusedMessage { { any<RequestId>(), any<RouterName>(), any<PoolName>(),
                                      any<int>(), anyDuration() } };
    case 11:
        return SlotReleaseMessage {
            { any<RequestId>(), any<PoolName>(), any<BackendServerName>(),
              *rc::gen::element(ReleaseReason::Completed, ReleaseReason::Crashed,
                                ReleaseReason::TimedOut),
              anyDuration(), anyDuration(), anyDuration(), any<std::uint32_t>() }
        };
    case 12:
        return SlotCancelMessage { any<RequestId>(), any<PoolName>() };
    case 13:
        return ExplainRequestMessage { any<std::uint64_t>(), any<RequestId>() };
    default:
        return ExplainReplyMessage { any<std::uint64_t>(), any<std::vector<std::string>>() };
    }
}

PeerMessage anyMessage()
{
    return anyMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<PeerMessage>));
}

std::optional<Error> decodingError(const std::string &data)
{
    return errorOf([&] { return decodePeerMessage(data); });
}

std::string cborOf(const nlohmann::json &json)
{
    std::string data;
    nlohmann::json::to_cbor(json, data);
    return data;
}

} // namespace

// Guards against a field that is written but not read, or read with another key or type. Messages
// have no comparison, so the decoded message is encoded once more and the independently decoded
// maps are compared; the fields below check that the map holds the values.
TEST_CASE("Each peer message survives encoding and decoding")
{
    for (std::size_t index = 0; index < std::variant_size_v<PeerMessage>; ++index) {
        rc::prop("message with index " + std::to_string(index), [index] {
            const auto message = anyMessage(index);
            const auto data = encodePeerMessage(message);
            const auto decoded = valueOf([&] { return decodePeerMessage(data); });
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->index() == index);
            RC_ASSERT(encodePeerMessage(*decoded) == data);
        });
    }

    rc::prop("a slot request keeps its values", [] {
        const auto message = anySlotRequest();
        const auto decoded = valueOf([&] { return decodePeerMessage(encodePeerMessage(message)); });
        RC_ASSERT(decoded.has_value());
        const auto &copy = std::get<SlotRequestMessage>(*decoded);
        RC_ASSERT(copy.request.request == message.request.request);
        RC_ASSERT(copy.request.tier == message.request.tier);
        RC_ASSERT(copy.request.excluded == message.request.excluded);
        RC_ASSERT(copy.request.runningOn == message.request.runningOn);
        RC_ASSERT(copy.request.fingerprint == message.request.fingerprint);
        RC_ASSERT(copy.waited == message.waited);
        RC_ASSERT(copy.remaining == message.remaining);
    });

    rc::prop("gossip keeps its values", [] {
        const auto message = anyGossip<PingMessage>();
        const auto decoded = valueOf([&] { return decodePeerMessage(encodePeerMessage(message)); });
        RC_ASSERT(decoded.has_value());
        const auto &copy = std::get<PingMessage>(*decoded);
        RC_ASSERT(copy.sequence == message.sequence);
        RC_ASSERT(copy.updates == message.updates);
        RC_ASSERT(copy.observations == message.observations);
        RC_ASSERT(copy.configurationVersion == message.configurationVersion);
    });
}

SCENARIO("A peer sends something other than a message of this version")
{
    auto ping = nlohmann::json { { "type", "ping" },
                                 { "seq", 7 },
                                 { "up", nlohmann::json::array() },
                                 { "obs", nlohmann::json::array() },
                                 { "cv", 3 } };

    // Guards against newer routers breaking older ones during a rolling upgrade.
    WHEN("a field is unknown")
    {
        ping["added_later"] = { 1, 2, 3 };
        THEN("it is ignored")
        {
            REQUIRE_FALSE(decodingError(cborOf(ping)));
        }
    }

    // Guards against exceptions of the JSON library and against silently used defaults.
    WHEN("a field is missing or has another type")
    {
        auto missing = ping;
        missing.erase("seq");
        auto text = ping;
        text["seq"] = "7";
        auto negative = ping;
        negative["cv"] = -1;
        auto notAnObject = ping;
        notAnObject["up"] = { 1 };
        THEN("the error names the field")
        {
            REQUIRE(decodingError(cborOf(missing))->message == "peer message ping: seq is missing");
            REQUIRE(decodingError(cborOf(text))->code == ResultCode::MalformedMessage);
            REQUIRE(decodingError(cborOf(negative))->message.find("cv") != std::string::npos);
            REQUIRE(decodingError(cborOf(notAnObject))->message.find("up.") != std::string::npos);
        }
    }

    // Guards against exhaustion of the stack: the decoder recurses for each level.
    WHEN("arrays or indefinite-length strings are nested a million deep")
    {
        const std::string arrays(1'000'000, '\x81');
        const std::string strings(1'000'000, '\x7F');
        THEN("they are rejected")
        {
            REQUIRE(decodingError(arrays)->code == ResultCode::MalformedMessage);
            REQUIRE(decodingError(strings)->code == ResultCode::MalformedMessage);
        }
    }

    WHEN("a message is larger than the limit")
    {
        const std::string large(kMaxPeerMessageBytes + 1, '\0');
        THEN("it is rejected unread")
        {
            REQUIRE(decodingError(large)->code == ResultCode::MessageTooLarge);
        }
    }

    rc::prop("random and mutated bytes never crash and errors are clear", [] {
        const auto data = hostileInput(encodePeerMessage(anyMessage()));
        requireClear(decodingError(data), { ResultCode::MalformedMessage });
    });
}
