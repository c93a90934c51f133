#ifndef CROCUSPORT_SCENARIO_H
#define CROCUSPORT_SCENARIO_H

#include <cstdint>
#include <string>

namespace crocusport::testing {

/*!
    Runs a script on a Cluster. Returns a description of the first expectation that is not met or of
    the first error in the script, or an empty string if there is none.

    The first line is "routers NAME...". The others are "at TIME COMMAND...", sorted by time, with
    TIME such as 500ms or 2s. Lines that start with # are comments. Commands:

        cut A B | heal | pause A | resume A | kill A | start A | leave A | loss SHARE
        request A POOL TIER COUNT DEADLINE SERVICE-TIME | cancel A | observe A SERVER
        publish ID
        store out|back              makes the store unavailable, or available again
        expect all-agree            at each running router exactly the running ones are live members
        expect live A NAME...       exactly these are live members at A
        expect drops COUNT          how often since "heal" a router has removed a running one, which
                                    is not leaving, from its live members
        expect decided              each request has one decision, or none if cancelled; a request
                                    whose router was killed or restarted since has at most one
        expect granted COUNT        that many grants have been made so far
        expect slots COUNT          that many slots are in use by the count of all running routers
        expect version NUMBER       all running routers have this configuration version
        expect same-version         all running routers have the version that the store has
        expect ready A              A has a configuration that is new enough to be ready
        expect observed COUNT       all running routers know that many observations
        expect published ID RESULT  "ok" or the name of the result code

    Instead of a router's name, "holder:POOL" may be given for the holder of the pool, and
    "other:POOL" for the first router in the line "routers" that is not the holder. The holder is
   the one at the time when the script first names the pool in this way.
*/
std::string runScenario(const std::string &script, std::uint64_t seed);

} // namespace crocusport::testing

#endif // CROCUSPORT_SCENARIO_H
