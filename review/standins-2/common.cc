// Stand-ins and helpers that the cases of the second review share: the platform's store, a backend
// server, a caller, and the start of gateways by the deploy file. Included by each case.cc.
// Each connection has a thread of its own; all addresses are loopback addresses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline std::int64_t nowMs()
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

//! The record of what was sent, answered and run: record.txt in the folder of the case.
class Record
{
public:
    void open(const std::string &path) { file_.open(path, std::ios::trunc); }
    void write(const std::string &text)
    {
        std::lock_guard lock(mutex_);
        file_ << nowMs() << " ms: " << text << std::endl;
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

[[noreturn]] inline void cannotRun(const std::string &why)
{
    record().write("cannot run: " + why);
    std::cerr << "cannot run: " << why << '\n';
    std::_Exit(kCannotRun);
}

inline bool disrupts()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline sockaddr_in loopback(int port, const char *ip = "127.0.0.1")
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

inline int listenOn(int port, int backlog = 512)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto address = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(fd, backlog) != 0)
        cannotRun("a port is taken");
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

//! Returns \a count different free ports.
inline std::vector<int> freePorts(int count)
{
    std::vector<int> fds;
    std::vector<int> ports;
    for (int i = 0; i < count; ++i) {
        fds.push_back(listenOn(0));
        ports.push_back(portOf(fds.back()));
    }
    for (const int fd : fds)
        close(fd);
    return ports;
}

struct Message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

//! Reads and writes messages on a connection, which it owns.
class Channel
{
public:
    explicit Channel(int fd) : fd_(fd) { }
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static std::unique_ptr<Channel> connect(int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return nullptr;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return std::make_unique<Channel>(fd);
    }

    int fd() const { return fd_; }
    void setTimeout(int ms)
    {
        const timeval limit { ms / 1000, (ms % 1000) * 1000 };
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    //! Reads a message whose body has a length or is sent in chunks.
    bool read(Message &message)
    {
        message = {};
        std::size_t end = 0;
        while ((end = pending_.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        std::istringstream head(pending_.substr(0, end));
        pending_.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
        }
        if (message.header("Transfer-Encoding") == "chunked")
            return readChunks(message.body);
        const auto length = static_cast<std::size_t>(std::atol(message.header("Content-Length").c_str()));
        while (pending_.size() < length) {
            if (!more())
                return false;
        }
        message.body = pending_.substr(0, length);
        pending_.erase(0, length);
        return true;
    }

private:
    bool more()
    {
        char bytes[16384];
        const auto size = recv(fd_, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return false;
        pending_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    bool readChunks(std::string &body)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = pending_.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const auto size = std::strtoul(pending_.c_str(), nullptr, 16);
            while (pending_.size() < end + 2 + size + 2) {
                if (!more())
                    return false;
            }
            body += pending_.substr(end + 2, size);
            pending_.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int fd_;
    std::string pending_;
};

//! A server with one thread for each connection. The handler returns false to close.
class Server
{
public:
    using Handler = std::function<bool(const Message &request, Channel &channel)>;

    explicit Server(Handler handler) : handler_(std::move(handler)), listener_(listenOn(0))
    {
        port_ = portOf(listener_);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept()
    {
        for (;;) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, fd] {
                Channel channel(fd);
                Message request;
                while (channel.read(request) && handler_(request, channel)) {
                }
            }).detach();
        }
    }

    Handler handler_;
    int listener_;
    int port_ = 0;
};

inline std::string answerBytes(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string toBase64(const std::string &text)
{
    static const char *const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            encoded += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63U];
    }
    return encoded;
}

//! The platform's store. Reads are linearizable; what nodes write is accepted and kept.
class Store
{
public:
    Store() : server_([this](const Message &request, Channel &channel) {
        return channel.write(answer(request));
    })
    { }
    std::string address() const { return server_.address(); }
    //! Writes an item as the operator or a server does; the return is the ack.
    void put(const std::string &key, const std::string &value)
    {
        std::lock_guard lock(mutex_);
        change(key, toBase64(value), false);
    }

    //! Removes an item; the return is the ack.
    void remove(const std::string &key)
    {
        std::lock_guard lock(mutex_);
        change(key, {}, true);
    }

private:
    struct Event
    {
        std::string key;
        std::string json;
        std::int64_t revision = 0;
    };

