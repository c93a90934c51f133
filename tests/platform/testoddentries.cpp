#include "deployment.h"

#include "../transport/rawclient.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace crocusport;

namespace {

constexpr std::size_t kDeepNesting = 200'000;
// A sanitized build needs some hundred milliseconds to read deeply nested entries.
constexpr int kMaxTries = 20;

std::string entryWith(const std::string &fields)
{
    return R"({"service":"pool","zone":"zone-1","slots":4,"state":"ready","born":1,"seq":1,)"
           R"("version":"v1","coldRemainingMs":0,"address":"127.0.0.1:9",)"
        + fields + "}";
}

//! Returns an entry, complete but for the field \a name.
std::string entryWithout(const std::string &name, const std::string &address)
{
    auto entry = nlohmann::json::parse(entryWith(R"("note":0)"));
    entry["address"] = address;
    entry["born"] = 5000;
    entry.erase(name);
    return entry.dump();
}

} // namespace

// Guards against one unreadable entry that ends the routers or stops them from following the list.
SCENARIO("Another writer leaves an odd entry among those of the servers")
{
    const auto odd = GENERATE(
        as<std::string> {}, "", "\xff\xfe\x01", std::string(kDeepNesting, '['),
        entryWith(R"("note":)" + std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']')),
        entryWith(R"("slots":1e999)"), entryWith(R"("slots":99999999999999999999999)"),
        entryWith(R"("slots":-1)"), entryWith(R"("coldRemainingMs":9223372036854775807)"),
        entryWith(R"("seq":18446744073709551616)"), entryWith(R"("born":"yesterday")"),
        entryWith(R"("address":"127.0.0.1:70000")"), entryWith(R"("address":"127.0.0.1:-1")"),
        entryWith(R"("state":"resting")"));
    CAPTURE(odd.substr(0, 120));
    LoopRunner runner;
    Deployment deployment(runner);
    const auto isServedBy = [&](const StandInServer &server) {
        const auto before = server.requests.size();
        RawClient client(runner.loop(), deployment.gateway->callersAddress());
        client.send(Deployment::request("safe"));
        return runner.runUntil([&] { return client.received().size() > 12; })
            && client.received().substr(9, 3) == "200" && server.requests.size() == before + 1;
    };
    const auto followsChanges = [&] {
        deployment.registerServer(deployment.second);
        deployment.store.erase("servers/first");
        for (int i = 0; i < kMaxTries; ++i) {
            deployment.settle();
            if (isServedBy(deployment.second))
                return true;
        }
        return false;
    };

    WHEN("routers are running")
    {
        REQUIRE(deployment.serve());
        deployment.store.put("servers/odd", odd);
        deployment.settle();
        REQUIRE(isServedBy(deployment.first));
        REQUIRE(followsChanges());
    }
    WHEN("a router starts")
    {
        deployment.store.put("servers/odd", odd);
        deployment.store.put("servers/", odd);
        REQUIRE(deployment.serve());
        REQUIRE(followsChanges());
    }
}

// Guards against an entry of another writer that names no server of the platform and gets requests,
// or takes the place of the server whose address it names.
SCENARIO("Another writer leaves an entry that lacks a field at the address of a server")
{
    const std::string field =
        GENERATE("service", "zone", "version", "slots", "state", "coldRemainingMs", "seq");
    CAPTURE(field);
    LoopRunner runner;
    Deployment deployment(runner);
    REQUIRE(deployment.serve());
    deployment.store.put("servers/odd", entryWithout(field, deployment.first.address().value()));
    deployment.settle();
    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(Deployment::request("safe"));
    REQUIRE(runner.runUntil([&] { return client.received().size() > 12; }));
    REQUIRE(client.received().substr(9, 3) == "200");
}
