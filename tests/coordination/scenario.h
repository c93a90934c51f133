#ifndef CROCUSPORT_SCENARIO_H
#define CROCUSPORT_SCENARIO_H

#include <cstdint>
#include <string>

namespace crocusport::testing {

/*!
    Runs a script on a Cluster and returns the first unmet expectation or script error, or an empty
    string. The first line is "routers NAME...", the others are "at TIME COMMAND..." in the order of
    time, with TIME such as 500ms or 2s. Lines that start with # are comments. Commands:

        cut A B | heal | pause A | resume A | kill A | start A | leave A | loss SHARE
        request A POOL TIER COUNT DEADLINE SERVICE-TIME | cancel A | observe A SERVER
        publish ID | store out|back
        expect all-agree            running routers see exactly each other as live
        expect live A NAME...       A sees exactly these as live
        expect decided              each request of a router that has not died: one decision
        expect granted COUNT        that many requests have been granted so far
        expect slots COUNT          that many slots are counted as used by all holders together
        expect version NUMBER       all running routers enforce it
        expect same-version         all running routers enforce the version that the store has
        expect ready A
        expect observed COUNT       all running routers know that many observations
        expect published ID RESULT  "ok" or a result code's name

    A router's name may also be "holder:POOL" or "other:POOL", which mean the pool's holder, and the
    first router by name that is not the holder, as they were when the script first named the pool.
*/
std::string runScenario(const std::string &script, std::uint64_t seed);

} // namespace crocusport::testing

#endif // CROCUSPORT_SCENARIO_H
