#ifndef CROCUSPORT_RENDEZVOUS_H
#define CROCUSPORT_RENDEZVOUS_H

#include "crocusport/state/identifiers.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace crocusport {

/*!
    Returns the first \a count of \a members by descending rendezvous-hash weight for \a role. A
    change of one member moves only the roles which that member held or takes over.

    Safe from any thread.
*/
std::vector<RouterName> rendezvousOrder(std::string_view role, std::vector<RouterName> members,
                                        std::size_t count);

} // namespace crocusport

#endif // CROCUSPORT_RENDEZVOUS_H
