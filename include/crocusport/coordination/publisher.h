#ifndef CROCUSPORT_PUBLISHER_H
#define CROCUSPORT_PUBLISHER_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/identifiers.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace crocusport {

inline constexpr const char *kConfigurationKey = "/crocusport/configuration";

//! What identifies a published document.
struct PublishedDocument
{
    ConfigurationVersion version;
    std::string publishId;
};

//! A document to publish.
struct Publication
{
    std::string publishId; //!< Unique for each call of Publisher::publish().
    //! Makes the document.
    std::function<std::string(ConfigurationVersion version, const std::string &publishId)> encode;
    //! Reads what identifies a stored document; nothing if it is malformed.
    std::function<std::optional<PublishedDocument>(const std::string &value)> decode;
    //! Checks the new document against the stored one, if any; may be empty.
    std::function<std::optional<Error>(const std::optional<std::string> &current)> validate;
};

/*!
    Publishes a configuration by compare-and-swap (docs/design.md section 4.3).

    The result is the version, or an Error: PublishConflict (somebody else published meanwhile; this
    document was not published), OutcomeUnknown (this document may have been published, and may have
    been replaced since), StoreUnavailable (not published), or what validate() returned.

    Precondition: the store outlives the calls made to it. Thread safety: loop thread only.
*/
template<KeyValueStore Store>
class Publisher
{
public:
    using Callback = std::function<void(AsyncResult<ConfigurationVersion>)>;

    explicit Publisher(Store &store) : store_(&store) { }

    void publish(Publication publication, Callback onDone)
    {
        auto call = std::make_shared<Call>(
            Call { store_, std::move(publication), std::move(onDone), {}, {}, 0 });
        read(call);
    }

private:
    //! Attempts of each step. Each one takes up to the store client's timeout.
    static constexpr int kMaxAttempts = 5;

    struct Call
    {
        Store *store;
        Publication publication;
        Callback onDone;
        CompareAndSwap swap;
        ConfigurationVersion version;
        int failures;

        void fail(ResultCode code, std::string message)
        {
            onDone(Error { code, std::move(message) });
        }
    };
    using CallPointer = std::shared_ptr<Call>;

    static void read(const CallPointer &call)
    {
        call->store->get(kConfigurationKey, [call](AsyncResult<std::optional<StoreEntry>> result) {
            if (const auto *const error = std::get_if<Error>(&result)) {
                if (++call->failures < kMaxAttempts)
                    read(call);
                else
                    call->fail(ResultCode::StoreUnavailable, "not published: " + error->message);
                return;
            }
            prepare(call, std::get<0>(result));
        });
    }

    static void prepare(const CallPointer &call, const std::optional<StoreEntry> &current)
    {
        const auto &publication = call->publication;
        std::optional<PublishedDocument> stored;
        if (current) {
            stored = publication.decode(current->value);
            if (!stored) {
                call->fail(ResultCode::StoreError,
                           "not published: the stored document is malformed");
                return;
            }
        }
        if (publication.validate) {
            const auto error =
                publication.validate(current ? std::optional(current->value) : std::nullopt);
            if (error) {
                call->onDone(*error);
                return;
            }
        }
        call->version = ConfigurationVersion(stored ? stored->version.value() + 1 : 1);
        call->swap = { kConfigurationKey, publication.encode(call->version, publication.publishId),
                       current ? current->modRevision : 0, std::nullopt };
        call->failures = 0;
        write(call);
    }

    static void write(const CallPointer &call)
    {
        call->store->compareAndSwap(call->swap, [call](AsyncResult<SwapReply> result) {
            if (const auto *const reply = std::get_if<SwapReply>(&result)) {
                if (reply->isSwapped)
                    call->onDone(call->version);
                else
                    judge(call, reply->current);
                return;
            }
            ++call->failures;
            readBack(call);
        });
    }

    //! Finds out whether a write whose reply was lost took effect.
    static void readBack(const CallPointer &call)
    {
        if (call->failures >= kMaxAttempts) {
            call->fail(ResultCode::OutcomeUnknown,
                       "version " + std::to_string(call->version.value())
                           + " may have been published: the store does not answer");
            return;
        }
        call->store->get(kConfigurationKey, [call](AsyncResult<std::optional<StoreEntry>> result) {
            const auto *const entry = std::get_if<std::optional<StoreEntry>>(&result);
            if (!entry) {
                ++call->failures;
                readBack(call);
            } else if ((*entry ? (*entry)->modRevision : 0) == call->swap.expectedRevision) {
                // Not written, or not yet: the same write again has the same effect.
                write(call);
            } else {
                judge(call, *entry);
            }
        });
    }

    //! The key has changed since it was read: by this call or by another publisher.
    static void judge(const CallPointer &call, const std::optional<StoreEntry> &current)
    {
        const auto stored = current ? call->publication.decode(current->value) : std::nullopt;
        if (stored && stored->publishId == call->publication.publishId) {
            call->onDone(call->version);
            return;
        }
        // A write whose reply was lost may have been replaced by a later publication already.
        const bool isCertain = call->failures == 0 || (stored && stored->version == call->version);
        if (isCertain)
            call->fail(ResultCode::PublishConflict,
                       "not published: another publisher changed the configuration");
        else
            call->fail(ResultCode::OutcomeUnknown,
                       "version " + std::to_string(call->version.value())
                           + " may have been published and replaced");
    }

    Store *store_;
};

} // namespace crocusport

#endif // CROCUSPORT_PUBLISHER_H
