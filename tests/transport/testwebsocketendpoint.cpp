#include "websocketendpoint.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

constexpr std::size_t kMaxMessageBytes = 100'000;

//! An endpoint that records its output and the messages received.
struct RecordedEndpoint
{
    explicit RecordedEndpoint(WebSocketEndpoint::Role role)
    {
        WebSocketEndpoint::Handlers handlers;
        handlers.onOutput = [this](std::string_view bytes) { output += bytes; };
        handlers.onOpen = [this] { isOpen = true; };
        handlers.onMessage = [this](std::string message) {
            messages.push_back(std::move(message));
        };
        handlers.onClosed = [this](const std::string & /*reason*/) { ++closed; };
        endpoint =
            std::make_unique<WebSocketEndpoint>(role, "127.0.0.1:1", kMaxMessageBytes, handlers);
        endpoint->start();
    }

    std::string output;
    std::vector<std::string> messages;
    bool isOpen = false;
    int closed = 0;
    std::unique_ptr<WebSocketEndpoint> endpoint;
};

//! Passes output to the other side, \a step bytes at a time, until there is none.
void exchange(RecordedEndpoint &left, RecordedEndpoint &right, std::size_t step)
{
    const auto pass = [step](RecordedEndpoint &from, RecordedEndpoint &to) {
        const auto bytes = std::exchange(from.output, {});
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            if (!to.endpoint->receive(std::string_view(bytes).substr(at, step)))
                return;
        }
    };
    while (!left.output.empty() || !right.output.empty()) {
        pass(left, right);
        pass(right, left);
    }
}

//! A frame with a masking key of zeros, as a client sends it (RFC 6455 section 5.2).
std::string frame(unsigned char firstByte, const std::string &payload)
{
    std::string result(1, static_cast<char>(firstByte));
    result += static_cast<char>(0x80 + payload.size());
    result += std::string(4, '\0');
    return result + payload;
}

} // namespace

SCENARIO("Two WebSocket endpoints exchange messages")
{
    using Role = WebSocketEndpoint::Role;
    // Guards against messages that are lost or mixed up when they are received in pieces.
    const std::size_t step = GENERATE(1, 7, 1000, 1'000'000);
    RecordedEndpoint client(Role::Client);
    RecordedEndpoint server(Role::Server);
    exchange(client, server, step);
    REQUIRE(client.isOpen);
    REQUIRE(server.isOpen);

    THEN("messages of all sizes are received in order, also right after the handshake")
    {
        std::vector<std::string> messages;
        for (const std::size_t size : { 0U, 1U, 125U, 126U, 65535U, 65536U, 100'000U })
            messages.emplace_back(size, static_cast<char>('a' + size % 26));
        for (const auto &message : messages) {
            client.endpoint->send(message);
            server.endpoint->send(message);
        }
        exchange(client, server, step);
        REQUIRE(client.messages == messages);
        REQUIRE(server.messages == messages);
        REQUIRE(client.closed + server.closed == 0);
    }
    THEN("a close reaches the other side")
    {
        client.endpoint->close("done");
        exchange(client, server, step);
        REQUIRE(server.closed == 1);
        REQUIRE_FALSE(server.endpoint->receive("more"));
    }
}

SCENARIO("A WebSocket endpoint receives invalid input")
{
    RecordedEndpoint client(WebSocketEndpoint::Role::Client);
    RecordedEndpoint server(WebSocketEndpoint::Role::Server);
    exchange(client, server, 1'000'000);
    REQUIRE(server.isOpen);

    // Guards against a link that is not closed after a protocol error.
    const auto input = GENERATE(values<std::string>({
        frame(0x83, "reserved opcode"),
        frame(0xC2, "reserved bit"),
        frame(0x80, "continuation of nothing"),
        frame(0x81, "text message"),
        std::string("\x82\x05hello", 7),                             // Not masked.
        std::string("\x82\xFF\x00\x00\x00\x00\x00\x01\x86\xA1", 10), // 100,001 bytes.
        std::string("\x82\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 10),
        frame(0x02, std::string(100, 'a')) + frame(0x82, "new message inside another"),
    }));
    REQUIRE_FALSE(server.endpoint->receive(input + std::string(14, '\0')));
    REQUIRE(server.closed == 1);
    REQUIRE(server.messages.empty());
}

SCENARIO("The fragments of one message together exceed the size limit")
{
    RecordedEndpoint client(WebSocketEndpoint::Role::Client);
    RecordedEndpoint server(WebSocketEndpoint::Role::Server);
    exchange(client, server, 1'000'000);

    // Guards against a size limit that is applied only to each fragment.
    bool isOpen = server.endpoint->receive(frame(0x02, std::string(125, 'a')));
    REQUIRE(isOpen);
    for (int i = 0; i < 1000 && isOpen; ++i)
        isOpen = server.endpoint->receive(frame(0x00, std::string(125, 'a')));
    REQUIRE_FALSE(isOpen);
    REQUIRE(server.closed == 1);
}

SCENARIO("A client that does not speak WebSocket connects")
{
    const auto input = GENERATE(values<std::string>({
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n",
        "garbage\r\n\r\n",
        "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a'),
    }));
    RecordedEndpoint server(WebSocketEndpoint::Role::Server);
    REQUIRE_FALSE(server.endpoint->receive(input));
    REQUIRE(server.closed == 1);
    REQUIRE_FALSE(server.isOpen);
}

// Guards against input that ends the process.
TEST_CASE("A WebSocket endpoint survives random bytes")
{
    const auto role = GENERATE(WebSocketEndpoint::Role::Client, WebSocketEndpoint::Role::Server);
    REQUIRE(rc::check("before the handshake", [&] {
        RecordedEndpoint endpoint(role);
        for (const auto &bytes : *rc::gen::arbitrary<std::vector<std::string>>()) {
            if (!endpoint.endpoint->receive(bytes))
                break;
        }
        RC_ASSERT(endpoint.messages.empty());
    }));
    REQUIRE(rc::check("after the handshake", [&] {
        RecordedEndpoint client(WebSocketEndpoint::Role::Client);
        RecordedEndpoint server(WebSocketEndpoint::Role::Server);
        exchange(client, server, 1'000'000);
        auto &endpoint = role == WebSocketEndpoint::Role::Client ? client : server;
        for (const auto &bytes : *rc::gen::arbitrary<std::vector<std::string>>()) {
            if (!endpoint.endpoint->receive(bytes))
                break;
        }
        RC_ASSERT(endpoint.closed <= 1);
    }));
}
