// A server leaves: its answers say so, and its entry is removed. A heartbeat that it wrote before, and
// that got no answer, is carried out by the store seconds later. Does the gateway send to it again?

#include "common.cc"

using namespace review;

namespace {

constexpr int kHeartbeatMs = 1200;    // heartbeatMs
constexpr int kDrainMs = 2000;        // bounds.drainMs
constexpr int kStabilityMs = 3000;    // bounds.stabilityWindowMs
constexpr int kLateMs = 5900;         // platform_lost, late: done 1 to 6 s later
constexpr int kCallers = 4;
constexpr int kWorkMs = 30;

struct Arrival
{
    std::string id;
    std::int64_t at;
};

} // namespace

int main(int, char **arguments)
{
    record().open(std::string(arguments[1]) + "/record.txt");
    std::mutex mutex;
    std::vector<Arrival> arrivals; // At the server that leaves.
    std::atomic<bool> isLeaving = false;
    const auto serve = [&](bool leaves) {
        return [&, leaves](const Message &request, Channel &channel) {
            const auto id = request.header("X-Attempt-Id");
            if (leaves) {
                std::lock_guard lock(mutex);
                arrivals.push_back({ id, nowMs() });
            }
            sleepMs(kWorkMs);
            return channel.write(answerBytes(200,
                                             "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\n"
                                                 + (leaves && isLeaving ? "Server-Leaving: 1\r\n" : ""),
                                             "booked"));
        };
    };
    Server staying(serve(false));
    Server leaving(serve(true));
    Store store;
    int sequence = 0;
    const auto beat = [&](const std::string &id, const Server &server, int number) {
        store.put("servers/" + id, serverJson("app", server.address(), 6, number));
    };
    beat("i-stays", staying, ++sequence);
    beat("i-leaves", leaving, sequence);
    store.put("op/config",
              "{\"version\":1,\"routes\":[" + routeJson("booking", "unsafe", "app")
                  + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
                    "\"limits\":"
                  + limitsJson()
                  + ",\"tenants\":[{\"name\":\"school\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
    Folder folder;
    Gateway gateway(folder.path(), store.address(), {});
    gateway.start();
    if (!gateway.waitReady())
        cannotRun("the gateway is not ready");

    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<std::int64_t> passedOnAt = -1; // The first answer with Server-Leaving at a caller.
    std::map<std::string, std::int64_t> sentAt;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller] {
            std::unique_ptr<Channel> channel;
            for (int i = 0; !isOver; ++i) {
                if (!channel)
                    channel = Channel::connect(gateway.port());
                if (!channel)
                    continue;
                channel->setTimeout(3000);
                const auto id = "r" + std::to_string(caller) + "-" + std::to_string(i);
                {
                    std::lock_guard lock(mutex);
                    sentAt[id] = nowMs();
                }
                Message answer;
                if (!channel->write(requestBytes("POST", "booking", id,
                                                 "Authorization: Token key-1\r\n", "pickup"))
                    || !channel->read(answer)) {
                    channel.reset();
                    continue;
                }
                served += answer.status() == 200 ? 1 : 0;
                std::int64_t never = -1;
                if (!answer.header("Server-Leaving").empty())
                    passedOnAt.compare_exchange_strong(never, nowMs());
                sleepMs(20);
            }
        });
    }
    // Heartbeats go on; the one at "lost" gets no answer, and is carried out late.
    const auto sleepWithBeats = [&](int ms, bool doesLeavingBeat) {
        for (const auto until = nowMs() + ms; nowMs() < until;) {
            sleepMs(static_cast<int>(std::min<std::int64_t>(kHeartbeatMs, until - nowMs())));
            ++sequence;
            beat("i-stays", staying, sequence);
            if (doesLeavingBeat)
                beat("i-leaves", leaving, sequence);
        }
    };
    sleepWithBeats(1500, true);
    const auto lostAt = nowMs();
    const int lostSequence = ++sequence;
    if (!disrupts())
        beat("i-leaves", leaving, lostSequence);
    record().write("heartbeat " + std::to_string(lostSequence) + " of i-leaves, "
                   + (disrupts() ? "not answered" : "acknowledged"));
    // The store is stable again when the entry is removed.
    sleepWithBeats(kStabilityMs + 200, true);
    isLeaving = true;
    sleepMs(3 * kWorkMs); // Answers that say so are on their way.
    store.remove("servers/i-leaves");
    const auto removedAt = nowMs();
    record().write("i-leaves leaves: its answers say so, the removal of its entry is acknowledged");
    sleepWithBeats(static_cast<int>(lostAt + kLateMs - nowMs()), false);
    if (disrupts()) {
        beat("i-leaves", leaving, lostSequence);
        record().write("the store carries out heartbeat " + std::to_string(lostSequence) + ", "
                       + std::to_string(nowMs() - lostAt) + " ms after it was sent");
    }
    sleepWithBeats(2500, false);
    isOver = true;
    for (auto &caller : callers)
        caller.join();

    int afterRemoval = 0;
    int afterPassedOn = 0;
    int before = 0;
    for (const auto &[id, at] : arrivals) {
        before += at < removedAt ? 1 : 0;
        afterRemoval += at > removedAt + kDrainMs ? 1 : 0;
        const bool isAfter = passedOnAt >= 0 && sentAt[id] > passedOnAt + kDrainMs;
        afterPassedOn += isAfter ? 1 : 0;
        if (isAfter || at > removedAt + kDrainMs)
            record().write("reached i-leaves: " + id + ", sent at " + std::to_string(sentAt[id])
                           + " ms, arrived at " + std::to_string(at) + " ms");
    }
    record().write("served " + std::to_string(served) + "; " + std::to_string(before)
                   + " reached i-leaves before the removal; removal acknowledged at "
                   + std::to_string(removedAt) + " ms; first answer with Server-Leaving passed on at "
                   + std::to_string(passedOnAt) + " ms");
    if (before == 0 || passedOnAt < 0)
        cannotRun("the server was not used before it left");
    record().write(std::to_string(afterRemoval) + " reached it later than drainMs after the removal, "
                   + std::to_string(afterPassedOn)
                   + " were sent later than drainMs after the passed-on answer");
    const bool isBroken = afterRemoval > 0 || afterPassedOn > 0;
    record().write(isBroken ? "BROKEN: DRAIN" : "held");
    gateway.stop();
    folder.~Folder();
    std::_Exit(isBroken ? kBroken : kHeld);
}
