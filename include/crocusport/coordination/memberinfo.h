#ifndef CROCUSPORT_MEMBERINFO_H
#define CROCUSPORT_MEMBERINFO_H

#include "crocusport/state/identifiers.h"

namespace crocusport {

//! States of a member. Suspect and Dead are beliefs; a member refutes them with a new incarnation.
enum class MemberState { Alive, Suspect, Dead, Leaving };

//! What routers tell each other about one member.
struct MemberInfo
{
    RouterName name;
    Incarnation incarnation;
    SocketAddress address; //!< Where it accepts peer links.
    AvailabilityZone zone;
    Region region;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberInfo &) const = default;
};

} // namespace crocusport

#endif // CROCUSPORT_MEMBERINFO_H
