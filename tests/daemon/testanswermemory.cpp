#include "answermemory.h"

#include <rapidcheck/catch.h>

#include <memory>
#include <vector>

using namespace crocusport;

SCENARIO("Memory limits for buffered responses")
{
    constexpr std::size_t kShared = 300'000;
    constexpr std::size_t kMost = kShared / AnswerMemory::kMaxPartOfShared;
    AnswerMemory memory(kShared);
    AnswerMemory::Share first(memory);

    // Guards against one endless response that uses the memory of all responses.
    WHEN("one response grows without end")
    {
        REQUIRE(first.resize(AnswerMemory::kOwnBytes + kMost));
        REQUIRE_FALSE(first.resize(AnswerMemory::kOwnBytes + kMost + 1));
        REQUIRE(memory.borrowedBytes() == kMost);
    }
    // Guards against responses of usual size that fail because others are too large.
    WHEN("many responses grow at once")
    {
        std::vector<std::unique_ptr<AnswerMemory::Share>> shares;
        std::size_t allowed = 0;
        for (int i = 0; i < 10; ++i) {
            shares.push_back(std::make_unique<AnswerMemory::Share>(memory));
            allowed += shares.back()->resize(AnswerMemory::kOwnBytes + kMost) ? 1 : 0;
        }
        REQUIRE(allowed == AnswerMemory::kMaxPartOfShared);
        REQUIRE(first.resize(AnswerMemory::kOwnBytes));
        THEN("a response that ends releases its memory for others")
        {
            REQUIRE_FALSE(first.resize(AnswerMemory::kOwnBytes + 1));
            shares.erase(shares.begin());
            REQUIRE(first.resize(AnswerMemory::kOwnBytes + kMost));
        }
    }
    rc::prop("the shared memory is never exceeded, and all of it is released", [] {
        AnswerMemory any(10'000);
        {
            std::vector<std::unique_ptr<AnswerMemory::Share>> shares;
            for (int i = 0; i < 8; ++i)
                shares.push_back(std::make_unique<AnswerMemory::Share>(any));
            const auto steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i) {
                const auto index = *rc::gen::inRange<std::size_t>(0, shares.size());
                shares[index]->resize(*rc::gen::inRange<std::size_t>(0, 40'000));
                RC_ASSERT(any.borrowedBytes() <= 10'000U);
            }
        }
        RC_ASSERT(any.borrowedBytes() == 0U);
    });
}
