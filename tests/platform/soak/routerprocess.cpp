#include "routerprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace crocusport {

RouterProcess::RouterProcess(std::string program, std::string directory, std::string name,
                             int firstPort, const SocketAddress &store)
    : program_(std::move(program)), directory_(std::move(directory)), name_(std::move(name)),
      callers_("127.0.0.1:" + std::to_string(firstPort))
{
    std::ofstream settings(directory_ + '/' + name_ + ".toml");
    settings << "router = \"" << name_ << "\"\nregion = \"region-1\"\n"
             << "availability_zone = \"zone-1\"\nlisten.callers = \"" << callers_.value() << "\"\n"
             << "listen.ready = \"127.0.0.1:" << firstPort + 1
             << "\"\ninternal.ip = \"127.0.0.1\"\n"
             << "internal.report_port = " << firstPort + 2 << "\nstore.address = \""
             << store.value()
             << "\"\nbounds.revocation_ms = 3000\nretry.ratio = 0.2\nretry.slack = 50\n"
             << "shutdown.grace_s = 6\nstore.poll_interval_ms = 200\n";
}

RouterProcess::~RouterProcess()
{
    if (!isRunning())
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

void RouterProcess::start()
{
    const auto settings = directory_ + '/' + name_ + ".toml";
    const auto log = directory_ + '/' + name_ + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int kLogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     kLogMode);
    std::string config = "--config";
    char *const arguments[] = { program_.data(), config.data(), const_cast<char *>(settings.data()),
                                nullptr };
    const int failed =
        posix_spawn(&process_, program_.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program_);
}

void RouterProcess::signal(int number)
{
    if (isRunning())
        kill(process_, number);
}

bool RouterProcess::isRunning()
{
    if (process_ == 0)
        return false;
    if (waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = 0;
    return process_ != 0;
}

} // namespace crocusport
