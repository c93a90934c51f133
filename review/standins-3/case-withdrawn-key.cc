// Requests with a withdrawn key, and with a key that nobody ever held, to a route that also allows
// requests without a key.

#include "common.cc"

namespace {

std::atomic<int> ranWithdrawn = 0;
std::atomic<int> ranUnknown = 0;

Json configuration(int version, const std::vector<std::string> &keys)
{
    const auto route = [](const char *name, const char *prefix, bool allowsAnonymous) {
        return Json { { "name", name },         { "host", "ficu95.example" },
                      { "pathPrefix", prefix }, { "kind", "safe" },
                      { "timeoutMs", 600 },     { "targetLatencyMs", 100 },
                      { "priority", 2 },        { "service", "wuno96b" },
                      { "maxAttempts", 2 },     { "allowAnonymous", allowsAnonymous } };
    };
    return { { "version", version },
             { "routes", { route("keyed", "/keyed/", false), route("open", "/open/", true) } },
             { "services",
               { { { "name", "wuno96b" }, { "healthPath", "/health" }, { "maxConns", 110 } } } },
             { "limits",
               { { "maxHeaderBytes", 16384 },
                 { "maxBodyBytes", 4194304 },
                 { "headerTimeoutMs", 3000 },
                 { "idleTimeoutMs", 15000 } } },
             { "tenants", { { { "name", "hule930" }, { "apiKeys", keys }, { "priority", 1 } } } } };
}

const std::string kKept = "anfqasnmgkcuyj8pjbvk";
const std::string kWithdrawn = "n2ctnfzs989anu6wsjnb";
const std::string kUnknown = "zzzzzzzzzzzzzzzzzzzz";

int ask(const Gateway &gateway, const std::string &path, const std::string &key)
{
    static int number = 0;
    const auto id = format("9c41d07be2a3%04d", ++number);
    const int fd = connectTo(gateway.ip(), gateway.front());
    std::string text = "GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 600\r\n";
    if (!key.empty())
        text += "Authorization: Token " + key + "\r\n";
    writeAll(fd, text + "\r\n");
    const auto answer = readAnswer(fd, 2000);
    close(fd);
    NOTE("requester: GET %s, id %s, key %s -> %d", path.c_str(), id.c_str(),
         key.empty() ? "none" : key.c_str(), answer.status);
    return answer.status;
}

} // namespace

int main(int argc, char **argv)
{
    const auto folder = begin(argc, argv);
    Store store;
    std::atomic<bool> isWithdrawn = false;
    std::string current;
    std::mutex mutex;
    Worker *self = nullptr;
    Worker worker(store, "i-7f3a91c2", "wuno96b", [&](int fd, const Request &request) {
        NOTE("worker: runs GET %s, id %s, X-Tenant %s", request.target.c_str(),
             request.header("X-Attempt-Id").c_str(),
             request.header("X-Tenant").empty() ? "none" : request.header("X-Tenant").c_str());
        {
            const std::lock_guard lock(mutex);
            if (isWithdrawn && current == kWithdrawn)
                ++ranWithdrawn;
            if (current == kUnknown)
                ++ranUnknown;
        }
        return writeAll(fd, answerText(200, "stock 7", self->seal(request)));
    });
    self = &worker;
    store.put("op/config", configuration(7, { kKept, kWithdrawn }).dump());
    const Gateway::Ports ports;
    Gateway gateway("front-kudus-1", "127.0.0.2", ports, store.address(), folder);
    gateway.start();
    gateway.waitReady();
    sleepMs(3500); // Both are in touch.
    const auto send = [&](const std::string &path, const std::string &key) {
        {
            const std::lock_guard lock(mutex);
            current = key;
        }
        return ask(gateway, path, key);
    };
    const bool isServed = send("/open/a", "") == 200 && send("/open/b", kWithdrawn) == 200
        && send("/keyed/c", kWithdrawn) == 200;
    if (!isServed)
        finish(kCouldNotRun, { &gateway });
    if (isTrouble()) {
        store.put("op/config", configuration(9, { kKept }).dump());
        NOTE("operator: version 9 without the key %s is acknowledged", kWithdrawn.c_str());
    }
    sleepMs(6500); // revokeMs is 5,000.
    isWithdrawn = isTrouble();
    if (send("/keyed/d", kKept) != 200)
        finish(kCouldNotRun, { &gateway });
    for (int i = 0; i < 5; ++i) {
        send("/keyed/e", kWithdrawn);
        send("/open/f", kWithdrawn);
        if (isTrouble())
            send("/open/g", kUnknown);
        sleepMs(300);
    }
    NOTE("requests with the withdrawn key that ran over revokeMs after the ack: %d of 10",
         ranWithdrawn.load());
    NOTE("requests with a key that no configuration ever held that ran: %d of 5", ranUnknown.load());
    finish(ranWithdrawn > 0 || ranUnknown > 0 ? kBroken : kHeld, { &gateway });
}
