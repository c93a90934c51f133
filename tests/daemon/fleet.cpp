#include "fleet.h"

#include "crocusport/coordination/publisher.h"
#include "crocusport/protocol/configurationdocument.h"
#include "crocusport/protocol/hostlistcodec.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace crocusport {

namespace {

const SocketAddress kAnyPort { "127.0.0.1:0" };
constexpr Duration kConditionInterval = std::chrono::milliseconds(1);

template<typename Operation>
auto valueOrThrow(Operation &&operation)
{
    using Value = decltype(operation().value());
    return handleErrors([&]() -> Result<std::remove_reference_t<Value>> { return operation(); },
                        [](const Error &error) -> std::remove_reference_t<Value> {
                            throw std::runtime_error(error.message);
                        });
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

RequestClass makeClass(const char *name, const char *pool, int tier, RepeatRule repeat,
                       const char *path)
{
    RequestClass requestClass;
    requestClass.name = ClassName(name);
    requestClass.pool = PoolName(pool);
    requestClass.tier = Tier(tier);
    requestClass.repeat = repeat;
    requestClass.path = path;
    return requestClass;
}

PoolPolicy makePool(const char *name, PoolKind kind)
{
    PoolPolicy pool;
    pool.name = PoolName(name);
    pool.kind = kind;
    pool.region = Region("test");
    return pool;
}

Configuration testConfiguration()
{
    static constexpr const char *kChatPath = "/v1/chat/completions";
    Configuration configuration;
    for (const auto &requestClass :
         { makeClass("chat", "assistant", 1, RepeatRule::Repeatable, kChatPath),
           makeClass("tag", "assistant", 3, RepeatRule::Repeatable, kChatPath),
           makeClass("lookup", "desk", 1, RepeatRule::Repeatable, "/stock"),
           makeClass("booking", "desk", 1, RepeatRule::Never, "/bookings") })
        configuration.classes[requestClass.name] = requestClass;
    for (const auto &pool :
         { makePool("assistant", PoolKind::Engine), makePool("desk", PoolKind::Service) })
        configuration.pools[pool.name] = pool;
    Team team;
    team.name = TeamName("sales");
    configuration.teams[team.name] = team;
    return configuration;
}

std::optional<PublishedDocument> identify(const std::string &value)
{
    return handleErrors(
        [&]() -> Result<std::optional<PublishedDocument>> {
            BOOST_LEAF_AUTO(stored, parseConfigurationDocument(value));
            return std::optional(PublishedDocument { stored.version, stored.publishId });
        },
        [](const Error &) -> std::optional<PublishedDocument> { return std::nullopt; });
}

//! Value of the line of a Prometheus text that starts with \a series; -1 without one.
double valueOf(const std::string &text, const std::string &series)
{
    const auto position = text.find("\n" + series);
    if (position == std::string::npos)
        return -1;
    return std::strtod(text.c_str() + text.find(' ', position + 1), nullptr);
}

} // namespace

Fleet::Fleet()
{
    // Expected warnings would hide a test's own output.
    FLAGS_minloglevel = std::getenv("CROCUSPORT_TEST_LOG") ? 0 : 3;
    FLAGS_logtostderr = true;
    loop_ = valueOrThrow([] { return EventLoop::create(); });
    client_ = std::make_unique<HttpClient>(*loop_, HttpClient::Options {});
    storeServer_ = valueOrThrow([&] { return StandinServer::create(*loop_, kAnyPort); });
    store_ = std::make_unique<StoreService>(*loop_, *storeServer_, StoreServiceOptions {});
    hostListServer_ = valueOrThrow([&] { return StandinServer::create(*loop_, kAnyPort); });
    hostList_ = std::make_unique<HostListService>(*loop_, *hostListServer_, HostListOptions {});
    StoreClient::Options options;
    options.addresses = { storeServer_->address() };
    storeClient_ = std::make_unique<StoreClient>(*loop_, *client_, options);
}

Fleet::~Fleet()
{
    routers_.clear();
}

Fleet::Backend &Fleet::addBackend(const std::string &name, const std::string &pool,
                                  std::uint32_t slots)
{
    auto &backend = backends_[name];
    const auto address = backend.entry.address.value().empty() ? kAnyPort : backend.entry.address;
    backend.server = valueOrThrow([&] { return StandinServer::create(*loop_, address); });
    backend.entry.name = BackendServerName(name);
    backend.entry.address = backend.server->address();
    backend.entry.zone = AvailabilityZone("zone-1");
    backend.entry.region = Region("test");
    backend.entry.pool = PoolName(pool);
    backend.entry.start = StartNumber(nextNumber_++);
    backend.entry.slots = slots;
    return backend;
}

void Fleet::addEngine(const std::string &name, const EngineOptions &options)
{
    auto &backend = addBackend(name, "assistant", options.slots);
    auto started = options;
    started.start = backend.entry.start.value();
    backend.engine = std::make_unique<Engine>(*loop_, *backend.server, started, [] {});
    showHosts();
}

void Fleet::addService(const std::string &name, const PlainServiceOptions &options)
{
    auto &backend = addBackend(name, "desk", options.slots);
    auto started = options;
    started.start = backend.entry.start.value();
    backend.service = std::make_unique<PlainService>(*backend.server, started, [] {});
    showHosts();
}

void Fleet::crash(const std::string &backendServer)
{
    auto &backend = backends_.at(backendServer);
    backend.engine.reset();
    backend.service.reset();
    backend.server.reset();
}

void Fleet::leave(const std::string &backendServer)
{
    auto &backend = backends_.at(backendServer);
    if (backend.engine)
        backend.engine->leave();
    if (backend.service)
        backend.service->leave();
}

void Fleet::addRouter(const std::string &name)
{
    static const std::string kListen = "[listen]\ncallers = \"127.0.0.1:0\"\n"
                                       "peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n";
    const auto text = "router = \"" + name + "\"\nregion = \"test\"\n"
        + "availability_zone = \"zone-1\"\npeer_key = \"0123456789abcdef0123456789abcdef\"\n"
        + "store_addresses = [\"" + storeServer_->address().value() + "\"]\n"
        + "hostlist_address = \"" + hostListServer_->address().value() + "\"\n" + kListen;
    auto settings = valueOrThrow([&] { return Settings::parse(text, "test.toml", {}); });
    settings.peerSeeds = seeds_;
    settings.shutdownDelay = Milliseconds(200);
    routers_[name] = valueOrThrow([&] { return Router::create(*loop_, settings); });
    seeds_.push_back(routers_[name]->peersAddress());
}

void Fleet::kill(const std::string &router)
{
    routers_.erase(router);
}

void Fleet::publish(const std::function<void(Configuration &)> &change)
{
    auto configuration = testConfiguration();
    if (change)
        change(configuration);
    Publication publication;
    publication.publishId = "test-" + std::to_string(nextNumber_++);
    publication.encode = [&](ConfigurationVersion version, const std::string &publishId) {
        configuration.version = version;
        configuration.publishId = publishId;
        return writeConfigurationDocument(configuration);
    };
    publication.decode = &identify;
    std::optional<AsyncResult<ConfigurationVersion>> result;
    Publisher<StoreClient> publisher(*storeClient_);
    publisher.publish(publication, [&](const auto &published) { result = published; });
    if (!runUntil([&] { return result.has_value(); }) || std::holds_alternative<Error>(*result))
        throw std::runtime_error("cannot publish the test's configuration");
}

void Fleet::showHosts()
{
    std::vector<BackendServer> servers;
    for (const auto &[name, backend] : backends_)
        servers.push_back(backend.entry);
    HttpCallRequest request;
    request.address = hostListServer_->address();
    request.method = "POST";
    request.target = "/control/hosts";
    request.body = writeHostList(servers);
    runUntilEnded(start(std::move(request)));
}

void Fleet::fault(const StandinServer &server, const std::string &json)
{
    HttpCallRequest request;
    request.address = server.address();
    request.method = "POST";
    request.target = "/control/fault";
    request.body = json;
    request.connection = ConnectionUse::Fresh;
    runUntilEnded(start(std::move(request)));
}

CallerReplyPointer Fleet::start(HttpCallRequest request)
{
    auto reply = std::make_shared<CallerReply>();
    HttpCallHandlers handlers;
    handlers.onHead = [reply](int status, const HttpHeaders &headers) {
        reply->status = status;
        for (const auto &[name, value] : headers)
            reply->headers[lowerCase(name)] = value;
    };
    handlers.onBody = [reply](std::string_view data) { reply->body.append(data); };
    handlers.onEnd = [reply](const HttpCallEnd &end) {
        reply->failure = end.failure;
        reply->isEnded = true;
    };
    reply->call = client_->start(std::move(request), std::move(handlers));
    return reply;
}

CallerReplyPointer Fleet::send(const std::string &router, HttpCallRequest request)
{
    request.address = routers_.at(router)->callersAddress();
    request.headers.emplace_back("X-Team", "sales");
    return start(std::move(request));
}

CallerReplyPointer Fleet::chat(const std::string &router, const std::string &requestClass,
                               const std::string &body)
{
    HttpCallRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = { { "X-Class", requestClass }, { "Content-Type", "application/json" } };
    request.body = body;
    return send(router, std::move(request));
}

CallerReplyPointer Fleet::book(const std::string &router, const std::string &key,
                               const std::string &body)
{
    HttpCallRequest request;
    request.method = "POST";
    request.target = "/bookings/1";
    if (!key.empty())
        request.headers = { { "Idempotency-Key", key } };
    request.body = body;
    return send(router, std::move(request));
}

std::string Fleet::get(const SocketAddress &address, const std::string &target)
{
    HttpCallRequest request;
    request.address = address;
    request.target = target;
    const auto reply = start(std::move(request));
    return runUntilEnded(reply) ? reply->body : "";
}

int Fleet::executions(const std::string &service, const std::string &key)
{
    const auto body = get(backends_.at(service).entry.address, "/control/executions");
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.at("keys").value(key, 0) : -1;
}

bool Fleet::isBusy(const std::string &engine)
{
    const auto report = get(backends_.at(engine).entry.address, "/metrics");
    return valueOf(report, "engine_requests_running") > 0;
}

std::string Fleet::busyEngine()
{
    for (const auto &[name, backend] : backends_) {
        if (backend.engine && isBusy(name))
            return name;
    }
    return "";
}

std::string Fleet::explain(const std::string &router, const std::string &request)
{
    return get(routers_.at(router)->operatorsAddress(), "/explain?request=" + request);
}

double Fleet::metric(const std::string &router, const std::string &series)
{
    return valueOf(get(routers_.at(router)->operatorsAddress(), "/metrics"), series);
}

bool Fleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    // The condition may itself run the loop, which must not be entered twice.
    const auto end = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        runFor(kConditionInterval);
    }
    return true;
}

void Fleet::runFor(Duration duration)
{
    Timer timeout(*loop_, [this] { loop_->stop(); });
    timeout.startOnce(duration);
    loop_->run();
}

bool Fleet::runUntilEnded(const CallerReplyPointer &reply)
{
    return runUntil([&] { return reply->isEnded; });
}

bool Fleet::runUntilReady()
{
    return runUntil([&] {
        return std::all_of(routers_.begin(), routers_.end(), [&](const auto &entry) {
            return entry.second->isReady() && entry.second->liveMemberCount() == routers_.size()
                && entry.second->backendServerCount() == backends_.size();
        });
    });
}

} // namespace crocusport
