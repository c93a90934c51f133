#include "looprunner.h"

#include "crocusport/protocol/etcdcodec.h"
#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/storeclient.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <stdexcept>

using namespace crocusport;

namespace {

//! A store that keeps each request until the test replies to it.
class ManualStore
{
public:
    explicit ManualStore(EventLoop &loop)
        : server_(handleErrors(
            [&] {
                return HttpServer::create(loop, SocketAddress("127.0.0.1:0"), {},
                                          [this](std::shared_ptr<HttpExchange> exchange) {
                                              exchanges.push_back(std::move(exchange));
                                          });
            },
            [](const Error &error) -> std::unique_ptr<HttpServer> {
                throw std::runtime_error(error.message);
            }))
    { }

    SocketAddress address() const { return server_->address(); }

    std::vector<std::shared_ptr<HttpExchange>> exchanges;

private:
    std::unique_ptr<HttpServer> server_;
};

//! Records the results that a callback receives.
template<typename T>
struct Answer
{
    StoreCallback<T> callback()
    {
        return [this](AsyncResult<T> result) { results.push_back(std::move(result)); };
    }
    bool hasResult() const { return !results.empty(); }
    ResultCode code() const
    {
        const auto *error = std::get_if<Error>(&results.back());
        return error ? error->code : ResultCode::Ok;
    }
    const T &value() const { return std::get<T>(results.back()); }

    std::vector<AsyncResult<T>> results;
};

const std::string kSwapped = R"({"header":{"revision":"6"},"succeeded":true})";
const std::string kEntry =
    R"({"header":{"revision":"6"},"kvs":[{"key":"Zm9v","value":"YmFy","mod_revision":"5"}]})";
//! An address on which nothing listens: port 1 of the loopback interface is reserved.
const SocketAddress kClosedAddress("127.0.0.1:1");

} // namespace

SCENARIO("A write to the store has one of three outcomes")
{
    LoopRunner runner;
    ManualStore store(runner.loop());
    HttpClient http(runner.loop(), {});
    StoreClient client(runner.loop(), http,
                       { { store.address() }, std::chrono::milliseconds(200) });
    Answer<SwapReply> answer;
    client.compareAndSwap({ "foo", "bar", 0, std::nullopt }, answer.callback());
    REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 1; }));
    auto &exchange = store.exchanges[0];
    REQUIRE(exchange->path() == kEtcdTxnPath);

    THEN("a complete reply reports the outcome")
    {
        exchange->reply(200, {}, kSwapped);
        REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
        REQUIRE(answer.value().isSwapped);
        REQUIRE(answer.value().revision == 6);
    }

    // Guards against a write of unknown outcome being reported as rejected or as successful.
    THEN("a lost, unusable or late reply makes the outcome unknown, without a retry")
    {
        ResultCode expected = ResultCode::ConnectionClosed;
        SECTION("the connection breaks")
        {
            exchange->abort();
        }
        SECTION("the reply is truncated")
        {
            exchange->startStream(200, {});
            exchange->sendChunk(kSwapped.substr(0, 20));
            exchange->abort();
        }
        SECTION("the reply has no content")
        {
            exchange->reply(200, {}, "{}");
        }
        SECTION("the store failed")
        {
            exchange->reply(503, {}, "{}");
        }
        SECTION("there is no reply")
        {
            expected = ResultCode::Timeout;
        }
        REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
        REQUIRE(answer.code() == expected);
        runner.runFor(std::chrono::milliseconds(50));
        REQUIRE(store.exchanges.size() == 1);
        REQUIRE(answer.results.size() == 1);
    }

    THEN("a rejected write did not take effect")
    {
        exchange->reply(429, {}, R"({"error":"too many requests"})");
        REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
        REQUIRE(answer.code() == ResultCode::StoreError);
    }
}

