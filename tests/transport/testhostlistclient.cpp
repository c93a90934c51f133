#include "looprunner.h"

#include "crocusport/protocol/hostlistcodec.h"
#include "crocusport/transport/hostlistclient.h"
#include "crocusport/transport/httpserver.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace crocusport;

SCENARIO("A router polls the host list")
{
    LoopRunner runner;
    const auto server = [](const std::string &name) {
        BackendServer result;
        result.name = BackendServerName(name);
        result.address = SocketAddress("127.0.0.1:9001");
        return result;
    };
    std::string body = writeHostList({ server("e2"), server("e1") });
    int status = 200;
    bool isUnresponsive = false;
    int polls = 0;
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    auto hostList = handleErrors(
        [&] {
            return HttpServer::create(runner.loop(), SocketAddress("127.0.0.1:0"), {},
                                      [&](const std::shared_ptr<HttpExchange> &exchange) {
                                          ++polls;
                                          if (isUnresponsive)
                                              unanswered.push_back(exchange);
                                          else
                                              exchange->reply(status, {}, body);
                                      });
        },
        [](const Error &error) -> std::unique_ptr<HttpServer> {
            throw std::runtime_error(error.message);
        });
    HttpClient http(runner.loop(), {});
    std::vector<std::vector<BackendServer>> lists;
    HostListClient client(runner.loop(), http,
                          { hostList->address(), std::chrono::milliseconds(30) },
                          [&](const auto &servers) { lists.push_back(servers); });
    REQUIRE(runner.runUntil([&] { return polls >= 3; }));

    THEN("each different list is reported once, regardless of its order")
    {
        REQUIRE(lists.size() == 1);
        REQUIRE(lists[0] == std::vector { server("e1"), server("e2") });
        body = writeHostList({ server("e1"), server("e2") });
        const int before = polls;
        REQUIRE(runner.runUntil([&] { return polls >= before + 3; }));
        REQUIRE(lists.size() == 1);
        body = writeHostList({ server("e1") });
        REQUIRE(runner.runUntil([&] { return lists.size() == 2; }));
        REQUIRE(client.servers() == std::vector { server("e1") });
    }

    // Guards against a failing host list emptying all pools.
    THEN("the last list stays in use while there is no valid one")
    {
        SECTION("status")
        {
            status = 500;
        }
        SECTION("content")
        {
            body = R"({"hosts":[{}]})";
        }
        SECTION("silence")
        {
            isUnresponsive = true;
        }
        REQUIRE(runner.runUntil([&] { return !client.lastError().empty(); }));
        REQUIRE(client.servers().size() == 2);
        status = 200;
        isUnresponsive = false;
        body = writeHostList({ server("e3") });
        REQUIRE(runner.runUntil([&] { return lists.size() == 2; }));
        REQUIRE(client.lastError().empty());
        REQUIRE(client.servers() == std::vector { server("e3") });
    }
}
