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

//! The version and the id that identify a published document.
struct PublishedDocument
{
    ConfigurationVersion version;
    std::string publishId;
};

//! A document to publish.
struct Publication
{
    std::string publishId; //!< Unique for each call of Publisher::publish().
    //! Returns the document with the given version and id.
    std::function<std::string(ConfigurationVersion version, const std::string &publishId)> encode;
    //! Returns what identifies a stored document; nothing if the document is malformed.
    std::function<std::optional<PublishedDocument>(const std::string &value)> decode;
    //! Returns an error if the new document may not replace \a current, the stored document, which
    //! is nothing if there is none. If the function is empty, no check is made.
    std::function<std::optional<Error>(const std::optional<std::string> &current)> validate;
};

/*!
    Publishes a configuration by compare-and-swap (docs/design.md section 4.3).

    The result is the version of the document, or one of these errors:
    - PublishConflict: another publisher changed the configuration meanwhile; not published.
    - OutcomeUnknown: the document may have been published, and may have been replaced since.
    - StoreUnavailable: the store could not be read; not published.
    - StoreError: the stored document is malformed; not published.
    - The error that validate() returned; not published.

    Precondition: the store outlives all publications, up to their callbacks. Thread safety: loop
    thread only.
*/
template<KeyValueStore Store>
class Publisher
{
public:
    using Callback = std::function<void(AsyncResult<ConfigurationVersion>)>;

    explicit Publisher(Store &store) : store_(&store) { }

    //! Publishes a document and calls \a onDone once with the result.
    void publish(Publication publication, Callback onDone)
    {
        auto call = std::make_shared<Call>(
            Call { store_, std::move(publication), std::move(onDone), {}, {}, 0 });
        read(call);
    }

private:
    //! Failed calls to the store after which the reading step or the writing step is given up. Each
    //! call takes up to the store client's timeout.
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
                    reportChangedKey(call, reply->current);
                return;
            }
            ++call->failures;
            readBack(call);
        });
    }

    //! Reads the key to find out whether a write, whose reply was lost, took effect.
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
                // The write has not taken effect so far. Repeating it is safe, because only one
                // write with this expected revision can succeed.
                write(call);
            } else {
                reportChangedKey(call, *entry);
            }
        });
    }

    //! Reports the result when the key has changed since it was read, by a write of this call or by
    //! another publisher.
    static void reportChangedKey(const CallPointer &call, const std::optional<StoreEntry> &current)
    {
        const auto stored = current ? call->publication.decode(current->value) : std::nullopt;
        if (stored && stored->publishId == call->publication.publishId) {
            call->onDone(call->version);
            return;
        }
        // If a reply was lost, this document may have been published and replaced since. That is
        // excluded if the store has another document with the same version.
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
