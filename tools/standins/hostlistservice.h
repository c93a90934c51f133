#ifndef CROCUSPORT_HOSTLISTSERVICE_H
#define CROCUSPORT_HOSTLISTSERVICE_H

#include "crocusport/transport/timer.h"
#include "standinserver.h"

#include <filesystem>
#include <memory>
#include <string>

namespace crocusport {

//! Settings of a simulated host list.
struct HostListOptions
{
    Duration lag {};            //!< Time until a change is shown.
    std::filesystem::path file; //!< Reread when it changes; empty: none.
};

/*!
    A simulated host list: GET /hosts, set by POST /control/hosts or from a file.

    Thread safety: loop thread only.
*/
class HostListService
{
public:
    HostListService(EventLoop &loop, StandinServer &server, const HostListOptions &options);

private:
    void onRequest(const std::shared_ptr<GuardedExchange> &exchange);
    bool setHosts(const std::string &text);
    void checkFile();

    StandinServer &server_;
    HostListOptions options_;
    std::string shown_ = R"({"hosts":[]})";
    std::filesystem::file_time_type fileTime_ {};
    Timer fileTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_HOSTLISTSERVICE_H
