#include "crocusport/protocol/claimdocument.h"
#include "crocusport/protocol/etcdcodec.h"
#include "crocusport/protocol/hostlistcodec.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;
using namespace crocusport::test;

SCENARIO("Calls to the store follow the etcd v3 JSON gateway")
{
    using Json = nlohmann::json;

    // The texts are in the form of the gateway's documentation: "foo" is "Zm9v", "bar" "YmFy".
    // They guard against a request that means something else to the store.
    GIVEN("a compare-and-swap")
    {
        THEN("the request compares the modification revision and reads the entry otherwise")
        {
            const auto request =
                Json::parse(writeEtcdCompareAndSwap({ "foo", "bar", 5, LeaseId { 123 } }));
            const auto expected = Json::parse(R"({
                "compare": [{"key": "Zm9v", "target": "MOD", "result": "EQUAL", "mod_revision": "5"}],
                "success": [{"request_put": {"key": "Zm9v", "value": "YmFy", "lease": "123"}}],
                "failure": [{"request_range": {"key": "Zm9v"}}]})");
            REQUIRE(request == expected);
        }
        THEN("success, another value and no entry are told apart")
        {
            const auto reply = [](const std::string &text) {
                return valueOf([&] { return parseEtcdCompareAndSwap(text); });
            };
            const auto swapped = reply(R"({"header":{"revision":"6"},"succeeded":true,
                "responses":[{"response_put":{"header":{"revision":"6"}}}]})");
            REQUIRE(swapped->isSwapped);
            REQUIRE(swapped->revision == 6);
            const auto other = reply(R"({"header":{"revision":"9"},"responses":[{"response_range":
                {"kvs":[{"key":"Zm9v","value":"YmFy","mod_revision":"8"}],"count":"1"}}]})");
            REQUIRE_FALSE(other->isSwapped);
            REQUIRE(other->current->value == "bar");
            REQUIRE(other->current->modRevision == 8);
            const auto none = reply(R"({"header":{"revision":"9"},
                "responses":[{"response_range":{"header":{}}}]})");
            REQUIRE_FALSE(none->isSwapped);
            REQUIRE_FALSE(none->current.has_value());
        }
        // Guards against an answer that says nothing being taken for one of the above.
        THEN("an incomplete reply and an error are neither")
        {
            const auto error = [](const std::string &text) {
                return errorOf([&] { return parseEtcdCompareAndSwap(text); })->code;
            };
            REQUIRE(error("{}") == ResultCode::MalformedMessage);
            REQUIRE(error(R"({"header":{"revision":"9"}})") == ResultCode::MalformedMessage);
            REQUIRE(error(R"({"error":"too many requests","code":8})") == ResultCode::StoreError);
        }
    }

    GIVEN("reads, leases and watches")
    {
        THEN("replies give entries")
        {
            const auto range = valueOf([] {
                return parseEtcdRange(R"({"header":{"revision":"7"},"kvs":[
                    {"key":"Zm9v","mod_revision":"3","version":"1","value":"YmFy"}],"count":"1"})");
            });
            REQUIRE(range->revision == 7);
            REQUIRE(range->entries.at(0).key == "foo");
            REQUIRE(range->entries.at(0).modRevision == 3);
        }
        THEN("an expired lease is not found")
        {
            REQUIRE(valueOf([] { return parseEtcdLeaseGrant(R"({"ID":"12","TTL":"60"})"); }) == 12);
            REQUIRE(valueOf([] {
                        return parseEtcdLeaseKeepAlive(R"({"result":{"ID":"12","TTL":"60"}})");
                    })
                    == 12);
            REQUIRE(
                errorOf([] { return parseEtcdLeaseKeepAlive(R"({"result":{"ID":"12"}})"); })->code
                == ResultCode::NotFound);
        }
        THEN("a watch reports changes, deletions and its end")
        {
            const auto reply = valueOf([] {
                return parseEtcdWatch(R"({"result":{"header":{"revision":"5"},"events":[
                    {"kv":{"key":"Zm9v","value":"YmFy","mod_revision":"5"}},
                    {"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"6"}}]}})");
            });
            REQUIRE(reply->events.at(0).entry->value == "bar");
            REQUIRE_FALSE(reply->events.at(1).entry.has_value());
            REQUIRE(errorOf([] {
                        return parseEtcdWatch(
                            R"({"result":{"canceled":true,"compact_revision":"9"}})");
                    })->message
                    == "store has ended the watch: revision is compacted");
        }
    }

    rc::prop("any key and value survive, also as bytes that are not UTF-8", [] {
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto value = *rc::gen::arbitrary<std::string>();
        const auto put = Json::parse(writeEtcdPut(key, value));
        const Json reply { { "kvs", Json::array({ put }) } };
        const auto range = valueOf([&] { return parseEtcdRange(reply.dump()); });
        RC_ASSERT(range->entries.at(0).key == key);
        RC_ASSERT(range->entries.at(0).value == value);
    });

    rc::prop("random and mutated replies never crash and errors are clear", [] {
        const auto codes = { ResultCode::MalformedMessage, ResultCode::StoreError,
                             ResultCode::NotFound };
        const auto body = hostileInput(R"({"header":{"revision":"5"},"succeeded":false,"kvs":[
            {"key":"Zm9v","value":"YmFy"}],"responses":[{"response_range":{"kvs":[{"key":"Zm9v"}]}}],
            "ID":"7","result":{"ID":"7","TTL":"9","events":[{"type":"PUT","kv":{"key":"Zm9v"}}]}})");
        requireClear(errorOf([&] { return parseEtcdRange(body); }), codes);
        requireClear(errorOf([&] { return parseEtcdCompareAndSwap(body); }), codes);
        requireClear(errorOf([&] { return parseEtcdLeaseGrant(body); }), codes);
        requireClear(errorOf([&] { return parseEtcdLeaseKeepAlive(body); }), codes);
        requireClear(errorOf([&] { return parseEtcdWatch(body); }), codes);
    });
}

