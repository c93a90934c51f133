#include "looprunner.h"
#include "rawclient.h"

#include "crocusport/transport/clientmemory.h"
#include "crocusport/transport/httpserver.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace crocusport;

namespace {

constexpr const char *kSmallRequest =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";

ClientMemory::Limits smallBudget()
{
    auto limits = ClientMemory::limitsOf(0);
    limits.maxWait = std::chrono::milliseconds(300);
    return limits;
}

} // namespace

SCENARIO("Clients outside the limits share a server with ordinary ones")
{
    LoopRunner runner;
    ClientMemory memory(smallBudget());
    HttpServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(300);
    limits.maxConnections = 3;
    limits.maxFields = 20;
    limits.replacesIdle = true;
    const auto server = handleErrors(
        [&] {
            return HttpServer::create(
                runner.loop(), SocketAddress("127.0.0.1:0"), limits,
                [](const auto &exchange) { exchange->reply(200, {}, "done"); }, &memory);
        },
        [](const Error &error) -> std::unique_ptr<HttpServer> {
            throw std::runtime_error(error.message);
        });
    RawClient client(runner.loop(), server->address());
    const auto isServed = [&](RawClient &from) {
        from.send(kSmallRequest);
        return runner.runUntil([&] { return from.received().ends_with("done") || from.isClosed(); })
            && from.received().ends_with("done");
    };

    SECTION("a body that trickles is given up after the idle time, although bytes arrive")
    {
        // Guards against connections that hold a body for as long as they send single bytes.
        client.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
        for (int i = 0; i < 100 && client.received().empty(); ++i) {
            client.send("x");
            runner.runFor(Milliseconds(20));
        }
        CHECK(client.received().starts_with("HTTP/1.1 408"));
        CHECK(memory.losses(ClientLoss::TooSlow) == 1);
    }

    SECTION("a body whose sender pauses for less than the idle time is served")
    {
        // Guards against a pace that refuses clients inside the limits.
        client.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n");
        for (int i = 0; i < 4; ++i) {
            runner.runFor(Milliseconds(150));
            client.send(std::string(1000, 'x'));
        }
        CHECK(runner.runUntil([&] { return !client.received().empty(); }));
        CHECK(client.received().starts_with("HTTP/1.1 200"));
    }

    SECTION("a request of very many fields is refused before they are copied")
    {
        std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n";
        for (int i = 0; i < 21; ++i)
            request += "b: c\r\n";
        client.send(request + "\r\n");
        CHECK(runner.runUntil([&] { return !client.received().empty(); }));
        CHECK(client.received().starts_with("HTTP/1.1 431"));
    }

    SECTION("an idle connection gives way to a new one")
    {
        // Guards against a crowd of idle connections that shuts out new callers.
        RawClient second(runner.loop(), server->address());
        RawClient third(runner.loop(), server->address());
        RawClient fourth(runner.loop(), server->address());
        CHECK(isServed(fourth));
        CHECK(server->connectionCount() <= limits.maxConnections);
    }

    SECTION("a large body waits while another one holds the memory, and small ones pass")
    {
        const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n";
        client.send(head + std::string(100'000, 'x'));
        runner.runUntil([&] { return memory.heldBytes(ClientCharge::Body) > 0; });
        RawClient second(runner.loop(), server->address());
        second.send(head + std::string(100'000, 'x'));
        CHECK(runner.runUntil([&] { return memory.waitingCount() > 0; }));
        RawClient third(runner.loop(), server->address());
        CHECK(isServed(third));

        SECTION("it is served when the other one ends")
        {
            client.send(std::string(3'900'000, 'x'));
            second.send(std::string(3'900'000, 'x'));
            CHECK(runner.runUntil([&] { return !second.received().empty(); }));
            CHECK(client.received().starts_with("HTTP/1.1 200"));
            CHECK(second.received().starts_with("HTTP/1.1 200"));
        }

        SECTION("it is refused with a hint when it waits for too long")
        {
            for (int i = 0; i < 100 && second.received().empty(); ++i) {
                client.send(std::string(2000, 'x')); // Progress, so that it does not give way.
                runner.runFor(Milliseconds(20));
            }
            CHECK(second.received().starts_with("HTTP/1.1 503"));
            CHECK(second.received().find("Retry-After: 1\r\n") != std::string::npos);
        }
    }
    CHECK(memory.heldBytes() <= memory.limits().totalBytes);
}
