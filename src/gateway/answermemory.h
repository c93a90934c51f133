#ifndef CROCUSPORT_ANSWERMEMORY_H
#define CROCUSPORT_ANSWERMEMORY_H

#include <cstddef>

namespace crocusport {

/*!
    The memory in which answers may wait that cannot be passed on yet: bodies that are not whole,
    events that have not ended, and what callers have not read.

    Answers the load pattern of servers in trouble that send without end, many at once, to a host
    with little memory: each answer has a small part of its own, so that usual answers always pass,
    and all of them share the rest.

    Thread safety: none; use from one thread.
*/
class AnswerMemory
{
public:
    //! What one answer holds; gives it back at its end. The memory must outlive it.
    class Share
    {
    public:
        explicit Share(AnswerMemory &memory) : memory_(memory) { }
        ~Share() { release(); }

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /*!
            Sets what the answer holds. Returns whether it may hold \a bytes; if not, it keeps what
            it had, and its answer should be given up.
        */
        bool resize(std::size_t bytes);
        void release() { resize(0); }

    private:
        AnswerMemory &memory_;
        std::size_t borrowed_ = 0; //!< Of the shared memory.
    };

    //! \a sharedBytes are for all answers together, beyond what each may hold by itself.
    explicit AnswerMemory(std::size_t sharedBytes) : sharedBytes_(sharedBytes) { }

    std::size_t borrowedBytes() const { return borrowedBytes_; }

    //! Part of each answer for itself: two of the largest usual bodies of plain services.
    static constexpr std::size_t kOwnBytes = 16UL * 1024;
    //! One answer never takes more than this part of the shared memory.
    static constexpr std::size_t kMaxPartOfShared = 3;

private:
    std::size_t sharedBytes_;
    std::size_t borrowedBytes_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ANSWERMEMORY_H
