#include "crocusport/coordination/configurationreplica.h"

#include <catch2/catch.hpp>

using namespace crocusport;
using namespace std::chrono_literals;

namespace {

bool adopt(ConfigurationReplica &replica, std::uint64_t version, ConfigurationSource source)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = ConfigurationVersion(version);
    return replica.adopt(configuration, "document " + std::to_string(version), source);
}

} // namespace

SCENARIO("A router that starts while the store is unavailable becomes ready through its peers")
{
    const RouterName b("b");
    const RouterName c("c");
    ConfigurationReplica replica(RouterName("a"));
    replica.setMembers({ RouterName("a"), b, c });
    Instant now(1000s);
    REQUIRE(replica.tick(now).empty());

    GIVEN("one peer that has version 4 and one that has version 5")
    {
        replica.recordPeerVersion(b, ConfigurationVersion(4));
        REQUIRE(replica.tick(now).front().to == b);
        replica.recordPeerVersion(c, ConfigurationVersion(5));

        // Guards against a router that serves with an older configuration than its peers have.
        THEN("version 4 is adopted but does not make it ready")
        {
            REQUIRE(adopt(replica, 4, ConfigurationSource::Peer));
            REQUIRE(replica.tick(now).front().to == c);
            now += 2s;
            replica.tick(now);
            REQUIRE_FALSE(replica.isReady());
            REQUIRE(adopt(replica, 5, ConfigurationSource::Peer));
            replica.tick(now);
            REQUIRE(replica.isReady());

            // Guards against a late message that replaces the configuration by an older version.
            AND_THEN("it never adopts an older version")
            {
                REQUIRE_FALSE(adopt(replica, 4, ConfigurationSource::Store));
                REQUIRE_FALSE(adopt(replica, 5, ConfigurationSource::Store));
                REQUIRE(replica.version() == ConfigurationVersion(5));
                REQUIRE_FALSE(replica.answer(b, { ConfigurationVersion(5) }));
                const auto answer = replica.answer(b, { ConfigurationVersion(4) });
                REQUIRE(std::get<ConfigurationMessage>(answer->message).document == "document 5");
            }
        }
        // Guards against waiting for ever for a peer that does not send its configuration.
        THEN("another peer is asked when the first one does not reply")
        {
            REQUIRE(replica.tick(now + 400ms).empty());
            REQUIRE(replica.tick(now + 500ms).front().to == c);
            REQUIRE(replica.tick(now + 1s).front().to == b);
        }
    }
    GIVEN("a peer that reports its version and one that does not")
    {
        replica.recordPeerVersion(b, ConfigurationVersion(4));
        REQUIRE(adopt(replica, 4, ConfigurationSource::Peer));

        // Guards against a peer that does not report its version and so keeps a router from being
        // ready.
        THEN("the router is ready after a second without the other peer's version")
        {
            replica.tick(now + 10ms);
            REQUIRE_FALSE(replica.isReady());
            replica.tick(now + 1010ms);
            REQUIRE(replica.isReady());
        }
    }
}