    void change(const std::string &key, const std::string &base64, bool isDeleted)
    {
        ++revision_;
        const auto revision = std::to_string(revision_);
        const auto json = isDeleted
            ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
            : "{\"key\":\"" + key + "\",\"value\":\"" + base64 + "\",\"revision\":" + revision
                + ",\"created\":" + revision + ",\"lease\":0}";
        if (isDeleted)
            items_.erase(key);
        else
            items_[key] = json;
        events_.push_back({ key, json, revision_ });
        changed_.notify_all();
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos
            ? std::string()
            : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }
    static std::string join(const std::vector<std::string> &rows)
    {
        std::string text;
        for (const auto &row : rows)
            text += (text.empty() ? "" : ",") + row;
        return text;
    }
    std::string answer(const Message &request)
    {
        std::unique_lock lock(mutex_);
        const auto target = request.target();
        const std::string type = "Content-Type: application/json\r\n";
        if (target.starts_with("/crocusport/kv-range")) {
            std::vector<std::string> rows;
            for (const auto &[key, json] : items_)
                rows.push_back(json);
            return answerBytes(200, type,
                               "{\"items\":[" + join(rows) + "],\"hasMore\":false,\"currentRev\":"
                                   + std::to_string(revision_) + "}");
        }
        if (target.starts_with("/crocusport/kv-watch")) {
            const auto after = std::atol(parameter(target, "after").c_str());
            const auto wait = std::atol(parameter(target, "waitMs").c_str());
            changed_.wait_for(lock, std::chrono::milliseconds(wait),
                              [&] { return revision_ > after; });
            std::vector<std::string> rows;
            for (const auto &event : events_) {
                if (event.revision > after)
                    rows.push_back(event.json);
            }
            return answerBytes(200, type,
                               "{\"events\":[" + join(rows) + "],\"currentRev\":"
                                   + std::to_string(revision_) + "}");
        }
        if (target.starts_with("/crocusport/kv-txn"))
            return commit(request.body, type);
        return answerBytes(404, type, "{}");
    }
    // Nodes write one item or remove one; without a condition in the cases of this review.
    std::string commit(const std::string &body, const std::string &type)
    {
        const auto field = [&](const std::string &name, std::size_t from) {
            const auto at = body.find("\"" + name + "\":\"", from);
            if (at == std::string::npos)
                return std::string();
            const auto begin = at + name.size() + 4;
            return body.substr(begin, body.find('"', begin) - begin);
        };
        const auto puts = body.find("\"puts\"");
        const auto removals = body.find("\"deletes\":[\"");
        if (const auto key = field("key", puts); !key.empty())
            change(key, field("value", puts), false);
        else if (removals != std::string::npos)
            change(body.substr(removals + 12, body.find('"', removals + 12) - removals - 12), "",
                   true);
        return answerBytes(200, type, "{\"revision\":" + std::to_string(revision_) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::string> items_;
    std::vector<Event> events_;
    std::int64_t revision_ = 100;
    Server server_;
};

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        cannotRun("no file " + path);
    return { std::istreambuf_iterator<char>(file), {} };
}

//! The fields of the platform's settings file, by their names on the users' pages.
using Fields = std::map<std::string, std::string>;

//! Fills in a template as the platform does; of sections, only that of the seeds occurs.
inline std::string filled(std::string text, const Fields &fields)
{
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const auto end = text.find("}}", begin);
        const auto name = text.substr(begin + 2, end - begin - 2);
        if (name == "#seeds") {
            const std::string close = "{{/seeds}}";
            const auto last = text.find(close, begin) + close.size();
            const auto seed = '"' + fields.at("seeds") + '"';
            text.replace(begin, last - begin, seed);
            begin += seed.size();
            continue;
        }
        const auto found = fields.find(name);
        const auto value = found == fields.end() ? std::string() : found->second;
        text.replace(begin, end + 2 - begin, value);
        begin += value.size();
    }
    return text;
}

//! A gateway in a process of its own, started by the deploy file. The working directory must be the
//! root of the repository.
class Gateway
{
public:
    //! Settings like those of a small deployment; \a fields replaces some of them.
    Gateway(const std::string &folder, const std::string &store, const Fields &fields)
        : folder_(folder)
    {
        const auto ports = freePorts(4);
        front_ = ports[0];
        ready_ = ports[1];
        fields_ = { { "node", "front-a-1" },
                    { "region", "region-a" },
                    { "zone", "zone-a" },
                    { "ip", "127.0.0.1" },
                    { "listen.front", "127.0.0.1:" + std::to_string(front_) },
                    { "listen.ready", "127.0.0.1:" + std::to_string(ready_) },
                    { "internalPortRange.0", std::to_string(ports[2]) },
                    { "internalPortRange.1", std::to_string(ports[3]) },
                    { "seeds", "127.0.0.1:" + std::to_string(ports[2]) },
                    { "platform.address", store },
                    { "heartbeatMs", "1200" },
                    { "limits.memoryMb", "260" },
                    { "limits.maxFds", "4100" },
                    { "bounds.stabilityWindowMs", "3000" },
                    { "bounds.revokeMs", "5000" },
                    { "bounds.strictRevoke", "true" },
                    { "bounds.drainMs", "2000" },
                    { "bounds.configMs", "2000" },
                    { "bounds.retryBudgetRatio", "0.2" },
                    { "bounds.retryBudgetSlack", "58" },
                    { "bounds.budgetWindowS", "10" },
                    { "bounds.graceS", "8" } };
        for (const auto &[name, value] : fields)
            fields_[name] = value;
    }
    ~Gateway() { stop(); }

