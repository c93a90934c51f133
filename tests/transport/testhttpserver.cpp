#include "looprunner.h"
#include "rawclient.h"
#include "servers.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include <string>
#include <vector>

using namespace crocusport;

namespace {

bool isAnswered(const RawClient &client, const std::string &start)
{
    return client.received().compare(0, start.size(), start) == 0;
}

} // namespace

SCENARIO("The server limits what a caller may send")
{
    LoopRunner runner;
    HttpServerLimits limits;
    limits.maxHeadBytes = 1000;
    limits.maxBodyBytes = 1000;
    int handled = 0;
    const auto server = makeServer(
        runner.loop(),
        [&](const auto &exchange) {
            ++handled;
            exchange->reply(200, {}, exchange->body());
        },
        limits);
    RawClient client(runner.loop(), server->address());
    const auto isClosed = [&] { return client.isClosed(); };

    // Guards against a caller that controls how much memory the server uses.
    WHEN("the head is too large")
    {
        client.send("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n");
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE(isAnswered(client, "HTTP/1.1 431"));
    }
    WHEN("a line of the head is too large and does not end")
    {
        const auto start = GENERATE("GET /", "GET / HTTP/1.1\r\nX: ");
        client.send(start + std::string(2000, 'a'));
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE(isAnswered(client, "HTTP/1.1 431"));
    }
    WHEN("the declared body is too large")
    {
        client.send("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'a'));
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE(isAnswered(client, "HTTP/1.1 413"));
    }
    WHEN("the chunks are too large together")
    {
        client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 3; ++i)
            client.send("190\r\n" + std::string(400, 'a') + "\r\n");
        client.send("0\r\n\r\n");
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE(isAnswered(client, "HTTP/1.1 413"));
    }

    // Guards against request smuggling: one request that is read as two, or two as one (RFC 9112
    // section 11.2).
    WHEN("the end of the request is ambiguous")
    {
        const auto request = GENERATE(values<std::string>({
            "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nhello",
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
            "GET / HTTP/1.1\r\nContent-Length: 35\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
            "DELETE / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab",
            "POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab",
            "POST / HTTP/1.1\r\nX: a\r\n Content-Length: 2\r\n\r\nab",
            "POST / HTTP/1.1\nContent-Length: 2\n\nab",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
        }));
        client.send(request);
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE(isAnswered(client, "HTTP/1.1 400"));
    }
    WHEN("the request is malformed")
    {
        const auto request = GENERATE(values<std::string>({
            "garbage\r\n\r\n",
            "GET\r\n\r\n",
            "GET / HTTP/9.9.9\r\n\r\n",
            "GET / HTTP/1.1\r\nno colon\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
        }));
        client.send(request);
        REQUIRE(runner.runUntil(isClosed));
        REQUIRE((isAnswered(client, "HTTP/1.1 4") || client.received().empty()));
    }
    WHEN("the body is truncated")
    {
        client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhello");
        client.closeSending();
        REQUIRE(runner.runUntil(isClosed));
    }
    REQUIRE(handled == 0);
    REQUIRE(server->openExchanges() == 0);
}

