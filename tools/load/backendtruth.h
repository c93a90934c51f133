#ifndef CROCUSPORT_BACKENDTRUTH_H
#define CROCUSPORT_BACKENDTRUTH_H

#include "crocusport/transport/httpclient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Asks the stand-ins after a run what they really did, to compare with what callers were told.

    Thread safety: loop thread only.
*/
class BackendTruth
{
public:
    BackendTruth(HttpClient &client, std::vector<SocketAddress> engines,
                 std::vector<SocketAddress> services);

    //! Calls \a onDone once all have answered or failed. One that is gone is left out.
    void fetch(std::function<void()> onDone);

    //! How many of \a markers some stand-in has run.
    std::uint64_t countRun(const std::vector<std::string> &markers) const;
    //! How many of \a bookings no service has run.
    std::uint64_t countMissing(const std::vector<std::string> &bookings) const;
    //! Executions of bookings beyond the first, over all services together.
    std::uint64_t duplicateBookings() const;
    //! Sums of the engines' metrics by name.
    const std::map<std::string, double> &engineMetrics() const { return metrics_; }
    std::uint64_t unreachable() const { return unreachable_; }
    bool hasServices() const { return !services_.empty(); }

private:
    void get(const SocketAddress &address, const std::string &target,
             std::function<void(const std::string &body)> onBody);
    void addMetrics(const std::string &text);
    void addCounts(const std::string &text, const char *member,
                   std::map<std::string, std::uint64_t> &counts);

    HttpClient &client_;
    std::vector<SocketAddress> engines_;
    std::vector<SocketAddress> services_;
    std::function<void()> onDone_;
    std::vector<std::unique_ptr<HttpCall>> calls_;
    std::size_t waiting_ = 0;
    std::uint64_t unreachable_ = 0;
    std::map<std::string, double> metrics_;
    std::map<std::string, std::uint64_t> engineStarts_;
    std::map<std::string, std::uint64_t> bookings_;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDTRUTH_H
