// The operator takes the only tenant out of the configuration, and with it its key: does a request
// with that key still run?

#include "common.cc"

using namespace review;

namespace {

constexpr int kRevokeMs = 5000; // bounds.revokeMs
constexpr int kRequests = 20;

std::string configuration(int version, bool hasTenant)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + routeJson("booking", "unsafe", "app", ",\"allowAnonymous\":false")
        + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
          "\"limits\":"
        + limitsJson() + ",\"tenants\":["
        + (hasTenant ? "{\"name\":\"school\",\"apiKeys\":[\"key-1\"],\"priority\":1}" : "") + "]}";
}

} // namespace

int main(int, char **arguments)
{
    record().open(std::string(arguments[1]) + "/record.txt");
    std::mutex mutex;
    std::map<std::string, std::string> tenants; // Of the requests that have run, by their ids.
    Server worker([&](const Message &request, Channel &channel) {
        const auto id = request.header("X-Attempt-Id");
        {
            std::lock_guard lock(mutex);
            tenants[id] = request.header("X-Tenant");
        }
        record().write("runs " + id + ", X-Tenant: \"" + request.header("X-Tenant") + '"');
        return channel.write(answerBytes(
            200, "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s1\r\n", "booked"));
    });
    Store store;
    store.put("servers/i-1", serverJson("app", worker.address(), 6));
    store.put("op/config", configuration(1, true));
    Folder folder;
    Gateway gateway(folder.path(), store.address(), {});
    gateway.start();
    if (!gateway.waitReady())
        cannotRun("the gateway is not ready");

    const auto send = [&](const std::string &id, const std::string &key) {
        const auto channel = Channel::connect(gateway.port());
        Message answer;
        if (!channel)
            return 0;
        channel->setTimeout(3000);
        channel->write(requestBytes("POST", "booking", id, "Authorization: Token " + key + "\r\n",
                                    "pickup"));
        const int status = channel->read(answer) ? answer.status() : 0;
        record().write("sent " + id + " with " + key + ", answered " + std::to_string(status));
        return status;
    };
    // Both must be so before the change, else the case shows nothing.
    if (send("before-good", "key-1") != 200 || send("before-bad", "no-key") != 401)
        cannotRun("keys are not checked as expected before the change");

    store.put("op/config", configuration(2, !disrupts()));
    record().write(disrupts() ? "acknowledged: version 2, without the tenant"
                              : "acknowledged: version 2, with the tenant");
    sleepMs(kRevokeMs + 1000);
    for (int i = 0; i < kRequests; ++i) {
        send("good-" + std::to_string(i), "key-1");
        send("bad-" + std::to_string(i), "no-key");
        sleepMs(100);
    }
    int revoked = 0;
    int unknown = 0;
    {
        std::lock_guard lock(mutex);
        for (const auto &[id, tenant] : tenants) {
            revoked += disrupts() && id.starts_with("good-") ? 1 : 0;
            unknown += id.starts_with("bad-") ? 1 : 0;
        }
    }
    record().write(std::to_string(revoked) + " requests ran whose key was taken away "
                   + std::to_string(kRevokeMs + 1000) + " ms before, "
                   + std::to_string(unknown) + " whose key no configuration ever held");
    const bool isBroken = revoked > 0 || unknown > 0;
    record().write(isBroken ? "BROKEN: CONFIG (API keys), ROUTE (API keys)" : "held");
    gateway.stop();
    folder.~Folder();
    std::_Exit(isBroken ? kBroken : kHeld);
}
