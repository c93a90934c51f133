#ifndef CROCUSPORT_STOREPOSITION_H
#define CROCUSPORT_STOREPOSITION_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/strongtype.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace crocusport {

//! Number of the history that the store continues. It rises each time the store is restored from an
//! older copy of its data; a store that does not tell it has era 0 for ever.
using StoreEra = StrongType<std::uint64_t, struct StoreEraTag>;

/*!
    A position in all histories of the store. Revisions alone must not be compared: after a
    restoration they go back and are given out again.

    Thread safety: a value.
*/
struct StorePosition
{
    StoreEra era;
    StoreRevision revision = 0; //!< 0: before all changes of the era.

    auto operator<=>(const StorePosition &) const = default;
};

inline std::ostream &operator<<(std::ostream &stream, const StorePosition &position)
{
    return stream << position.era << ':' << position.revision;
}

//! Revisions that orderedNumber() can tell apart in an era.
constexpr StoreRevision kRevisionsPerEra = StoreRevision { 1 } << 40U;
//! Largest era that orderedNumber() can represent exactly as a JSON number.
constexpr std::uint64_t kMaxEra = (std::uint64_t { 1 } << 13U) - 1;

/*!
    Returns one number for a position, which is ordered like the positions. It is exact as a JSON
    number (below 2^53) for eras up to kMaxEra and revisions below kRevisionsPerEra. The number of
    revision 0, which stands for a key that does not exist, is 0 in every era.

    Thread safety: safe from any thread.
*/
inline StoreRevision orderedNumber(const StorePosition &position)
{
    return position.revision == 0
        ? 0
        : static_cast<StoreRevision>(position.era.value()) * kRevisionsPerEra + position.revision;
}

//! Returns the position of a number that orderedNumber() has returned, other than 0.
inline StorePosition positionOfNumber(StoreRevision number)
{
    return { StoreEra(static_cast<std::uint64_t>(number / kRevisionsPerEra)),
             number % kRevisionsPerEra };
}

} // namespace crocusport

#endif // CROCUSPORT_STOREPOSITION_H