SCENARIO("The host list is read")
{
    const std::vector<BackendServer> servers {
        { BackendServerName("e1"), SocketAddress("127.0.0.1:9001"), AvailabilityZone("kudus"),
          Region("java"), PoolName("assistant"), BackendServerState::Live, StartNumber(3), 8 },
        { BackendServerName("e2"), SocketAddress("[::1]:9002"), AvailabilityZone("salatiga"),
          Region("java"), PoolName("assistant"), BackendServerState::Leaving, StartNumber(4), 1 }
    };
    const auto faultOf = [](std::vector<BackendServer> list) {
        return errorOf([&] { return parseHostList(writeHostList(list)); })->message;
    };

    THEN("what was written is read back")
    {
        REQUIRE(valueOf([&] { return parseHostList(writeHostList(servers)); }) == servers);
        REQUIRE(valueOf([] { return parseBackendHealth(R"({"state":"leaving","start":4})"); })
                == BackendHealth { BackendServerState::Leaving, StartNumber(4) });
    }

    // Guards against a partly valid list emptying a pool.
    THEN("one invalid entry makes the list invalid")
    {
        auto twice = servers;
        twice[1].name = twice[0].name;
        REQUIRE(faultOf(twice) == "host list: e1 is empty or occurs twice");
        auto address = servers;
        address[1].address = SocketAddress("somewhere:80");
        REQUIRE(faultOf(address) == "host list: e2 has an address that is not ip:port");
        auto slots = servers;
        slots[1].slots = 0;
        REQUIRE(faultOf(slots) == "host list: e2 has slots that are not within 1 to 100000");
        REQUIRE(errorOf([] { return parseHostList(R"({"hosts":[{"name":"e1"}]})"); })->message
                == "host list: hosts.address is missing");
    }

    rc::prop("random and mutated lists never crash and errors are clear", [&] {
        const auto body = hostileInput(writeHostList(servers));
        requireClear(errorOf([&] { return parseHostList(body); }),
                     { ResultCode::MalformedMessage });
        requireClear(errorOf([&] { return parseBackendHealth(body); }),
                     { ResultCode::MalformedMessage });
    });
}

SCENARIO("A claim is stored as a document")
{
    StoredResponse response { 200, "application/json", std::string("\x00\xFF{}", 4) };
    const ClaimRecord claim { ClaimState::Completed,
                              RouterName("r1"),
                              Incarnation(5),
                              RequestId("q1"),
                              "a1",
                              std::string(64, 'a'),
                              writeStoredResponse(response) };

    // Guards against a retry that receives a response other than the one of its request.
    THEN("what was written is read back, also a body that is not UTF-8")
    {
        const auto read = claimDocumentCodec().decode(writeClaim(claim));
        REQUIRE(read == claim);
        REQUIRE(valueOf([&] { return parseStoredResponse(*read->response); }) == response);
    }

    THEN("a response that is too large is not stored, and the largest still is")
    {
        response.body.assign(kMaxStoredBodyBytes + 1, 'x');
        REQUIRE_FALSE(writeStoredResponse(response).has_value());
        response.body.pop_back();
        auto largest = claim;
        largest.response = writeStoredResponse(response);
        REQUIRE(claimDocumentCodec().decode(writeClaim(largest)) == largest);
    }

    rc::prop("random and mutated claims never crash and errors are clear", [&] {
        const auto text = hostileInput(writeClaim(claim));
        requireClear(errorOf([&] { return parseClaim(text); }), { ResultCode::MalformedMessage });
        const auto data = hostileInput(*claim.response);
        requireClear(errorOf([&] { return parseStoredResponse(data); }),
                     { ResultCode::MalformedMessage });
    });
}
