#ifndef CROCUSPORT_LOOPRUNNER_H
#define CROCUSPORT_LOOPRUNNER_H

#include "crocusport/transport/eventloop.h"

#include <functional>
#include <memory>

namespace crocusport {

//! An event loop for tests.
class LoopRunner
{
public:
    LoopRunner();

    EventLoop &loop() { return *loop_; }
    //! Runs the loop until \a condition holds, for 60 s at most. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition);
    //! Runs the loop for \a duration.
    void runFor(Duration duration);

private:
    std::unique_ptr<EventLoop> loop_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOOPRUNNER_H
