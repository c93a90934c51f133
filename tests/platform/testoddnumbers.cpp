#include "platformformats.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crocusport;
using platform::PlatformFormats;

namespace {

std::string configurationText(const std::string &timeout, const std::string &attempts)
{
    return R"({"version":7,"routes":[{"name":"r","host":"a","pathPrefix":"/","kind":"safe",)"
        + std::string(R"("service":"pool","targetLatencyMs":400.75,"timeoutMs":)") + timeout
        + R"(,"maxAttempts":)" + attempts + R"(}],"services":[{"name":"pool"}],)"
        + R"("limits":{"maxHeaderBytes":4096.0,"maxBodyBytes":1e5,"headerTimeoutMs":1000.5,)"
        + R"("idleTimeoutMs":15000.0}})";
}

std::optional<RoutingConfiguration> decoded(const std::string &timeout, const std::string &attempts)
{
    return handleErrors(
        [&]() -> Result<std::optional<RoutingConfiguration>> {
            BOOST_LEAF_AUTO(
                configuration,
                PlatformFormats::decodeConfiguration(configurationText(timeout, attempts)));
            return std::optional(std::move(configuration));
        },
        [](const Error & /*error*/) { return std::optional<RoutingConfiguration>(); });
}

} // namespace

// Guards against a configuration or a server that is rejected because of a figure that is written
// as a real number.
SCENARIO("Figures of the platform's messages are written as real numbers")
{
    WHEN("a configuration has times and sizes with a decimal point")
    {
        const auto configuration = decoded("1500.5", "2.0");
        REQUIRE(configuration);
        REQUIRE(configuration->routes[0].timeout == Milliseconds(1500));
        REQUIRE(configuration->routes[0].target == Milliseconds(400));
        REQUIRE(configuration->routes[0].maxAttempts == 2);
        REQUIRE(configuration->limits->maxHeadBytes == 4096);
        REQUIRE(configuration->limits->maxBodyBytes == 100'000);
        REQUIRE(configuration->limits->headTimeout == Milliseconds(1000));
    }
    WHEN("an entry of a server has them")
    {
        const auto entry = handleErrors(
            [&] {
                return PlatformFormats::decodeServer(
                    BackendServerName("s"),
                    R"({"service":"pool","address":"127.0.0.1:80","zone":"z","slots":4.0,)"
                    R"("state":"ready","coldRemainingMs":12.5,"version":"v","born":1765000000000.0,)"
                    R"("seq":3.0})");
            },
            [](const Error &error) {
                FAIL(error.message);
                return ServerEntry();
            });
        REQUIRE(entry.slots == 4);
        REQUIRE(entry.coldRemaining == Milliseconds(12));
        REQUIRE(entry.start == StartNumber(1'765'000'000'000));
        REQUIRE(entry.sequence == 3);
    }
    WHEN("a count is no whole number, or a number is out of range")
    {
        REQUIRE(decoded("1500", "2"));
        REQUIRE_FALSE(decoded("1500", "2.5"));
        REQUIRE_FALSE(decoded("1500", "1e300"));
        REQUIRE_FALSE(decoded("1e300", "2"));
        REQUIRE_FALSE(decoded("\"1500\"", "2"));
    }
}
