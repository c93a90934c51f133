#include "crocusport/protocol/hostlistcodec.h"

#include "crocusport/protocol/socketaddresstext.h"
#include "jsondocument.h"

#include <unordered_set>
#include <utility>

namespace crocusport {

namespace {

constexpr std::uint32_t kMaxSlots = 100'000;

struct HostList
{
    std::vector<BackendServer> hosts;
};

} // namespace

void describe(auto &fields, Is<BackendServer> auto &server)
{
    fields.required("name", server.name);
    fields.required("address", server.address);
    fields.required("availability_zone", server.zone);
    fields.required("region", server.region);
    fields.required("pool", server.pool);
    fields.required("state", server.state);
    fields.required("start", server.start);
    fields.required("slots", server.slots);
}

void describe(auto &fields, Is<BackendHealth> auto &health)
{
    fields.required("state", health.state);
    fields.required("start", health.start);
}

namespace {

void describe(auto &fields, Is<HostList> auto &list)
{
    fields.required("hosts", list.hosts);
}

} // namespace

namespace {

Result<BackendServer> parseHost(std::string_view text)
{
    BOOST_LEAF_AUTO(server, parseJsonDocument<BackendServer>(text, "host list"));
    const auto fault = [&](const std::string &message) {
        return makeError(ResultCode::MalformedMessage,
                         "host list: " + server.name.value() + ' ' + message);
    };
    if (!isSocketAddressText(server.address.value()))
        return fault("has an address that is not ip:port");
    if (server.slots == 0 || server.slots > kMaxSlots)
        return fault("has slots that are not within 1 to " + std::to_string(kMaxSlots));
    return server;
}

} // namespace

Result<std::vector<BackendServer>> parseHostList(std::string_view body,
                                                 std::vector<std::string> *faults)
{
    BOOST_LEAF_AUTO(entries, splitJsonArray(body, "hosts", "host list"));
    std::vector<BackendServer> servers;
    std::unordered_set<BackendServerName> names;
    std::vector<std::string> found;
    for (const auto entry : entries) {
        handleErrors(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(server, parseHost(entry));
                if (server.name.value().empty() || !names.insert(server.name).second)
                    return makeError(ResultCode::MalformedMessage,
                                     "host list: " + server.name.value()
                                         + " is empty or occurs twice");
                servers.push_back(std::move(server));
                return {};
            },
            [&](const Error &error) { found.push_back(error.message); });
    }
    if (found.size() > servers.size())
        return makeError(ResultCode::MalformedMessage, found.front());
    if (faults)
        *faults = std::move(found);
    return servers;
}

std::string writeHostList(const std::vector<BackendServer> &servers)
{
    const HostList list { servers };
    return writeJsonDocument(list);
}

Result<BackendHealth> parseBackendHealth(std::string_view body)
{
    return parseJsonDocument<BackendHealth>(body, "health");
}

std::string writeBackendHealth(const BackendHealth &health)
{
    return writeJsonDocument(health);
}

} // namespace crocusport
