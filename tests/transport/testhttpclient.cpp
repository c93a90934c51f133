#include "callrecord.h"
#include "looprunner.h"
#include "rawserver.h"
#include "servers.h"

#include "crocusport/transport/httpclient.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

using namespace crocusport;

namespace {

HttpCallRequest requestTo(const SocketAddress &address)
{
    HttpCallRequest request;
    request.address = address;
    return request;
}

HttpCallEnd endOf(LoopRunner &runner, HttpClient &client, const HttpCallRequest &request,
                  CallRecord &record)
{
    const auto call = client.start(request, record.handlers());
    REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
    REQUIRE(call->isEnded());
    return *record.end;
}

} // namespace

// Guards against a response that was truncated by a crash and is forwarded as complete.
SCENARIO("A truncated response is never reported as complete")
{
    struct Case
    {
        std::string name;
        std::string answer;
        RawServer::Ending ending;
        HttpFailure failure;
        std::string body;
    };
    using Ending = RawServer::Ending;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    const std::string untilClose = "HTTP/1.1 200 OK\r\n\r\n";
    const auto cut = HttpFailure::ClosedMidResponse;
    const auto data = GENERATE_COPY(values<Case>({
        { "no response", "", Ending::Close, HttpFailure::ClosedBeforeResponse, "" },
        { "reset before a response", "", Ending::Reset, HttpFailure::ClosedBeforeResponse, "" },
        { "cut in the status line", "HTTP/1.1 2", Ending::Close, cut, "" },
        { "cut in the headers", "HTTP/1.1 200 OK\r\nContent-", Ending::Close, cut, "" },
        { "chunked, cut after the head", chunked, Ending::Close, cut, "" },
        { "chunked, cut between chunks", chunked + "5\r\nhello\r\n", Ending::Close, cut, "hello" },
        { "chunked, cut in a size", chunked + "5\r\nhello\r\n5", Ending::Close, cut, "hello" },
        { "chunked, cut in the last size", chunked + "5\r\nhello\r\n0", Ending::Close, cut,
          "hello" },
        { "chunked, cut in the trailer", chunked + "5\r\nhello\r\n0\r\n", Ending::Close, cut,
          "hello" },
        { "chunked, reset", chunked + "5\r\nhello\r\n", Ending::Reset, cut, "" },
        { "chunked, complete", chunked + "5\r\nhello\r\n0\r\n\r\n", Ending::Close,
          HttpFailure::None, "hello" },
        { "length, cut after the head", length, Ending::Close, cut, "" },
        { "length, cut in the body", length + "hello", Ending::Close, cut, "hello" },
        { "length, reset", length + "hello", Ending::Reset, cut, "" },
        { "length, complete", length + "helloworld", Ending::Close, HttpFailure::None,
          "helloworld" },
        { "until close, closed", untilClose + "hello", Ending::Close, cut, "hello" },
        { "until close, reset", untilClose + "hello", Ending::Reset, cut, "" },
        { "HTTP/1.0 until close", "HTTP/1.0 200 OK\r\n\r\nhello", Ending::Close, cut, "hello" },
    }));
    const auto use = GENERATE(ConnectionUse::Pooled, ConnectionUse::Fresh);

    LoopRunner runner;
    RawServer server(runner.loop(), data.answer, data.ending);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.connection = use;
    request.progressTimeout = std::chrono::seconds(5);

    INFO(data.name);
    const auto end = endOf(runner, client, request, record);
    REQUIRE(httpFailureName(end.failure) == httpFailureName(data.failure));
    REQUIRE(end.isRequestSent);
    // A reset may discard bytes that were received before it.
    if (data.ending != Ending::Reset)
        REQUIRE(record.body == data.body);
    runner.runFor(Milliseconds(5));
    REQUIRE(record.endCount == 1);
    // Guards against a request that is sent a second time, as evhttp does by itself.
    REQUIRE(server.requestCount() == 1);
    REQUIRE(server.connectionCount() == 1);
}

