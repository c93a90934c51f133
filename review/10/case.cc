// The operator takes a tenant's key away, and the tenant's channels stay open: does a request with
// that key still run on a route that may be used without a key?

#include "common.cc"

using namespace review;

namespace {

constexpr int kRevokeMs = 5000; // bounds.revokeMs
constexpr int kRequests = 20;

std::string configuration(int version, bool hasKey)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + routeJson("booking", "unsafe", "app", ",\"allowAnonymous\":true") + ","
        + routeJson("lookup", "safe", "app", ",\"allowAnonymous\":false")
        + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
          "\"limits\":"
        + limitsJson()
        + ",\"tenants\":[{\"name\":\"school\",\"apiKeys\":[\"key-2\"" + (hasKey ? ",\"key-1\"" : "")
        + "],\"priority\":1}]}";
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

    auto channel = Channel::connect(gateway.port());
    const auto send = [&](const std::string &route, const std::string &id, const std::string &key) {
        Message answer;
        if (!channel)
            return 0;
        channel->setTimeout(3000);
        channel->write(requestBytes("POST", route, id, "Authorization: Token " + key + "\r\n",
                                    "pickup"));
        const int status = channel->read(answer) ? answer.status() : 0;
        record().write("sent " + id + " to " + route + " with " + key + ", answered "
                       + std::to_string(status));
        if (status == 0)
            channel = Channel::connect(gateway.port());
        return status;
    };
    if (send("booking", "before-1", "key-1") != 200 || send("lookup", "before-2", "key-1") != 200)
        cannotRun("the key is not accepted before the change");

    store.put("op/config", configuration(2, !disrupts()));
    record().write(disrupts() ? "acknowledged: version 2, without key-1"
                              : "acknowledged: version 2, with key-1");
    sleepMs(kRevokeMs + 1000);
    // Shows that the gateway knows that the key was taken away.
    const int control = send("lookup", "control", "key-1");
    if (control != (disrupts() ? 401 : 200))
        cannotRun("the other route does not answer as expected");
    for (int i = 0; i < kRequests; ++i) {
        send("booking", "good-" + std::to_string(i), "key-1");
        sleepMs(100);
    }
    int revoked = 0;
    int wrongTenant = 0;
    {
        std::lock_guard lock(mutex);
        for (const auto &[id, tenant] : tenants) {
            revoked += disrupts() && id.starts_with("good-") ? 1 : 0;
            wrongTenant += id.starts_with("good-") && !disrupts() && tenant != "school" ? 1 : 0;
        }
    }
    record().write(std::to_string(revoked) + " requests ran whose key was taken away at least "
                   + std::to_string(kRevokeMs + 1000) + " ms before");
    const bool isBroken = revoked > 0 || wrongTenant > 0;
    record().write(isBroken ? "BROKEN: CONFIG (API keys)" : "held");
    gateway.stop();
    folder.~Folder();
    std::_Exit(isBroken ? kBroken : kHeld);
}
