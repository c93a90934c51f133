// Shared parts of the cases 11 to 15: a record, an HTTP server, the platform's store, a worker, a
// requester and gateway processes. A case includes this file; review/build-3.sh builds the cases.
// Everything listens on loopback addresses and ends with the process.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// ---- record ----

const Clock::time_point kStart = Clock::now();

inline long sinceStartMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

class Record
{
public:
    //! Goes on in the file, which the script has begun. Returns whether that is possible.
    bool open(const std::string &path)
    {
        file_.open(path, std::ios::app);
        return file_.is_open();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", sinceStartMs() / 1000.0);
        file_ << time << text << std::endl;
        std::cout << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

inline std::string format(const char *pattern, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof(text), pattern, arguments);
    va_end(arguments);
    return text;
}

#define NOTE(...) record().line(format(__VA_ARGS__))

// ---- sockets ----

inline int connectTo(const std::string &ip, int port, int timeoutMs = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int done = connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (done != 0 && errno == EINPROGRESS) {
        pollfd waiting { fd, POLLOUT, 0 };
        int error = 1;
        socklen_t size = sizeof(error);
        if (poll(&waiting, 1, timeoutMs) == 1)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        done = error == 0 ? 0 : -1;
    }
    if (done != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool writeAll(int fd, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto written = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        done += static_cast<std::size_t>(written);
    }
    return true;
}

//! Reads once. Returns the number of bytes, 0 at an orderly end, -1 at a reset, -2 at a timeout.
inline int readSome(int fd, std::string &buffer, long timeoutMs)
{
    pollfd waiting { fd, POLLIN, 0 };
    if (poll(&waiting, 1, static_cast<int>(std::max(timeoutMs, 0L))) <= 0)
        return -2;
    char bytes[16384];
    const auto count = recv(fd, bytes, sizeof(bytes), 0);
    if (count > 0)
        buffer.append(bytes, static_cast<std::size_t>(count));
    return count < 0 ? -1 : static_cast<int>(count);
}

//! A free port on all of 127.0.0.1 to 127.0.0.9; the next \a count ports are free, too.
inline int freePorts(int count)
{
    static int next = 20000 + static_cast<int>(getpid() % 300) * 40;
    for (int tries = 0; tries < 500; ++tries, next += count) {
        if (next + count >= 32000)
            next = 20000;
        bool isFree = true;
        for (int port = next; port < next + count && isFree; ++port) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            address.sin_addr.s_addr = htonl(INADDR_ANY);
            isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            close(fd);
        }
        if (isFree) {
            const int found = next;
            next += count;
            return found;
        }
    }
    std::exit(kCouldNotRun);
}

// ---- HTTP ----

struct Request
{
    std::string method, target, path, query, body;
    std::vector<std::pair<std::string, std::string>> headers;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    std::string parameter(const std::string &name) const
    {
        std::istringstream parts(query);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.starts_with(name + '='))
                return decoded(part.substr(name.size() + 1));
        }
        return {};
    }

private:
    static std::string decoded(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }
};