SCENARIO("An invalid response is reported as malformed or too large")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string answer;
        HttpFailure failure;
    };
    // Guards against input that ends the process, is accepted as a response or uses unbounded
    // memory.
    const auto data = GENERATE_COPY(values<Case>({
        { "garbage\r\n\r\n", HttpFailure::Malformed },
        { "HTTP/1.1 abc OK\r\n\r\n", HttpFailure::Malformed },
        { "HTTP/1.1 99 Low\r\nContent-Length: 0\r\n\r\n", HttpFailure::Malformed },
        { "HTTP/1.1 103 Early\r\n\r\ngarbage\r\n\r\n", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nhello", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
          HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", HttpFailure::Malformed },
        { chunked + "zz\r\nhello\r\n0\r\n\r\n", HttpFailure::Malformed },
        { chunked + "-5\r\nhello\r\n0\r\n\r\n", HttpFailure::Malformed },
        { chunked + "5\r\nhelloworld\r\n0\r\n\r\n", HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'a') + "\r\n\r\n",
          HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'a'), HttpFailure::Malformed },
        { chunked + "1\r\na\r\n0\r\nX: " + std::string(20'000, 'a'), HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'a'),
          HttpFailure::TooLarge },
        { chunked + "65\r\n" + std::string(101, 'a') + "\r\n0\r\n\r\n", HttpFailure::TooLarge },
        { chunked + "FFFFFFF\r\n" + std::string(70'000, 'a'), HttpFailure::TooLarge },
        { chunked + "7FFFFFFFFFFFFFFF\r\n" + std::string(70'000, 'a'), HttpFailure::TooLarge },
        // Sizes that do not fit into an integer.
        { chunked + "FFFFFFFFFFFFFFFFFFFFF\r\n" + std::string(70'000, 'a'),
          HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nhello",
          HttpFailure::Malformed },
        { "HTTP/1.1 200 OK\r\n\r\n" + std::string(101, 'a'), HttpFailure::TooLarge },
    }));

    LoopRunner runner;
    RawServer server(runner.loop(), data.answer, RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.maxResponseBytes = 100;
    request.progressTimeout = std::chrono::seconds(5);

    INFO(data.answer.substr(0, 100));
    const auto end = endOf(runner, client, request, record);
    REQUIRE(httpFailureName(end.failure) == httpFailureName(data.failure));
    REQUIRE(client.idleConnections() == 0);
}

SCENARIO("Interim responses and close-delimited bodies")
{
    LoopRunner runner;
    CallRecord record;
    HttpClient client(runner.loop(), {});

    // Guards against an interim response being mistaken for the final one (RFC 9110 section 15.2).
    WHEN("an interim response comes first")
    {
        RawServer server(runner.loop(),
                         "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                         RawServer::Ending::KeepOpen);
        const auto end = endOf(runner, client, requestTo(server.address()), record);
        REQUIRE(end.failure == HttpFailure::None);
        REQUIRE(end.status == 200);
        REQUIRE(record.body == "ok");
    }
    WHEN("the body is close-delimited, and the call accepts that")
    {
        auto request = requestTo(SocketAddress());
        request.acceptsCloseDelimited = true;
        // Guards against a response that is rejected although all of it has been received.
        THEN("an orderly close completes the response")
        {
            RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\n\r\nok", RawServer::Ending::Close);
            request.address = server.address();
            const auto end = endOf(runner, client, request, record);
            REQUIRE(end.failure == HttpFailure::None);
            REQUIRE(record.body == "ok");
        }
        // Guards against a truncated response that is accepted as complete.
        THEN("a reset does not complete the response")
        {
            RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\n\r\nok", RawServer::Ending::Reset);
            request.address = server.address();
            const auto end = endOf(runner, client, request, record);
            REQUIRE(end.failure != HttpFailure::None);
        }
    }
}

SCENARIO("A server that does not accept connections in time")
{
    // When the listener's queue is full, the kernel drops further connection attempts.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(listen(listener, 0) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    LoopRunner runner;
    HttpClient client(runner.loop(), {});
    auto request = requestTo(SocketAddress("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
    request.connectTimeout = Milliseconds(100);
    request.progressTimeout = std::chrono::hours(1);
    std::vector<std::unique_ptr<CallRecord>> records;
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (int i = 0; i < 5; ++i) {
        records.push_back(std::make_unique<CallRecord>());
        calls.push_back(client.start(request, records.back()->handlers()));
    }

    // Guards against a request that was never sent being reported as possibly executed.
    REQUIRE(runner.runUntil([&] { return records.back()->end.has_value(); }));
    REQUIRE(records.back()->end->failure == HttpFailure::ConnectFailed);
    REQUIRE_FALSE(records.back()->end->isRequestSent);
    close(listener);
}

SCENARIO("A server that stops sending")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    const auto answer = GENERATE_COPY(values<std::string>({ "", "HTTP/1.1 2", head, head + "he" }));
    LoopRunner runner;
    RawServer server(runner.loop(), answer, RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.progressTimeout = Milliseconds(50);

    // Guards against a request that waits forever because its connection delivers nothing any more.
    const auto end = endOf(runner, client, request, record);
    REQUIRE(end.failure == HttpFailure::ProgressTimeout);
    REQUIRE(end.isRequestSent);
    REQUIRE(server.requestCount() == 1);
}

SCENARIO("A call is extended when its server makes no progress")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "", RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.progressTimeout = Milliseconds(50);
    auto handlers = record.handlers();
    int timeouts = 0;
    handlers.onProgressTimeout = [&] { return ++timeouts < 3; };

    // Guards against abandoning a response when there is no better alternative than to wait.
    const auto call = client.start(request, std::move(handlers));
    REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
    REQUIRE(record.end->failure == HttpFailure::ProgressTimeout);
    REQUIRE(timeouts == 3);
}

SCENARIO("A slow server that makes progress is not timed out")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
                     RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.progressTimeout = std::chrono::seconds(2);
    const auto call = client.start(request, record.handlers());
    REQUIRE(runner.runUntil([&] { return record.status == 200; }));

    // Guards against a timeout of the whole response instead of each pause in it: the ten pauses
    // together are longer than the timeout.
    for (int i = 0; i < 10; ++i) {
        runner.runFor(Milliseconds(250));
        REQUIRE_FALSE(record.end);
        server.sendToAll("x");
    }
    REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
    REQUIRE(record.end->failure == HttpFailure::None);
}

SCENARIO("Connections are reused")
{
    LoopRunner runner;
    int handled = 0;
    const auto server = makeServer(runner.loop(), [&](const auto &exchange) {
        ++handled;
        exchange->reply(200, {}, "ok");
    });
    HttpClient::Options options;
    options.maxIdle = Milliseconds(100);
    options.maxIdlePerAddress = 2;
    HttpClient client(runner.loop(), options);
    auto request = requestTo(server->address());

    WHEN("pooled calls follow each other")
    {
        for (int i = 0; i < 3; ++i) {
            CallRecord record;
            REQUIRE(endOf(runner, client, request, record).failure == HttpFailure::None);
            REQUIRE(client.idleConnections() == 1);
        }
        // Guards against use of a pooled connection that has become unusable while idle.
        THEN("the idle connection is closed after maxIdle")
        {
            REQUIRE(runner.runUntil([&] { return client.idleConnections() == 0; }));
        }
        THEN("closeIdle closes it at once")
        {
            client.closeIdle(request.address);
            REQUIRE(client.idleConnections() == 0);
        }
    }

    WHEN("a call uses a fresh connection")
    {
        CallRecord record;
        request.connection = ConnectionUse::Fresh;
        REQUIRE(endOf(runner, client, request, record).failure == HttpFailure::None);

        // Guards against reuse of the connection of a call that may be executed only once.
        THEN("its connection is not kept")
        {
            REQUIRE(client.idleConnections() == 0);
        }
    }

    WHEN("many calls run at once")
    {
        std::vector<std::unique_ptr<CallRecord>> records;
        std::vector<std::unique_ptr<HttpCall>> calls;
        for (int i = 0; i < 20; ++i) {
            records.push_back(std::make_unique<CallRecord>());
            calls.push_back(client.start(request, records.back()->handlers()));
        }
        REQUIRE(runner.runUntil([&] {
            return std::all_of(records.begin(), records.end(),
                               [](const auto &record) { return record->end.has_value(); });
        }));
        THEN("the number of idle connections stays bounded")
        {
            REQUIRE(handled == 20);
            REQUIRE(client.idleConnections() == 2);
        }
    }
}

SCENARIO("A pooled connection that becomes unusable while idle")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                     RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    const auto request = requestTo(server.address());
    CallRecord first;
    REQUIRE(endOf(runner, client, request, first).failure == HttpFailure::None);
    REQUIRE(client.idleConnections() == 1);

    THEN("it leaves the pool when the server closes it")
    {
        server.closeAll();
        REQUIRE(runner.runUntil([&] { return client.idleConnections() == 0; }));
    }

    // Guards against an unrequested response being mistaken for the response to the next request.
    THEN("it leaves the pool when the server sends without a request")
    {
        server.sendToAll("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        REQUIRE(runner.runUntil([&] { return client.idleConnections() == 0; }));
    }

    // Guards against an automatic retry, which could execute a request twice.
    THEN("a call on the closed connection fails and is not retried")
    {
        server.closeAll();
        CallRecord second;
        const auto end = endOf(runner, client, request, second);
        REQUIRE(end.failure == HttpFailure::ClosedBeforeResponse);
        runner.runFor(Milliseconds(20));
        REQUIRE(server.connectionCount() == 1);
        REQUIRE(server.requestCount() <= 2);
    }

    // Guards against a request that may run only once and is reported as possibly run, although
    // its connection was closed before a byte of it was written.
    THEN("a call on the closed connection sends nothing and says so")
    {
        server.shutDownAll();
        CallRecord second;
        const auto end = endOf(runner, client, request, second);
        REQUIRE(end.failure == HttpFailure::ClosedBeforeResponse);
        REQUIRE_FALSE(end.isRequestSent);
        REQUIRE(server.requestCount() == 1);
    }

    // Guards against the opposite: a request that the server received is never reported as unsent.
    THEN("a call that the server closes after the request was written may have run")
    {
        CallRecord second;
        const auto call = client.start(request, second.handlers());
        REQUIRE(runner.runUntil([&] { return server.requestCount() == 2 || second.end; }));
        server.closeAll();
        REQUIRE(runner.runUntil([&] { return second.end.has_value(); }));
        REQUIRE(second.end->isRequestSent);
    }
}

SCENARIO("The connection of a response with more bytes than its length is not reused")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200",
                     RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    const auto end = endOf(runner, client, requestTo(server.address()), record);

    // Guards against surplus bytes being mistaken for the response to the next request.
    REQUIRE(end.failure == HttpFailure::None);
    REQUIRE(record.body == "ok");
    REQUIRE(client.idleConnections() == 0);
}

SCENARIO("Handlers may end their own call")
{
    LoopRunner runner;
    std::shared_ptr<HttpExchange> exchange;
    const auto server = makeServer(runner.loop(), [&](const auto &received) {
        exchange = received;
        exchange->startStream(200, {});
    });
    HttpClient client(runner.loop(), {});
    std::unique_ptr<HttpCall> call;
    bool isEnded = false;
    int bodies = 0;
    HttpCallHandlers handlers;
    handlers.onEnd = [&](const auto &) { isEnded = true; };
    const auto request = requestTo(server->address());

    // Guards against use of a connection after a handler has destroyed its call.
    WHEN("the head's handler destroys the call")
    {
        handlers.onHead = [&](int, const auto &) { call.reset(); };
        call = client.start(request, handlers);
        REQUIRE(runner.runUntil([&] { return !call; }));
    }
    WHEN("a body handler destroys the call")
    {
        handlers.onBody = [&](std::string_view) {
            if (++bodies == 3)
                call.reset();
        };
        call = client.start(request, handlers);
        REQUIRE(runner.runUntil([&] { return exchange != nullptr; }));
        for (int sent = 1; sent <= 3; ++sent) {
            exchange->sendChunk("event");
            REQUIRE(runner.runUntil([&] { return bodies == sent; }));
        }
        REQUIRE_FALSE(call);
        exchange->sendChunk("event");
        runner.runFor(Milliseconds(20));
        REQUIRE(bodies == 3);
    }
    runner.runFor(Milliseconds(20));
    REQUIRE_FALSE(isEnded);
}

SCENARIO("An end handler starts the next call")
{
    LoopRunner runner;
    const auto server = makeServer(
        runner.loop(), [](const auto &exchange) { exchange->reply(200, {}, exchange->body()); });
    HttpClient client(runner.loop(), {});
    std::unique_ptr<HttpCall> call;
    int ended = 0;
    std::function<void()> startNext = [&] {
        HttpCallHandlers handlers;
        handlers.onEnd = [&](const HttpCallEnd &end) {
            REQUIRE(end.failure == HttpFailure::None);
            if (++ended < 10)
                startNext();
        };
        call = client.start(requestTo(server->address()), std::move(handlers));
    };
    startNext();

    // Guards against reuse of a connection before its last response has been fully processed.
    REQUIRE(runner.runUntil([&] { return ended == 10; }));
    REQUIRE(client.idleConnections() == 1);
}

SCENARIO("A client is destroyed before its calls")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "", RawServer::Ending::KeepOpen);
    auto client = std::make_unique<HttpClient>(runner.loop(), HttpClient::Options());
    CallRecord record;
    const auto call = client->start(requestTo(server.address()), record.handlers());
    REQUIRE(runner.runUntil([&] { return server.requestCount() == 1; }));

    // Guards against a call that uses its destroyed connection.
    client.reset();
    REQUIRE(call->isEnded());
    REQUIRE_FALSE(record.end);
}

// Guards against a server that makes the process run out of memory by sending without end.
SCENARIO("Responses without end")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string name;
        std::string begin;
        std::string repeated;
        HttpFailure failure;
    };
    const auto data = GENERATE_COPY(values<Case>({
        { "in a status line", "HTTP/1.1 200 ", "a", HttpFailure::Malformed },
        { "in a header", "HTTP/1.1 200 OK\r\nX: ", "a", HttpFailure::Malformed },
        { "of headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n", HttpFailure::Malformed },
        { "of interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", HttpFailure::Malformed },
        { "in a chunk header", chunked + "5;", "a", HttpFailure::Malformed },
        { "in a trailer", chunked + "0\r\nX: ", "a", HttpFailure::Malformed },
        { "of trailers", chunked + "0\r\n", "X: a\r\n", HttpFailure::Malformed },
        { "in a body", "HTTP/1.1 200 OK\r\n\r\n", "a", HttpFailure::TooLarge },
        { "of chunks", chunked, "1\r\na\r\n", HttpFailure::TooLarge },
    }));
    INFO(data.name);

    LoopRunner runner;
    RawServer server(runner.loop(), data.begin, RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.maxResponseBytes = 200'000;
    request.acceptsCloseDelimited = true;
    const auto call = client.start(request, record.handlers());
    std::string block;
    while (block.size() < 8192)
        block += data.repeated;
    std::size_t sent = 0;
    REQUIRE(runner.runUntil([&] {
        if (server.requestCount() > 0 && !record.end) {
            server.sendToAll(block);
            sent += block.size();
        }
        return record.end.has_value();
    }));
    REQUIRE(httpFailureName(record.end->failure) == httpFailureName(data.failure));
    REQUIRE(record.body.size() <= 200'000);
    // The server sent these bytes before it saw the close; the socket buffers limit them.
    CAPTURE(sent);
    runner.runFor(Milliseconds(20));
    REQUIRE(server.requestCount() == 1);
}

// Guards against a stalled stream that is kept open by occasional bytes, and against a slow stream
// that is aborted although it makes progress.
SCENARIO("The user of a call decides what counts as progress")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto request = requestTo(server.address());
    request.progress = ResponseProgress::Reported;
    request.progressTimeout = std::chrono::milliseconds(150);
    const auto call = client.start(request, record.handlers());
    REQUIRE(runner.runUntil([&] { return record.status == 200; }));
    const auto trickle = [&](int times, const std::function<void()> &each) {
        for (int i = 0; i < times && !record.end; ++i) {
            server.sendToAll("1\r\na\r\n");
            runner.runFor(Milliseconds(40));
            each();
        }
    };

    WHEN("bytes are received but not reported as progress")
    {
        trickle(10, [] {});
        REQUIRE(record.end.has_value());
        REQUIRE(record.end->failure == HttpFailure::ProgressTimeout);
    }
    WHEN("the bytes are reported as progress")
    {
        trickle(10, [&] { call->reportProgress(std::chrono::milliseconds(150)); });
        REQUIRE_FALSE(record.end.has_value());
        THEN("a shorter limit applies from then on")
        {
            call->reportProgress(std::chrono::milliseconds(30));
            runner.runFor(Milliseconds(60));
            REQUIRE(record.end.has_value());
        }
    }
}

// Guards against a request that is sent although the conditions for sending it have changed while
// the connection was being established.
SCENARIO("A request is withdrawn when its connection is established")
{
    LoopRunner runner;
    RawServer server(runner.loop(), "", RawServer::Ending::KeepOpen);
    HttpClient client(runner.loop(), {});
    CallRecord record;
    auto handlers = record.handlers();
    handlers.onReady = [] { return false; };
    const auto call = client.start(requestTo(server.address()), std::move(handlers));
    REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
    REQUIRE(record.end->failure == HttpFailure::Withdrawn);
    REQUIRE_FALSE(record.end->isRequestSent);
    runner.runFor(Milliseconds(20));
    REQUIRE(server.requestCount() == 0);
}
