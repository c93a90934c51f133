#ifndef CROCUSPORT_NAMETABLE_H
#define CROCUSPORT_NAMETABLE_H

#include "crocusport/state/strongtype.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace crocusport {

using TeamIndex = StrongType<std::uint32_t, struct TeamIndexTag>;
using ClassIndex = StrongType<std::uint32_t, struct ClassIndexTag>;
using ZoneIndex = StrongType<std::uint32_t, struct ZoneIndexTag>;
using ServerIndex = StrongType<std::uint32_t, struct ServerIndexTag>;

/*!
    Assigns a number to each name, counting from 0, so that scheduling decisions compare numbers and
   use them as array indexes in place of strings.

    Thread safety: none; use from one thread.
*/
template<typename Name, typename Index>
class NameTable
{
public:
    //! Returns the number of \a name. Assigns the next free number if \a name is new.
    Index indexOf(const Name &name)
    {
        const auto next = static_cast<std::uint32_t>(indexes_.size());
        return indexes_.try_emplace(name, next).first->second;
    }

private:
    std::unordered_map<Name, Index> indexes_;
};

} // namespace crocusport

#endif // CROCUSPORT_NAMETABLE_H
