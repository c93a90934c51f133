#ifndef CROCUSPORT_CALLBACKGUARD_H
#define CROCUSPORT_CALLBACKGUARD_H

#include <cstdint>
#include <exception>
#include <string_view>

namespace crocusport {

//! Logs that \a callback has failed for \a reason, and counts it. Loop thread only.
void reportCallbackFailure(std::string_view callback, std::string_view reason) noexcept;
//! Number of callbacks that have failed since the process started. Loop thread only.
std::uint64_t callbackFailures();

/*!
    Calls \a function, which runs as a callback of the event loop, and catches all its exceptions,
    including those of failed allocations: an exception that reached libevent's C functions would
    end the process. Logs and counts a caught exception.

    Returns true when nothing was thrown. Otherwise the code that called guardCallback() has to
    close the connection or other object that \a function was working on. Loop thread only.
*/
template<typename Function>
bool guardCallback(std::string_view callback, Function &&function) noexcept
{
    try {
        function();
        return true;
    } catch (const std::exception &exception) {
        reportCallbackFailure(callback, exception.what());
    } catch (...) {
        reportCallbackFailure(callback, "unknown exception");
    }
    return false;
}

} // namespace crocusport

#endif // CROCUSPORT_CALLBACKGUARD_H