    int port() const { return front_; }
    int readyPort() const { return ready_; }
    pid_t pid() const { return pid_; }
    const Fields &fields() const { return fields_; }

    void setField(const std::string &name, const std::string &value) { fields_[name] = value; }
    //! Writes the settings file, as the platform does at every start and when they change.
    void writeSettings() const
    {
        std::ofstream(folder_ + "/boot.toml")
            << filled(readFile("deploy/settings.toml.template"), fields_);
    }
    void start()
    {
        const auto settings = folder_ + "/boot.toml";
        writeSettings();
        const auto deploy = readFile("deploy/system.toml");
        const std::string key = "\nrun = \"";
        const auto at = deploy.find(key);
        if (at == std::string::npos)
            cannotRun("the deploy file has no run");
        std::string run;
        for (auto i = at + key.size(); deploy[i] != '"'; ++i) {
            i += deploy[i] == '\\' ? 1 : 0;
            run += deploy[i];
        }
        std::vector<std::string> words;
        std::istringstream stream(run);
        for (std::string word; stream >> word;)
            words.push_back(word == "/etc/crocusport/boot.toml" ? settings : filled(word, fields_));
        if (access(words[0].c_str(), X_OK) != 0)
            cannotRun("the gateway is not built");
        std::vector<char *> arguments;
        for (auto &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        const auto log = folder_ + "/gateway.log";
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execv(arguments[0], arguments.data());
            std::_Exit(127);
        }
    }
    //! Whether the process has ended; \a how gets the exit status as of waitpid().
    bool hasEnded(int *how = nullptr)
    {
        if (pid_ <= 0)
            return true;
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        if (how)
            *how = status;
        return true;
    }
    void stop()
    {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    //! Resident memory in MB of 2^20 bytes, the larger reading of the settings' unit.
    double residentMb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        long pages = 0;
        long resident = 0;
        file >> pages >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE))
            / 1048576;
    }
    bool waitReady(int ms = 10000) const
    {
        for (const auto until = nowMs() + ms; nowMs() < until; sleepMs(50)) {
            const auto channel = Channel::connect(ready_);
            Message message;
            if (!channel)
                continue;
            channel->setTimeout(1000);
            if (channel->write("GET /crocusport/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                && channel->read(message) && message.status() == 200)
                return true;
        }
        return false;
    }

private:
    std::string folder_;
    Fields fields_;
    int front_ = 0;
    int ready_ = 0;
    pid_t pid_ = -1;
};

//! A temporary folder that is removed with its files.
class Folder
{
public:
    Folder()
    {
        const char *const base = std::getenv("TMPDIR");
        std::string name = std::string(base ? base : "/tmp") + "/crocusport-review-XXXXXX";
        if (!mkdtemp(name.data()))
            cannotRun("no temporary folder");
        path_ = name;
    }
    ~Folder()
    {
        for (const char *const file : { "boot.toml", "gateway.log" })
            unlink((path_ + '/' + file).c_str());
        rmdir(path_.c_str());
    }
    const std::string &path() const { return path_; }

private:
    std::string path_;
};

inline std::string routeJson(const std::string &name, const std::string &kind,
                             const std::string &service, const std::string &extra = {})
{
    return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"pathPrefix\":\"/" + name
        + "/\",\"kind\":\"" + kind
        + "\",\"timeoutMs\":12000,\"targetLatencyMs\":1500,\"priority\":0,\"service\":\"" + service
        + "\",\"maxAttempts\":1" + extra + "}";
}

inline std::string limitsJson()
{
    return "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000}";
}

inline std::string serverJson(const std::string &service, const std::string &address, int slots,
                              int sequence = 1)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
        + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":" + std::to_string(sequence)
        + ",\"born\":1765000000000}";
}

//! A request to the route \a route. \a headers holds further header lines.
inline std::string requestBytes(const std::string &method, const std::string &route,
                                const std::string &id, const std::string &headers,
                                const std::string &body = {})
{
    auto text = method + " /" + route + "/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 10000\r\n" + headers;
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
