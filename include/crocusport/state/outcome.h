#ifndef CROCUSPORT_OUTCOME_H
#define CROCUSPORT_OUTCOME_H

#include <string_view>

namespace crocusport {

//! What a caller is told about its request. NotRun is only used when it is certain.
enum class Outcome { Completed, NotRun, Unknown, Failed };

//! Returns the name used in headers, logs and metrics, such as "not_run". Safe from any thread.
std::string_view outcomeName(Outcome outcome);

} // namespace crocusport

#endif // CROCUSPORT_OUTCOME_H
