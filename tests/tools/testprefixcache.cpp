#include "standins/prefixcache.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crocusport;

namespace {

std::string blocks(const std::string &letters)
{
    std::string prompt;
    for (const char letter : letters)
        prompt.append(PrefixCache::kBlockBytes, letter);
    return prompt;
}

} // namespace

SCENARIO("A simulated engine caches prompt prefixes in limited memory")
{
    PrefixCache cache(4);

    GIVEN("a prompt that was used once")
    {
        REQUIRE(cache.use(blocks("ab")) == 0);

        THEN("the same prompt is cached, and a longer one in its common part")
        {
            REQUIRE(cache.use(blocks("ab")) == 1);
            REQUIRE(cache.use(blocks("abcd")) == Approx(0.5));
        }
        // Guards against hits for text that stands elsewhere in the prompt.
        THEN("equal text after another beginning is no hit")
        {
            REQUIRE(cache.use(blocks("xb")) == 0);
        }
        THEN("a prompt shorter than a block is never cached")
        {
            REQUIRE(cache.use("a") == 0);
            REQUIRE(cache.use("a") == 0);
        }
    }

    // Guards against a cache that grows without limit and makes every placement look good.
    GIVEN("more prompts than the memory holds")
    {
        cache.use(blocks("ab"));
        cache.use(blocks("cd"));
        cache.use(blocks("ab"));
        cache.use(blocks("ef"));
        THEN("the least recently used prompt is dropped")
        {
            REQUIRE(cache.size() == 4);
            REQUIRE(cache.use(blocks("ab")) == 1);
            REQUIRE(cache.use(blocks("cd")) == 0);
        }
    }
}
