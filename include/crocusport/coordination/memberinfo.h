#ifndef CROCUSPORT_MEMBERINFO_H
#define CROCUSPORT_MEMBERINFO_H

#include "crocusport/state/identifiers.h"

namespace crocusport {

/*!
    States of a member, which is a router. Another router sets the state Suspect, and later Dead, of
    a member that does not acknowledge pings. The member refutes that state by announcing a higher
    incarnation.
*/
enum class MemberState { Alive, Suspect, Dead, Leaving };

//! The information about one member that routers exchange.
struct MemberInfo
{
    RouterName name;
    Incarnation incarnation;
    SocketAddress address; //!< Address at which the member accepts peer links.
    AvailabilityZone zone;
    Region region;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberInfo &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_MEMBERINFO_H
