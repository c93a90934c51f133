#include "storemirror.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

constexpr Duration kStart = std::chrono::hours(1);
constexpr Duration kReturnTime = std::chrono::seconds(2);
const StoreChange kEntry { "server", "entry", 1 };
const StoreChange kRemoval { "server", std::nullopt, 2 };

} // namespace

// Guards against a server that has left and still gets requests, because its removal is taken for
// an entry that lapsed while the store was away.
SCENARIO("Entries that are found missing")
{
    std::optional<Duration> heldUntil;
    StoreMirror *mirrorOfHandler = nullptr;
    StoreMirror mirror([&](const StoreChange &change) {
        if (!change.value)
            heldUntil = mirrorOfHandler->returnsUntil();
        return true;
    });
    mirrorOfHandler = &mirror;
    mirror.beginListing();
    mirror.addListed({ { kEntry }, 1, false });
    mirror.finishListing(kStart);
    mirror.addWatched({ {}, 1, false }, kStart);

    WHEN("the store has answered all the time")
    {
        mirror.addWatched({ { kRemoval }, 2, false }, kStart + std::chrono::milliseconds(400));
        REQUIRE_FALSE(heldUntil);
    }
    WHEN("the store was away for a while")
    {
        const auto back = kStart + std::chrono::seconds(5);
        THEN("they may come back for two seconds")
        {
            mirror.addWatched({ { kRemoval }, 2, false }, back);
            REQUIRE(heldUntil == back + kReturnTime);
        }
        THEN("the time does not begin again with each change")
        {
            mirror.addWatched({ {}, 1, false }, back);
            mirror.addWatched({ {}, 1, false }, back + std::chrono::milliseconds(950));
            mirror.addWatched({ { kRemoval }, 2, false }, back + std::chrono::milliseconds(1900));
            REQUIRE(heldUntil == back + kReturnTime);
        }
        THEN("it counts also where the history is gone and all is listed")
        {
            mirror.beginListing();
            mirror.addListed({ {}, 3, false });
            mirror.finishListing(back);
            REQUIRE(heldUntil == back + kReturnTime);
        }
    }
    // Guards against a removal that is held for longer than knowledge may be used.
    WHEN("it was away for a moment, in which knowledge was still used")
    {
        mirror.setKnowledgeLimit(std::chrono::milliseconds(1600));
        mirror.addWatched({ { kRemoval }, 2, false }, kStart + std::chrono::milliseconds(1200));
        REQUIRE(heldUntil == kStart + std::chrono::milliseconds(1600));
    }
    // Guards against routers that hold removals because one of them was cut off, and tell each
    // other so for ever.
    WHEN("another router was away, and is asked")
    {
        mirror.addWatched({ {}, 1, false }, kStart + std::chrono::milliseconds(900));
        StoreChanges heard;
        heard.relevant = 2;
        heard.revision = 2;
        heard.age = Milliseconds(100);
        heard.changes = { kRemoval };
        mirror.addHeard(heard, kStart + std::chrono::milliseconds(1400));
        REQUIRE_FALSE(heldUntil);
        REQUIRE(mirror.revision() == 2);
    }
    WHEN("this router was away, and hears another one")
    {
        StoreChanges heard;
        heard.relevant = 2;
        heard.revision = 2;
        heard.age = Milliseconds(100);
        heard.changes = { kRemoval };
        const auto askedAt = kStart + std::chrono::seconds(5);
        mirror.addHeard(heard, askedAt);
        REQUIRE(heldUntil == askedAt - std::chrono::milliseconds(100) + kReturnTime);
    }
}
