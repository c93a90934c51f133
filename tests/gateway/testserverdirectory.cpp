#include "serverdirectory.h"

#include <catch2/catch.hpp>

using namespace crocusport;

namespace {

ServerEntry entryOf(const std::string &name, const std::string &pool, std::uint64_t start)
{
    ServerEntry entry;
    entry.name = BackendServerName(name);
    entry.pool = PoolName(pool);
    entry.address = SocketAddress("10.0.0.1:80");
    entry.start = StartNumber(start);
    return entry;
}

} // namespace

SCENARIO("Several entries name one address")
{
    ServerDirectory directory;
    directory.setPools({ PoolName("assistant") });
    directory.update(entryOf("server-1", "assistant", 1), monotonicNow());
    const auto isUsable = [&](const std::string &name) {
        return directory.find(BackendServerName(name))->isUsable();
    };

    WHEN("a later entry is of a pool that the configuration names")
    {
        directory.update(entryOf("server-2", "assistant", 2), monotonicNow());
        REQUIRE_FALSE(isUsable("server-1"));
        REQUIRE(isUsable("server-2"));
    }
    // Guards against another writer of entries that takes all servers out of use.
    WHEN("a later entry is of a pool that the configuration does not name")
    {
        directory.update(entryOf("inventory-1", "inventory", 2), monotonicNow());
        REQUIRE(isUsable("server-1"));
        REQUIRE_FALSE(directory.find(BackendServerName("server-1"))->hasCrashed());
        THEN("a later configuration that names the pool makes the entry hold")
        {
            directory.setPools({ PoolName("assistant"), PoolName("inventory") });
            REQUIRE_FALSE(isUsable("server-1"));
            REQUIRE(isUsable("inventory-1"));
        }
    }
}

// Guards against knowledge of a server that is lost because its entry expires, or is removed, and
// is written again while the server runs.
SCENARIO("The entry of a server goes and comes back")
{
    ServerDirectory directory;
    const Instant now = monotonicNow();
    const auto entry = entryOf("server-1", "assistant", 7);
    directory.update(entry, now);
    const auto before = directory.find(entry.name);
    const auto removeAndUpdate = [&](const ServerEntry &written, Duration after) {
        directory.remove(entry.name, now);
        REQUIRE(directory.find(entry.name) == nullptr);
        REQUIRE(directory.pool(entry.pool).empty());
        REQUIRE(before->isGone);
        for (const auto &expired : directory.expire(now + after))
            REQUIRE(expired == before);
        directory.update(written, now + after);
        return directory.find(entry.name);
    };
    before->isLeaving = GENERATE(false, true);
    before->health.notePause(std::chrono::seconds(90), now);
    before->pace.note(30, now);
    before->own.requests = 3;
    REQUIRE(before->noteCrash(now, now) == 1);

    WHEN("it is of the same start")
    {
        const auto after = removeAndUpdate(entry, std::chrono::seconds(59));
        THEN("the server is the one from before")
        {
            REQUIRE(after == before);
            REQUIRE_FALSE(after->isGone);
            REQUIRE(after->isUsable() != after->isLeaving);
            REQUIRE(directory.pool(entry.pool).size() == 1);
            REQUIRE(directory.find(after->hash) == after);
        }
    }
    WHEN("it is of the same start, but of another pool or address")
    {
        auto moved = entry;
        if (GENERATE(true, false))
            moved.pool = PoolName("other");
        else
            moved.address = SocketAddress("10.0.0.2:80");
        const auto after = GENERATE(true, false)
            ? removeAndUpdate(moved, std::chrono::seconds(1))
            : (directory.update(moved, now), directory.find(entry.name));
        REQUIRE(after != before);
        REQUIRE(before->isGone);
        REQUIRE(after->isLeaving == before->isLeaving);
    }
    WHEN("the server has started again")
    {
        const auto after =
            removeAndUpdate(entryOf("server-1", "assistant", 8), std::chrono::seconds(1));
        REQUIRE(after != before);
        REQUIRE(after->isUsable());
        REQUIRE(after->takesRequests(now));
        REQUIRE(after->noteCrash(now, now) == 1);
    }
    WHEN("it comes back after the retention")
    {
        const auto after = removeAndUpdate(entry, ServerDirectory::kRetentionTime);
        REQUIRE(after != before);
        REQUIRE_FALSE(after->isLeaving);
    }
    WHEN("another router reports about it while it has none")
    {
        directory.remove(entry.name, now);
        REQUIRE(directory.find(before->hash) == nullptr);
        REQUIRE(directory.findRetained(before->hash) == before);
        REQUIRE(directory.expire(now + ServerDirectory::kRetentionTime).size() == 1);
        REQUIRE(directory.findRetained(before->hash) == nullptr);
    }
}
