#include "crocusport/gateway/gatewaysettings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace crocusport;

namespace {

const std::string kValid = R"(router = "router-1"
region = "region-1"
availability_zone = "zone-1"
listen.callers = "10.0.0.1:8080"
listen.ready = "10.0.0.1:8081"
internal.ip = "10.0.0.1"
store.address = "10.0.9.1:2379"
)";

std::string faultOf(const std::string &text)
{
    return handleErrors(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(GatewaySettings::parse(text, "gateway.toml"));
            return std::string();
        },
        [](const Error &error) { return error.message; });
}

} // namespace

SCENARIO("The settings of a gateway")
{
    WHEN("they are complete")
    {
        REQUIRE(faultOf(kValid).empty());
    }
    // Guards against a misspelt key that is ignored silently, so that its default applies.
    WHEN("a key is unknown, missing or out of range")
    {
        REQUIRE(faultOf(kValid + "retry.ration = 1.0\n").find("unknown key retry.ration")
                != std::string::npos);
        REQUIRE(faultOf("router = \"r\"\n").find("store.address is missing") != std::string::npos);
        REQUIRE(faultOf(kValid + "bounds.revocation_ms = 5\n").find("from 100 to 60000")
                != std::string::npos);
        REQUIRE(faultOf(kValid + "bounds.strict_revocation = \"maybe\"\n").find("one of")
                != std::string::npos);
    }
    WHEN("a value is replaced on the command line")
    {
        const auto parsed = [](const std::string &line) {
            return handleErrors(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(settings, GatewaySettings::parse(kValid, "file", { line }));
                    return std::to_string(settings.serverHeartbeat.count());
                },
                [](const Error &error) { return error.message; });
        };
        REQUIRE(parsed("servers.heartbeat_ms=400") == "400");
        // Guards against a start that fails because the platform has no value for a setting.
        REQUIRE(parsed("servers.heartbeat_ms=") == "1200");
        REQUIRE(parsed("duties.address=\"\"") == "1200");
        REQUIRE(parsed("servers.heartbeats=400").find("unknown key") != std::string::npos);
        REQUIRE(parsed("servers.heartbeat_ms").find("not valid TOML") != std::string::npos);
    }
    // Guards against a document that lists keys that do not exist, or wrong ranges.
    WHEN("their generated reference is compared with the documentation")
    {
        std::ifstream stream(std::string(CROCUSPORT_SOURCE_DIRECTORY)
                             + "/docs/gateway-settings.md");
        std::ostringstream text;
        text << stream.rdbuf();
        REQUIRE(text.str().find(GatewaySettings::reference()) != std::string::npos);
    }
}