SCENARIO("Pipelined requests")
{
    LoopRunner runner;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    const auto server =
        makeServer(runner.loop(), [&](const auto &exchange) { exchanges.push_back(exchange); });
    RawClient client(runner.loop(), server->address());
    client.send("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchanges.size() == 1; }));

    // Guards against a fault of evhttp, whose read callback ends the process when bytes are
    // received during a request.
    WHEN("the second is received while the first is being handled")
    {
        client.send("GET /2 HTTP/1.1\r\n\r\n");
        runner.runFor(Milliseconds(20));
        REQUIRE(exchanges.size() == 1);

        THEN("it is handled after reply() to the first")
        {
            exchanges[0]->reply(200, {}, "one");
            REQUIRE(runner.runUntil([&] { return exchanges.size() == 2; }));
            REQUIRE(exchanges[1]->path() == "/2");
            exchanges[1]->reply(200, {}, "two");
            REQUIRE(runner.runUntil(
                [&] { return client.received().find("two") != std::string::npos; }));
        }
        THEN("it is handled after the stream in response to the first")
        {
            exchanges[0]->startStream(200, {});
            exchanges[0]->sendChunk("one");
            client.send("GET /3 HTTP/1.1\r\n\r\n");
            runner.runFor(Milliseconds(20));
            exchanges[0]->endStream();
            REQUIRE(runner.runUntil([&] { return exchanges.size() == 2; }));
            exchanges[1]->reply(200, {}, "");
            REQUIRE(runner.runUntil([&] { return exchanges.size() == 3; }));
            REQUIRE(exchanges[2]->path() == "/3");
        }
    }

    // Guards against unbounded memory for pipelined requests, and against a large pipelined request
    // that is never read completely.
    WHEN("a body larger than the read-ahead is received while the first is being handled")
    {
        const std::string body(1'000'000, 'b');
        client.send("POST /2 HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + body);
        runner.runFor(Milliseconds(20));
        exchanges[0]->reply(200, {}, "one");
        REQUIRE(runner.runUntil([&] { return exchanges.size() == 2; }));
        REQUIRE(exchanges[1]->body() == body);
    }
}

SCENARIO("Callers that disconnect")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    int closed = 0;
    const auto server = makeServer(runner.loop(), [&](const auto &received) {
        exchange = received;
        exchange->onClosed([&] { ++closed; });
    });
    auto client = std::make_unique<RawClient>(runner.loop(), server->address());
    client->send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));

    // Guards against work for a caller that has disconnected.
    WHEN("the caller closes while its request is being handled")
    {
        client.reset();
        REQUIRE(runner.runUntil([&] { return closed == 1; }));
        REQUIRE(server->openExchanges() == 0);
    }
    WHEN("the exchange is destroyed in its own close handler")
    {
        exchange->onClosed([&] {
            ++closed;
            exchange.reset();
        });
        client.reset();
        REQUIRE(runner.runUntil([&] { return closed == 1; }));
        REQUIRE_FALSE(exchange);
    }
    WHEN("the response was complete before")
    {
        exchange->reply(200, {}, "hello");
        REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
        client.reset();
        runner.runFor(Milliseconds(20));
        REQUIRE(closed == 0);
        REQUIRE_FALSE(exchange->isClosed());
    }
    WHEN("the exchange is destroyed without a response")
    {
        exchange.reset();
        REQUIRE(runner.runUntil([&] { return !client->received().empty(); }));
        REQUIRE(isAnswered(*client, "HTTP/1.1 500"));
    }
    // Guards against an exchange that uses its destroyed connection.
    WHEN("the server is destroyed before the exchange")
    {
        std::shared_ptr<HttpExchange> waiting;
        std::shared_ptr<HttpExchange> streaming;
        auto other = makeServer(runner.loop(), [&](const auto &received) {
            (received->path() == "/waiting" ? waiting : streaming) = received;
        });
        RawClient first(runner.loop(), other->address());
        RawClient second(runner.loop(), other->address());
        first.send("GET /waiting HTTP/1.1\r\n\r\n");
        second.send("GET /streaming HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return waiting && streaming; }));
        streaming->startStream(200, {});
        other.reset();
        REQUIRE(waiting->isClosed());
        REQUIRE(streaming->isClosed());
        waiting->reply(200, {}, "late");
        streaming->endStream();
    }
}

