#include "standins/base64.h"
#include "standins/callratelimiter.h"
#include "standins/storegateway.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace crocusport;
using nlohmann::json;

namespace {

json createIfAbsent(const std::string &key, const std::string &value)
{
    return { { "compare",
               { { { "key", base64Encode(key) },
                   { "target", "MOD" },
                   { "result", "EQUAL" },
                   { "mod_revision", "0" } } } },
             { "success",
               { { { "request_put",
                     { { "key", base64Encode(key) }, { "value", base64Encode(value) } } } } } },
             { "failure", { { { "request_range", { { "key", base64Encode(key) } } } } } } };
}

} // namespace

SCENARIO("The simulated store compares and swaps like etcd")
{
    StoreGateway gateway;
    const Instant now {};

    GIVEN("a key created by a transaction")
    {
        const auto first = gateway.call("/v3/kv/txn", createIfAbsent("claim", "one"), now);
        REQUIRE(first.body["succeeded"] == true);
        REQUIRE(first.body["header"]["revision"] == "2");

        // Guards against a store that lets two claims succeed and so hides a double execution.
        THEN("a second creation fails and shows the first value")
        {
            const auto second = gateway.call("/v3/kv/txn", createIfAbsent("claim", "two"), now);
            REQUIRE_FALSE(second.body.contains("succeeded"));
            const auto &entry = second.body["responses"][0]["response_range"]["kvs"][0];
            REQUIRE(entry["value"] == base64Encode("one"));
            REQUIRE(entry["mod_revision"] == "2");
            REQUIRE(second.body["header"]["revision"] == "2");
        }
        // Guards against revisions that do not order changes.
        THEN("a later change has a higher revision and keeps the creation's")
        {
            const auto key = base64Encode("claim");
            gateway.call("/v3/kv/put", { { "key", key }, { "value", base64Encode("x") } }, now);
            const auto range = gateway.call("/v3/kv/range", { { "key", key } }, now);
            REQUIRE(range.body["kvs"][0]["create_revision"] == "2");
            REQUIRE(range.body["kvs"][0]["mod_revision"] == "3");
            REQUIRE(range.body["kvs"][0]["version"] == "2");
            REQUIRE(range.body["count"] == "1");
        }
        THEN("deleting it is an event that a watch from an old revision still gets")
        {
            const auto key = base64Encode("claim");
            const auto reply = gateway.call("/v3/kv/deleterange", { { "key", key } }, now);
            REQUIRE(reply.body["deleted"] == "1");
            const auto events = gateway.state().eventsFrom(2, "claim", "");
            REQUIRE(events.size() == 2);
            const auto message = gateway.watchMessage(events);
            REQUIRE_FALSE(message["result"]["events"][0].contains("type"));
            REQUIRE(message["result"]["events"][1]["type"] == "DELETE");
            REQUIRE(gateway.state().eventsFrom(3, "claim", "").size() == 1);
        }
    }

    // Guards against claims that vanish early, or never.
    GIVEN("a key attached to a lease of 2 s")
    {
        const auto lease = gateway.call("/v3/lease/grant", { { "TTL", "2" } }, now).body["ID"];
        gateway.call("/v3/kv/put",
                     { { "key", base64Encode("role") },
                       { "value", base64Encode("r1") },
                       { "lease", lease } },
                     now);
        THEN("it exists until the lease ends")
        {
            gateway.state().expireLeases(now + std::chrono::milliseconds(1999));
            REQUIRE(gateway.state().get("role"));
            gateway.state().expireLeases(now + std::chrono::seconds(2));
            REQUIRE_FALSE(gateway.state().get("role"));
        }
        THEN("keeping the lease alive keeps it")
        {
            gateway.call("/v3/lease/keepalive", { { "ID", lease } }, now + std::chrono::seconds(1));
            gateway.state().expireLeases(now + std::chrono::milliseconds(2500));
            REQUIRE(gateway.state().get("role"));
        }
        THEN("revoking the lease removes it, and an ended lease can't be used")
        {
            gateway.call("/v3/lease/revoke", { { "ID", lease } }, now);
            REQUIRE_FALSE(gateway.state().get("role"));
            const auto reply = gateway.call(
                "/v3/kv/put", { { "key", base64Encode("role") }, { "lease", lease } }, now);
            REQUIRE(reply.status == 404);
        }
    }
}

TEST_CASE("Base64 of any bytes decodes to the same bytes")
{
    // Guards against binary keys and values that change on their way.
    const bool isSame = rc::check(
        [](const std::string &data) { RC_ASSERT(base64Decode(base64Encode(data)) == data); });
    REQUIRE(isSame);
    REQUIRE_FALSE(base64Decode("abc"));
}

SCENARIO("The simulated store limits the rate of calls")
{
    // Guards against measurements of a store without the platform's limit.
    GIVEN("a limit of 100 calls per second")
    {
        CallRateLimiter limiter(100);
        Instant now { std::chrono::seconds(1) };
        int accepted = 0;
        for (int call = 0; call < 2000; ++call, now += std::chrono::milliseconds(1))
            accepted += limiter.take(now) ? 1 : 0;
        THEN("2 s of 1000 calls per second pass 200 and the burst of a quarter second")
        {
            REQUIRE(accepted >= 200);
            REQUIRE(accepted <= 226);
        }
    }
}
