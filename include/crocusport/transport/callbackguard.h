#ifndef CROCUSPORT_CALLBACKGUARD_H
#define CROCUSPORT_CALLBACKGUARD_H

#include <cstdint>
#include <exception>
#include <string_view>

namespace crocusport {

//! Logs and counts a callback that has failed. Loop thread only.
void noteCallbackFailure(std::string_view callback, std::string_view reason) noexcept;
//! Callbacks that have failed since the start. Loop thread only.
std::uint64_t callbackFailures();

/*!
    Calls \a function, a callback of the event loop. An exception, also of a failed allocation, must
    not reach libevent's C functions, which would end the process. Returns whether there was none;
    the caller ends what the callback worked on. Loop thread only.
*/
template<typename Function>
bool guardCallback(std::string_view callback, Function &&function) noexcept
{
    try {
        function();
        return true;
    } catch (const std::exception &exception) {
        noteCallbackFailure(callback, exception.what());
    } catch (...) {
        noteCallbackFailure(callback, "unknown exception");
    }
    return false;
}

} // namespace crocusport

#endif // CROCUSPORT_CALLBACKGUARD_H