SCENARIO("A caller that does not read its stream")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    HttpServerLimits limits;
    limits.idleTimeout = Milliseconds(200);
    bool isClosed = false;
    const auto server = makeServer(
        runner.loop(),
        [&](const auto &received) {
            exchange = received;
            exchange->onClosed([&] { isClosed = true; });
        },
        limits);
    RawClient client(runner.loop(), server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    client.setReading(false);
    exchange->startStream(200, {});
    const std::string chunk(100'000, 'c');

    // Guards against memory that grows unnoticed because a caller does not read.
    THEN(
        "bufferedBytes counts unsent bytes, and the connection is closed when none is sent for the "
        "idle timeout")
    {
        for (int i = 0; i < 200; ++i)
            exchange->sendChunk(chunk);
        REQUIRE(exchange->bufferedBytes() >= 200 * chunk.size());
        runner.runFor(Milliseconds(20));
        REQUIRE(exchange->bufferedBytes() > 0);
        REQUIRE(runner.runUntil([&] { return isClosed; }));
        REQUIRE(exchange->bufferedBytes() == 0);
    }
}

SCENARIO("Idle timeout")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    HttpServerLimits limits;
    limits.idleTimeout = Milliseconds(100);
    const auto server = makeServer(
        runner.loop(), [&](const auto &received) { exchange = received; }, limits);
    RawClient client(runner.loop(), server->address());

    // Guards against connections that are opened and then abandoned.
    WHEN("a connection sends nothing")
    {
        REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    }
    WHEN("a connection sends half a request")
    {
        client.send("GET / HT");
        REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
    }
    // Guards against a request that is aborted because its response takes longer than the timeout.
    WHEN("a request waits for its response")
    {
        client.send("GET / HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        runner.runFor(Milliseconds(500));
        REQUIRE_FALSE(exchange->isClosed());
        exchange->reply(200, {}, "slow");
        REQUIRE(runner.runUntil([&] { return !client.received().empty(); }));
        THEN("the timeout applies again afterwards")
        {
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
        }
    }
}

SCENARIO("The number of connections is limited")
{
    LoopRunner runner;
    HttpServerLimits limits;
    limits.maxConnections = 3;
    int handled = 0;
    const auto server = makeServer(
        runner.loop(),
        [&](const auto &exchange) {
            ++handled;
            exchange->reply(200, {}, "");
        },
        limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 10; ++i) {
        clients.push_back(std::make_unique<RawClient>(runner.loop(), server->address()));
        clients.back()->send("GET / HTTP/1.1\r\n\r\n");
    }
    REQUIRE(runner.runUntil([&] { return handled == 3; }));

    // Guards against a flood of connections that uses up all file descriptors.
    THEN("further connections wait until others are closed")
    {
        runner.runFor(Milliseconds(50));
        REQUIRE(handled == 3);
        for (int i = 0; i < 10; ++i) {
            const auto answered = std::find_if(clients.begin(), clients.end(), [](const auto &c) {
                return !c->received().empty();
            });
            REQUIRE(answered != clients.end());
            clients.erase(answered);
            REQUIRE(runner.runUntil([&] { return handled == std::min(4 + i, 10); }));
            const auto expected = std::min<std::size_t>(3, clients.size());
            REQUIRE(runner.runUntil([&] {
                return static_cast<std::size_t>(
                           std::count_if(clients.begin(), clients.end(),
                                         [](const auto &c) { return !c->received().empty(); }))
                    == expected;
            }));
        }
    }
}

SCENARIO("Idle connections when a server stops accepting")
{
    LoopRunner runner;
    int handled = 0;
    const auto server = makeServer(runner.loop(), [&](const auto &exchange) {
        ++handled;
        exchange->reply(200, {}, "");
    });
    RawClient client(runner.loop(), server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return !client.received().empty(); }));

    // Guards against accepting a request on a kept-alive connection when the process is about to
    // end.
    WHEN("the connection has received its response before")
    {
        server->stopAccepting();
        runner.runFor(Milliseconds(50));
        REQUIRE(client.isClosed());
        REQUIRE(handled == 1);
    }
}

SCENARIO("A stream that started before a server stops accepting")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    int handled = 0;
    const auto server = makeServer(runner.loop(), [&](const auto &received) {
        ++handled;
        exchange = received;
    });
    RawClient client(runner.loop(), server->address());
    client.send("GET /stream HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    exchange->startStream(200, {});
    server->stopAccepting();
    exchange->sendChunk("last");
    exchange->endStream();

    // Guards against accepting another request on the connection when the process is about to end:
    // the response head was sent before the stop, without "Connection: close".
    THEN("its connection is closed after the end of the stream")
    {
        runner.runFor(Milliseconds(50));
        client.send("GET /late HTTP/1.1\r\n\r\n");
        runner.runFor(Milliseconds(50));
        REQUIRE(client.isClosed());
        REQUIRE_FALSE(client.isReset());
        REQUIRE(client.received().find("last\r\n0\r\n\r\n") != std::string::npos);
        REQUIRE(handled == 1);
    }
}

SCENARIO("A server that stops accepting")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    RawClient client(runner.loop(), server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
    server->stopAccepting();

    // Guards against a shutdown that aborts requests in progress.
    THEN("the request in progress gets its response and its connection is closed")
    {
        exchange->startStream(200, {});
        exchange->sendChunk("last");
        exchange->endStream();
        REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
        REQUIRE(client.received().find("Connection: close") != std::string::npos);
        REQUIRE(client.received().find("last\r\n0\r\n\r\n") != std::string::npos);
        REQUIRE_FALSE(client.isReset());
        REQUIRE(server->openExchanges() == 0);
    }
    THEN("new connections are refused")
    {
        RawClient late(runner.loop(), server->address());
        REQUIRE(runner.runUntil([&] { return late.isClosed(); }));
    }
}

