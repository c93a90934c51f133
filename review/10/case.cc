// The settings of a machine change: graceS gets a fraction. Does the gateway start again after a planned
// stop?

#include "common.cc"

using namespace review;

namespace {

constexpr int kStarts = 5;
constexpr int kReadyMs = 5000;
constexpr int kRestartMs = 500;

} // namespace

int main(int, char **arguments)
{
    record().open(std::string(arguments[1]) + "/record.txt");
    Server worker([&](const Message &request, Channel &channel) {
        return channel.write(answerBytes(200,
                                         "X-Attempt-Id: " + request.header("X-Attempt-Id")
                                             + "\r\nX-Response-Seal: s1\r\n",
                                         "booked"));
    });
    Store store;
    store.put("servers/i-1", serverJson("app", worker.address(), 6));
    store.put("op/config",
              "{\"version\":1,\"routes\":[" + routeJson("booking", "unsafe", "app")
                  + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
                    "\"limits\":"
                  + limitsJson()
                  + ",\"tenants\":[{\"name\":\"school\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
    Folder folder;
    Gateway gateway(folder.path(), store.address(), {});
    const auto ask = [&](const std::string &id) {
        const auto channel = Channel::connect(gateway.port());
        Message answer;
        if (!channel)
            return 0;
        channel->setTimeout(3000);
        channel->write(requestBytes("POST", "booking", id, "Authorization: Token key-1\r\n",
                                    "pickup"));
        return channel->read(answer) ? answer.status() : 0;
    };
    gateway.start();
    if (!gateway.waitReady() || ask("before") != 200)
        cannotRun("the gateway does not serve before the change");
    record().write("started with graceS 8, an ordinary request is served");

    const std::string grace = disrupts() ? "7.5" : "7";
    gateway.setField("bounds.graceS", grace);
    gateway.writeSettings();
    kill(gateway.pid(), SIGHUP);
    record().write("the settings change: graceS is " + grace + "; SIGHUP");
    sleepMs(500);
    if (ask("between") != 200)
        cannotRun("the running gateway does not serve after the change");
    kill(gateway.pid(), SIGTERM);
    record().write("SIGTERM, a planned stop");
    for (const auto until = nowMs() + 9000; !gateway.hasEnded() && nowMs() < until;)
        sleepMs(50);
    gateway.stop();

    int ends = 0;
    bool isReady = false;
    for (int i = 0; i < kStarts && !isReady; ++i) {
        sleepMs(kRestartMs);
        gateway.start();
        int how = 0;
        const auto until = nowMs() + kReadyMs;
        bool hasEnded = false;
        while (!isReady && !(hasEnded = gateway.hasEnded(&how)) && nowMs() < until)
            isReady = gateway.waitReady(100);
        ends += hasEnded ? 1 : 0;
        record().write("start " + std::to_string(i + 1) + ": "
                       + (isReady ? "ready"
                                  : hasEnded ? "ended by itself, exit code "
                                          + std::to_string(WEXITSTATUS(how))
                                             : "not ready"));
        if (!isReady)
            gateway.stop();
    }
    const int after = isReady ? ask("after") : 0;
    record().write("an ordinary request then: " + (after ? std::to_string(after) : "no gateway"));
    std::istringstream log(readFile(folder.path() + "/gateway.log"));
    for (std::string line; std::getline(log, line);) {
        const auto at = line.find("shutdown.grace_s");
        if (at != std::string::npos && ends > 0) {
            record().write("its last words: " + line.substr(at));
            break;
        }
    }
    const bool isBroken = !isReady && ends == kStarts;
    if (!isBroken && after != 200)
        cannotRun("neither started nor ended");
    record().write(isBroken ? "BROKEN: Fault, the program does not start" : "held");
    gateway.stop();
    folder.~Folder();
    std::_Exit(isBroken ? kBroken : kHeld);
}
