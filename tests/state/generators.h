#ifndef CROCUSPORT_GENERATORS_H
#define CROCUSPORT_GENERATORS_H

#include "schedulermodel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <ostream>
#include <vector>

namespace rc {

template<>
struct Arbitrary<crocusport::Call>
{
    static Gen<crocusport::Call> arbitrary()
    {
        using crocusport::Call;
        using Kind = Call::Kind;
        const auto kind = gen::weightedElement<Kind>({ { 12, Kind::Submit },
                                                       { 5, Kind::Release },
                                                       { 1, Kind::Cancel },
                                                       { 6, Kind::Decide },
                                                       { 1, Kind::Leave },
                                                       { 1, Kind::Fail },
                                                       { 1, Kind::Restart },
                                                       { 1, Kind::Resize },
                                                       { 2, Kind::Crash },
                                                       { 1, Kind::CrashReport } });
        return gen::build<Call>(gen::set(&Call::kind, kind),
                                gen::set(&Call::first, gen::inRange(0U, 100'000U)),
                                gen::set(&Call::second, gen::inRange(0U, 100'000U)));
    }
};

} // namespace rc

namespace crocusport {

inline void showValue(const Call &call, std::ostream &stream)
{
    stream << '{' << static_cast<int>(call.kind) << ", " << call.first << ", " << call.second
           << '}';
}

//! Returns up to 400 random calls.
inline std::vector<Call> anyCalls()
{
    return *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Call>>());
}

//! Returns the numbers of slots of up to 6 backend servers, 1 to 8 each.
inline std::vector<std::uint32_t> anySlots()
{
    return *rc::gen::resize(6,
                            rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
                                rc::gen::inRange(1U, 9U))));
}

} // namespace crocusport

#endif // CROCUSPORT_GENERATORS_H
