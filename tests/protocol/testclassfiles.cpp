#include "crocusport/protocol/classfiles.h"
#include "crocusport/protocol/configurationdocument.h"

#include "protocol/hostileinput.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace crocusport;
using namespace crocusport::test;

namespace {

const ClassFile kPools { "x/pool.toml", R"([[pool]]
name = "assistant"
kind = "engine"
region = "estonia"
urgent_reserve = 0.25

[[pool]]
name = "bookings"
kind = "service"
region = "estonia"

[[team]]
name = "field-officers"
requests_per_second = 20
)" };

const ClassFile kChat { "x/chat.toml", R"(name = "chat"
pool = "assistant"
tier = 1
repeat = "repeatable"
first_token_ms = 1400
answer_ms = 30000
deadline_ms = 60000
teams = ["field-officers"]
)" };

const ClassFile kBooking { "x/booking.toml", R"(name = "booking"
pool = "bookings"
tier = 2
repeat = "never"
path = "/bookings"
)" };

ClassFile changed(ClassFile file, const std::string &from, const std::string &to)
{
    const auto at = file.text.find(from);
    REQUIRE(at != std::string::npos);
    file.text.replace(at, from.size(), to);
    return file;
}

std::string faultsOf(const std::vector<ClassFile> &files,
                     ResultCode code = ResultCode::BadClassFile)
{
    const auto error = errorOf([&] { return parseClassFiles(files); });
    REQUIRE(error.has_value());
    REQUIRE(error->code == code);
    return error->message;
}

Configuration sampleConfiguration()
{
    return valueOf([] { return parseClassFiles({ kPools, kChat, kBooking }); }).value();
}

} // namespace

