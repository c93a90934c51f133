#include "crocusport/gateway/gatewaysettings.h"

#include "keytable.h"

#include <algorithm>
#include <array>

namespace crocusport {

namespace {

using Entry = KeyEntry<GatewaySettings>;

constexpr double kMaxPort = 65'535;
constexpr double kMinuteMs = 60'000;
constexpr double kMinSeconds = 0.1;
constexpr double kHourS = 3600;
constexpr double kMaxSeeds = 100;
constexpr double kMaxMemoryMb = 1'048'576;
constexpr double kMaxDescriptors = 1'048'576;
constexpr double kMaxAnswersMb = 65'536;
constexpr double kMaxRetrySlack = 1'000'000;
constexpr double kMaxDutyCalls = 100'000;
constexpr double kMaxDutyNames = 1000;
constexpr std::array<std::string_view, 2> kYesNo = { "false", "true" };

template<auto... path>
constexpr auto kStore = storeTo<GatewaySettings, path...>;

template<auto... path>
Entry msEntry(std::string_view name, std::string_view defaultText, double min, double max,
              std::string_view description)
{
    return durationEntry<GatewaySettings, std::milli, path...>(name, defaultText, min, max,
                                                               description);
}

template<auto... path>
Entry secondsEntry(std::string_view name, std::string_view defaultText, double min, double max,
                   std::string_view description)
{
    return durationEntry<GatewaySettings, std::ratio<1>, path...>(name, defaultText, min, max,
                                                                  description);
}

Entry addressEntry(std::string_view name, std::string_view description,
                   void (*store)(GatewaySettings &, const KeyValue &))
{
    return { { name, KeyType::Address, KeyNeed::Required, {}, {}, 0, 0, {}, description }, store };
}

Entry numberEntry(std::string_view name, std::string_view defaultText, double max,
                  std::string_view description, void (*store)(GatewaySettings &, const KeyValue &))
{
    return { { name, KeyType::Number, KeyNeed::Optional, {}, defaultText, 0, max, {}, description },
             store };
}

Entry megabytesEntry(std::string_view name, std::string_view defaultText, double min, double max,
                     std::string_view description,
                     void (*store)(GatewaySettings &, const KeyValue &))
{
    return {
        { name, KeyType::Number, KeyNeed::Optional, "MB", defaultText, min, max, {}, description },
        store
    };
}

Entry portEntry(std::string_view name, std::string_view description,
                void (*store)(GatewaySettings &, const KeyValue &))
{
    return integerEntry<GatewaySettings>(name, "", "0", 0, kMaxPort, description, store);
}

std::vector<Entry> identityEntries()
{
    return {
        nameEntry<GatewaySettings>("router", "Name of this router, unique in the fleet.",
                                   kStore<&GatewaySettings::router>),
        nameEntry<GatewaySettings>("region", "Region of this router.",
                                   kStore<&GatewaySettings::region>),
        nameEntry<GatewaySettings>("availability_zone", "Availability zone of this router.",
                                   kStore<&GatewaySettings::zone>),
        addressEntry("listen.callers", "Where callers connect.", kStore<&GatewaySettings::callers>),
        addressEntry("listen.ready", "Where the load balancer asks whether the router is ready.",
                     kStore<&GatewaySettings::ready>),
        nameEntry<GatewaySettings>("internal.ip", "IP address of the internal ports.",
                                   kStore<&GatewaySettings::ip>),
        portEntry("internal.report_port", "UDP port of load reports between routers.",
                  kStore<&GatewaySettings::reportPort>),
        portEntry("internal.metrics_port", "TCP port of the metrics; 0 serves none.",
                  kStore<&GatewaySettings::metricsPort>),
        { { "peers.seeds",
            KeyType::AddressList,
            KeyNeed::Optional,
            {},
            {},
            0,
            kMaxSeeds,
            {},
            "Some routers to meet the others by; of each address only the host counts." },
          kStore<&GatewaySettings::seeds> },
        addressEntry("store.address", "The platform's key-value store.",
                     kStore<&GatewaySettings::store>),
    };
}

std::vector<Entry> boundEntries()
{
    return {
        msEntry<&GatewaySettings::storePollInterval>("store.poll_interval_ms", "800", 50, kMinuteMs,
                                                     "Time between two calls for changes."),
        msEntry<&GatewaySettings::revocationBound>(
            "bounds.revocation_ms", "5000", 100, kMinuteMs,
            "Time after which a withdrawn key is refused everywhere."),
        msEntry<&GatewaySettings::stabilityWindow>(
            "bounds.stability_ms", "3000", 0, kMinuteMs,
            "Time after an outage of the store in which the bounds of "
            "leaving servers do not hold."),
        msEntry<&GatewaySettings::serverHeartbeat>(
            "servers.heartbeat_ms", "1200", 10, kMinuteMs,
            "Time after which a backend server writes its entry again; it expires after three."),
        choiceEntry<GatewaySettings>(
            "bounds.strict_revocation", KeyNeed::Optional, "true", kYesNo,
            "Whether keys are refused while the store has not been heard for that time.",
            [](GatewaySettings &settings, const KeyValue &value) {
                settings.isRevocationStrict = choiceOf<bool>(kYesNo, value);
            }),
        msEntry<&GatewaySettings::leavingBound>(
            "bounds.leaving_ms", "2000", 100, kMinuteMs,
            "Time after which a leaving server gets no more requests."),
        msEntry<&GatewaySettings::configurationBound>(
            "bounds.configuration_ms", "2000", 100, kMinuteMs,
            "Time in which a new configuration is in force."),
        numberEntry("retry.ratio", "0.1", 10, "Repeats for each request, over all routers.",
                    kStore<&GatewaySettings::retryRatio>),
        numberEntry("retry.slack", "10", kMaxRetrySlack,
                    "Further repeats in each window, over all routers.",
                    kStore<&GatewaySettings::retrySlack>),
        secondsEntry<&GatewaySettings::retryWindow>("retry.window_s", "10", kMinSeconds, kHourS,
                                                    "Window of the retry budget."),
        secondsEntry<&GatewaySettings::shutdownGrace>(
            "shutdown.grace_s", "10", kMinSeconds, kHourS,
            "Time from SIGTERM until the process is ended by force."),
        megabytesEntry("memory.host_mb", "0", 0, kMaxMemoryMb,
                       "Memory of the host, which bounds what is held for clients; "
                       "0: unknown, then as 120.",
                       kStore<&GatewaySettings::hostMemoryMb>),
        integerEntry<GatewaySettings>("limits.descriptors", "", "0", 0, kMaxDescriptors,
                                      "File descriptors of the process, which bound the callers' "
                                      "connections; 0: unknown, then as 3,075.",
                                      kStore<&GatewaySettings::descriptors>),
        megabytesEntry("memory.answers_mb", "24", 1, kMaxAnswersMb,
                       "Memory for answers that cannot be passed on yet, beyond 16 kB for each.",
                       kStore<&GatewaySettings::answerMemoryMb>),
        msEntry<&GatewaySettings::reportInterval>(
            "report.interval_ms", "100", 10, kMinuteMs,
            "Least time between two load reports to other routers."),
        choiceEntry<GatewaySettings>(
            "pace.enabled", KeyNeed::Optional, "false", kYesNo,
            "Whether the requests at servers that have just started are limited.",
            [](GatewaySettings &settings, const KeyValue &value) {
                settings.isStartPaced = choiceOf<bool>(kYesNo, value);
            }),
    };
}

// The names of duties that this version does not know are ignored: the platform may have more.
void storeDuties(GatewaySettings &settings, const KeyValue &value)
{
    const auto &text = std::get<std::string>(value);
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        const std::string_view name(text.data() + begin, end - begin);
        settings.duties.reportsUsage = settings.duties.reportsUsage || name == "usage";
        settings.duties.ordersServers = settings.duties.ordersServers || name == "scale";
        begin = end + 1;
    }
}

std::vector<Entry> dutyEntries()
{
    return {
        { { "duties.address",
            KeyType::Address,
            KeyNeed::Optional,
            {},
            {},
            0,
            0,
            {},
            "Where the platform takes usage reports and orders of servers; none: no duties." },
          kStore<&GatewaySettings::duties, &DutySettings::address> },
        { { "duties.names",
            KeyType::Text,
            KeyNeed::Optional,
            {},
            {},
            0,
            kMaxDutyNames,
            {},
            "Duties to perform, separated by commas: usage (report the requests of each team), "
            "scale (order servers for pools that allow it)." },
          storeDuties },
        numberEntry("duties.calls_per_s", "10", kMaxDutyCalls,
                    "Calls a second that the platform accepts from all routers together.",
                    kStore<&GatewaySettings::duties, &DutySettings::callsPerSecond>),
        msEntry<&GatewaySettings::duties, &DutySettings::lease>(
            "duties.lease_ms", "3000", 1000, kMinuteMs,
            "Lease of the router that performs the duties."),
        secondsEntry<&GatewaySettings::duties, &DutySettings::usageWindow>(
            "duties.usage_window_s", "5", 1, kHourS, "Length of the windows of usage reports."),
        secondsEntry<&GatewaySettings::duties, &DutySettings::usageDelay>(
            "duties.usage_delay_s", "10", 0, kHourS,
            "Time from the end of a window until its report is due."),
    };
}

Entry admissionEntry()
{
    return choiceEntry<GatewaySettings>(
        "admission.enabled", KeyNeed::Optional, "false", kYesNo,
        "Whether requests for model engines are held or refused by urgency when "
        "nearly all slots of their pool are taken.",
        [](GatewaySettings &settings, const KeyValue &value) {
            settings.holdsUnderPressure = choiceOf<bool>(kYesNo, value);
        });
}

const std::vector<Entry> &entries()
{
    static const auto kEntries = [] {
        auto all = identityEntries();
        for (auto &entry : boundEntries())
            all.push_back(entry);
        for (auto &entry : dutyEntries())
            all.push_back(entry);
        all.push_back(admissionEntry());
        return all;
    }();
    return kEntries;
}

//! Whether an override has no value, which a template fills in for a field that is not there.
bool isWithoutValue(std::string_view line)
{
    return line.ends_with('=') || line.ends_with("=\"\"");
}

} // namespace

Result<GatewaySettings> GatewaySettings::load(const std::string &path,
                                              const std::vector<std::string> &overrides)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    return parse(text, path, overrides);
}

Result<GatewaySettings> GatewaySettings::parse(std::string_view text, const std::string &file,
                                               const std::vector<std::string> &overrides)
{
    BOOST_LEAF_AUTO(table, parseToml(text, file, ResultCode::BadSettings));
    for (const auto &line : overrides) {
        if (isWithoutValue(line))
            continue;
        BOOST_LEAF_AUTO(replaced, parseToml(line, "--set " + line, ResultCode::BadSettings));
        for (auto &[key, value] : replaced.values) {
            value.line = 0; // Not a line of the file.
            table.values.insert_or_assign(key, std::move(value));
        }
    }
    Faults faults;
    GatewaySettings settings;
    readKeys<GatewaySettings>(table, entries(), settings, faults);
    if (!faults.empty())
        return makeError(ResultCode::BadSettings, joinFaults(faults));
    return settings;
}

std::string GatewaySettings::reference()
{
    return keyReference<GatewaySettings>(entries());
}

} // namespace crocusport
