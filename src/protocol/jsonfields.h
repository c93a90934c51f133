#ifndef CROCUSPORT_JSONFIELDS_H
#define CROCUSPORT_JSONFIELDS_H

#include "enumnames.h"

#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace crocusport {

// One function `void describe(auto &fields, Is<T> auto &value)` for each structure names its keys;
// FieldWriter and FieldReader both run it, so that what is written and what is read cannot differ.

template<typename T, typename Structure>
concept Is = std::same_as<std::remove_const_t<T>, Structure>;

//! Longer durations are malformed, so that adding one to a time cannot overflow.
inline constexpr std::chrono::hours kMaxTransmittedDuration { 24 * 30 };

template<typename T>
concept StrongValue = requires
{
    typename T::ValueType;
};

template<typename T>
inline constexpr bool kIsDuration = false;
template<typename Count, typename Period>
inline constexpr bool kIsDuration<std::chrono::duration<Count, Period>> = true;
template<typename T>
inline constexpr bool kIsVector = false;
template<typename T>
inline constexpr bool kIsVector<std::vector<T>> = true;

template<typename T>
inline constexpr bool kIsMap = false;
template<typename Key, typename T>
inline constexpr bool kIsMap<std::map<Key, T>> = true;

//! Builds a JSON object from the fields that describe() names. Thread safety: none.
class FieldWriter
{
public:
    //! Adds a field.
    template<typename T>
    void required(const char *key, const T &value)
    {
        object_[key] = toJson(value);
    }

    //! Adds a field that readers may miss.
    template<typename T>
    void defaulted(const char *key, const T &value)
    {
        required(key, value);
    }

    //! Adds a field if it has a value.
    template<typename T>
    void optional(const char *key, const std::optional<T> &value)
    {
        if (value)
            required(key, *value);
    }

    //! Adds a byte string, which only CBOR can carry.
    void bytes(const char *key, const std::string &value)
    {
        object_[key] = nlohmann::json::binary({ value.begin(), value.end() });
    }

    //! Adds a byte string as base64, which JSON can carry.
    void base64(const char *key, const std::string &value);
    void optionalBase64(const char *key, const std::optional<std::string> &value);
    //! Adds a 64-bit integer as text, as in the JSON mapping of Protocol Buffers.
    void decimal(const char *key, std::int64_t value) { object_[key] = std::to_string(value); }

    nlohmann::json take() { return std::move(object_); }

    template<typename T>
    static nlohmann::json toJson(const T &value)
    {
        if constexpr (StrongValue<T>) {
            return toJson(value.value());
        } else if constexpr (kIsDuration<T>) {
            const T limit = std::chrono::duration_cast<T>(kMaxTransmittedDuration);
            return std::clamp(value, -limit, limit).count();
        } else if constexpr (std::is_enum_v<T>) {
            return EnumNames<T>::kNames.at(static_cast<std::size_t>(value));
        } else if constexpr (kIsVector<T>) {
            auto array = nlohmann::json::array();
            for (const auto &element : value)
                array.push_back(toJson(element));
            return array;
        } else if constexpr (kIsMap<T>) {
            auto object = nlohmann::json::object();
            for (const auto &[key, element] : value)
                object[key.value()] = toJson(element);
            return object;
        } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
            return value;
        } else {
            FieldWriter writer;
            describe(writer, value);
            return writer.take();
        }
    }

private:
    nlohmann::json object_ = nlohmann::json::object();
};

/*!
    Reads the fields that describe() names from a JSON value of unknown origin. Fields that are not
    named are ignored. Never throws; the first fault is kept as error(). Thread safety: none.
*/
class FieldReader
{
public:
    //! \a object must outlive the reader.
    explicit FieldReader(const nlohmann::json &object);

    //! Reads a field that must be present.
    template<typename T>
    void required(const char *key, T &value)
    {
        if (const auto *json = find(key))
            read(key, *json, value);
        else
            fail(key, "is missing");
    }

    //! Reads a field; leaves \a value as it is when there is none.
    template<typename T>
    void defaulted(const char *key, T &value)
    {
        if (const auto *json = find(key))
            read(key, *json, value);
    }

    //! Reads a field that may be absent.
    template<typename T>
    void optional(const char *key, std::optional<T> &value)
    {
        value.reset();
        if (const auto *json = find(key))
            read(key, *json, value.emplace());
    }

    //! Reads a byte string that must be present.
    void bytes(const char *key, std::string &value);