SCENARIO("Operators' class files become a configuration")
{
    GIVEN("valid files")
    {
        // Guards against keys stored in the wrong member, and defaults that differ from those of
        // the structures.
        THEN("values and defaults are in force")
        {
            const auto configuration = sampleConfiguration();
            const auto &chat = configuration.classes.at(ClassName("chat"));
            REQUIRE(chat.tier == Tier(1));
            REQUIRE(chat.repeat == RepeatRule::Repeatable);
            REQUIRE(chat.firstTokenTarget == Milliseconds(1400));
            REQUIRE(chat.teams == std::vector { TeamName("field-officers") });
            const auto &booking = configuration.classes.at(ClassName("booking"));
            REQUIRE(booking.repeat == RepeatRule::Never);
            REQUIRE_FALSE(booking.answerTarget.has_value());
            REQUIRE(booking.path == "/bookings");
            REQUIRE(configuration.pools.at(PoolName("assistant")).urgentReserve == 0.25);
            REQUIRE(configuration.teams.at(TeamName("field-officers")).requestsPerSecond == 20);
            const PoolPolicy defaults { PoolName("bookings"), PoolKind::Service,
                                        Region("estonia") };
            REQUIRE(configuration.pools.at(PoolName("bookings")) == defaults);
        }
    }

    // Guards against one bad file of one team reaching every router.
    GIVEN("files that break a rule")
    {
        THEN("each fault names file, line and what is allowed")
        {
            REQUIRE(faultsOf({ kPools, changed(kChat, "tier = 1", "tier = 5") })
                    == "x/chat.toml:3: tier is 5; allowed is an integer from 1 to 4");
            REQUIRE(faultsOf({ kPools, changed(kChat, "60000", "43200001") })
                        .find("x/chat.toml:7: deadline_ms is 43200001; allowed")
                    == 0);
            REQUIRE(faultsOf({ kPools, changed(kChat, "30000", "60001") })
                    == "x/chat.toml:1: class chat: answer_ms is not within the deadline");
            REQUIRE(faultsOf({ kPools, changed(kChat, "1400", "30001") })
                        .find("first_token_ms is not within")
                    != std::string::npos);
            REQUIRE(faultsOf({ changed(kPools, "0.25", "1.25"), kChat })
                    == "x/pool.toml:5: urgent_reserve is 1.25; allowed is a number from 0 to 1");
            REQUIRE(faultsOf({ kPools, changed(kChat, "tier", "teir") })
                    == "x/chat.toml:3: unknown key teir\n"
                       "x/chat.toml: tier is missing; allowed is an integer from 1 to 4");
            REQUIRE(faultsOf({ kPools, changed(kChat, "pool = \"assistant\"", "pool = \"other\"") })
                    == "x/chat.toml:1: class chat: there is no pool other");
            REQUIRE(faultsOf({ kPools, changed(kChat, "[\"field-officers\"]", "[\"others\"]") })
                    == "x/chat.toml:1: class chat: there is no team others");
        }
    }

    // Guards against a class that is open to every team because its last team was taken out.
    GIVEN("a class with an empty list of teams")
    {
        REQUIRE(faultsOf({ kPools, changed(kChat, "[\"field-officers\"]", "[]") })
                == "x/chat.toml:8: teams is a list of 0; allowed is a list of 1 to 1000 texts that "
                   "are not empty");
    }

    // Guards against the order of files deciding which of two definitions is in force.
    GIVEN("files that are valid only by themselves")
    {
        auto other = kBooking;
        other.path = "y/other.toml";

        THEN("a class defined twice names both files and lines")
        {
            REQUIRE(faultsOf({ kPools, kBooking, other }, ResultCode::ConflictingClassFiles)
                    == "y/other.toml:1: class booking is defined in x/booking.toml:1 too");
        }
        THEN("two services with one path are a conflict, longer prefixes are not")
        {
            other = changed(other, "name = \"booking\"", "name = \"other\"");
            REQUIRE(faultsOf({ kPools, kBooking, other }, ResultCode::ConflictingClassFiles)
                    == "y/other.toml:1: class other: path /bookings is that of class booking too");
            other = changed(other, "/bookings", "/bookings/other");
            REQUIRE(valueOf([&] { return parseClassFiles({ kPools, kBooking, other }); }));
        }
        THEN("a service cannot take the path of engines")
        {
            REQUIRE(faultsOf({ kPools, changed(kBooking, "/bookings", "/v1") },
                             ResultCode::ConflictingClassFiles)
                    == "x/booking.toml:1: class booking: path /v1 includes the path of engines");
        }
    }

    rc::prop("random and mutated files never crash and errors are clear", [] {
        const ClassFile pools { kPools.path, hostileInput(kPools.text) };
        const ClassFile chat { kChat.path, hostileInput(kChat.text) };
        requireClear(errorOf([&] {
                         return parseClassFiles({ pools, chat, kBooking });
                     }),
                     { ResultCode::BadClassFile, ResultCode::ConflictingClassFiles });
    });
}

SCENARIO("A configuration is stored as a document")
{
    auto configuration = sampleConfiguration();
    configuration.version = ConfigurationVersion(7);
    configuration.publishId = "p-1";
    const auto document = writeConfigurationDocument(configuration);

    // Guards against a value that is lost on the way through the store.
    THEN("it is the same after reading it back")
    {
        REQUIRE(valueOf([&] { return parseConfigurationDocument(document); }) == configuration);
    }

    // Guards against routers that adopt a configuration which publishing would have rejected.
    THEN("a document that breaks a rule is malformed")
    {
        auto other = configuration;
        other.classes.begin()->second.pool = PoolName("none");
        const auto error =
            errorOf([&] { return parseConfigurationDocument(writeConfigurationDocument(other)); });
        REQUIRE(error->code == ResultCode::MalformedMessage);
        REQUIRE(error->message == "configuration: class booking: there is no pool none");
    }

    THEN("a document above the store's limit is refused")
    {
        const std::string large(kMaxConfigurationBytes + 1, ' ');
        REQUIRE(errorOf([&] { return parseConfigurationDocument(large); })->code
                == ResultCode::ConfigurationTooLarge);
    }

    rc::prop("random and mutated documents never crash and errors are clear", [&] {
        const auto text = hostileInput(document);
        requireClear(errorOf([&] { return parseConfigurationDocument(text); }),
                     { ResultCode::MalformedMessage });
    });
}
