#include "crocusport/transport/clientmemory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace crocusport;

namespace {

constexpr std::size_t kMiB = 1024UL * 1024;
constexpr std::size_t kMaxBody = 8 * kMiB; // 4 MiB, charged twice.

//! A connection that records what the budget decides.
class Client : public ClientMemory::Holder
{
public:
    Client(ClientMemory &memory, Instant now)
        : account(std::make_unique<ClientMemory::Account>(memory, *this, now))
    { }

    void onGranted() override
    {
        isWaiting = false;
        isGranted = true;
    }
    void onEvicted() override { end(); }
    void onRefused() override
    {
        isRefused = true;
        end();
    }
    void end()
    {
        account.reset();
        isWaiting = false;
    }
    bool reserve(std::size_t bytes, Instant now)
    {
        isWaiting = !account->reserve(ClientCharge::Body, bytes, now);
        return !isWaiting;
    }

    std::unique_ptr<ClientMemory::Account> account; //!< Null once closed.
    bool isWaiting = false;
    bool isGranted = false;
    bool isRefused = false;
    bool isHandedOver = false;
};

Instant at(int ms)
{
    return Instant() + std::chrono::milliseconds(ms);
}

ClientMemory::Limits smallestHost()
{
    return ClientMemory::limitsFor(120 * kMiB, 24 * kMiB);
}

} // namespace

TEST_CASE("Client memory")
{
    ClientMemory memory(smallestHost());
    Client client(memory, at(0));

    SECTION("the largest body fits alone, also on the smallest budget")
    {
        // Guards against a legal request that is refused without any load.
        CHECK(client.reserve(kMaxBody, at(0)));
        ClientMemory least(ClientMemory::limitsFor(1, 24 * kMiB));
        Client other(least, at(0));
        CHECK(other.reserve(kMaxBody, at(0)));
    }

    SECTION("a body that the limit allows but the budget does not hold passes alone")
    {
        // Guards against a body limit above the budget that no request can reach.
        Client other(memory, at(0));
        CHECK(client.reserve(8 * kMaxBody, at(0)));
        CHECK_FALSE(other.reserve(8 * kMaxBody, at(0)));
    }

    SECTION("large bodies fill the budget")
    {
        std::vector<std::unique_ptr<Client>> crowd;
        do {
            crowd.push_back(std::make_unique<Client>(memory, at(0)));
        } while (crowd.back()->reserve(kMaxBody, at(0)));
        Client &late = *crowd.back();

        SECTION("a small request still passes")
        {
            // Guards against a crowd that shuts out ordinary callers.
            CHECK(client.reserve(64UL * 1024, at(0)));
        }

        SECTION("a stalled one gives way, one with progress does not")
        {
            crowd[1]->account->noteProgress(at(900));
            memory.relieve(at(1000));
            CHECK(!crowd[0]->account);
            CHECK(crowd[1]->account);
            CHECK(late.isGranted);
        }

        SECTION("a request that was handed over never gives way; the waiting one is refused")
        {
            for (const auto &each : crowd)
                each->account->setHandedOver(each.get() != &late);
            memory.relieve(at(9000));
            CHECK(late.isWaiting);
            memory.relieve(at(10'000));
            CHECK(late.isRefused);
            CHECK(crowd[0]->account);
        }
    }

    SECTION("unread answers above their part close the connection that holds most")
    {
        // They exist before they are charged, so they cannot be refused.
        Client other(memory, at(0));
        client.account->charge(ClientCharge::UnreadAnswer, memory.limits().unreadBytes);
        other.account->charge(ClientCharge::UnreadAnswer, kMiB);
        memory.relieve(at(0));
        CHECK(!client.account);
        CHECK(other.account);
    }
}

// Guards against reservations that exceed the budget, that block each other, or that starve a
// client inside the limits while others stall.
TEST_CASE("Drawn clients never exceed the memory and never starve")
{
    rc::prop("reserve, progress, stall, hand over, close", [] {
        ClientMemory memory(smallestHost());
        std::vector<std::unique_ptr<Client>> clients;
        int now = 0;
        const auto steps = *rc::gen::inRange(10, 200);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 400);
            const auto choice = *rc::gen::inRange(0, 6);
            if (choice == 0 || clients.empty()) {
                clients.push_back(std::make_unique<Client>(memory, at(now)));
                continue;
            }
            auto &client = *clients[*rc::gen::inRange<std::size_t>(0, clients.size())];
            if (!client.account)
                continue;
            if (choice <= 2 && !client.isWaiting && !client.isHandedOver)
                client.reserve(*rc::gen::element(1000UL, 64UL * 1024, kMiB, kMaxBody), at(now));
            else if (choice == 3 && !client.isWaiting)
                client.account->setHandedOver(client.isHandedOver = !client.isHandedOver);
            else if (choice == 4)
                client.account->noteProgress(at(now));
            else if (choice == 5) {
                client.isHandedOver = false;
                client.end();
            }
            memory.relieve(at(now));
            RC_ASSERT(memory.heldBytes() <= memory.limits().totalBytes);
            for (const auto &each : clients)
                RC_ASSERT(!each->isHandedOver || each->account);
        }
        // A client inside the limits beside the others, which stall from now on; requests that
        // were handed over end.
        for (const auto &client : clients) {
            if (client->account)
                client->account->setHandedOver(false);
        }
        Client last(memory, at(now));
        const bool isServed = last.reserve(kMaxBody, at(now));
        memory.relieve(at(now + 1000));
        memory.relieve(at(now + 2000));
        memory.relieve(at(now + 3500));
        memory.relieve(at(now + 9000));
        RC_ASSERT(isServed || last.isGranted);
    });
}
