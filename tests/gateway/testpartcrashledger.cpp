#include "partcrashledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace crocusport;

namespace {

const Instant kStart(std::chrono::hours(1));
const Fingerprint kCause(1);
const Fingerprint kBeside(2);
const Fingerprint kCommon(3);

Instant at(int ms)
{
    return kStart + std::chrono::milliseconds(ms);
}

std::string crash(int number)
{
    return "engine-" + std::to_string(number) + "#1";
}

//! Suspects \a parts of crash \a number, one second after the crash before it.
void suspectAll(PartCrashLedger &ledger, const std::vector<Fingerprint> &parts, int number)
{
    for (const auto part : parts)
        ledger.suspect(part, crash(number), at(1000 * number));
}

bool isRefused(const PartCrashLedger &ledger, const std::vector<Fingerprint> &parts)
{
    return ledger.refusedUntil(parts, at(0)).has_value();
}

} // namespace

SCENARIO("Servers crash while they run requests that share a prompt part")
{
    PartCrashLedger ledger;
    for (int number = 1; number <= 2; ++number)
        suspectAll(ledger, { kCommon, kCause }, number);
    REQUIRE_FALSE(isRefused(ledger, { kCommon, kCause }));

    WHEN("a third server crashes")
    {
        suspectAll(ledger, { kCommon, kCause }, 3);
        REQUIRE(isRefused(ledger, { kCommon, kCause }));
        // Guards against refusing sound requests because the cause always came with their parts.
        THEN("requests with only one of the parts are served until they show which one it is")
        {
            REQUIRE_FALSE(isRefused(ledger, { kCommon, kBeside }));
            ledger.noteAnswered(kCommon, at(3500));
            REQUIRE_FALSE(isRefused(ledger, { kCommon, kBeside }));
            REQUIRE(isRefused(ledger, { kCause, kBeside }));
        }
        THEN("another crash without one of the parts shows that the other is the cause")
        {
            suspectAll(ledger, { kCause }, 4);
            REQUIRE(isRefused(ledger, { kCause, kBeside }));
            REQUIRE_FALSE(isRefused(ledger, { kCommon, kBeside }));
        }
    }
    // Guards against suspects that were only running beside the cause.
    WHEN("a part was running in some of the crashes")
    {
        suspectAll(ledger, { kCause, kBeside }, 3);
        suspectAll(ledger, { kCause, kBeside }, 4);
        suspectAll(ledger, { kCause, kBeside }, 5);
        REQUIRE(isRefused(ledger, { kCause }));
        REQUIRE_FALSE(isRefused(ledger, { kBeside }));
    }
    WHEN("an answer shows that the part is sound")
    {
        ledger.noteAnswered(kCommon, at(2500));
        suspectAll(ledger, { kCommon }, 3);
        suspectAll(ledger, { kCommon }, 4);
        REQUIRE_FALSE(isRefused(ledger, { kCommon }));
    }
}

// Guards against refusing a part that many requests contain because of a power failure.
SCENARIO("Many servers crash at the same time")
{
    PartCrashLedger ledger;
    for (int number = 1; number <= 6; ++number)
        ledger.suspect(kCommon, crash(number), at(number));
    REQUIRE_FALSE(isRefused(ledger, { kCommon }));
    WHEN("crashes of such a part continue after it was answered")
    {
        ledger.noteAnswered(kCommon, at(50));
        for (int number = 11; number <= 14; ++number)
            ledger.suspect(kCommon, crash(number), at(100 * number));
        // Reports of answers may arrive after those of crashes.
        REQUIRE_FALSE(isRefused(ledger, { kCommon }));
        THEN("it is refused although it was answered before")
        {
            ledger.suspect(kCommon, crash(15), at(4000));
            REQUIRE_FALSE(isRefused(ledger, { kCommon }));
            ledger.suspect(kCommon, crash(16), at(4100));
            REQUIRE(isRefused(ledger, { kCommon }));
        }
    }
}

// Guards against a part of all prompts that is refused for long before anything was answered.
SCENARIO("A part is refused by a router that has seen no answer")
{
    PartCrashLedger ledger;
    for (int number = 1; number <= 3; ++number)
        suspectAll(ledger, { kCause }, number);
    REQUIRE(ledger.refusedUntil(kCause, at(3000)) <= at(3000) + std::chrono::seconds(2));
}

