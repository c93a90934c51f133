#include "httptext.h"
#include "socketaddresses.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace crocusport;

namespace {

bool isParsed(const std::string &address)
{
    return handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(parseSocketAddress(SocketAddress(address)));
            return true;
        },
        [](const Error & /*error*/) { return false; });
}

} // namespace

// Guards against host names, whose resolution would block the loop, and partly parsed ports.
TEST_CASE("Only IP addresses with a port are socket addresses")
{
    for (const auto *const good : { "127.0.0.1:1", "0.0.0.0:0", "[::1]:65535", "[fe80::1]:80" })
        CHECK(isParsed(good));
    for (const auto *const bad : { "", ":", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                                   "127.0.0.1:-1", "127.0.0.1:1x", "localhost:1", "[]:1", "1:1" })
        CHECK_FALSE(isParsed(bad));
}

TEST_CASE("A socket address has the same text after conversion to a raw address and back")
{
    REQUIRE(rc::check("IPv4", [] {
        std::string text;
        for (int i = 0; i < 4; ++i)
            text += (i ? "." : "") + std::to_string(*rc::gen::inRange(0, 256));
        text += ":" + std::to_string(*rc::gen::inRange(0, 65536));
        const auto back = handleErrors(
            [&]() -> Result<SocketAddress> {
                BOOST_LEAF_AUTO(raw, parseSocketAddress(SocketAddress(text)));
                return toSocketAddress(*raw.get());
            },
            [](const Error & /*error*/) { return SocketAddress(); });
        RC_ASSERT(back.value() == text);
    }));
}

// Guards against header injection (RFC 9110 section 5.5).
TEST_CASE("Invalid headers and targets are not sendable")
{
    CHECK(isSendableHeader("X-Name", "any text, also \xC3\xA4"));
    CHECK(isSendableHeader("X-Name", ""));
    for (const auto *const name : { "", "X Name", "X:", "X\r\n", "X-\xC3\xA4", "X(" })
        CHECK_FALSE(isSendableHeader(name, "value"));
    for (const auto *const value : { "a\rb", "a\nb", "a\r\nX: b" })
        CHECK_FALSE(isSendableHeader("X", value));
    CHECK_FALSE(isSendableHeader("X", std::string_view("a\0b", 3)));

    CHECK(isSendableTarget("/path?query=%20"));
    for (const auto *const target : { "", "/a b", "/a\r\n", "/\t", "/\x7F", "/\xC3" })
        CHECK_FALSE(isSendableTarget(target));
}

TEST_CASE("A token is found case-insensitively in a comma-separated list")
{
    CHECK(listContainsToken("close", "close"));
    CHECK(listContainsToken("keep-alive, Close ,x", "close"));
    CHECK_FALSE(listContainsToken("closed, not-close", "close"));
    CHECK_FALSE(listContainsToken("", "close"));
}
