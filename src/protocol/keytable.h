#ifndef CROCUSPORT_KEYTABLE_H
#define CROCUSPORT_KEYTABLE_H

#include "tomltable.h"

#include "crocusport/state/instant.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <ratio>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace crocusport {

enum class KeyType { Name, Text, Secret, Integer, Number, Address, AddressList, TextList, Choice };

//! Whether a key must be given.
enum class KeyNeed { Required, Optional };

//! One key of a TOML file: drives parsing, checking and the reference documentation.
struct KeyDescription
{
    std::string_view name; //!< Dotted.
    KeyType type = KeyType::Text;
    KeyNeed need = KeyNeed::Optional;
    std::string_view unit;        //!< Empty: none.
    std::string_view defaultText; //!< Empty: the key stays unset.
    double min = 0;               //!< Least value, or least length of a text or list.
    double max = 0;               //!< Greatest value, or greatest length of a text or list.
    std::span<const std::string_view> choices;
    std::string_view description;
};

using KeyValue = std::variant<std::string, std::int64_t, double, std::vector<std::string>>;
//! Messages about faults, one for each fault.
using Faults = std::vector<std::string>;

//! A key and the function that stores its checked value, of the alternative that its type implies.
template<typename Target>
struct KeyEntry
{
    KeyDescription description;
    void (*store)(Target &target, const KeyValue &value) = nullptr;
};

inline constexpr double kMaxNameBytes = 64;

template<typename Target>
KeyEntry<Target> nameEntry(std::string_view name, std::string_view description,
                           void (*store)(Target &, const KeyValue &))
{
    return { { name, KeyType::Name, KeyNeed::Required, {}, {}, 1, kMaxNameBytes, {}, description },
             store };
}

template<typename Target>
KeyEntry<Target>
integerEntry(std::string_view name, std::string_view unit, std::string_view defaultText, double min,
             double max, std::string_view description, void (*store)(Target &, const KeyValue &))
{
    return {
        { name, KeyType::Integer, KeyNeed::Optional, unit, defaultText, min, max, {}, description },
        store
    };
}

//! Stores a number of units of \a Period as a Duration; fractions of a microsecond are dropped.
template<typename Period, typename Target, auto... path>
void storeDurationTo(Target &target, const KeyValue &value)
{
    using Number = std::chrono::duration<double, Period>;
    static_assert(std::same_as<std::remove_cvref_t<decltype((target.*....*path))>, Duration>);
    (target.*....*path) = std::chrono::duration_cast<Duration>(Number(std::get<double>(value)));
}

template<typename Period>
inline constexpr std::string_view kPeriodUnit = "s";
template<>
inline constexpr std::string_view kPeriodUnit<std::milli> = "ms";

//! A key that holds a time in units of \a Period, which may be a fraction, in the member of type
//! Duration that \a path leads to.
template<typename Target, typename Period, auto... path>
KeyEntry<Target> durationEntry(std::string_view name, std::string_view defaultText, double min,
                               double max, std::string_view description)
{
    return { { name,
               KeyType::Number,
               KeyNeed::Optional,
               kPeriodUnit<Period>,
               defaultText,
               min,
               max,
               {},
               description },
             storeDurationTo<Period, Target, path...> };
}

template<typename Target>
KeyEntry<Target> choiceEntry(std::string_view name, KeyNeed need, std::string_view defaultText,
                             std::span<const std::string_view> choices,
                             std::string_view description,
                             void (*store)(Target &, const KeyValue &))
{
    return { { name, KeyType::Choice, need, {}, defaultText, 0, 0, choices, description }, store };
}

//! Returns which of \a choices \a value is. Precondition: it is one of them.
template<typename Enum>
Enum choiceOf(std::span<const std::string_view> choices, const KeyValue &value)
{
    return static_cast<Enum>(std::find(choices.begin(), choices.end(), std::get<std::string>(value))
                             - choices.begin());
}

//! Converts a checked value to the type of the member that holds it. Safe from any thread.
template<typename Member>
void assignKeyValue(Member &member, const KeyValue &value)
{
    if constexpr (requires { member.emplace(); }) {
        assignKeyValue(member.emplace(), value);
    } else if constexpr (requires { typename Member::ValueType; }) {
        typename Member::ValueType inner {};
        assignKeyValue(inner, value);
        member = Member(std::move(inner));
    } else if constexpr (requires { member.emplace_back(); }) {
        member.clear();
        for (const auto &text : std::get<std::vector<std::string>>(value))
            member.emplace_back(text);
    } else if constexpr (std::same_as<Member, std::string>) {
        member = std::get<std::string>(value);
    } else if constexpr (std::same_as<Member, double>) {
        member = std::get<double>(value);
    } else {
        member = static_cast<Member>(std::get<std::int64_t>(value));
    }
}

//! Stores a value in the member of \a target that the pointers to members lead to.
template<typename Target, auto... path>
void storeTo(Target &target, const KeyValue &value)
{
    assignKeyValue((target.*....*path), value);
}

//! What values \a key allows, such as "an integer from 1 to 10 (ms)". Safe from any thread.
std::string describeAllowed(const KeyDescription &key);
/*!
    Checks \a value against \a key. Adds a fault that begins with \a position and returns nothing
    if it is not allowed. Safe from any thread.
*/
std::optional<KeyValue> checkKeyValue(const KeyDescription &key, const TomlValue &value,
                                      const std::string &position, Faults &faults);
/*!
    Converts \a text, from a command line or a default, to the kind of value that \a key has in
    TOML; lists are separated by commas. Safe from any thread.
*/
TomlValue tomlValueFromText(const KeyDescription &key, std::string_view text);
//! Returns a row, or the whole, of a reference table in Markdown. Safe from any thread.
std::string keyReference(const KeyDescription &key);
template<typename Target>
std::string keyReference(std::span<const KeyEntry<Target>> entries)
{
    std::string text = "| key | default | allowed | description |\n|---|---|---|---|\n";
    for (const auto &entry : entries)
        text += keyReference(entry.description);
    return text;
}
//! Returns \a faults in one text, one on each line. Safe from any thread.
std::string joinFaults(const Faults &faults);

/*!
    Stores the values of \a table in \a target, and the defaults of the keys that are missing. Adds
    a fault for each unknown or missing key and each value that is not allowed. Safe from any
   thread.
*/
template<typename Target>
void readKeys(const TomlTable &table, std::span<const KeyEntry<Target>> entries, Target &target,
              Faults &faults)
{
    for (const auto &found : table.values) {
        if (std::none_of(entries.begin(), entries.end(),
                         [&](const auto &entry) { return entry.description.name == found.first; }))
            faults.push_back(table.position(found.second.line) + ": unknown key " + found.first);
    }
    for (const auto &[key, store] : entries) {
        const auto found = table.values.find(key.name);
        if (found != table.values.end()) {
            auto value =
                checkKeyValue(key, found->second, table.position(found->second.line), faults);
            if (value)
                store(target, *value);
        } else if (key.need == KeyNeed::Required) {
            faults.push_back(table.position(table.line) + ": " + std::string(key.name)
                             + " is missing; allowed is " + describeAllowed(key));
        } else if (!key.defaultText.empty()) {
            auto value =
                checkKeyValue(key, tomlValueFromText(key, key.defaultText), "default", faults);
            if (value)
                store(target, *value);
        }
    }
}

} // namespace crocusport

#endif // CROCUSPORT_KEYTABLE_H
