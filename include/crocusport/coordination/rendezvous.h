#ifndef CROCUSPORT_RENDEZVOUS_H
#define CROCUSPORT_RENDEZVOUS_H

#include "crocusport/state/identifiers.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace crocusport {

/*!
    Returns the first \a count of \a members by descending rendezvous-hash weight for \a role. When
    one member is added or removed, only the roles that it takes over or had are reassigned.

    Safe from any thread.
*/
std::vector<RouterName> rendezvousOrder(std::string_view role, std::vector<RouterName> members,
                                        std::size_t count);

} // namespace crocusport

#endif // CROCUSPORT_RENDEZVOUS_H
