#include "prefixcache.h"

#include <xxhash.h>

#include <algorithm>

namespace crocusport {

std::vector<std::uint64_t> PrefixCache::blockHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / kBlockBytes);
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
        // The hash of the preceding blocks is the seed, so that a block counts only in its place.
        hash = XXH3_64bits_withSeed(prompt.data() + at, kBlockBytes, hash);
        hashes.push_back(hash);
    }
    return hashes;
}

double PrefixCache::use(std::string_view prompt)
{
    auto hashes = blockHashes(prompt);
    if (hashes.empty())
        return 0;
    std::size_t cached = 0;
    while (cached < hashes.size() && blocks_.count(hashes[cached]) != 0)
        ++cached;
    // From the end, so that a prompt's first blocks become the most recently used ones.
    std::reverse(hashes.begin(), hashes.end());
    for (const auto hash : hashes) {
        const auto found = blocks_.find(hash);
        if (found != blocks_.end()) {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(hash);
        blocks_.emplace(hash, recent_.begin());
    }
    while (blocks_.size() > maxBlocks_) {
        blocks_.erase(recent_.back());
        recent_.pop_back();
    }
    return static_cast<double>(cached) / static_cast<double>(hashes.size());
}

} // namespace crocusport
