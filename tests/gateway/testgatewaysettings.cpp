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

GatewaySettings parsedWith(const std::string &text)
{
    return handleErrors([&] { return GatewaySettings::parse(kValid + text, "gateway.toml"); },
                        [](const Error &error) {
                            FAIL(error.message);
                            return GatewaySettings();
                        });
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
                    return std::to_string(settings.serverHeartbeat / Milliseconds(1));
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
    // Guards against a router that does not start because a figure of the platform is a fraction.
    WHEN("times, sizes and bounds are fractions")
    {
        const auto settings = parsedWith("shutdown.grace_s = 7.5\n"
                                         "bounds.leaving_ms = 1999.5\n"
                                         "bounds.revocation_ms = 5000.25\n"
                                         "bounds.configuration_ms = 2000.0\n"
                                         "bounds.stability_ms = 0.5\n"
                                         "servers.heartbeat_ms = 1200.125\n"
                                         "retry.window_s = 9.9\n"
                                         "retry.slack = 58.5\n"
                                         "duties.lease_ms = 3000.5\n"
                                         "duties.usage_window_s = 5.25\n"
                                         "duties.usage_delay_s = 0.75\n"
                                         "memory.host_mb = 259.5\n"
                                         "limits.descriptors = 4100.0\n");
        REQUIRE(settings.shutdownGrace == Milliseconds(7500));
        REQUIRE(settings.leavingBound == Duration(1'999'500));
        REQUIRE(settings.revocationBound == Duration(5'000'250));
        REQUIRE(settings.configurationBound == Milliseconds(2000));
        REQUIRE(settings.stabilityWindow == Duration(500));
        REQUIRE(settings.serverHeartbeat == Duration(1'200'125));
        REQUIRE(settings.retryWindow == Milliseconds(9900));
        REQUIRE(settings.retrySlack == 58.5);
        REQUIRE(settings.duties.lease == Duration(3'000'500));
        REQUIRE(settings.duties.usageWindow == Milliseconds(5250));
        REQUIRE(settings.duties.usageDelay == Milliseconds(750));
        REQUIRE(settings.hostMemoryMb == 259.5);
        REQUIRE(settings.descriptors == 4100);

        THEN("every key with a unit allows them")
        {
            std::istringstream rows(GatewaySettings::reference());
            for (std::string row; std::getline(rows, row);) {
                INFO(row);
                const bool hasUnit = row.find("(ms)") != std::string::npos
                    || row.find("(s)") != std::string::npos
                    || row.find("(MB)") != std::string::npos;
                REQUIRE((!hasUnit || row.find("a number from") != std::string::npos));
            }
        }
        THEN("a count must still be whole, and a number finite")
        {
            REQUIRE(faultOf(kValid + "limits.descriptors = 4100.5\n").find("an integer from")
                    != std::string::npos);
            REQUIRE(faultOf(kValid + "internal.report_port = 1e300\n").find("an integer from")
                    != std::string::npos);
            REQUIRE(faultOf(kValid + "shutdown.grace_s = nan\n").find("a number from")
                    != std::string::npos);
        }
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
