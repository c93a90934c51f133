#ifndef CROCUSPORT_PREFIXCACHE_H
#define CROCUSPORT_PREFIXCACHE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    The prompt-prefix cache of an engine: blocks of prompt text, each keyed by the hash of all text
    up to its end; the least recently used blocks are dropped first.

    Thread safety: none; use from one thread.
*/
class PrefixCache
{
public:
    static constexpr std::size_t kBlockBytes = 64;

    explicit PrefixCache(std::size_t maxBlocks) : maxBlocks_(maxBlocks) { }

    //! Returns the share of \a prompt's blocks that is cached, from its start, and caches the rest.
    double use(std::string_view prompt);
    std::size_t size() const { return blocks_.size(); }

private:
    static std::vector<std::uint64_t> blockHashes(std::string_view prompt);

    std::size_t maxBlocks_;
    std::list<std::uint64_t> recent_; //!< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

} // namespace crocusport

#endif // CROCUSPORT_PREFIXCACHE_H
