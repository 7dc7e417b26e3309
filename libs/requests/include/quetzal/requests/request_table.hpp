#ifndef QUETZAL_REQUESTS_REQUEST_TABLE_HPP
#define QUETZAL_REQUESTS_REQUEST_TABLE_HPP

// The requests of this incarnation by identity: at most one run for non-idempotent work, and one
// answer that every submission of the same identity shares.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <quetzal/base/digest.hpp>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/requests/answer_log.hpp>
#include <quetzal/requests/request_identity.hpp>
#include <unordered_map>
#include <utility>
#include <variant>

namespace quetzal::requests {

// Time for which a finished answer is kept.
inline constexpr duration answer_retention = std::chrono::minutes(10);

// Memory that the tables of an instance share. Thread-safe.
class memory_budget
{
public:
    explicit memory_budget(std::size_t limit) noexcept : limit_(limit) {}

    std::size_t limit() const noexcept { return limit_; }
    std::size_t used() const noexcept { return used_.load(std::memory_order_relaxed); }

    // Takes bytes if the sum stays within `bound`; returns whether it did.
    bool take(std::size_t bytes, std::size_t bound) noexcept;

    // Changes what was taken before from one number of bytes to another, whatever the limit.
    void change(std::size_t before, std::size_t after) noexcept;

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

// Bounds of one table (one shard). Copies share the budget, so that `sharded<request_table>` with
// one value of this type bounds the whole instance. The last quarter of `entries` and of the budget
// is left to idempotent work, whose answers are not kept there.
struct table_limits
{
    std::size_t entries = 8192; // running and finished
    std::size_t closed = 8192;  // identities that must not run any more, about 100 bytes each
    // A full answer log of 256 KiB, the same again for its index with the shortest frames, and four
    // receive blocks: what a running request counts for.
    std::size_t reserve = 576u << 10;
    // Finished answers, and `reserve` for each running request.
    std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(96u << 20);
};

// A request as a caller sent it. The identity has been verified for this customer.
struct submission
{
    request_identity identity;
    customer_id customer;
    digest body{}; // of everything that decides what runs: class and body
    bool idempotent = true;
};

// The caller's request is the first of its identity: run it and fill the answer.
struct start_request
{
    std::shared_ptr<answer_log> answer;
};

// The request is running or has finished: read its answer.
struct attach_to_answer
{
    std::shared_ptr<answer_log> answer;
};

using submit_action = std::variant<start_request, attach_to_answer, failure>;

// The request is running: call `pipeline_run::cancel`.
struct cancel_running
{
    std::shared_ptr<answer_log> answer;
};

using cancel_action = std::variant<cancel_running, attach_to_answer, failure>;

enum class request_state
{
    unseen,
    running,
    finished,
    forgotten // closed, or its answer dropped; never runs under this identity
};

// Not thread-safe; shard it by `request_identity::sequence`. All identities in it are of the own
// incarnation. The answers must be used under the same lock as the table.
class request_table
{
public:
    explicit request_table(table_limits limits = {}) : limits_(std::move(limits)) {}
    ~request_table();
    request_table(const request_table&) = delete;
    request_table& operator=(const request_table&) = delete;

    // Decides a submission. Failures:
    // - `not_found`, `may_have_run`: the identity was first used by another customer; the text is
    //   that of an identity without a request, so nothing is revealed
    // - `invalid_request`, `may_have_run`: the body differs from the first submission's, which may
    //   have run
    // - `identity_expired`, `may_have_run`: older than `identity_validity` and not in the table
    // - `identity_expired` with the verdict of the request: the identity was closed without a run,
    // or
    //   its answer was dropped; the caller takes a new one
    // - `overloaded`, `not_run`: the table is full. The identity of non-idempotent work is closed,
    //   so that a delayed copy of the submission cannot run after this answer. Where even the list
    //   of closed identities is full, the verdict is `may_have_run`.
    submit_action submit(const submission& request, time_point now);

    // Ends the request's answer and starts its retention. Non-idempotent work that did not run is
    // forgotten at once and its identity closed, because a delayed copy of the submission must not
    // run after the caller was told `not_run`; idempotent work that did not run may be submitted
    // again. Idempotent work that gave any answer is not run again under the same identity, because
    // a reader could join parts of two answers. Unknown sequence numbers are ignored.
    void finish(std::uint64_t sequence, answer_end how, time_point now);

    // Decides a caller's `DELETE`. An identity without a request is closed, which gives `not_run`
    // with `cancelled`. A finished request is attached to. Other failures as for `submit`.
    cancel_action cancel(const request_identity& identity, const customer_id& customer,
                         time_point now);

    // Returns the answer of a request that a caller resumes by identity alone. Failures as for
    // `submit`, and `not_found` with `may_have_run` for identities without a request: the
    // submission may still be on its way.
    result<std::shared_ptr<answer_log>> find(const request_identity& identity,
                                             const customer_id& customer, time_point now) const;

    request_state state(std::uint64_t sequence) const;

    // Drops answers and closed identities that are past their time. Call about once a second.
    void expire(time_point now);

    std::size_t size() const noexcept { return entries_.size(); }
    std::size_t closed() const noexcept { return closed_.size(); }

    // Bytes that this table has taken of the budget.
    std::size_t memory() const noexcept { return bytes_; }

private:
    struct entry
    {
        customer_id customer;
        digest body{};
        bool idempotent = true;
        bool running = true;
        bool kept = true; // false: in the last quarter, dropped when it finishes
        std::size_t charge = 0;
        time_point drop_at{}; // when finished
        std::shared_ptr<answer_log> answer;
    };

    // An identity that must not run any more.
    struct closed_identity
    {
        std::uint64_t customer_hash = 0;
        verdict run = verdict::not_run;
    };

    // A sequence number with the time at which its entry goes.
    struct due
    {
        time_point at{};
        std::uint64_t sequence = 0;
    };

    submit_action admit(const submission& request, time_point now);
    std::optional<failure> refusal(const request_identity& identity, const customer_id& customer,
                                   time_point now) const;
    bool take(std::size_t entries, std::size_t bytes) noexcept;
    bool take_kept(time_point now);
    bool close(std::uint64_t sequence, const customer_id& customer, verdict run, time_point now);
    bool retire(std::uint64_t sequence, time_point now);
    void drop(std::uint64_t sequence);

    table_limits limits_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::unordered_map<std::uint64_t, closed_identity> closed_;
    std::deque<due> finished_;            // in the order of their ends
    std::deque<std::uint64_t> droppable_; // finished idempotent work
    std::deque<due> closed_due_;
    std::size_t bytes_ = 0;
};

} // namespace quetzal::requests

#endif