SCENARIO("The store has several addresses")
{
    LoopRunner runner;
    ManualStore store(runner.loop());
    HttpClient http(runner.loop(), {});
    Answer<std::optional<StoreEntry>> answer;

    // Guards against a store that is unavailable because one of its members has failed.
    WHEN("the first refuses connections")
    {
        StoreClient client(runner.loop(), http, { { kClosedAddress, store.address() } });
        client.get("foo", answer.callback());
        REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 1; }));
        store.exchanges[0]->reply(200, {}, kEntry);
        THEN("the next one is used")
        {
            REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
            REQUIRE(answer.value()->value == "bar");
            REQUIRE(answer.value()->modRevision == 5);
        }
    }

    WHEN("none accepts connections")
    {
        StoreClient client(runner.loop(), http, { { kClosedAddress, kClosedAddress } });
        client.get("foo", answer.callback());
        THEN("the error says that nothing took effect")
        {
            REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
            REQUIRE(answer.code() == ResultCode::ConnectFailed);
        }
    }

    // Guards against a read that fails because the store closed an idle connection.
    WHEN("the connection of a read is lost")
    {
        StoreClient client(runner.loop(), http, { { store.address() } });
        client.get("foo", answer.callback());
        REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 1; }));
        store.exchanges[0]->abort();
        THEN("the read is retried on a new connection")
        {
            REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 2; }));
            store.exchanges[1]->reply(200, {}, R"({"header":{"revision":"6"}})");
            REQUIRE(runner.runUntil([&] { return answer.hasResult(); }));
            REQUIRE_FALSE(answer.value().has_value());
        }
    }
}

SCENARIO("A router watches a key")
{
    LoopRunner runner;
    ManualStore store(runner.loop());
    HttpClient http(runner.loop(), {});
    StoreClient client(
        runner.loop(), http,
        { { store.address() }, std::chrono::milliseconds(200), std::chrono::milliseconds(300) });
    Answer<std::optional<StoreEntry>> answer;
    client.watch("foo", 5, answer.callback());
    REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 1; }));
    auto &exchange = store.exchanges[0];
    REQUIRE(exchange->body() == writeEtcdWatch("foo", 5));
    exchange->startStream(200, {});
    const std::string line =
        R"({"result":{"events":[{"kv":{"key":"Zm9v","value":"YmFy","mod_revision":"5"}}]}})"
        "\n";
    exchange->sendChunk(R"({"result":{"created":true}})"
                        "\n"
                        + line.substr(0, 30));
    exchange->sendChunk(line.substr(30) + line);
    REQUIRE(runner.runUntil([&] { return answer.results.size() == 2; }));
    REQUIRE(answer.value()->value == "bar");

    // Guards against a watch that ends unnoticed, after which the router would miss changes.
    THEN("its end is reported once, as an error")
    {
        ResultCode expected = ResultCode::ConnectionClosed;
        SECTION("when the store ends it")
        {
            exchange->endStream();
        }
        SECTION("when the connection breaks")
        {
            exchange->abort();
        }
        SECTION("when the revision is compacted")
        {
            expected = ResultCode::StoreError;
            exchange->sendChunk("{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}\n");
        }
        SECTION("when a line cannot be parsed")
        {
            expected = ResultCode::MalformedMessage;
            exchange->sendChunk("{\n");
        }
        SECTION("when nothing is received any more")
        {
            expected = ResultCode::Timeout;
        }
        REQUIRE(runner.runUntil([&] { return answer.results.size() == 3; }));
        REQUIRE(answer.code() == expected);
        runner.runFor(std::chrono::milliseconds(20));
        REQUIRE(answer.results.size() == 3);
    }

    THEN("a cancelled watch calls no callback any more and closes its connection")
    {
        client.cancelWatch("foo");
        REQUIRE(runner.runUntil([&] { return exchange->isClosed(); }));
        REQUIRE(answer.results.size() == 2);
    }
}

// Guards against use of freed memory when a callback destroys the object that called it.
TEST_CASE("Callbacks may destroy the store client")
{
    LoopRunner runner;
    ManualStore store(runner.loop());
    HttpClient http(runner.loop(), {});
    auto client = std::make_unique<StoreClient>(runner.loop(), http,
                                                StoreClient::Options { { store.address() } });
    int calls = 0;
    const auto onEntry = [&](const auto &) {
        ++calls;
        client.reset();
    };
    std::string reply;
    SECTION("from a call")
    {
        client->get("foo", onEntry);
        reply = kEntry;
    }
    SECTION("from a watch, with a second event in the same line")
    {
        client->watch("foo", 0, onEntry);
        reply = R"({"result":{"events":[{"kv":{"key":"Zm9v"}},{"kv":{"key":"Zm9v"}}]}})"
                "\n{}\n";
    }
    SECTION("from the end of a watch")
    {
        client->watch("foo", 0, onEntry);
        reply = "{}\n";
    }
    REQUIRE(runner.runUntil([&] { return store.exchanges.size() == 1; }));
    store.exchanges[0]->reply(200, {}, reply);
    REQUIRE(runner.runUntil([&] { return calls > 0; }));
    runner.runFor(std::chrono::milliseconds(20));
    REQUIRE(calls == 1);
}
