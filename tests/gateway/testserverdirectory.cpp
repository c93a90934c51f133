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
