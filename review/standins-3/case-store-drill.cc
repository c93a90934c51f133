// A drill: the store is away for 1 s and comes back from a copy that is 6 s old. A configuration was
// written shortly before it, and one that withdraws a key after it.

#include "common.cc"

namespace {

constexpr int kWorkers = 6;
constexpr int kCopyAgeMs = 6000;
constexpr int kAwayMs = 1000;
constexpr int kChangeBeforeMs = 500; // From the first change to the drill.
constexpr int kRevokeAfterMs = 2000; // From the store's return to the second change.
constexpr int kRevokeMs = 5000;

const std::string kKept = "anfqasnmgkcuyj8pjbvk";
const std::string kWithdrawn = "n2ctnfzs989anu6wsjnb";

Json configuration(int version, int lookupTimeoutMs, const std::vector<std::string> &keys)
{
    return { { "version", version },
             { "routes",
               { { { "name", "r-stock" },     { "host", "ficu95.example" },
                   { "pathPrefix", "/stock/" }, { "kind", "safe" },
                   { "timeoutMs", lookupTimeoutMs }, { "targetLatencyMs", 100 },
                   { "priority", 2 },         { "service", "wuno96b" },
                   { "maxAttempts", 2 },      { "allowAnonymous", false } } } },
             { "services",
               { { { "name", "wuno96b" }, { "healthPath", "/health" }, { "maxConns", 110 } } } },
             { "limits",
               { { "maxHeaderBytes", 16384 },
                 { "maxBodyBytes", 4194304 },
                 { "headerTimeoutMs", 3000 },
                 { "idleTimeoutMs", 15000 } } },
             { "tenants", { { { "name", "hule930" }, { "apiKeys", keys }, { "priority", 1 } } } } };
}

std::mutex ranMutex;
std::map<std::string, int> ran; // By request id.

} // namespace

int main(int argc, char **argv)
{
    const auto folder = begin(argc, argv);
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 0; number < kWorkers; ++number) {
        const auto id = format("i-00000%d", number);
        workers.push_back(std::make_unique<Worker>(
            store, id, "wuno96b", [&workers, number](int fd, const Request &request) {
                {
                    const std::lock_guard lock(ranMutex);
                    ++ran[request.header("X-Attempt-Id")];
                }
                sleepMs(15);
                return writeAll(fd, answerText(200, "stock 7", workers[static_cast<std::size_t>(number)]->seal(request)));
            }));
    }
    store.put("op/config", configuration(7, 600, { kKept, kWithdrawn }).dump());
    const Gateway::Ports ports;
    Gateway first("front-kudus-1", "127.0.0.2", ports, store.address(), folder);
    Gateway second("front-kudus-2", "127.0.0.3", ports, store.address(), folder);
    first.start();
    second.start();
    first.waitReady();
    second.waitReady();
    sleepMs(4000);

    int number = 0;
    const auto ask = [&](const Gateway &gateway, const std::string &key, bool isNoted) {
        const auto id = format("9c41d07be2a3%04d", ++number);
        const int fd = connectTo(gateway.ip(), gateway.front());
        writeAll(fd, "GET /stock/a HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                     + "\r\nX-Deadline-Ms: 600\r\nAuthorization: Token " + key + "\r\n\r\n");
        const auto answer = readAnswer(fd, 2000);
        close(fd);
        const std::lock_guard lock(ranMutex);
        if (isNoted)
            NOTE("requester: id %s, key %s, at %s -> %d, %s", id.c_str(),
                 key == kKept ? "kept" : "withdrawn", gateway.name().c_str(), answer.status,
                 ran[id] > 0 ? "has run" : "hasn't run");
        return ran[id] > 0;
    };
    if (!ask(first, kWithdrawn, true) || !ask(second, kWithdrawn, true))
        finish(kCouldNotRun, { &first, &second });

    store.takeCopy();
    const long copied = store.revision();
    sleepMs(kCopyAgeMs - kChangeBeforeMs);
    const auto versionEight = configuration(8, 800, { kKept, kWithdrawn }).dump();
    NOTE("operator: version 8, with another timeoutMs, is acknowledged at revision %ld", store.put("op/config", versionEight));
    sleepMs(kChangeBeforeMs);
    if (isTrouble()) {
        NOTE("store: is away at revision %ld", store.revision());
        store.goAway();
        sleepMs(kAwayMs);
        store.comeBack();
        NOTE("store: is back from a copy, at revision %ld", copied);
        NOTE("operator: writes version 8 again, at revision %ld", store.put("op/config", versionEight));
        for (const auto &worker : workers)
            worker->writeAgain();
        NOTE("workers: have written their entries again; revision %ld", store.revision());
    } else {
        sleepMs(kAwayMs);
    }
    sleepMs(kRevokeAfterMs);
    const long revision = store.put("op/config", configuration(9, 800, { kKept }).dump());
    const long acknowledged = sinceStartMs();
    NOTE("operator: version 9, which withdraws a key, is acknowledged at revision %ld", revision);
    int late = 0, sent = 0, kept = 0;
    while (sinceStartMs() < acknowledged + 20'000) {
        sleepMs(1000);
        for (const auto *const gateway : { &first, &second }) {
            const bool isLate = sinceStartMs() > acknowledged + kRevokeMs;
            const bool hasRun = ask(*gateway, kWithdrawn, true);
            sent += isLate ? 1 : 0;
            late += isLate && hasRun ? 1 : 0;
            kept += ask(*gateway, kKept, true) ? 1 : 0;
        }
    }
    NOTE("requests with the withdrawn key, sent over revokeMs after the ack: %d sent, %d ran", sent, late);
    NOTE("requests with the other key that ran after the ack: %d", kept);
    if (kept == 0)
        finish(kCouldNotRun, { &first, &second });
    finish(late > 0 ? kBroken : kHeld, { &first, &second });
}