    //! Reads base64; an absent field is empty, as in the JSON mapping of Protocol Buffers.
    void base64(const char *key, std::string &value);
    void optionalBase64(const char *key, std::optional<std::string> &value);
    //! Reads a 64-bit integer that may be text; an absent one is 0.
    void decimal(const char *key, std::int64_t &value);

    //! Records a fault of the field \a key, unless there is one already.
    void fail(std::string_view key, std::string_view fault);

    //! The first fault, such as "updates.zone is missing"; empty when there was none.
    const std::string &error() const { return error_; }

private:
    const nlohmann::json *find(const char *key) const;
    void readString(const char *key, const nlohmann::json &json, std::string &value);
    void readBool(const char *key, const nlohmann::json &json, bool &value);
    void readDouble(const char *key, const nlohmann::json &json, double &value);
    std::optional<std::int64_t> readSigned(const char *key, const nlohmann::json &json,
                                           std::int64_t min, std::int64_t max);
    std::optional<std::uint64_t> readUnsigned(const char *key, const nlohmann::json &json,
                                              std::uint64_t max);
    std::size_t readName(const char *key, const nlohmann::json &json, const std::string_view *names,
                         std::size_t count);

    template<typename T>
    void read(const char *key, const nlohmann::json &json, T &value)
    {
        if constexpr (std::same_as<T, Tier>) {
            value = Tier(static_cast<int>(
                readSigned(key, json, kUrgentTier, kLowestTier).value_or(kLowestTier)));
        } else if constexpr (StrongValue<T>) {
            typename T::ValueType inner {};
            read(key, json, inner);
            value = T(std::move(inner));
        } else if constexpr (kIsDuration<T>) {
            readDuration(key, json, value);
        } else if constexpr (std::is_enum_v<T>) {
            static constexpr auto &kNames = EnumNames<T>::kNames;
            value = static_cast<T>(readName(key, json, kNames.data(), kNames.size()));
        } else if constexpr (kIsVector<T>) {
            readVector(key, json, value);
        } else if constexpr (kIsMap<T>) {
            readMap(key, json, value);
        } else if constexpr (std::same_as<T, bool>) {
            readBool(key, json, value);
        } else if constexpr (std::unsigned_integral<T>) {
            value =
                static_cast<T>(readUnsigned(key, json, std::numeric_limits<T>::max()).value_or(0));
        } else if constexpr (std::signed_integral<T>) {
            using Limits = std::numeric_limits<T>;
            value = static_cast<T>(readSigned(key, json, Limits::min(), Limits::max()).value_or(0));
        } else if constexpr (std::same_as<T, double>) {
            readDouble(key, json, value);
        } else if constexpr (std::same_as<T, std::string>) {
            readString(key, json, value);
        } else {
            FieldReader reader(json);
            describe(reader, value);
            if (!reader.error().empty())
                fail(std::string(key) + '.' + reader.error(), {});
        }
    }

    //! Reads a number of units of the duration; a fraction of a unit is dropped.
    template<typename Count, typename Period>
    void readDuration(const char *key, const nlohmann::json &json,
                      std::chrono::duration<Count, Period> &value)
    {
        using Unit = std::chrono::duration<Count, Period>;
        const auto limit = std::chrono::duration_cast<Unit>(kMaxTransmittedDuration).count();
        const auto *real = json.get_ptr<const double *>();
        // A NaN is in no range.
        if (real && *real >= static_cast<double>(-limit) && *real <= static_cast<double>(limit))
            value = Unit(static_cast<Count>(*real));
        else
            value = Unit(readSigned(key, json, -limit, limit).value_or(0));
    }

    template<typename T>
    void readVector(const char *key, const nlohmann::json &json, std::vector<T> &value)
    {
        value.clear();
        if (!json.is_array()) {
            fail(key, "is not an array");
            return;
        }
        value.resize(json.size());
        auto element = value.begin();
        for (const auto &item : json)
            read(key, item, *element++);
    }

    template<typename Key, typename T>
    void readMap(const char *key, const nlohmann::json &json, std::map<Key, T> &value)
    {
        value.clear();
        if (!json.is_object()) {
            fail(key, "is not an object");
            return;
        }
        for (auto item = json.begin(); item != json.end(); ++item)
            read(key, item.value(), value[Key(item.key())]);
    }

    const nlohmann::json &object_;
    std::string error_;
};

} // namespace crocusport

#endif // CROCUSPORT_JSONFIELDS_H
