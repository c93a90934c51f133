#include "prefixmemory.h"

#include <xxhash.h>

namespace crocusport {

namespace {

// Prefix caches evict the least recently used entries. A prefix that was not sent for this long is
// assumed to be evicted.
constexpr Duration kPrefixRetentionTime = std::chrono::seconds(60);

} // namespace

std::vector<PromptPrefixHash> promptPrefixHashes(const std::vector<PromptPart> &parts)
{
    std::vector<PromptPrefixHash> hashes;
    hashes.reserve(parts.size());
    PromptPrefixHash hash = 0;
    for (const auto &part : parts) {
        hash = XXH32(&part.id, sizeof(part.id), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

void PrefixMemory::note(ServerHash server, PromptPrefixHash prefix, Instant now)
{
    prefixes_[server][prefix] = now;
}

std::uint32_t PrefixMemory::cachedTokens(ServerHash server, const std::vector<PromptPart> &parts,
                                         const std::vector<PromptPrefixHash> &prefixes,
                                         Instant now) const
{
    const auto known = prefixes_.find(server);
    if (known == prefixes_.end())
        return 0;
    // A cached prefix implies that all shorter prefixes of it are cached; other routers report only
    // some of them.
    std::uint32_t tokens = 0;
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        sum += parts[i].tokens;
        const auto prefix = known->second.find(prefixes[i]);
        if (prefix != known->second.end() && prefix->second + kPrefixRetentionTime > now)
            tokens = sum;
    }
    return tokens;
}

void PrefixMemory::removeServer(ServerHash server)
{
    prefixes_.erase(server);
}

void PrefixMemory::expire(Instant now)
{
    for (auto &[server, prefixes] : prefixes_)
        std::erase_if(prefixes, [&](const auto &prefix) {
            return prefix.second + kPrefixRetentionTime <= now;
        });
}

} // namespace crocusport
