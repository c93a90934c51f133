#ifndef CROCUSPORT_UNANSWEREDRUNS_H
#define CROCUSPORT_UNANSWEREDRUNS_H

#include "crocusport/state/crashledger.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <deque>
#include <vector>

namespace crocusport {

//! An attempt that was running on a backend server when the server crashed.
struct CrashedRun
{
    CrashSuspicion request;
    std::vector<Fingerprint> parts; //!< Shared parts of the prompt.
};

/*!
    Remembers the attempts of the last seconds that were abandoned before their server had responded
    completely. If the server turns out later to have crashed, these requests were running at the
    crash, although no closed connection showed it.

    Thread safety: none; use from one thread.
*/
class UnansweredRuns
{
public:
    //! Records that an attempt on the start \a start of \a server was abandoned.
    void add(const BackendServerName &server, StartNumber start, Fingerprint fingerprint,
             CrashEvidence evidence, Instant now, std::vector<Fingerprint> parts = {});
    //! Removes and returns the attempts on \a start of \a server, which has crashed.
    std::vector<CrashedRun> take(const BackendServerName &server, StartNumber start, Instant now);

private:
    struct Run
    {
        BackendServerName server;
        StartNumber start;
        CrashedRun run;
        Instant at {};
    };

    void expire(Instant now);

    std::deque<Run> runs_; //!< Oldest first.
};

} // namespace crocusport

#endif // CROCUSPORT_UNANSWEREDRUNS_H
