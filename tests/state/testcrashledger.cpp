#include "crocusport/state/crashledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

const Instant kStart { std::chrono::hours(1) };
const Fingerprint kSuspect(7);

} // namespace

SCENARIO("Fingerprints are refused after two crashes")
{
    CrashLedger ledger;

    GIVEN("a fingerprint with one crash that was reported twice")
    {
        ledger.add(kSuspect, "a#1", kStart);
        ledger.add(kSuspect, "a#1", kStart);

        // Guards against counting two reports of one crash as two crashes.
        THEN("it is a crash suspect, not refused")
        {
            REQUIRE(ledger.isCrashSuspect(kSuspect));
            REQUIRE_FALSE(ledger.refusedUntil(kSuspect, kStart));
        }

        WHEN("a request with the fingerprint completes and the same report arrives late")
        {
            ledger.clear(kSuspect);
            ledger.add(kSuspect, "a#1", kStart);

            // Guards against late reports of other routers that count a cleared crash again.
            THEN("the crash stays cleared")
            {
                REQUIRE_FALSE(ledger.isCrashSuspect(kSuspect));
            }
        }

        WHEN("it causes a second crash")
        {
            ledger.attribute(kSuspect, "b#1", kStart);

            THEN("it is refused for 10 minutes and stays a crash suspect after that")
            {
                REQUIRE(ledger.refusedUntil(kSuspect, kStart + std::chrono::seconds(599)));
                REQUIRE_FALSE(ledger.refusedUntil(kSuspect, kStart + std::chrono::minutes(10)));
                REQUIRE(ledger.isCrashSuspect(kSuspect));
            }

            // Guards against suspecting requests that ran on the same server as a known suspect.
            THEN("the crash does not count for another fingerprint")
            {
                ledger.add(Fingerprint(8), "b#1", kStart);
                REQUIRE_FALSE(ledger.isCrashSuspect(Fingerprint(8)));
            }
        }
    }

    GIVEN("a request that two servers were answering when they crashed")
    {
        ledger.add(kSuspect, "a#1", kStart, CrashEvidence::DuringAnswer);
        ledger.add(kSuspect, "b#1", kStart, CrashEvidence::DuringAnswer);

        // Guards against refusing long streams because two servers that ran them crashed for other
        // reasons.
        THEN("it is not refused")
        {
            REQUIRE_FALSE(ledger.refusedUntil(kSuspect, kStart));
        }
        THEN("it is refused after the third such crash")
        {
            ledger.add(kSuspect, "c#1", kStart, CrashEvidence::DuringAnswer);
            REQUIRE(ledger.refusedUntil(kSuspect, kStart));
        }
        // Guards against two routers that hold different evidence of the same crash after they
        // exchanged their reports.
        THEN("a report by a router that had received nothing of the answer replaces weaker ones")
        {
            REQUIRE(ledger.add(kSuspect, "a#1", kStart, CrashEvidence::BeforeAnswer));
            REQUIRE_FALSE(ledger.add(kSuspect, "a#1", kStart, CrashEvidence::DuringAnswer));
            REQUIRE_FALSE(ledger.refusedUntil(kSuspect, kStart));
            ledger.add(kSuspect, "b#1", kStart, CrashEvidence::BeforeAnswer);
            REQUIRE(ledger.refusedUntil(kSuspect, kStart));
        }
    }

    GIVEN("a request that has just completed")
    {
        ledger.noteCompleted(kSuspect, kStart);

        // Guards against refusing a request that many callers send because the servers that ran it
        // crashed for other reasons.
        WHEN("two servers crash while they run the request")
        {
            const auto now = kStart + std::chrono::seconds(1);
            REQUIRE_FALSE(ledger.add(kSuspect, "a#1", now));
            REQUIRE_FALSE(ledger.add(kSuspect, "b#1", now));
            REQUIRE_FALSE(ledger.refusedUntil(kSuspect, now));
        }
        // Guards against never suspecting a request again because it completed once.
        WHEN("30 seconds later two servers crash while they run the request")
        {
            const auto later = kStart + std::chrono::seconds(30);
            REQUIRE(ledger.add(kSuspect, "a#1", later));
            REQUIRE(ledger.add(kSuspect, "b#1", later));
            REQUIRE(ledger.refusedUntil(kSuspect, later));
            ledger.expire(later);
            REQUIRE(ledger.refusedUntil(kSuspect, later));
        }
    }

    // Guards against routers that refuse different fingerprints after they received the same
    // reports.
    rc::prop("the order and number of reports do not matter", [] {
        using Report = std::pair<std::uint64_t, std::uint64_t>;
        const auto number = rc::gen::inRange<std::uint64_t>(1, 5);
        const auto reports =
            *rc::gen::container<std::vector<Report>>(rc::gen::pair(number, number));
        auto others = reports;
        others.insert(others.end(), reports.begin(), reports.end());
        std::reverse(others.begin(), others.end());
        const auto merge = [](const std::vector<Report> &list) {
            CrashLedger merged;
            for (const auto &[fingerprint, crash] : list)
                merged.add(Fingerprint(fingerprint), std::to_string(crash), kStart);
            return merged;
        };
        const auto first = merge(reports);
        const auto second = merge(others);
        for (std::uint64_t i = 1; i < 5; ++i) {
            RC_ASSERT(first.isCrashSuspect(Fingerprint(i))
                      == second.isCrashSuspect(Fingerprint(i)));
            RC_ASSERT(first.refusedUntil(Fingerprint(i), kStart)
                      == second.refusedUntil(Fingerprint(i), kStart));
        }
    });
}
