#include "looprunner.h"

#include "crocusport/transport/timer.h"

#include <stdexcept>

namespace crocusport {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(1);

} // namespace

LoopRunner::LoopRunner()
{
    handleErrors(
        [this]() -> Result<void> {
            BOOST_LEAF_ASSIGN(loop_, EventLoop::create());
            return {};
        },
        [](const Error &error) { throw std::runtime_error(error.message); });
}

bool LoopRunner::runUntil(const std::function<bool()> &condition)
{
    const auto deadline = monotonicNow() + kTimeout;
    Timer check(*loop_, [&] {
        if (condition() || monotonicNow() > deadline)
            loop_->stop();
    });
    check.startPeriodic(kCheckPeriod);
    if (!condition())
        loop_->run();
    return condition();
}

void LoopRunner::runFor(Duration duration)
{
    const auto end = monotonicNow() + duration;
    runUntil([end] { return monotonicNow() >= end; });
}

} // namespace crocusport
