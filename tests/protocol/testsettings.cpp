#include "crocusport/protocol/settings.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;
using namespace crocusport::test;

namespace {

const std::string kSecret = "correct-horse-battery";

const std::string kSettings = R"(router = "r1"
region = "central-java"
availability_zone = "kudus"
peer_seeds = ["127.0.0.1:7102", "[::1]:7103"]
peer_key = ")"
    + kSecret + R"("
store_addresses = ["127.0.0.1:2379"]
hostlist_address = "127.0.0.1:8500"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7101"
operators = "127.0.0.1:9090"

[policy]
queue = "local"

[limits]
max_streams = 12
)";

std::string faultsOf(const std::string &text, const std::vector<Settings::Override> &overrides = {})
{
    const auto error = errorOf([&] { return Settings::parse(text, "r.toml", overrides); });
    if (!error)
        return {};
    REQUIRE(error->code == ResultCode::BadSettings);
    return error->message;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

SCENARIO("A router reads its settings")
{
    GIVEN("a valid file")
    {
        // Guards against keys stored in the wrong member and against lost defaults.
        THEN("values and defaults are in force")
        {
            const auto settings = valueOf([] { return Settings::parse(kSettings, "r.toml", {}); });
            REQUIRE(settings.has_value());
            REQUIRE(settings->router == RouterName("r1"));
            REQUIRE(settings->zone == AvailabilityZone("kudus"));
            REQUIRE(settings->listen.operators == SocketAddress("127.0.0.1:9090"));
            REQUIRE(settings->peerSeeds.at(1) == SocketAddress("[::1]:7103"));
            REQUIRE(settings->peerKey == kSecret);
            REQUIRE(settings->queuePolicy == QueuePolicy::Local);
            REQUIRE(settings->limits.maxStreams == 12);
            REQUIRE(settings->limits.maxBodyBytes == 4'194'304);
            REQUIRE(settings->timeouts.store == Milliseconds(500));
            REQUIRE(settings->timeouts.progress == Milliseconds(5000));
            REQUIRE(settings->timeouts.holderAck == Milliseconds(20));
            REQUIRE(settings->shutdownDelay == Milliseconds(3000));
            REQUIRE(settings->logLevel == LogLevel::Info);
        }

        THEN("the command line takes precedence")
        {
            const auto settings = valueOf([] {
                return Settings::parse(kSettings, "r.toml",
                                       { { "limits.max_streams", "7" },
                                         { "store_addresses", "10.0.0.1:1,10.0.0.2:2" },
                                         { "policy.queue", "holder" } });
            });
            REQUIRE(settings.has_value());
            REQUIRE(settings->limits.maxStreams == 7);
            REQUIRE(settings->storeAddresses.size() == 2);
            REQUIRE(settings->queuePolicy == QueuePolicy::Holder);
        }
    }

    // Guards against errors that leave an operator searching for the fault.
    GIVEN("faulty values")
    {
        THEN("each fault names file, line, key, what was found and what is allowed")
        {
            auto text = replaced(kSettings, "max_streams = 12", "max_streams = 0");
            text = replaced(text, "\"127.0.0.1:8500\"", "\"localhost:8500\"");
            REQUIRE(faultsOf(text)
                    == "r.toml:7: hostlist_address is \"localhost:8500\"; allowed is an address "
                       "\"ip:port\"\n"
                       "r.toml:18: limits.max_streams is 0; allowed is an integer from 1 to "
                       "1000000");
        }
        THEN("misspelt keys are faults, in the file and on the command line")
        {
            REQUIRE(faultsOf(kSettings + "max_stream = 3\n")
                    == "r.toml:19: unknown key limits.max_stream");
            REQUIRE(faultsOf(kSettings, { { "limits.max_stream", "3" } })
                    == "command line: unknown key limits.max_stream");
        }
        THEN("a missing key is a fault")
        {
            REQUIRE(faultsOf(replaced(kSettings, "router = \"r1\"", ""))
                    == "r.toml: router is missing; allowed is a name of 1 to 64 letters, "
                       "digits, '.', '_' or '-'");
        }
    }

    // Guards against secrets in logs.
    GIVEN("a fault in or next to a secret")
    {
        THEN("no message shows the secret")
        {
            for (const auto &fault :
                 { faultsOf(replaced(kSettings, '"' + kSecret + '"', "\"short-secret\"")),
                   faultsOf(replaced(kSettings, '"' + kSecret + '"', kSecret)),
                   faultsOf(replaced(kSettings, '"' + kSecret + '"', '"' + kSecret)),
                   faultsOf(replaced(kSettings, '"' + kSecret + '"', "[\"" + kSecret + "\"]")),
                   faultsOf(kSettings, { { "peer_key", "short-secret" } }) }) {
                REQUIRE_FALSE(fault.empty());
                REQUIRE(fault.find("short-secret") == std::string::npos);
                REQUIRE(fault.find("correct") == std::string::npos);
            }
        }
    }

    rc::prop("random and mutated input never crashes and errors are clear", [] {
        const auto text = hostileInput(kSettings);
        requireClear(errorOf([&] { return Settings::parse(text, "r.toml", {}); }),
                     { ResultCode::BadSettings });
    });
}