SCENARIO("Responses to HTTP/1.0 and other special requests")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server =
        makeServer(runner.loop(), [&](const auto &received) { exchange = received; });
    RawClient client(runner.loop(), server->address());

    WHEN("a caller speaks HTTP/1.0")
    {
        client.send("GET /old HTTP/1.0\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        exchange->startStream(200, {});
        exchange->sendChunk("one");
        exchange->sendChunk("two");
        runner.runFor(Milliseconds(5));

        // Guards against chunk framing, which the caller would mistake for data.
        THEN("a stream has no chunk framing and ends with the connection")
        {
            exchange->endStream();
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
            const auto head = client.received().find("\r\n\r\n");
            REQUIRE(client.received().substr(head + 4) == "onetwo");
            REQUIRE_FALSE(client.isReset());
        }
        // Guards against a truncated stream that looks complete because only the close ends it.
        THEN("an aborted stream ends with a reset")
        {
            exchange->abort();
            REQUIRE(runner.runUntil([&] { return client.isClosed(); }));
            REQUIRE(client.isReset());
        }
    }
    WHEN("the method is HEAD")
    {
        client.send("HEAD / HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        // Guards against a body that the caller would mistake for the next response.
        THEN("a reply has no body")
        {
            exchange->reply(200, {}, "body");
        }
        THEN("a stream has no body")
        {
            exchange->startStream(200, {});
            exchange->sendChunk("body");
            exchange->endStream();
        }
        REQUIRE(runner.runUntil([&] { return server->openExchanges() == 0; }));
        REQUIRE(client.received().find("body") == std::string::npos);
    }
    WHEN("the target is in absolute form (RFC 9112 section 3.2.2)")
    {
        client.send("GET http://host:1/path?a=1 HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        REQUIRE(exchange->path() == "/path");
        REQUIRE(exchange->queryParameter("a") == "1");
    }
    WHEN("a POST request has no length")
    {
        client.send("POST /empty HTTP/1.1\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        REQUIRE(exchange->body().empty());
    }
    // Guards against a caller that waits for permission to send its body (RFC 9110 section 10.1.1).
    WHEN("the caller expects 100 Continue")
    {
        client.send("POST /p HTTP/1.1\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
        REQUIRE(runner.runUntil([&] { return isAnswered(client, "HTTP/1.1 100"); }));
        client.send("hello");
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        REQUIRE(exchange->body() == "hello");
        exchange->reply(200, {}, "done");
        REQUIRE(
            runner.runUntil([&] { return client.received().find("done") != std::string::npos; }));
    }
    WHEN("the body is received slowly")
    {
        client.send("POST /slow HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
        for (const char character : std::string("hello")) {
            runner.runFor(Milliseconds(5));
            REQUIRE_FALSE(exchange);
            client.send(std::string(1, character));
        }
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        REQUIRE(exchange->body() == "hello");
    }
}

SCENARIO("A server gets an invalid listening address")
{
    LoopRunner runner;
    const auto text = GENERATE(values<std::string>(
        { "", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000", "host:80" }));
    const auto code = boost::leaf::try_handle_all(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(
                HttpServer::create(runner.loop(), SocketAddress(text), {}, [](const auto &) {}));
            return ResultCode::Ok;
        },
        [](const Error &error) { return error.code; }, [] { return ResultCode::InternalError; });
    REQUIRE(code == ResultCode::ListenFailed);
}

// Guards against a planned stop that loses requests which have just been received by the kernel: in
// the socket of an open connection, or on a connection that has not been accepted yet.
SCENARIO("A server stops accepting while received requests are still unread")
{
    constexpr int kCallers = 5;
    const auto isOpenBefore = GENERATE(true, false);
    CAPTURE(isOpenBefore);
    LoopRunner runner;
    const auto server =
        makeServer(runner.loop(), [](const auto &exchange) { exchange->reply(200, {}, "served"); });
    std::vector<int> sockets;
    for (int i = 0; i < kCallers; ++i) {
        // Blocking sockets connect and send without the event loop, which does not run meanwhile.
        const auto port = static_cast<std::uint16_t>(
            std::stoi(server->address().value().substr(server->address().value().find(':') + 1)));
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        sockets.push_back(descriptor);
    }
    if (isOpenBefore)
        runner.runUntil([&] { return server->connectionCount() == kCallers; });
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const int descriptor : sockets)
        REQUIRE(send(descriptor, request.data(), request.size(), 0)
                == static_cast<ssize_t>(request.size()));
    server->stopAccepting();
    runner.runFor(Milliseconds(100));
    for (const int descriptor : sockets) {
        std::string received(1000, '\0');
        const auto size = recv(descriptor, received.data(), received.size(), MSG_DONTWAIT);
        REQUIRE(size > 0);
        REQUIRE(received.starts_with("HTTP/1.1 200"));
        REQUIRE(received.find("Connection: close") != std::string::npos);
        close(descriptor);
    }
    REQUIRE(server->openExchanges() == 0);
}
