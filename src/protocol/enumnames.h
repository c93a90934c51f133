#ifndef CROCUSPORT_ENUMNAMES_H
#define CROCUSPORT_ENUMNAMES_H

#include "crocusport/coordination/claim.h"
#include "crocusport/coordination/memberinfo.h"
#include "crocusport/coordination/observation.h"
#include "crocusport/state/backendserver.h"
#include "crocusport/state/configuration.h"
#include "crocusport/state/slotrequest.h"

#include <array>
#include <string_view>

namespace crocusport {

//! Specialised for each enum that is transmitted or stored; kNames lists the names by value.
template<typename Enum>
struct EnumNames;

template<>
struct EnumNames<MemberState>
{
    static constexpr std::array<std::string_view, 4> kNames = { "alive", "suspect", "dead",
                                                                "leaving" };
};

template<>
struct EnumNames<ObservationKind>
{
    static constexpr std::array<std::string_view, 3> kNames = { "leaving", "crashed", "suspected" };
};

template<>
struct EnumNames<ReleaseReason>
{
    static constexpr std::array<std::string_view, 6> kNames = {
        "completed", "cancelled", "failed", "refused", "crashed", "timeout"
    };
};

template<>
struct EnumNames<PoolKind>
{
    static constexpr std::array<std::string_view, 2> kNames = { "engine", "service" };
};

template<>
struct EnumNames<RepeatRule>
{
    static constexpr std::array<std::string_view, 2> kNames = { "repeatable", "never" };
};

template<>
struct EnumNames<BackendServerState>
{
    static constexpr std::array<std::string_view, 2> kNames = { "live", "leaving" };
};

template<>
struct EnumNames<ClaimState>
{
    static constexpr std::array<std::string_view, 4> kNames = { "claimed", "completed", "not_run",
                                                                "unknown" };
};

} // namespace crocusport

#endif // CROCUSPORT_ENUMNAMES_H
