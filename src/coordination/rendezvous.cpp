#include "crocusport/coordination/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace crocusport {

std::vector<RouterName> rendezvousOrder(std::string_view role, std::vector<RouterName> members,
                                        std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(role.data(), role.size());
    std::vector<std::pair<std::uint64_t, RouterName>> weighted;
    weighted.reserve(members.size());
    for (auto &member : members) {
        const auto &name = member.value();
        const auto weight = XXH3_64bits_withSeed(name.data(), name.size(), seed);
        weighted.emplace_back(weight, std::move(member));
    }
    const auto kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(), std::greater<> {});
    std::vector<RouterName> order;
    order.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        order.push_back(std::move(weighted[i].second));
    return order;
}

} // namespace crocusport
