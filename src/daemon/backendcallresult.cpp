#include "backendcallresult.h"

#include <array>
#include <cstddef>

namespace crocusport {

namespace {

constexpr std::array<std::string_view, 8> kBackendCallEndNames = { "completed",    "not_run",
                                                                   "overloaded",   "rejected",
                                                                   "server_error", "lost",
                                                                   "malformed",    "too_large" };

} // namespace

std::string_view backendCallEndName(BackendCallEnd end)
{
    return kBackendCallEndNames.at(static_cast<std::size_t>(end));
}

} // namespace crocusport
