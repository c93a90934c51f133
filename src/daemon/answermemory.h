#ifndef CROCUSPORT_ANSWERMEMORY_H
#define CROCUSPORT_ANSWERMEMORY_H

#include <cstddef>

namespace crocusport {

/*!
    Limits the memory for responses that cannot be forwarded yet: incomplete bodies, incomplete
    events, and bytes that callers have not read.

    Load pattern: many faulty servers send endless responses at the same time, and the router's host
    has little memory. Each response may hold a small fixed number of bytes, so that responses of
    usual size always pass. All responses share the remaining memory.

    Thread safety: none; use from one thread.
*/
class AnswerMemory
{
public:
    //! The memory that one response holds; the destructor releases it. A share must not outlive its
    //! AnswerMemory.
    class Share
    {
    public:
        explicit Share(AnswerMemory &memory) : memory_(memory) { }
        ~Share() { release(); }

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /*!
            Sets the number of bytes that the response holds. Returns false if the limits do not
            allow \a bytes; the share then keeps its former size, and the response should be
            aborted.
        */
        bool resize(std::size_t bytes);
        void release() { resize(0); }

    private:
        AnswerMemory &memory_;
        std::size_t borrowed_ = 0; //!< Bytes of the shared memory that the response holds.
    };

    //! All responses share \a sharedBytes, in addition to kOwnBytes for each response.
    explicit AnswerMemory(std::size_t sharedBytes) : sharedBytes_(sharedBytes) { }

    std::size_t borrowedBytes() const { return borrowedBytes_; }

    //! Bytes for each response alone: twice the largest usual body of pools without model engines.
    static constexpr std::size_t kOwnBytes = 16UL * 1024;
    //! One response holds at most the shared memory divided by this number.
    static constexpr std::size_t kMaxPartOfShared = 3;

private:
    std::size_t sharedBytes_;
    std::size_t borrowedBytes_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ANSWERMEMORY_H
