#include "gatewayprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace crocusport {

namespace {

std::string procPath(pid_t process, const char *file)
{
    return "/proc/" + std::to_string(process) + '/' + file;
}

} // namespace

GatewayProcess::GatewayProcess(std::string program, std::string settings, const std::string &log)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int kLogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     kLogMode);
    std::string option = "--config";
    char *const arguments[] = { program.data(), option.data(), settings.data(), nullptr };
    const int failed =
        posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program);
}

GatewayProcess::~GatewayProcess()
{
    if (!isRunning())
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

bool GatewayProcess::isRunning()
{
    if (process_ != 0 && waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = 0;
    return process_ != 0;
}

std::size_t GatewayProcess::peakMemory() const
{
    constexpr std::size_t kKiB = 1024;
    std::ifstream status(procPath(process_, "status"));
    std::string word;
    std::size_t size = 0;
    while (status >> word) {
        if (word == "VmHWM:" && status >> size)
            return size * kKiB;
    }
    return 0;
}

std::size_t GatewayProcess::descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator files(procPath(process_, "fd"), error);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace crocusport
