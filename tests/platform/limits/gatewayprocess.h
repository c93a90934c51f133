#ifndef CROCUSPORT_GATEWAYPROCESS_H
#define CROCUSPORT_GATEWAYPROCESS_H

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace crocusport {

/*!
    Runs a gateway as a child process and reads what it holds. The destructor ends the process.
    Signals only the process that it started, by its id.

    Thread safety: none; use from one thread.
*/
class GatewayProcess
{
public:
    //! Starts \a program with the settings file \a settings; its log goes to \a log. Throws
    //! std::runtime_error if it cannot be started.
    GatewayProcess(std::string program, std::string settings, const std::string &log);
    ~GatewayProcess();

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    //! Returns whether the process is running, and reaps it if it has ended.
    bool isRunning();
    //! The most resident memory since the start, in bytes; 0 if the process has ended.
    std::size_t peakMemory() const;
    //! Open file descriptors; 0 if the process has ended.
    std::size_t descriptors() const;

private:
    pid_t process_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYPROCESS_H