SCENARIO("A refused part is tried again")
{
    PartCrashLedger ledger;
    ledger.noteAnswered(kBeside, at(0));
    for (int number = 1; number <= 3; ++number)
        suspectAll(ledger, { kCause }, number);
    const auto first = ledger.refusedUntil(kCause, at(3000));
    REQUIRE(first);
    REQUIRE(*first - at(3000) >= std::chrono::seconds(10));

    // Guards against a sound part of all prompts that is refused for long, because several causes
    // came with it before its first answer.
    WHEN("a request also contains another suspect")
    {
        ledger.suspect(kBeside, crash(9), at(3000));
        REQUIRE_FALSE(ledger.isTrialMeaningful({ kCause, kBeside }));
        REQUIRE(ledger.isTrialMeaningful({ kCause, kCommon }));
    }
    WHEN("a trial starts here or elsewhere")
    {
        REQUIRE(ledger.startTrial({ kCause }, *first).size() == 1);
        const auto second = ledger.refusedUntil(kCause, *first);
        THEN("the next one waits for longer")
        {
            REQUIRE(*second - *first > *first - at(3000));
            REQUIRE_FALSE(ledger.noteTrial(kCause, 1, *second));
            REQUIRE(ledger.noteTrial(kCause, 2, *second));
        }
    }
    WHEN("the trial is answered")
    {
        REQUIRE(ledger.noteAnswered(kCause, *first).size() == 3);
        REQUIRE_FALSE(isRefused(ledger, { kCause }));
        // Guards against a refusal that comes back with a late report.
        THEN("a late refusal of another router has no effect")
        {
            ledger.refuse(kCause, { crash(1), crash(2), crash(3) }, *first);
            ledger.refuse(kCause, { crash(1), crash(2), crash(3) },
                          *first + std::chrono::seconds(5));
            REQUIRE_FALSE(isRefused(ledger, { kCause }));
        }
    }
}

// Guards against a refusal that rests on crashes of which the part was cleared elsewhere.
SCENARIO("Routers have received different reports about a part")
{
    PartCrashLedger ledger;
    ledger.suspect(kCommon, crash(1), at(0));
    ledger.suspect(kCommon, crash(2), at(1000));
    WHEN("one that does not know of an answer refuses the part")
    {
        ledger.noteAnswered(kCommon, at(1100));
        ledger.refuse(kCommon, { crash(1), crash(2), crash(3) }, at(5000));
        REQUIRE_FALSE(isRefused(ledger, { kCommon }));
        REQUIRE(ledger.clearedOf(kCommon, { crash(1), crash(3) }).size() == 1);
    }
    WHEN("an answer clears a refused part of all crashes but the last")
    {
        ledger.suspect(kCommon, crash(3), at(2000));
        REQUIRE(isRefused(ledger, { kCommon }));
        ledger.clear(kCommon, { crash(1), crash(2) }, at(2100));
        REQUIRE_FALSE(isRefused(ledger, { kCommon }));
    }
}

// Guards against routers that differ for good because reports arrived late, twice or reordered.
TEST_CASE("Routers agree whatever the order of the reports about parts")
{
    rc::prop("after all reports have arrived", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<PartReport> reports;
        for (int number = 1; number <= 5; ++number) {
            reports.push_back({ PartVerdict::Suspected, kCause, { crash(number) }, 0 });
            reports.push_back({ PartVerdict::Suspected, kCommon, { crash(number) }, 0 });
            reports.push_back({ PartVerdict::Cleared, kCommon, { crash(number) }, 0 });
        }
        const auto repeated = reports;
        reports.insert(reports.end(), repeated.begin(), repeated.end());
        PartCrashLedger ledger;
        std::shuffle(reports.begin(), reports.end(), random);
        int ms = 0;
        for (const auto &report : reports) {
            ms += 100;
            if (report.verdict == PartVerdict::Cleared)
                ledger.clear(report.part, report.crashes, at(ms));
            else
                ledger.suspect(report.part, report.crashes[0], at(ms));
        }
        RC_ASSERT(ledger.crashCount(kCommon) == 0);
        RC_ASSERT(!isRefused(ledger, { kCommon }));
        RC_ASSERT(isRefused(ledger, { kCause }));
    });
}

// Guards against memory that grows with the number of crashes.
SCENARIO("Servers crash for hours, with ever new parts")
{
    PartCrashLedger ledger;
    for (int number = 0; number < 20'000; ++number) {
        ledger.suspect(Fingerprint(1000 + static_cast<std::uint64_t>(number)), crash(number),
                       at(number));
        ledger.suspect(kCommon, crash(number), at(number));
        ledger.noteAnswered(kCommon, at(number));
    }
    REQUIRE(ledger.suspectCount() <= PartCrashLedger::kMaxParts);
    ledger.expire(at(20'000) + std::chrono::hours(2));
    REQUIRE(ledger.suspectCount() == 0);
}
