#include "crocusport/transport/hostlistclient.h"

#include "crocusport/protocol/hostlistcodec.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

constexpr int kOk = 200;
// Leaves a wide margin over the list of 2,700 backend servers at about 250 bytes each.
constexpr std::size_t kMaxListBytes = 16'777'216;

} // namespace

HostListClient::HostListClient(EventLoop &loop, HttpClient &client, Options options,
                               Handler onChange)
    : client_(client), options_(std::move(options)), onChange_(std::move(onChange)),
      timer_(loop, [this] { poll(); })
{
    timer_.startOnce(Duration::zero());
}

void HostListClient::poll()
{
    timer_.startOnce(options_.period);
    if (call_ && !call_->isEnded())
        fail("no complete response within the poll period");
    body_.clear();
    HttpCallRequest request;
    request.address = options_.address;
    request.target = "/hosts";
    request.connectTimeout = options_.period;
    request.progressTimeout = options_.period;
    request.maxResponseBytes = kMaxListBytes;
    // After a failure, a new connection is used: a pooled one can stop delivering data for good
    // while new ones work.
    request.connection = lastError_.empty() ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    HttpCallHandlers handlers;
    handlers.onBody = [this](std::string_view data) { body_.append(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = client_.start(std::move(request), std::move(handlers));
}

void HostListClient::onEnd(const HttpCallEnd &end)
{
    if (end.failure != HttpFailure::None) {
        fail(std::string(httpFailureName(end.failure)));
        return;
    }
    if (end.status != kOk) {
        fail("status " + std::to_string(end.status));
        return;
    }
    auto servers = handleErrors(
        [&]() -> Result<std::optional<std::vector<BackendServer>>> {
            std::vector<std::string> faults;
            BOOST_LEAF_AUTO(list, parseHostList(body_, &faults));
            noteInvalidEntries(faults);
            return std::optional(std::move(list));
        },
        [&](const Error &error) {
            fail(error.message);
            return std::optional<std::vector<BackendServer>> {};
        });
    if (servers)
        accept(std::move(*servers));
}

// The same entries are read with every poll, so they are logged only when they change.
void HostListClient::noteInvalidEntries(const std::vector<std::string> &faults)
{
    if (faults.size() != invalidEntries_ && !faults.empty())
        LOG(WARNING) << "event=hostlist_entries_rejected entries=" << faults.size() << " first=\""
                     << faults.front() << '"';
    invalidEntries_ = faults.size();
}

void HostListClient::accept(std::vector<BackendServer> servers)
{
    if (!lastError_.empty())
        LOG(INFO) << "event=hostlist_available servers=" << servers.size();
    lastError_.clear();
    std::sort(servers.begin(), servers.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    const bool isFirst = !lastReceived_.has_value();
    lastReceived_ = monotonicNow();
    if (!isFirst && servers == servers_)
        return;
    servers_ = std::move(servers);
    // The handler may destroy this client, so no code may follow it.
    onChange_(servers_);
}

void HostListClient::fail(const std::string &error)
{
    if (lastError_.empty())
        LOG(WARNING) << "event=hostlist_unavailable address=" << options_.address
                     << " servers_kept=" << servers_.size() << " error=\"" << error << '"';
    lastError_ = error;
}

} // namespace crocusport
