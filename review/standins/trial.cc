// Stand-ins for the cases under review/: the platform's store, backend servers and callers, and the
// scenario of each case. Starts gateways as processes, on loopback addresses and the real clock.
// Usage: trial CASE GATEWAY TEMPLATE RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the
// case could not run. The environment variable TROUBLE=0 leaves out the disruption.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
const auto kStart = Clock::now();

int nowMs()
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count());
}

long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The record of what was sent, run and answered.
std::mutex recordMutex;
std::ofstream recordFile;

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    recordFile << nowMs() << " ms: " << line << '\n' << std::flush;
}

struct CannotRun
{
    std::string why;
};

bool isTroubled()
{
    const char *const trouble = getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// ---- HTTP ----

struct Message
{
    std::string first; // Request line or status line.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

std::string lowered(std::string text)
{
    for (auto &character : text)
        character = static_cast<char>(tolower(static_cast<unsigned char>(character)));
    return text;
}

class Channel
{
public:
    explicit Channel(int socket) : socket_(socket) { }
    ~Channel() { close(); }
    Channel(const Channel &) = delete;

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count =
                ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Reads more bytes; false at the end, at an error or after limitMs.
    bool fill(int limitMs)
    {
        pollfd waiting { socket_, POLLIN, 0 };
        if (poll(&waiting, 1, limitMs) <= 0) {
            isTimedOut = true;
            return false;
        }
        char bytes[65536];
        const auto count = recv(socket_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool line(std::string &text, int limitMs)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(limitMs))
                return false;
        }
        text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }
    bool bytes(std::string &text, std::size_t size, int limitMs)
    {
        while (buffer_.size() < size) {
            if (!fill(limitMs))
                return false;
        }
        text.append(buffer_, 0, size);
        buffer_.erase(0, size);
        return true;
    }
    // Reads the head; false when the channel ends before.
    bool head(Message &message, int limitMs)
    {
        if (!line(message.first, limitMs))
            return false;
        std::string text;
        while (line(text, limitMs)) {
            if (text.empty())
                return true;
            const auto colon = text.find(':');
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[lowered(text.substr(0, colon))] = value;
        }
        return false;
    }
    // Reads the body that the head announces; false when it does not come whole.
    bool body(Message &message, int limitMs)
    {
        if (message.header("transfer-encoding") != "chunked") {
            const auto length = message.header("content-length");
            return length.empty() || bytes(message.body, std::stoul(length), limitMs);
        }
        std::string text;
        while (line(text, limitMs)) {
            const auto size = std::stoul(text, nullptr, 16);
            if (!bytes(message.body, size, limitMs) || !line(text, limitMs))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }
    // Whether the other side has closed or reset the channel.
    bool isLeft() const
    {
        pollfd waiting { socket_, POLLIN, 0 };
        char byte = 0;
        return poll(&waiting, 1, 0) > 0 && recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    bool isTimedOut = false;

private:
    int socket_;
    std::string buffer_;
};

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A server with a thread for each channel.
class Listener
{
public:
    explicit Listener(std::function<void(Channel &)> serve) : serve_(std::move(serve)) { open(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    // Closes all channels, and takes no new ones until open().
    void crash()
    {
        const std::lock_guard lock(mutex_);
        shutdown(socket_, SHUT_RDWR);
        close(std::exchange(socket_, -1));
        for (const int channel : channels_)
            shutdown(channel, SHUT_RDWR);
    }
    void open()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf("127.0.0.1", port);
        socklen_t size = sizeof(address);
        if (bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0
            || listen(socket, 1024) != 0
            || getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw CannotRun { "cannot listen" };
        port = ntohs(address.sin_port);
        const std::lock_guard lock(mutex_);
        socket_ = socket;
        std::thread([this, socket] { acceptAll(socket); }).detach();
    }

    int port = 0;

private:
    void acceptAll(int socket)
    {
        while (true) {
            const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(mutex_);
                channels_.insert(accepted);
            }
            std::thread([this, accepted] {
                Channel channel(accepted);
                serve_(channel);
                const std::lock_guard lock(mutex_);
                channels_.erase(accepted);
                channel.close();
            }).detach();
        }
    }

    std::function<void(Channel &)> serve_;
    std::mutex mutex_;
    std::set<int> channels_;
    int socket_ = -1;
};

std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store ----

std::string base64(const std::string &bytes)
{
    static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

// The text of field "name" of a flat JSON text, without escapes: enough for the gateways' calls.
std::string jsonText(const std::string &json, const std::string &name, std::size_t from = 0)
{
    const auto key = '"' + name + "\":\"";
    const auto start = json.find(key, from);
    if (start == std::string::npos)
        return "";
    return json.substr(start + key.size(), json.find('"', start + key.size()) - start - key.size());
}

class Store
{
public:
    Store() : listener_([this](Channel &channel) { serve(channel); }) { }

    std::string address() const { return listener_.address(); }
    long long put(const std::string &key, const std::string &value)
    {
        return putEncoded(key, base64(value));
    }
    void erase(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        if (items_.erase(key) > 0)
            history_.push_back({ ++revision_, key, "", true });
    }
    // From now on calls are not answered, and channels on which one came stay silent.
    void setSilent(bool isSilent) { isSilent_ = isSilent; }

private:
    struct Event
    {
        long long revision;
        std::string key;
        std::string value;
        bool isDeleted;
    };

    long long putEncoded(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        items_[key] = { ++revision_, key, value, false };
        history_.push_back(items_[key]);
        return revision_;
    }
    static std::string text(const Event &event)
    {
        std::string json =
            "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.revision);
        json += event.isDeleted ? ",\"deleted\":true}" : ",\"value\":\"" + event.value
                + "\",\"created\":" + std::to_string(event.revision) + ",\"lease\":0}";
        return json;
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto start = target.find(name + '=');
        if (start == std::string::npos)
            return "";
        const auto from = start + name.size() + 1;
        return target.substr(from, target.find_first_of("& ", from) - from);
    }
    std::string changes(long long after)
    {
        const std::lock_guard lock(mutex_);
        std::string json;
        for (const auto &event : history_) {
            if (event.revision > after)
                json += (json.empty() ? "" : ",") + text(event);
        }
        return "{\"events\":[" + json + "],\"currentRev\":" + std::to_string(revision_) + '}';
    }
    std::string list()
    {
        const std::lock_guard lock(mutex_);
        std::string json;
        for (const auto &[key, item] : items_)
            json += (json.empty() ? "" : ",") + text(item);
        return "{\"items\":[" + json
            + "],\"hasMore\":false,\"currentRev\":" + std::to_string(revision_) + '}';
    }
    std::string answer(const Message &call)
    {
        const auto target = call.first.substr(call.first.find(' ') + 1);
        if (target.starts_with("/crocusport/kv-watch"))
            return answerText(200, "", changes(std::stoll(parameter(target, "after"))));
        if (target.starts_with("/crocusport/kv-range"))
            return answerText(200, "", list());
        if (target.starts_with("/crocusport/kv-txn")) {
            // The gateways write or remove one item in a call, without a condition.
            const auto key = jsonText(call.body, "key");
            if (!key.empty())
                putEncoded(key, jsonText(call.body, "value"));
            const auto deletes = call.body.find("\"deletes\":[\"");
            if (deletes != std::string::npos) {
                const auto start = deletes + 12;
                erase(call.body.substr(start, call.body.find('"', start) - start));
            }
            return answerText(200, "", "{\"revision\":" + std::to_string(revision_) + '}');
        }
        return answerText(404, "", "");
    }
    void serve(Channel &channel)
    {
        while (true) {
            Message call;
            if (!channel.head(call, -1) || !channel.body(call, -1))
                return;
            sleepMs(4);
            if (isSilent_) {
                while (channel.fill(-1)) { }
                return;
            }
            if (!channel.send(answer(call)))
                return;
        }
    }

    std::mutex mutex_;
    std::map<std::string, Event> items_;
    std::vector<Event> history_;
    long long revision_ = 10;
    std::atomic<bool> isSilent_ = false;
    Listener listener_;
};

// ---- Backend servers ----

class Server
{
public:
    using Handler = std::function<void(Server &, const Message &, Channel &)>;

    Server(Store &store, std::string serverName, std::string service, int slots, Handler handler)
        : name(std::move(serverName)), store_(store), service_(std::move(service)), slots_(slots),
          handler_(std::move(handler)), born_(unixMs()),
          listener_([this](Channel &channel) { serve(channel); })
    { }

    void enter(const std::string &state = "ready")
    {
        std::ostringstream entry;
        entry << "{\"service\":\"" << service_ << "\",\"address\":\"" << listener_.address()
              << "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":" << slots_
              << ",\"state\":\"" << state << "\",\"coldRemainingMs\":0,\"born\":" << born_
              << ",\"seq\":" << ++sequence_ << '}';
        store_.put("servers/" + name, entry.str());
    }
    void expire() { store_.erase("servers/" + name); }
    // Ends, and starts again after downMs under the same id.
    void crash(int downMs)
    {
        if (isDown_.exchange(true))
            return;
        record(name + " crashes");
        listener_.crash();
        std::thread([this, downMs] {
            sleepMs(downMs);
            born_ = unixMs();
            sequence_ = 0;
            listener_.open();
            isDown_ = false;
            enter();
            record(name + " is back");
        }).detach();
    }
    std::string address() const { return listener_.address(); }
    std::string sealed(const Message &request) const
    {
        return "X-Attempt-Id: " + request.header("x-attempt-id")
            + "\r\nX-Response-Seal: seal-" + name + "\r\n";
    }

    const std::string name;

private:
    void serve(Channel &channel)
    {
        while (true) {
            Message request;
            if (!channel.head(request, -1) || !channel.body(request, -1))
                return;
            if (request.header("x-expect-instance") != name) {
                channel.send(answerText(421, "X-Instance-Id: " + name + "\r\n", ""));
                continue;
            }
            handler_(*this, request, channel);
        }
    }

    Store &store_;
    std::string service_;
    int slots_;
    Handler handler_;
    std::atomic<long long> born_;
    std::atomic<bool> isDown_ = false;
    std::atomic<int> sequence_ = 0;
    Listener listener_;
};

std::string eventText(int number, const std::string &id)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string streamHead(const Server &server, const Message &request)
{
    return "HTTP/1.1 200 OK\r\n" + server.sealed(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// ---- Gateways ----

int freePort(const std::vector<std::string> &ips)
{
    static std::mt19937 random(std::random_device {}());
    for (int i = 0; i < 200; ++i) {
        const int port = std::uniform_int_distribution<int>(20'000, 31'000)(random);
        bool isFree = true;
        for (const auto &ip : ips) {
            for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
                const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const auto address = addressOf(ip, port);
                isFree = isFree
                    && bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                        == 0;
                close(probe);
            }
        }
        if (isFree)
            return port;
    }
    throw CannotRun { "no free port" };
}

struct Gateway
{
    std::string name;
    std::string ip;
    int callersPort = 0;
    int readyPort = 0;
    pid_t process = -1;
};

// The gateways of a small deployment. Settings are filled into the template of the deploy file.
class Fleet
{
public:
    Fleet(const std::string &program, const std::string &templatePath, const std::string &folder,
          const Store &store, int count)
        : program_(program), folder_(folder)
    {
        std::ifstream file(templatePath);
        std::stringstream text;
        text << file.rdbuf();
        template_ = text.str();
        if (template_.empty())
            throw CannotRun { "no settings template" };
        std::vector<std::string> ips;
        for (int i = 0; i < count; ++i)
            ips.push_back("127.0.0." + std::to_string(11 + i));
        const int ports[] = { freePort(ips), freePort(ips), freePort(ips), freePort(ips) };
        std::string seeds;
        for (int i = 0; i < count && i < 3; ++i)
            seeds += (i > 0 ? "," : "") + ('"' + ips[static_cast<std::size_t>(i)]) + ':'
                + std::to_string(ports[0]) + '"';
        for (int i = 0; i < count; ++i) {
            Gateway gateway { "front-" + std::to_string(i + 1), ips[static_cast<std::size_t>(i)],
                              ports[1], ports[2], -1 };
            fill(gateway, store.address(), ports[0], ports[3], seeds);
            gateways.push_back(gateway);
        }
        for (auto &gateway : gateways)
            start(gateway);
    }
    ~Fleet()
    {
        for (const auto &gateway : gateways) {
            if (gateway.process > 0)
                kill(gateway.process, SIGKILL);
        }
        for (const auto &gateway : gateways) {
            if (gateway.process > 0)
                waitpid(gateway.process, nullptr, 0);
        }
    }
    static bool isReady(const Gateway &gateway);
    void waitReady()
    {
        for (const auto &gateway : gateways) {
            while (!isReady(gateway)) {
                if (nowMs() > 15'000)
                    throw CannotRun { gateway.name + " does not become ready" };
                sleepMs(100);
            }
        }
        record("all gateways are ready");
    }
    // Kills all gateways at the same moment, and starts them again after downMs.
    void killAll(int downMs)
    {
        record("all gateways are killed");
        for (auto &gateway : gateways)
            kill(gateway.process, SIGKILL);
        for (auto &gateway : gateways)
            waitpid(gateway.process, nullptr, 0);
        sleepMs(downMs);
        for (auto &gateway : gateways)
            start(gateway);
        record("all gateways are started again");
    }
    void signal(Gateway &gateway, int number)
    {
        record("signal " + std::to_string(number) + " to " + gateway.name);
        kill(gateway.process, number);
    }

    std::vector<Gateway> gateways;

private:
    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from))
            text.replace(at, from.size(), to);
    }
    void fill(const Gateway &gateway, const std::string &store, int reportPort, int metricsPort,
              const std::string &seeds)
    {
        auto text = template_;
        const auto list = text.find("{{#seeds}}");
        const auto listEnd = text.find("{{/seeds}}");
        if (list != std::string::npos)
            text.replace(list, listEnd + 10 - list, seeds);
        const std::map<std::string, std::string> values = {
            { "node", gateway.name },
            { "region", "region-1" },
            { "zone", "zone-1" },
            { "listen.front", gateway.ip + ':' + std::to_string(gateway.callersPort) },
            { "listen.ready", gateway.ip + ':' + std::to_string(gateway.readyPort) },
            { "ip", gateway.ip },
            { "internalPortRange.0", std::to_string(reportPort) },
            { "internalPortRange.1", std::to_string(metricsPort) },
            { "platform.address", store },
            { "bounds.revokeMs", "5000" },
            { "bounds.strictRevoke", "true" },
            { "bounds.drainMs", "2000" },
            { "bounds.configMs", "2000" },
            { "bounds.retryBudgetRatio", "0.2" },
            { "bounds.retryBudgetSlack", "58" },
            { "bounds.budgetWindowS", "10" },
            { "bounds.graceS", "8" },
        };
        for (const auto &[name, value] : values)
            replace(text, "{{" + name + "}}", value);
        if (text.find("{{") != std::string::npos)
            throw CannotRun { "the settings template has unknown fields" };
        std::ofstream(settingsPath(gateway)) << text;
    }
    std::string settingsPath(const Gateway &gateway) const
    {
        return folder_ + '/' + gateway.name + ".toml";
    }
    void start(Gateway &gateway)
    {
        const auto settings = settingsPath(gateway);
        const auto log = folder_ + '/' + gateway.name + ".log";
        gateway.process = fork();
        if (gateway.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // No gateway outlives the case.
            if (!freopen(log.c_str(), "a", stdout) || !freopen(log.c_str(), "a", stderr))
                _exit(3);
            execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
            _exit(3);
        }
    }

    std::string program_;
    std::string folder_;
    std::string template_;
};

// ---- Callers ----

int connectTo(const std::string &ip, int port)
{
    const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    if (connect(connected, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(connected);
        return -1;
    }
    const int on = 1;
    setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connected;
}

bool Fleet::isReady(const Gateway &gateway)
{
    const int connected = connectTo(gateway.ip, gateway.readyPort);
    if (connected < 0)
        return false;
    Channel channel(connected);
    Message answer;
    return channel.send("GET /crocusport/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        && channel.head(answer, 1000) && answer.first.starts_with("HTTP/1.1 200");
}

struct Outcome
{
    int status = 0; // 0: no answer.
    bool isWhole = false;
    bool hasLeft = false; // The caller gave up.
    std::string seal;
    std::string body;
    double retryAfterS = 0;

    std::string text() const
    {
        if (hasLeft)
            return "the caller gave up";
        if (status == 0)
            return "the channel ended without an answer";
        return "answer " + std::to_string(status) + (isWhole ? ", whole" : ", cut")
            + (seal.empty() ? ", no seal" : ", " + seal) + ", " + std::to_string(body.size())
            + " bytes";
    }
};

// Sends one request on a new channel. The caller leaves after a gap of patienceMs.
Outcome call(const Gateway &gateway, const std::string &request, int patienceMs)
{
    Outcome outcome;
    const int connected = connectTo(gateway.ip, gateway.callersPort);
    if (connected < 0)
        return outcome;
    Channel channel(connected);
    Message answer;
    if (!channel.send(request) || !channel.head(answer, patienceMs)) {
        outcome.hasLeft = channel.isTimedOut;
        return outcome;
    }
    outcome.status = std::stoi(answer.first.substr(9));
    outcome.seal = answer.header("x-response-seal");
    if (!answer.header("retry-after").empty())
        outcome.retryAfterS = std::stod(answer.header("retry-after"));
    outcome.isWhole = channel.body(answer, patienceMs);
    outcome.hasLeft = !outcome.isWhole && channel.isTimedOut;
    outcome.body = answer.body;
    return outcome;
}

struct Kind
{
    std::string name;
    std::string tokens; // Prompt tokens and maximum output tokens.
    std::string parts;
    int deadlineMs;
    int patienceMs; // Longest gap that the caller accepts.
};

// Two seconds, four times the objective or eight times the pause, whichever is longest.
const Kind kChat { "chat", "826,330", "a1:198,", 12'000, 2'400 };
const Kind kBooking { "booking", "", "", 600, 600 };
const Kind kReport { "report", "11992,64", "a1:198,", 15'000, 6'400 };

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    std::ostringstream id;
    id << std::hex << (random() | 1ULL << 63U);
    return id.str();
}

std::string requestText(const Kind &kind, const std::string &id, std::string body = {})
{
    if (body.empty())
        body = "prompt of " + id;
    const auto prompt = kind.tokens.empty() ? ""
                                            : "\r\nX-Model: m\r\nX-Token-Counts: " + kind.tokens
            + "\r\nX-Prompt-Prefix: " + kind.parts + id + ":628";
    return "POST /" + kind.name + "/2f HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + id + prompt
        + "\r\nX-Deadline-Ms: " + std::to_string(kind.deadlineMs)
        + "\r\nAuthorization: Token key-1\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// The configuration: two kinds of streams on one service of model servers, bookings on a plain
// service, and one tenant.
std::string configuration()
{
    return R"({"version":7,"routes":[)"
           R"({"name":"r-chat","host":"app.example","pathPrefix":"/chat/","kind":"stream",)"
           R"("timeoutMs":12000,"targetLatencyMs":600,"priority":0,"service":"models",)"
           R"("maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumable":true,)"
           R"("gapAimMs":200},)"
           R"({"name":"r-report","host":"app.example","pathPrefix":"/report/","kind":"stream",)"
           R"("timeoutMs":15000,"targetLatencyMs":1500,"priority":2,"service":"models",)"
           R"("maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumable":true,)"
           R"("gapAimMs":800},)"
           R"({"name":"r-booking","host":"app.example","pathPrefix":"/booking/","kind":"unsafe",)"
           R"("timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"bookings",)"
           R"("maxAttempts":1,"allowAnonymous":false,"sessionAffinity":false,"resumable":false}],)"
           R"("services":[{"name":"models","healthPath":"/health","maxConns":370,)"
           R"("protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":762083,)"
           R"("stride":6,"models":[{"name":"m"}]}},)"
           R"({"name":"bookings","healthPath":"/health","maxConns":110,"protocol":"h1",)"
           R"("tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]})";
}

struct Setup
{
    std::string program;
    std::string templatePath;
    std::string folder;
};

// ---- Case 1: the store is down for five seconds, and leases run out ----

int runLapse(const Setup &setup)
{
    constexpr int kOutageMs = 5'000;
    auto &store = *new Store; // Threads use it until the process ends, like all that follows.
    static std::atomic<int> reportsBegun = 0;
    static std::atomic<bool> isCounting = false;
    const auto serve = [](Server &server, const Message &request, Channel &channel) {
        const auto id = request.header("x-attempt-id");
        const bool isReport = request.first.find("/report/") != std::string::npos;
        if (isReport && isCounting)
            ++reportsBegun;
        record(server.name + " runs " + id);
        channel.send(streamHead(server, request));
        for (int number = 1; number <= 4; ++number) {
            sleepMs(20);
            channel.send(chunk(eventText(number, id)));
        }
        channel.send("0\r\n\r\n");
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 1; i <= 4; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "i-" + std::to_string(i), "models", 64, serve));
        servers.back()->enter();
    }
    store.put("op/config", configuration());
    Fleet fleet(setup.program, setup.templatePath, setup.folder, store, 5);
    fleet.waitReady();
    sleepMs(3'000);

    // Requests of both kinds go to all gateways in turn for some seconds. A refused caller comes
    // back once, at another gateway, when it was told to.
    struct Count
    {
        std::atomic<int> sent = 0;
        std::atomic<int> served = 0;
    };
    const auto play = [&](Count &chats, Count &reports, int forMs) {
        std::vector<std::thread> callers;
        const int until = nowMs() + forMs;
        for (int i = 0; nowMs() < until; ++i) {
            const auto &kind = i % 3 == 2 ? kReport : kChat;
            auto &count = i % 3 == 2 ? reports : chats;
            callers.emplace_back([&, i] {
                ++count.sent;
                for (int attempt = 0; attempt < 2; ++attempt) {
                    const auto id = newId();
                    const auto size = static_cast<int>(fleet.gateways.size());
                    const auto &gateway = fleet.gateways[static_cast<std::size_t>(
                        (i + attempt * (1 + i % (size - 1))) % size)];
                    const auto outcome =
                        call(gateway, requestText(kind, id), kind.patienceMs);
                    record(kind.name + ' ' + id + " at " + gateway.name + ": " + outcome.text());
                    if (outcome.status == 200 && outcome.isWhole) {
                        ++count.served;
                        return;
                    }
                    if (outcome.status != 503 && outcome.status != 429)
                        return;
                    sleepMs(static_cast<int>(outcome.retryAfterS * 1000));
                }
            });
            sleepMs(60);
        }
        for (auto &caller : callers)
            caller.join();
    };
    Count chats;
    Count reports;
    play(chats, reports, 2'000);
    record("before: " + std::to_string(chats.served) + " of " + std::to_string(chats.sent)
           + " chats served");
    if (chats.sent == 0 || chats.served < chats.sent)
        throw CannotRun { "requests are not served before the disruption" };

    if (isTroubled()) {
        record("the store is down");
        store.setSilent(true);
        sleepMs(3'600); // Three status report intervals.
        for (auto &server : servers)
            server->expire();
        record("the leases of all server entries have run out");
        sleepMs(kOutageMs - 3'600);
        store.setSilent(false);
        record("the store is back");
        for (auto &server : servers) {
            sleepMs(350);
            server->enter();
            record("the entry of " + server->name + " is back");
        }
    } else {
        sleepMs(kOutageMs + 1'400);
    }
    // Two seconds for entries to come back have passed with the next sleep, and then the time after
    // which the machines are in touch again.
    sleepMs(600 + 3'000 + 1'000);
    Count calmChats;
    Count calmReports;
    record("five calm seconds begin");
    isCounting = true;
    play(calmChats, calmReports, 5'000);
    const int unserved = calmChats.sent - calmChats.served;
    std::ostringstream result;
    result << "result: " << unserved << " of " << calmChats.sent
           << " chats got nothing in five calm seconds, while " << reportsBegun
           << " less urgent reports of over twice their size began at the service";
    record(result.str());
    std::cout << result.str() << '\n';
    return unserved >= 10 && unserved * 12 > calmChats.sent && reportsBegun > 0 ? 1 : 0;
}

// ---- Case 5: a gateway is stopped while engines that are short of memory pause streams ----

int runSilence(const Setup &setup)
{
    constexpr int kStreams = 8;
    constexpr int kChats = 12;
    constexpr int kReportEvents = 12;
    constexpr int kChatEvents = 55;
    constexpr int kPauseMs = 4'500; // Below the 6.4 s after which callers leave.
    constexpr int kGraceMs = 8'000;
    auto &store = *new Store; // Threads use it until the process ends, like all that follows.
    static std::atomic<bool> isFull = false;
    const auto serve = [](Server &server, const Message &request, Channel &channel) {
        const auto id = request.header("x-attempt-id");
        const auto resumed = request.header("last-event-id");
        const bool isReport = request.first.find("/report/") != std::string::npos;
        if (isFull) {
            record(server.name + " is full and does not run " + id);
            channel.send(answerText(503, "X-Not-Executed: 1\r\n", ""));
            return;
        }
        record(server.name + " runs " + id + (resumed.empty() ? "" : " after event " + resumed));
        channel.send(streamHead(server, request));
        const int events = isReport ? kReportEvents : kChatEvents;
        for (int number = resumed.empty() ? 1 : std::stoi(resumed) + 1; number <= events;
             ++number) {
            sleepMs(100);
            if (isReport && number == 6) {
                record(server.name + " preempts " + id);
                isFull = true;
                for (const int until = nowMs() + kPauseMs; nowMs() < until; sleepMs(10)) {
                    if (channel.isLeft()) {
                        record("the gateway has closed the channel of " + id + " to " + server.name
                               + "; its run ends");
                        return;
                    }
                }
                isFull = false;
                record(server.name + " goes on with " + id);
            }
            if (!channel.send(chunk(eventText(number, id))))
                return;
        }
        channel.send("0\r\n\r\n");
        record(server.name + " has ended " + id);
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 1; i <= 2; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "i-" + std::to_string(i), "models", 64, serve));
        servers.back()->enter();
    }
    store.put("op/config", configuration());
    Fleet fleet(setup.program, setup.templatePath, setup.folder, store, 2);
    fleet.waitReady();
    sleepMs(4'000);

    struct Sent
    {
        std::string id = newId();
        int at = 0;
        int endAt = 0;
        Outcome outcome;
    };
    std::vector<Sent> sent(kStreams);
    std::vector<std::thread> callers;
    for (auto &request : sent) {
        callers.emplace_back([&] {
            request.at = nowMs();
            request.outcome =
                call(fleet.gateways[0], requestText(kReport, request.id), kReport.patienceMs);
            request.endAt = nowMs();
            record("report " + request.id + ": " + request.outcome.text());
        });
    }
    // More urgent streams of callers of the other gateway hold the engines' memory meanwhile.
    sleepMs(300);
    for (int i = 0; i < kChats; ++i) {
        callers.emplace_back([&] {
            const auto id = newId();
            const auto outcome =
                call(fleet.gateways[1], requestText(kChat, id), kChat.patienceMs);
            record("chat " + id + ": " + outcome.text());
        });
    }
    sleepMs(700);
    int stopsAt = 0; // When the gateway gets SIGTERM; 0: never.
    if (isTroubled()) {
        stopsAt = nowMs();
        fleet.signal(fleet.gateways[0], SIGTERM);
    }
    for (auto &caller : callers)
        caller.join();
    int lost = 0;
    int cut = 0;
    for (const auto &request : sent) {
        if (request.outcome.hasLeft || (request.outcome.status != 0 && request.outcome.isWhole))
            continue;
        ++cut;
        // LOST around a SIGTERM: the process has read the whole request, a server had it, the
        // server did not break off, the time limit was not reached, and no server was still at
        // work in the last sixth of the grace.
        const bool isInGrace = stopsAt > 0 && request.endAt >= stopsAt
            && request.endAt <= stopsAt + kGraceMs * 5 / 6;
        const bool isInTime = request.endAt < request.at + kReport.deadlineMs - 500;
        if (isInGrace && isInTime)
            ++lost;
    }
    std::ostringstream result;
    result << "result: " << cut << " of " << kStreams << " streams were cut by the gateway, "
           << lost << " of them around its planned stop, at servers that had not broken off";
    record(result.str());
    std::cout << result.str() << '\n';
    return lost > 0 ? 1 : 0;
}

// ---- Case 2: another writer leaves entries of a service that nobody knows; a final fault ----

// Sends chats and reports to all gateways in turn; returns how many were sent and served.
std::pair<int, int> playPlainly(const Fleet &fleet, int forMs)
{
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    const int until = nowMs() + forMs;
    for (std::size_t i = 0; nowMs() < until; ++i) {
        const auto &gateway = fleet.gateways[i % fleet.gateways.size()];
        callers.emplace_back([&, i] {
            const auto &kind = i % 3 == 2 ? kReport : kChat;
            const auto id = newId();
            const auto outcome = call(gateway, requestText(kind, id), kind.patienceMs);
            record(kind.name + ' ' + id + " at " + gateway.name + ": " + outcome.text());
            if (outcome.status == 200 && outcome.isWhole)
                ++served;
        });
        sleepMs(60);
    }
    for (auto &caller : callers)
        caller.join();
    return { static_cast<int>(callers.size()), served };
}

int runOddEntries(const Setup &setup)
{
    constexpr int kRecoveryMs = 12'000;
    auto &store = *new Store;
    const auto serve = [](Server &server, const Message &request, Channel &channel) {
        const auto id = request.header("x-attempt-id");
        record(server.name + " runs " + id);
        channel.send(streamHead(server, request));
        for (int number = 1; number <= 4; ++number) {
            sleepMs(20);
            channel.send(chunk(eventText(number, id)));
        }
        channel.send("0\r\n\r\n");
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "i-" + std::to_string(i), "models", 64, serve));
        servers.back()->enter();
    }
    store.put("op/config", configuration());
    Fleet fleet(setup.program, setup.templatePath, setup.folder, store, 3);
    fleet.waitReady();
    sleepMs(3'000);
    const auto before = playPlainly(fleet, 2'000);
    record("before the final fault: " + std::to_string(before.second) + " of "
           + std::to_string(before.first) + " served");
    if (before.second * 4 < before.first)
        throw CannotRun { "requests are not served before the final fault" };
    fleet.killAll(600);
    fleet.waitReady();
    const int back = nowMs();
    sleepMs(2'000);
    if (isTroubled()) {
        for (const auto &server : servers) {
            std::ostringstream entry;
            entry << R"({"service":"inventory","address":")" << server->address()
                  << R"(","zone":"zone-1","version":"v1","slots":64,"state":"ready",)"
                  << R"("coldRemainingMs":0,"born":)" << unixMs() << R"(,"seq":1})";
            store.put("servers/inventory-" + server->name, entry.str());
            record("another writer: servers/inventory-" + server->name + " = " + entry.str());
        }
    }
    sleepMs(back + kRecoveryMs + 1'000 - nowMs());
    record("the recovery time is over");
    const auto after = playPlainly(fleet, 5'000);
    std::ostringstream result;
    result << "result: " << after.second << " of " << after.first
           << " requests served later than 12 s after the final fault; before it "
           << before.second << " of " << before.first;
    record(result.str());
    std::cout << result.str() << '\n';
    return after.second * 4 < after.first ? 1 : 0;
}

// ---- Case 4: another writer leaves an entry in which fields are missing ----

int runIncompleteEntry(const Setup &setup)
{
    auto &store = *new Store;
    const auto serve = [](Server &server, const Message &request, Channel &channel) {
        const auto id = request.header("x-attempt-id");
        record(server.name + " runs " + id);
        sleepMs(15);
        channel.send(answerText(200, server.sealed(request), "booked " + id));
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 1; i <= 2; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "i-" + std::to_string(i), "bookings", 6, serve));
        servers.back()->enter();
    }
    // A program of somebody else, which has none of the paths of this platform.
    auto &other = *new Listener([](Channel &channel) {
        Message request;
        if (!channel.head(request, -1) || !channel.body(request, -1))
            return;
        record("a program that is no worker gets: " + request.first + ", "
               + request.header("x-attempt-id"));
        channel.send(answerText(404, "Connection: close\r\n", ""));
    });
    store.put("op/config", configuration());
    Fleet fleet(setup.program, setup.templatePath, setup.folder, store, 3);
    fleet.waitReady();
    sleepMs(4'000);
    if (isTroubled()) {
        const auto entry = R"({"service":"bookings","address":")" + other.address()
            + R"(","zone":"zone-1","slots":6,"state":"ready"})";
        store.put("servers/note", entry);
        record("another writer: servers/note = " + entry);
    }
    sleepMs(3'000);
    std::atomic<int> denied = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    constexpr int kRequests = 120;
    for (std::size_t i = 0; i < kRequests; ++i) {
        callers.emplace_back([&, i] {
            const auto &gateway = fleet.gateways[i % fleet.gateways.size()];
            const auto id = newId();
            const auto outcome = call(gateway, requestText(kBooking, id), kBooking.patienceMs);
            record("booking " + id + " at " + gateway.name + ": " + outcome.text());
            if (outcome.status == 200 && outcome.isWhole)
                ++served;
            const bool isPromise = outcome.status == 408 || outcome.status == 421
                || outcome.status == 429;
            if (outcome.status >= 300 && outcome.status < 500 && !isPromise
                && outcome.seal.empty())
                ++denied;
        });
        sleepMs(60);
    }
    for (auto &caller : callers)
        caller.join();
    std::ostringstream result;
    result << "result: " << denied << " of " << kRequests
           << " proper requests were ended with a 3xx or 4xx without a worker's seal, " << served
           << " were served";
    record(result.str());
    std::cout << result.str() << '\n';
    // More than 5 + one in 500 of all requests.
    return denied > 5 + kRequests / 500 ? 1 : 0;
}

// ---- Case 3: requests that crash workers come when all gateways have just started again ----

int runColdStart(const Setup &setup)
{
    constexpr int kRecoveryMs = 12'000;
    constexpr int kServerDownMs = 3'000;
    auto &store = *new Store;
    const auto serve = [](Server &server, const Message &request, Channel &channel) {
        const auto id = request.header("x-attempt-id");
        record(server.name + " runs " + id);
        if (request.body.starts_with("deadly")) {
            server.crash(kServerDownMs);
            return;
        }
        sleepMs(600);
        if (!channel.send(streamHead(server, request)))
            return;
        for (int number = 1; number <= 4; ++number) {
            if (!channel.send(chunk(eventText(number, id))))
                return;
            sleepMs(20);
        }
        channel.send("0\r\n\r\n");
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "i-" + std::to_string(i), "models", 64, serve));
        servers.back()->enter();
    }
    store.put("op/config", configuration());
    Fleet fleet(setup.program, setup.templatePath, setup.folder, store, 3);
    fleet.waitReady();
    sleepMs(3'000);
    const auto before = playPlainly(fleet, 3'000);
    record("before the final fault: " + std::to_string(before.second) + " of "
           + std::to_string(before.first) + " served");
    if (before.second * 4 < before.first)
        throw CannotRun { "requests are not served before the final fault" };
    fleet.killAll(600);
    fleet.waitReady();
    const int back = nowMs();
    // Callers of requests that crash workers come again, as the others do.
    std::thread deadly([&] {
        if (!isTroubled())
            return;
        // The first one comes again, with the same path, caller and body.
        const char *const bodies[] = { "deadly 1", "deadly 1", "deadly 2" };
        for (std::size_t i = 0; i < 3; ++i) {
            sleepMs(i == 0 ? 100 : 150);
            const auto &gateway = fleet.gateways[i];
            const auto id = newId();
            record(std::string(bodies[i]) + ", which crashes workers, is sent to " + gateway.name
                   + ": " + id);
            const auto outcome =
                call(gateway, requestText(kReport, id, bodies[i]), kReport.patienceMs);
            record(std::string(bodies[i]) + ' ' + id + ": " + outcome.text());
        }
    });
    const auto early = playPlainly(fleet, 10'000);
    deadly.join();
    record("in the first ten seconds: " + std::to_string(early.second) + " of "
           + std::to_string(early.first) + " served");
    sleepMs(std::max(0, back + kRecoveryMs + 1'000 - nowMs()));
    const auto after = playPlainly(fleet, 10'000);
    std::ostringstream result;
    result << "result: " << after.second << " of " << after.first
           << " requests served later than 12 s after the final fault; before it " << before.second
           << " of " << before.first;
    record(result.str());
    std::cout << result.str() << '\n';
    return after.second * 4 < after.first ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    recordFile.open(argv[4]);
    auto folder = (std::filesystem::temp_directory_path() / "crocusport-review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return 2;
    int result = 2;
    try {
        const Setup setup { argv[2], argv[3], folder };
        const std::string name = argv[1];
        if (name == "lapse")
            result = runLapse(setup);
        else if (name == "silence")
            result = runSilence(setup);
        else if (name == "odd")
            result = runOddEntries(setup);
        else if (name == "incomplete")
            result = runIncompleteEntry(setup);
        else if (name == "cold")
            result = runColdStart(setup);
    } catch (const CannotRun &problem) {
        record("cannot run: " + problem.why);
        std::cout << "cannot run: " << problem.why << '\n';
    }
    if (getenv("KEEP")) {
        std::cout << "logs: " << folder << '\n';
    } else {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    std::cout << std::flush;
    // Threads of servers may still be running.
    _exit(result);
}
