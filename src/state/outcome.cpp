#include "crocusport/state/outcome.h"

#include <array>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 4> kOutcomeNames = { "completed", "not_run", "unknown",
                                                            "failed" };

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

} // namespace crocusport
