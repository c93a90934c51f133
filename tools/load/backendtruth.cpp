#include "backendtruth.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace crocusport {

BackendTruth::BackendTruth(HttpClient &client, std::vector<SocketAddress> engines,
                           std::vector<SocketAddress> services)
    : client_(client), engines_(std::move(engines)), services_(std::move(services))
{ }

void BackendTruth::fetch(std::function<void()> onDone)
{
    onDone_ = std::move(onDone);
    // Counted first, so that the end is not reached before all calls are started.
    waiting_ = 2 * engines_.size() + services_.size();
    if (waiting_ == 0) {
        onDone_();
        return;
    }
    for (const auto &engine : engines_) {
        get(engine, "/metrics?lag=0", [this](const std::string &body) { addMetrics(body); });
        get(engine, "/control/executions",
            [this](const std::string &body) { addCounts(body, "hashes", engineStarts_); });
    }
    for (const auto &service : services_) {
        get(service, "/control/executions",
            [this](const std::string &body) { addCounts(body, "markers", bookings_); });
    }
}

void BackendTruth::get(const SocketAddress &address, const std::string &target,
                       std::function<void(const std::string &body)> onBody)
{
    HttpCallRequest request;
    request.address = address;
    request.target = target;
    request.connection = ConnectionUse::Fresh;
    request.progressTimeout = std::chrono::seconds(5);
    auto body = std::make_shared<std::string>();
    HttpCallHandlers handlers;
    handlers.onBody = [body](std::string_view data) { body->append(data); };
    handlers.onEnd = [this, body, onBody = std::move(onBody)](const HttpCallEnd &end) {
        if (end.failure == HttpFailure::None && end.status == 200)
            onBody(*body);
        else
            ++unreachable_;
        if (--waiting_ == 0)
            onDone_();
    };
    calls_.push_back(client_.start(std::move(request), std::move(handlers)));
}

void BackendTruth::addMetrics(const std::string &text)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream fields(line);
        std::string name;
        double value = 0;
        if (fields >> name >> value)
            metrics_[name] += value;
    }
}

void BackendTruth::addCounts(const std::string &text, const char *member,
                             std::map<std::string, std::uint64_t> &counts)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains(member)) {
        ++unreachable_;
        return;
    }
    for (const auto &[name, count] : body[member].items())
        counts[name] += count.get<std::uint64_t>();
}

std::uint64_t BackendTruth::countRun(const std::vector<std::string> &markers) const
{
    return static_cast<std::uint64_t>(
        std::count_if(markers.begin(), markers.end(), [this](const std::string &marker) {
            return engineStarts_.count(marker) != 0 || bookings_.count(marker) != 0;
        }));
}

std::uint64_t BackendTruth::countMissing(const std::vector<std::string> &bookings) const
{
    return static_cast<std::uint64_t>(
        std::count_if(bookings.begin(), bookings.end(),
                      [this](const std::string &marker) { return bookings_.count(marker) == 0; }));
}

std::uint64_t BackendTruth::duplicateBookings() const
{
    std::uint64_t duplicates = 0;
    for (const auto &[marker, count] : bookings_)
        duplicates += count - 1;
    return duplicates;
}

} // namespace crocusport
