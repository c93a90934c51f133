#ifndef CROCUSPORT_ROUTERPROCESS_H
#define CROCUSPORT_ROUTERPROCESS_H

#include "crocusport/state/identifiers.h"

#include <sys/types.h>

#include <string>

namespace crocusport {

/*!
    Runs one gateway as a child process. Signals only the process that it started, by its id. The
    destructor kills the process if it is still running.
*/
class RouterProcess
{
public:
    /*!
        Writes the settings file of the gateway; the gateway uses three ports, \a firstPort and the
        two after it. Precondition: \a directory, for the settings and the log, exists.
    */
    RouterProcess(std::string program, std::string directory, std::string name, int firstPort,
                  const SocketAddress &store);
    ~RouterProcess();

    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    void signal(int number);
    //! Returns whether the process is running, and reaps it if it has ended.
    bool isRunning();
    const SocketAddress &callersAddress() const { return callers_; }
    const std::string &name() const { return name_; }

private:
    std::string program_;
    std::string directory_;
    std::string name_;
    SocketAddress callers_;
    pid_t process_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ROUTERPROCESS_H
