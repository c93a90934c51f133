#ifndef CROCUSPORT_REPEATRULE_H
#define CROCUSPORT_REPEATRULE_H

#include <string_view>

namespace crocusport {

//! Whether a request of a class may be sent to a backend server more than once.
enum class RepeatRule { Repeatable, Never };

//! Returns the name used in class files, such as "repeatable". Safe from any thread.
std::string_view repeatRuleName(RepeatRule rule);

} // namespace crocusport

#endif // CROCUSPORT_REPEATRULE_H
