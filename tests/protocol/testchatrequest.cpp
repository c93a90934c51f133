#include "crocusport/protocol/chatrequest.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;
using namespace crocusport::test;

namespace {

const std::string kBody =
    R"({"model":"m1", "stream" : true,"max_tokens":64,"messages":[{"role":"user","content":"hi"}]})";

std::optional<ChatRequest> parsed(const std::string &body)
{
    return valueOf([&] { return parseChatRequest(body); });
}

std::string bodyWith(const nlohmann::json &messages)
{
    return nlohmann::json({ { "model", "m1" }, { "messages", messages } }).dump();
}

ResultCode codeOf(const std::string &body)
{
    const auto error = errorOf([&] { return parseChatRequest(body); });
    return error ? error->code : ResultCode::Ok;
}

} // namespace

SCENARIO("A router reads a chat completions request")
{
    // Guards against keys of nested objects being taken for those of the request.
    THEN("only members of the request itself count")
    {
        REQUIRE(parsed(kBody) == ChatRequest { "m1", true, 64, PrefixHash() });
        const auto nested = parsed(R"({"model":"m1","messages":[{"model":"m2","stream":true}],)"
                                   R"("metadata":{"model":3,"stream":"x","max_tokens":-1}})");
        REQUIRE(nested == ChatRequest { "m1", false, std::nullopt, PrefixHash() });
    }

    // Guards against conversations that share a prompt prefix being spread over engines.
    THEN("requests with the same long prefix have the same hash")
    {
        const std::string prefix(kPrefixBytes, 'p');
        const auto first = parsed(bodyWith({ { { "content", prefix + "one" } } }));
        const auto parts = nlohmann::json { { { "type", "text" }, { "text", prefix } } };
        const auto second =
            parsed(bodyWith({ { { "content", parts } }, { { "content", "two" } } }));
        const auto other = parsed(bodyWith({ { { "content", "x" + prefix } } }));
        const auto shortText = parsed(bodyWith({ { { "content", prefix.substr(1) } } }));
        REQUIRE(first->prefix != PrefixHash());
        REQUIRE(first->prefix == second->prefix);
        REQUIRE(first->prefix != other->prefix);
        REQUIRE(shortText->prefix == PrefixHash());
    }

    THEN("invalid requests are told apart")
    {
        REQUIRE(codeOf("{\"model\":") == ResultCode::BadJson);
        REQUIRE(codeOf("[]") == ResultCode::BadRequest);
        REQUIRE(codeOf("7") == ResultCode::BadRequest);
        REQUIRE(codeOf(R"({"messages":[]})") == ResultCode::BadRequest);
        REQUIRE(codeOf(R"({"model":"m1"})") == ResultCode::BadRequest);
        REQUIRE(codeOf(R"({"model":"m1","messages":[],"stream":1})") == ResultCode::BadRequest);
        REQUIRE(codeOf(R"({"model":"m1","messages":[],"max_tokens":-1})")
                == ResultCode::BadRequest);
        REQUIRE(codeOf(std::string(100'000, '[')) == ResultCode::BadRequest);
        REQUIRE(codeOf(R"({"a":)" + std::string(100'000, '[')) == ResultCode::BadRequest);
    }

    rc::prop("random and mutated bodies never crash and errors are clear", [] {
        const auto body = hostileInput(kBody);
        const auto error = errorOf([&] { return parseChatRequest(body); });
        requireClear(error, { ResultCode::BadJson, ResultCode::BadRequest });
        const auto forwarded = withPriority(body, 1);
        if (!error)
            RC_ASSERT(nlohmann::json::parse(forwarded).at("priority") == 1);
    });
}

SCENARIO("A router sets the priority of a forwarded request")
{
    THEN("the rest of the body is unchanged")
    {
        REQUIRE(withPriority(kBody, 3) == "{\"priority\":3," + kBody.substr(1));
        REQUIRE(withPriority(" { }", 3) == " {\"priority\":3 }");
    }

    // Guards against callers that raise their own priority.
    THEN("a priority written by the caller is replaced, wherever and however it is written")
    {
        const std::string body = R"({"a":{"priority":1},"priority" :-9 ,"b":["}\"",{}],)"
                                 R"("\u0070riority":[1,{"x":2}],"c":"priority","priority":"x"})";
        REQUIRE(withPriority(body, 3)
                == R"({"a":{"priority":1},"priority" :3,"b":["}\"",{}],)"
                   R"("\u0070riority":3,"c":"priority","priority":3})");
    }

    rc::prop("the result is the same JSON with the priority set", [] {
        nlohmann::json json { { "model", "m" } };
        const auto members =
            *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::vector<int>>>>();
        for (const auto &[key, value] : members)
            json[std::string(1, static_cast<char>(key % 0x5E + ' '))] = value;
        if (*rc::gen::arbitrary<bool>())
            json["priority"] = *rc::gen::arbitrary<int>();
        const auto result = nlohmann::json::parse(withPriority(json.dump(), 7));
        json["priority"] = 7;
        RC_ASSERT(result == json);
    });
}

// Guards against a crash mark that hits requests of other teams or classes, or all requests without
// a body of one class.
TEST_CASE("Fingerprints differ when team, class, target or body differ")
{
    const auto of = [](const char *team, const char *requestClass, const char *target,
                       const char *body) {
        return fingerprintOf(TeamName(team), ClassName(requestClass), target, body);
    };
    const auto fingerprint = of("t", "c", "/a", "body");
    REQUIRE(fingerprint == of("t", "c", "/a", "body"));
    REQUIRE(fingerprint != of("tc", "", "/a", "body"));
    REQUIRE(fingerprint != of("t", "d", "/a", "body"));
    REQUIRE(fingerprint != of("t", "c", "/a", "bodies"));
    REQUIRE(of("t", "c", "/a", "") != of("t", "c", "/b", ""));
}
