#include "crashrecords.h"
#include "deployment.h"

#include <catch2/catch.hpp>

using namespace crocusport;

SCENARIO("Requests that are refused because servers crashed under them have records in the store")
{
    const Fingerprint fingerprint(0xabc);
    const std::string key = "crocusport/crashes/abc";
    const Instant start(std::chrono::hours(1));
    LoopRunner runner;
    StandInStore store(runner.loop());
    HttpClient client(runner.loop(), {});
    CrashLedger ledger;
    CrashRecords records(client, Deployment::formats(), store.address(), ledger);
    const auto settle = [&] { runner.runFor(Milliseconds(50)); };
    const auto refuse = [&] {
        ledger.add(fingerprint, "first#1", start);
        ledger.add(fingerprint, "second#1", start);
        records.noteRefused(fingerprint, start);
    };

    GIVEN("a request that is refused")
    {
        refuse();
        WHEN("the router is the first of its neighbourhood")
        {
            records.update(0, start);
            settle();
            REQUIRE(store.has(key));

            // Guards against calls, which are priced, for a record that is on its way.
            records.update(0, start + std::chrono::milliseconds(100));
            settle();
            REQUIRE(records.calls() == 1);
        }
        // Guards against a record that is missing because the one that writes it is cut off.
        WHEN("the router is the third, and the record does not appear")
        {
            records.update(2, start + std::chrono::milliseconds(1900));
            settle();
            REQUIRE(records.calls() == 0);
            records.update(2, start + std::chrono::seconds(2));
            settle();
            REQUIRE(store.has(key));
        }
        WHEN("the store cannot take the record at first")
        {
            store.setMode(StandInStore::Mode::Refusing);
            records.update(0, start);
            settle();
            REQUIRE_FALSE(store.has(key));
            store.setMode(StandInStore::Mode::Serving);
            records.update(0, start + std::chrono::seconds(1));
            settle();
            REQUIRE(store.has(key));
        }
        // Guards against a refusal that outlives what it was for.
        WHEN("it completes, though it has a record")
        {
            store.put(key, "first#1\nsecond#1");
            records.take({ key, "first#1\nsecond#1", 2 }, start);
            ledger.noteCompleted(fingerprint, start);
            records.update(0, start + std::chrono::seconds(1));
            settle();
            REQUIRE_FALSE(store.has(key));
        }
    }
    GIVEN("a router that knows nothing")
    {
        THEN("a record is what it refuses, until the record is removed")
        {
            records.take({ key, "first#1\nsecond#1", 2 }, start);
            REQUIRE(ledger.refusedUntil(fingerprint, start));
            records.take({ key, std::nullopt, 3 }, start);
            REQUIRE_FALSE(ledger.refusedUntil(fingerprint, start));
        }
        // Guards against entries of another writer.
        THEN("what is no record changes nothing")
        {
            records.take({ "crocusport/crashes/", "a\nb", 2 }, start);
            records.take({ "crocusport/crashes/xyz", "a\nb", 3 }, start);
            records.take({ "crocusport/crashes/1ffffffffffffffff", "a\nb", 4 }, start);
            records.take({ key, "", 5 }, start);
            records.take({ key, "\n\n", 6 }, start);
            REQUIRE(ledger.refusedCount(start) == 0);
        }
    }
}
