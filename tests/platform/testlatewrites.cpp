#include "storereader.h"

#include <rapidcheck/catch.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace crocusport;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReaders = 3;
constexpr std::size_t kServers = 2;
const std::string kServer = "servers/s1";

std::string nameOf(std::size_t server)
{
    return "s" + std::to_string(server);
}

//! Servers that write their entries to a store, which carries some of the writes out late and in
//! any order, and routers that read the store and each other.
class LateWritesModel
{
public:
    explicit LateWritesModel(const ReaderContext &context) : formats_(context.formats)
    {
        store_.put("op/config", R"({"version":1})");
        for (std::size_t i = 0; i < kReaders; ++i)
            readers_.push_back(std::make_unique<StoreReader>(context, static_cast<int>(i)));
        newest_.resize(kReaders);
    }

    void step()
    {
        now_ += milliseconds(*rc::gen::inRange(0, 100));
        const auto server = *rc::gen::inRange<std::size_t>(0, kServers);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            store_.erase("servers/" + nameOf(server));
            break;
        case 1:
            starts_[server] += 1000;
            sequences_[server] = 0;
            isLeaving_[server] = false;
            break;
        case 2:
            isLeaving_[server] = true;
            break;
        case 3:
            if (!pending_.empty())
                carryOut(*rc::gen::inRange<std::size_t>(0, pending_.size()));
            break;
        case 4:
            write(server, *rc::gen::arbitrary<bool>());
            break;
        default:
            read(*rc::gen::inRange<std::size_t>(0, kReaders));
        }
    }

    //! Carries out all writes, lets the servers write once more and the routers read.
    void settle()
    {
        while (!pending_.empty())
            carryOut(0);
        for (std::size_t server = 0; server < kServers; ++server)
            write(server, false);
        for (const auto &reader : readers_)
            reader->readStore(store_, now_, [] {});
    }

    std::string difference() const
    {
        for (const auto &reader : readers_) {
            if (auto found = reader->differenceFrom(store_); !found.empty())
                return found;
        }
        return {};
    }

private:
    void write(std::size_t server, bool isLate)
    {
        auto text = serverEntryText(isLeaving_[server] ? "draining" : "ready", starts_[server],
                                    ++sequences_[server]);
        pending_.emplace_back("servers/" + nameOf(server), std::move(text));
        if (!isLate)
            carryOut(pending_.size() - 1);
    }

    void carryOut(std::size_t index)
    {
        store_.put(pending_[index].first, pending_[index].second);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void read(std::size_t index)
    {
        auto &reader = *readers_[index];
        const auto other = *rc::gen::inRange<std::size_t>(0, kReaders);
        if (other == index)
            reader.readStore(store_, now_, [] {});
        else
            reader.readFrom(*readers_[other], now_);
        for (std::size_t server = 0; server < kServers; ++server) {
            const auto key = "servers/" + nameOf(server);
            const auto number = reader.mirror().value(key)
                ? StoredItems::rules(formats_).numberOf(key, *reader.mirror().value(key))
                : std::nullopt;
            auto &newest = newest_[index][server];
            RC_ASSERT(!number || *number >= newest);
            newest = number.value_or(newest);
        }
    }

    const FormatTable &formats_;
    ModelStore store_;
    std::vector<std::unique_ptr<StoreReader>> readers_;
    std::vector<std::pair<std::string, std::string>> pending_; //!< Keys and values.
    std::map<std::size_t, int> starts_;
    std::map<std::size_t, int> sequences_;
    std::map<std::size_t, bool> isLeaving_;
    std::vector<std::map<std::size_t, WriteNumber>> newest_; //!< For each reader and server.
    Duration now_ = std::chrono::hours(1);
};

} // namespace

// Guards against requests to a server that has left or is leaving, because the store carries out a
// write late that the server sent before.
SCENARIO("The store carries out a write of a server late")
{
    const ReaderParts parts;
    ModelStore store;
    StoreReader reader(parts.context, 0);
    StoreReader follower(parts.context, 1);
    Duration now = std::chrono::hours(1);
    const auto read = [&] {
        now += milliseconds(400);
        reader.readStore(store, now, [] {});
        follower.readFrom(reader, now);
        reader.tick(now);
        follower.tick(now);
    };
    const auto write = [&](const std::string &state, int start, int sequence) {
        store.put(kServer, serverEntryText(state, start, sequence));
        read();
    };
    const auto uses = [&] { return std::pair(reader.uses("s1"), follower.uses("s1")); };
    const std::pair kUsed(true, true);
    const std::pair kNotUsed(false, false);
    for (const auto sequence : { 1, 2, 3, 5, 6 })
        write("ready", 1000, sequence);
    REQUIRE(uses() == kUsed);

    WHEN("its entry was removed in the meantime")
    {
        store.erase(kServer);
        read();
        REQUIRE(uses() == kNotUsed);
        write("ready", 1000, 4);
        REQUIRE(uses() == kNotUsed);
        THEN("a router that reads the store's history again does not use it either")
        {
            store.dropHistory();
            now += milliseconds(400);
            reader.readStore(store, now, [] {});
            REQUIRE_FALSE(reader.uses("s1"));
        }
        THEN("a later write of the same start, or an earlier one of a later start, is applied")
        {
            if (GENERATE(true, false))
                write("ready", 1000, 7);
            else
                write("ready", 2000, 1);
            REQUIRE(uses() == kUsed);
        }
        THEN("the removal of the late entry is read like any other")
        {
            store.erase(kServer);
            read();
            REQUIRE(uses() == kNotUsed);
            REQUIRE(reader.differenceFrom(store).empty());
            REQUIRE(follower.differenceFrom(store).empty());
        }
        // Guards against a wrong number that keeps a server out of use for good.
        THEN("it is applied after the longest time by which a write can be late")
        {
            now += NewestWrites::kMaxWriteDelay + milliseconds(1);
            write("ready", 1000, 5);
            REQUIRE(uses() == kUsed);
        }
    }
    WHEN("it had reported that it leaves")
    {
        write("draining", 1000, 7);
        REQUIRE(uses() == kNotUsed);
        write("ready", 1000, 4);
        REQUIRE(uses() == kNotUsed);
        THEN("its next write is applied")
        {
            write("draining", 1000, 8);
            REQUIRE(uses() == kNotUsed);
            REQUIRE(reader.differenceFrom(store).empty());
        }
    }
    WHEN("it has started again")
    {
        write("ready", 2000, 1);
        write("draining", 2000, 2);
        write("ready", 1000, 7);
        REQUIRE(uses() == kNotUsed);
    }
    WHEN("an unreadable entry of another writer was between them")
    {
        store.put(kServer, "odd");
        read();
        REQUIRE(uses() == kNotUsed);
        write("ready", 1000, 4);
        REQUIRE(uses() == kNotUsed);
        write("ready", 1000, 7);
        REQUIRE(uses() == kUsed);
    }
}

SCENARIO("Writes that the store carries out late and in any order")
{
    const ReaderParts parts;
    rc::prop("never replace a later write of the same server at a router that has read it", [&] {
        LateWritesModel model(parts.context);
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i)
            model.step();
        model.settle();
        RC_ASSERT(model.difference() == "");
    });
}
