#ifndef CROCUSPORT_UNANSWEREDRUNS_H
#define CROCUSPORT_UNANSWEREDRUNS_H

#include "crocusport/state/crashledger.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <deque>
#include <vector>

namespace crocusport {

/*!
    Attempts of the last seconds that were given up while their server still owed the answer. When
    it turns out later that the server had ended, they were under way in a crash that no closed
    connection showed.

    Thread safety: none; use from one thread.
*/
class UnansweredRuns
{
public:
    //! An attempt on \a start of \a server was given up.
    void add(const BackendServerName &server, StartNumber start, Fingerprint fingerprint,
             CrashEvidence evidence, Instant now);
    //! Takes out and returns what a crash of \a start of \a server has ended.
    std::vector<CrashSuspicion> take(const BackendServerName &server, StartNumber start,
                                     Instant now);

private:
    struct Run
    {
        BackendServerName server;
        StartNumber start;
        CrashSuspicion suspicion;
        Instant at {};
    };

    void expire(Instant now);

    std::deque<Run> runs_; //!< The oldest first.
};

} // namespace crocusport

#endif // CROCUSPORT_UNANSWEREDRUNS_H
