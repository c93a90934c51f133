#include "hostlistservice.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <system_error>

namespace crocusport {

namespace {

constexpr Duration kFileCheckPeriod = std::chrono::milliseconds(100);

} // namespace

HostListService::HostListService(EventLoop &loop, StandinServer &server,
                                 const HostListOptions &options)
    : server_(server), options_(options), fileTimer_(loop, [this] { checkFile(); })
{
    server_.setHandler(
        [this](const std::shared_ptr<GuardedExchange> &exchange) { onRequest(exchange); });
    if (!options_.file.empty()) {
        checkFile();
        fileTimer_.startPeriodic(kFileCheckPeriod);
    }
}

void HostListService::onRequest(const std::shared_ptr<GuardedExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path() == "/hosts") {
        exchange->reply(200, { { "Content-Type", "application/json" } }, shown_);
        return;
    }
    if (request.path() == "/control/hosts" && request.method() == "POST") {
        if (setHosts(request.body()))
            exchange->replyJson(200, { { "done", true } });
        else
            exchange->replyJson(400, { { "error", "expected {\"hosts\":[...]}" } });
        return;
    }
    exchange->replyJson(404, { { "error", "no such path" } });
}

bool HostListService::setHosts(const std::string &text)
{
    const auto list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array())
        return false;
    if (options_.lag <= Duration::zero()) {
        shown_ = text;
        return true;
    }
    server_.tasks().runAfter(options_.lag, [this, text] { shown_ = text; });
    return true;
}

void HostListService::checkFile()
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(options_.file, error);
    if (error || time == fileTime_)
        return;
    std::ifstream stream(options_.file);
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    // A file that is being written is not complete yet and is read again at the next check.
    if (setHosts(text))
        fileTime_ = time;
    else
        LOG(WARNING) << "event=host-list-unreadable file=" << options_.file;
}

} // namespace crocusport
