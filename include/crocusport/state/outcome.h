#ifndef CROCUSPORT_OUTCOME_H
#define CROCUSPORT_OUTCOME_H

#include <string_view>

namespace crocusport {

//! The outcome of a request, as the router reports it to the caller. NotRun is used only when the
//! request is known not to have run.
enum class Outcome { Completed, NotRun, Unknown, Failed };

//! Returns the name used in headers, logs and metrics, such as "not_run". Safe from any thread.
std::string_view outcomeName(Outcome outcome);

} // namespace crocusport

#endif // CROCUSPORT_OUTCOME_H
