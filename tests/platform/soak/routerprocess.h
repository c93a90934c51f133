#ifndef CROCUSPORT_ROUTERPROCESS_H
#define CROCUSPORT_ROUTERPROCESS_H

#include "crocusport/state/identifiers.h"

#include <sys/types.h>

#include <string>

namespace crocusport {

//! One gateway as a separate process. Ends only the process that it started, by its id.
class RouterProcess
{
public:
    //! \a directory must exist; settings and log are written there.
    RouterProcess(std::string program, std::string directory, std::string name, int firstPort,
                  const SocketAddress &store);
    ~RouterProcess();

    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    void signal(int number);
    //! Whether the process runs; takes notice of its end.
    bool isRunning();
    const SocketAddress &callers() const { return callers_; }
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