//! Reads the next request of a connection; false when the peer has closed it.
inline bool readRequest(int fd, std::string &buffer, Request &request)
{
    request = {};
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (readSome(fd, buffer, 600'000) <= 0)
            return false;
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> request.method >> request.target;
    const auto question = request.target.find('?');
    request.path = request.target.substr(0, question);
    if (question != std::string::npos)
        request.query = request.target.substr(question + 1);
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        request.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
    }
    const auto length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (readSome(fd, buffer, 600'000) <= 0)
            return false;
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

inline std::string answerText(int status, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//! Whether the peer has closed the connection.
inline bool isClosedByPeer(int fd)
{
    char byte = 0;
    const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

//! A server with a thread for each connection. The handler returns false to end the connection.
class HttpListener
{
public:
    using Handler = std::function<bool(int fd, const Request &request)>;

    explicit HttpListener(Handler handler, const std::string &ip = "127.0.0.1")
        : handler_(std::move(handler)), ip_(ip)
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t size = sizeof(address);
        if (bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
            || listen(listener_, 512) != 0)
            std::exit(kCouldNotRun);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }

    std::string address() const { return ip_ + ':' + std::to_string(port_); }
    int port() const { return port_; }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] {
                std::string buffer;
                Request request;
                while (readRequest(fd, buffer, request) && handler_(fd, request)) { }
                close(fd);
            }).detach();
        }
    }

    Handler handler_;
    std::string ip_;
    int listener_ = -1;
    int port_ = 0;
};

// ---- the platform's store ----

inline std::string base64(const std::string &data)
{
    static const char *kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < data.size() ? static_cast<unsigned char>(data[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= data.size() ? kDigits[value >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class Store
{
public:
    Store() : http_([this](int fd, const Request &request) { return answer(fd, request); }) { }

    std::string address() const { return http_.address(); }

    //! Writes an item as the operator or a worker does. Returns the revision when the store has
    //! acknowledged it, or 0 while the store is away.
    long put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        if (isAway_)
            return 0;
        write(key, base64(value));
        return revision_;
    }
    void erase(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        remove(key);
    }
    long revision()
    {
        const std::lock_guard lock(mutex_);
        return revision_;
    }

    //! Takes the copy from which comeBack() goes on.
    void takeCopy()
    {
        const std::lock_guard lock(mutex_);
        copy_ = { revision_, items_, leases_ };
    }
    //! Answers 503 to all calls until comeBack().
    void goAway()
    {
        const std::lock_guard lock(mutex_);
        isAway_ = true;
    }
    //! Goes on from the copy, in the next era. What was written since is gone.
    void comeBack()
    {
        const std::lock_guard lock(mutex_);
        revision_ = copy_.revision;
        items_ = copy_.items;
        leases_ = copy_.leases;
        std::erase_if(changes_, [&](const Change &change) { return change.item.revision > revision_; });
        ++era_;
        isAway_ = false;
    }

private:
    struct Item
    {
        std::string value; // In base64.
        long revision = 0, created = 0, lease = 0;
    };
    struct Change
    {
        std::string key;
        Item item;
        bool isDeleted = false;
    };

    void write(const std::string &key, const std::string &value, long lease = 0)
    {
        ++revision_;
        const auto found = items_.find(key);
        const long created = found == items_.end() ? revision_ : found->second.created;
        items_[key] = { value, revision_, created, lease };
        changes_.push_back({ key, items_[key], false });
    }
    void remove(const std::string &key)
    {
        if (items_.erase(key) == 0)
            return;
        Item item;
        item.revision = ++revision_;
        changes_.push_back({ key, item, true });
    }
    static Json json(const std::string &key, const Item &item)
    {
        return { { "key", key },
                 { "value", item.value },
                 { "revision", item.revision },
                 { "created", item.created },
                 { "lease", item.lease } };
    }

    bool answer(int fd, const Request &request)
    {
        int status = 200;
        Json body = Json::object();
        {
            const std::lock_guard lock(mutex_);
            if (!isAway_)
                expireLeases();
            if (isAway_)
                status = 503;
            else if (request.path == "/crocusport/kv-range")
                body = range(request);
            else if (request.path == "/crocusport/kv-watch")
                status = watch(request, body);
            else if (request.path == "/crocusport/kv-key")
                status = single(request, body);
            else if (request.path == "/crocusport/kv-txn")
                status = transact(request, body);
            else if (request.path == "/crocusport/kv-lease")
                body = grant(request);
            else if (request.path.starts_with("/crocusport/kv-keep/"))
                status = keep(std::stol(request.path.substr(20)));
            else if (request.path.starts_with("/crocusport/kv-lease-end/"))
                leases_.erase(std::stol(request.path.substr(25)));
            else
                status = 404;
        }
        return writeAll(fd, answerText(status, body.dump(),
                                       "Content-Type: application/json\r\nStore-Era: "
                                           + std::to_string(era_) + "\r\n"));
    }

    Json range(const Request &request)
    {
        const auto prefix = request.parameter("pathPrefix");
        const auto after = request.parameter("after");
        auto items = Json::array();
        for (const auto &[key, item] : items_) {
            if (key.starts_with(prefix) && key > after)
                items.push_back(json(key, item));
        }
        return { { "items", items }, { "hasMore", false }, { "currentRev", revision_ } };
    }
    int watch(const Request &request, Json &body)
    {
        const auto prefix = request.parameter("pathPrefix");
        const long after = std::stol(request.parameter("after"));
        if (after > revision_)
            return 410; // The store doesn't have this revision.
        auto events = Json::array();
        for (const auto &change : changes_) {
            if (change.item.revision <= after || !change.key.starts_with(prefix))
                continue;
            if (change.isDeleted)
                events.push_back({ { "key", change.key },
                                   { "revision", change.item.revision },
                                   { "deleted", true } });
            else
                events.push_back(json(change.key, change.item));
        }
        body = { { "events", events }, { "currentRev", revision_ } };
        return 200;
    }
    int single(const Request &request, Json &body)
    {
        const auto found = items_.find(request.parameter("key"));
        if (found == items_.end())
            return 404;
        body = json(found->first, found->second);
        body["currentRev"] = revision_;
        return 200;
    }
    int transact(const Request &request, Json &body)
    {
        const auto call = Json::parse(request.body);
        auto conflicts = Json::array();
        for (const auto &row : call.value("expectedRevision", Json::array())) {
            const auto found = items_.find(row.at("key"));
            const long revision = found == items_.end() ? 0 : found->second.revision;
            if (revision == row.at("revision"))
                continue;
            if (revision == 0)
                conflicts.push_back({ { "key", row.at("key") }, { "revision", 0 } });
            else
                conflicts.push_back(json(found->first, found->second));
        }
        if (!conflicts.empty()) {
            body = { { "items", conflicts } };
            return 412;
        }
        for (const auto &item : call.value("puts", Json::array())) {
            const long lease = item.value("lease", 0L);
            if (lease != 0 && !leases_.contains(lease))
                return 404;
            write(item.at("key"), item.at("value"), lease);
        }
        for (const auto &key : call.value("deletes", Json::array()))
            remove(key);
        body = { { "revision", revision_ } };
        return 200;
    }
    Json grant(const Request &request)
    {
        const long ttl = Json::parse(request.body).at("ttlMs");
        leases_[++lastLease_] = { ttl, Clock::now() };
        return { { "lease", lastLease_ }, { "ttlMs", ttl } };
    }
    int keep(long lease)
    {
        const auto found = leases_.find(lease);
        if (found == leases_.end())
            return 404;
        found->second.second = Clock::now();
        return 200;
    }
    void expireLeases()
    {
        std::erase_if(leases_, [](const auto &lease) {
            return Clock::now() - lease.second.second > std::chrono::milliseconds(lease.second.first);
        });
        std::vector<std::string> ended;
        for (const auto &[key, item] : items_) {
            if (item.lease != 0 && !leases_.contains(item.lease))
                ended.push_back(key);
        }
        for (const auto &key : ended)
            remove(key);
    }

    struct Copy
    {
        long revision = 0;
        std::map<std::string, Item> items;
        std::map<long, std::pair<long, Clock::time_point>> leases;
    };

    std::mutex mutex_;
    Copy copy_;
    std::atomic<int> era_ = 1;
    bool isAway_ = false;
    long revision_ = 10;
    long lastLease_ = 0;
    std::map<std::string, Item> items_;
    std::vector<Change> changes_;
    std::map<long, std::pair<long, Clock::time_point>> leases_;
    HttpListener http_; // Last: its threads use the other members.
};

// ---- workers ----

/*!
    A worker that registers itself and writes its entry again every heartbeat. It refuses requests
    for another worker and requests without an id. All others go to the handler, which answers them.
*/
class Worker
{
public:
    using Handler = std::function<bool(int fd, const Request &request)>;

    static constexpr int kHeartbeatMs = 1200;

    Worker(Store &store, std::string id, std::string service, Handler handler)
        : store_(store), id_(std::move(id)), service_(std::move(service)),
          handler_(std::move(handler)),
          born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          http_([this](int fd, const Request &request) { return answer(fd, request); })
    {
        std::thread([this] {
            while (true) {
                writeEntry();
                sleepMs(kHeartbeatMs);
            }
        }).detach();
    }

    const std::string &id() const { return id_; }
    std::string seal(const Request &request) const
    {
        return "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Response-Seal: 1." + id_
            + "." + request.header("X-Attempt-Id") + "\r\n" + (isLeaving_ ? "Server-Leaving: 1\r\n" : "");
    }
    //! Writes the entry at once, as after the store has come back.
    void writeAgain() { writeEntry(); }
    //! Reports that the worker is leaving.
    void drain()
    {
        isLeaving_ = true;
        writeEntry();
    }
    //! Removes the entry of the worker; it goes on serving.
    void leave()
    {
        const std::lock_guard lock(mutex_);
        hasLeft_ = true;
        store_.erase("servers/" + id_);
    }

private:
    void writeEntry()
    {
        const std::lock_guard lock(mutex_);
        if (hasLeft_)
            return;
        const Json entry = { { "service", service_ },
                             { "address", http_.address() },
                             { "zone", "kudus" },
                             { "version", "v1" },
                             { "slots", 64 },
                             { "state", isLeaving_ ? "draining" : "ready" },
                             { "coldRemainingMs", 0 },
                             { "born", born_ },
                             { "seq", ++sequence_ } };
        store_.put("servers/" + id_, entry.dump());
    }
    bool answer(int fd, const Request &request)
    {
        const auto expected = request.header("X-Expect-Instance");
        const auto attempt = request.header("X-Attempt-Id");
        if (!expected.empty() && expected != id_)
            return writeAll(fd, answerText(421, "", "X-Not-Executed: 1\r\n"));
        if (attempt.empty())
            return writeAll(fd, answerText(400, "", "X-Not-Executed: 1\r\n"));
        return handler_(fd, request);
    }

    Store &store_;
    std::string id_, service_;
    Handler handler_;
    long born_;
    long sequence_ = 0;
    std::atomic<bool> isLeaving_ = false;
    bool hasLeft_ = false;
    std::mutex mutex_;
    HttpListener http_;
};

// ---- gateways ----

class Gateway
{
public:
    //! Ports are the same on all machines; machines differ in the last number of the address.
    struct Ports
    {
        int first = freePorts(20);
        int front() const { return first; }
        int ready() const { return first + 1; }
        int control() const { return first + 2; }
        int internal() const { return first + 3; }
        int metrics() const { return first + 18; }
    };

    Gateway(const std::string &name, const std::string &ip, const Ports &ports,
            const std::string &store, const std::string &folder)
        : name_(name), ip_(ip), ports_(ports), folder_(folder), settings_(folder + '/' + name + ".toml")
    {
        std::ifstream file("deploy/settings.toml.template");
        std::stringstream text;
        text << file.rdbuf();
        auto filled = text.str();
        const auto at = [&](int port) { return ip + ':' + std::to_string(port); };
        const std::vector<std::pair<std::string, std::string>> fields = {
            { "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"127.0.0.2:" + std::to_string(ports.control()) + '"' },
            { "{{node}}", name },
            { "{{region}}", "jateng" },
            { "{{zone}}", "kudus" },
            { "{{listen.front}}", at(ports.front()) },
            { "{{listen.ready}}", at(ports.ready()) },
            { "{{ip}}", ip },
            { "{{internalPortRange.0}}", std::to_string(ports.internal()) },
            { "{{internalPortRange.1}}", std::to_string(ports.metrics()) },
            { "{{platform.address}}", store },
            { "{{bounds.revokeMs}}", "5000" },
            { "{{bounds.strictRevoke}}", "true" },
            { "{{bounds.drainMs}}", "2000" },
            { "{{bounds.configMs}}", "2000" },
            { "{{bounds.retryBudgetRatio}}", "0.2" },
            { "{{bounds.retryBudgetSlack}}", "58" },
            { "{{bounds.budgetWindowS}}", "10" },
            { "{{bounds.graceS}}", "8" },
        };
        for (const auto &[field, value] : fields) {
            for (auto found = filled.find(field); found != std::string::npos; found = filled.find(field))
                filled.replace(found, field.size(), value);
        }
        if (filled.empty() || filled.find("{{") != std::string::npos) {
            std::cerr << "the template of the settings has fields that the case does not know\n";
            std::exit(kCouldNotRun);
        }
        std::ofstream(settings_) << filled;
    }
    ~Gateway() { kill(SIGKILL); }

    //! Starts the program with the command of the deploy file.
    void start()
    {
        const std::vector<std::string> words = {
            "target/platform/crocusport-gateway", "--config", settings_,
            "--set", "servers.heartbeat_ms=1200", "--set", "bounds.stability_ms=3000",
            "--set", "memory.host_mb=260", "--set", "limits.descriptors=4100",
            "--set", "duties.address=\"\"", "--set", "duties.names=\"\"",
            "--set", "duties.calls_per_s=", "--set", "duties.lease_ms=",
            "--set", "duties.usage_window_s=", "--set", "duties.usage_delay_s=",
        };
        std::vector<char *> arguments;
        for (const auto &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        const auto log = folder_ + '/' + name_ + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            rlimit descriptors {};
            getrlimit(RLIMIT_NOFILE, &descriptors);
            descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 4100);
            setrlimit(RLIMIT_NOFILE, &descriptors); // The platform's maxFds.
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
    }
    void kill(int signal)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, signal);
        if (signal == SIGKILL) {
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    //! Returns the wait status if the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return std::nullopt;
        pid_ = -1;
        return status;
    }
    bool isReady() const
    {
        const int fd = connectTo(ip_, ports_.ready());
        if (fd < 0)
            return false;
        writeAll(fd, "GET /crocusport/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        std::string answer;
        while (answer.find("\r\n") == std::string::npos && readSome(fd, answer, 1000) > 0) { }
        close(fd);
        return answer.starts_with("HTTP/1.1 200");
    }
    void waitReady()
    {
        for (int tries = 0; tries < 100; ++tries) {
            if (isReady())
                return;
            sleepMs(100);
        }
        NOTE("%s does not become ready", name_.c_str());
        std::exit(kCouldNotRun);
    }
    const std::string &name() const { return name_; }
    const std::string &ip() const { return ip_; }
    int front() const { return ports_.front(); }
    pid_t pid() const { return pid_; }

private:
    std::string name_, ip_;
    Ports ports_;
    std::string folder_, settings_;
    pid_t pid_ = -1;
};

// ---- requesters ----

struct Answer
{
    int status = 0;         // 0: none.
    bool isWhole = false;
    bool isReset = false;   // The channel was reset or closed before the end.
    std::string head, body; // The body without its framing.
};

inline std::string field(const std::string &head, const std::string &name)
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.size() > name.size() && line[name.size()] == ':'
            && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            auto value = line.substr(name.size() + 1);
            value.erase(0, value.find_first_not_of(' '));
            if (!value.empty() && value.back() == '\r')
                value.pop_back();
            return value;
        }
    }
    return {};
}

//! Reads an answer with a length or in chunks, until \a limitMs have passed.
inline Answer readAnswer(int fd, long limitMs)
{
    Answer answer;
    const auto end = sinceStartMs() + limitMs;
    std::string buffer;
    const auto more = [&] {
        const int count = readSome(fd, buffer, end - sinceStartMs());
        answer.isReset = answer.isReset || count == 0 || count == -1;
        return count > 0;
    };
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        if (!more())
            return answer;
    }
    const auto size = buffer.find("\r\n\r\n") + 4;
    answer.head = buffer.substr(0, size);
    buffer.erase(0, size);
    answer.status = std::atoi(answer.head.c_str() + 9);
    const auto length = field(answer.head, "Content-Length");
    if (!length.empty()) {
        while (buffer.size() < std::stoul(length)) {
            if (!more())
                break;
        }
        answer.body = buffer.substr(0, std::stoul(length));
        answer.isWhole = answer.body.size() == std::stoul(length);
        return answer;
    }
    while (true) {
        const auto line = buffer.find("\r\n");
        if (line == std::string::npos) {
            if (!more())
                return answer;
            continue;
        }
        const auto chunk = std::stoul(buffer.substr(0, line), nullptr, 16);
        if (buffer.size() < line + 2 + chunk + 2) {
            if (!more())
                return answer;
            continue;
        }
        answer.body += buffer.substr(line + 2, chunk);
        buffer.erase(0, line + 2 + chunk + 2);
        if (chunk == 0) {
            answer.isWhole = true;
            return answer;
        }
    }
}

inline bool isTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

//! Opens the record; the arguments are the file of the record and a temporary folder.
inline std::string begin(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3 || !record().open(argv[1])) {
        std::cerr << "the record cannot be written\n";
        std::exit(kCouldNotRun);
    }
    NOTE("disruption: %s", isTrouble() ? "yes" : "no (TROUBLE=0)");
    return argv[2];
}

//! Ends the process with its gateways killed; threads of servers may still run.
[[noreturn]] inline void finish(int code, std::vector<Gateway *> gateways)
{
    NOTE("%s", code == kBroken ? "the rule was broken"
             : code == kHeld   ? "the rule held"
                               : "the case could not run");
    for (auto *const gateway : gateways)
        gateway->kill(SIGKILL);
    std::_Exit(code);
}
