#include "crocusport/state/repeatrule.h"

#include <array>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 2> kRepeatRuleNames = { "repeatable", "never" };

} // namespace

std::string_view repeatRuleName(RepeatRule rule)
{
    return kRepeatRuleNames.at(static_cast<std::size_t>(rule));
}

} // namespace crocusport
