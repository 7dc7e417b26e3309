#ifndef QUETZAL_REQUESTS_REQUEST_TABLE_HPP
#define QUETZAL_REQUESTS_REQUEST_TABLE_HPP

// The requests of this incarnation by identity. Guarantees at most one run of non-idempotent work,
// and one answer shared by all submissions of the same identity.

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

// How long a finished answer is retained.
inline constexpr duration answer_retention = std::chrono::minutes(10);

// Memory budget shared by the tables of an instance. Thread-safe.
class memory_budget
{
public:
    explicit memory_budget(std::size_t limit) noexcept : limit_(limit) {}

    std::size_t limit() const noexcept { return limit_; }
    std::size_t used() const noexcept { return used_.load(std::memory_order_relaxed); }

    // Reserves bytes if the total stays within `bound`. Returns whether they were reserved.
    bool try_reserve(std::size_t bytes, std::size_t bound) noexcept;

    // Changes a reservation from `before` to `after` bytes, regardless of the limit.
    void adjust(std::size_t before, std::size_t after) noexcept;

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

// Bounds of one table (one shard). Copies share the budget, so that `sharded<request_table>` with
// one value of this type bounds the whole instance. The last quarter of `entries` and of the budget
// is reserved for idempotent work, whose answers are not retained there.
struct table_limits
{
    std::size_t entries = 8192; // running and finished
    std::size_t closed = 8192;  // identities that must not run again, about 100 bytes each
    // Bytes charged for each running request: a full answer log of 256 KiB, the same amount for its
    // index with the shortest frames, and four receive blocks.
    std::size_t reserve = 576u << 10;
    // Covers the finished answers, and `reserve` for each running request.
    std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(96u << 20);
};

// A request as sent by a caller. The identity has been verified for this customer.
struct submission
{
    request_identity identity;
    customer_id customer;
    digest body{}; // of everything that determines what runs: class and body
    bool idempotent = true;
};

// This is the first submission of the identity: run the request and fill the answer.
struct start_request
{
    std::shared_ptr<answer_log> answer;
};

// The request is running or finished: read its answer.
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
    unknown,
    running,
    finished,
    closed // rejected, cancelled or its answer dropped; the identity never runs again
};

// Not thread-safe; shard by `request_identity::sequence`. All identities in the table were issued
// by this incarnation. The answers must be accessed under the same lock as the table.
class request_table
{
public:
    explicit request_table(table_limits limits = {}) : limits_(std::move(limits)) {}
    ~request_table();
    request_table(const request_table&) = delete;
    request_table& operator=(const request_table&) = delete;

    // Decides what to do with a submission. Failures:
    // - `not_found`, `may_have_run`: the identity was first used by another customer. The text is
    //   the same as for an identity without a request, so that nothing is revealed.
    // - `invalid_request`, `may_have_run`: the body differs from that of the first submission, or
    //   the identity was issued in the future. The first submission may have run.
    // - `identity_expired`, `may_have_run`: the identity is older than `identity_validity` and has
    //   no entry in the table.
    // - `identity_expired` with the verdict of the request: the identity was closed without a run,
    //   or its answer was dropped. The caller needs a new identity.
    // - `overloaded`, `not_run`: the table is full. The identity of non-idempotent work is closed,
    //   so that a delayed copy of the submission cannot run after this failure was reported. If the
    //   set of closed identities is full as well, the verdict is `may_have_run`.
    submit_action submit(const submission& request, time_point now);

    // Ends the request's answer and starts its retention. Non-idempotent work that did not run is
    // removed immediately and its identity closed, because a delayed copy of the submission must
    // not run after the caller was told `not_run`. Idempotent work that did not run may be
    // submitted again. Idempotent work that may have run does not run again under the same
    // identity, because a reader could combine parts of two answers. Unknown sequence numbers are
    // ignored.
    void finish(std::uint64_t sequence, answer_end outcome, time_point now);

    // Decides what to do with a caller's `DELETE`. An identity without a request is closed, and the
    // result is a failure `not_run` with `cancelled`. For a finished request the result is
    // `attach_to_answer`. Other failures are those of `submit`.
    cancel_action cancel(const request_identity& identity, const customer_id& customer,
                         time_point now);

    // Returns the answer of a request that a caller resumes by its identity only. Failures are
    // those of `submit`, and `not_found` with `may_have_run` for an identity without a request,
    // whose submission may still be in transit.
    result<std::shared_ptr<answer_log>> find(const request_identity& identity,
                                             const customer_id& customer, time_point now) const;

    request_state state(std::uint64_t sequence) const;

    // Drops expired answers and closed identities. Call about once per second.
    void expire(time_point now);

    std::size_t size() const noexcept { return entries_.size(); }
    std::size_t closed() const noexcept { return closed_.size(); }

    // Bytes that this table has reserved from the budget.
    std::size_t memory() const noexcept { return bytes_; }

private:
    struct entry
    {
        customer_id customer;
        digest body{};
        bool idempotent = true;
        bool running = true;
        bool retained = true; // false in the last quarter: dropped when it finishes
        std::size_t charge = 0;
        time_point expires_at{}; // set when finished
        std::shared_ptr<answer_log> answer;
    };

    // An identity that must not run again.
    struct closed_identity
    {
        std::uint64_t customer_hash = 0;
        verdict run = verdict::not_run;
    };

    // The time at which the entry of a sequence number expires.
    struct expiry
    {
        time_point at{};
        std::uint64_t sequence = 0;
    };

    submit_action admit(const submission& request, time_point now);
    std::optional<failure> rejection(const request_identity& identity, const customer_id& customer,
                                     time_point now) const;
    bool try_reserve(std::size_t entries, std::size_t bytes) noexcept;
    bool try_reserve_retained(time_point now);
    bool close(std::uint64_t sequence, const customer_id& customer, verdict run, time_point now);
    bool retire(std::uint64_t sequence, time_point now);
    void drop(std::uint64_t sequence);

    table_limits limits_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::unordered_map<std::uint64_t, closed_identity> closed_;
    std::deque<expiry> finished_expiries_; // in the order in which requests finished
    std::deque<std::uint64_t> evictable_;  // finished idempotent requests
    std::deque<expiry> closed_expiries_;
    std::size_t bytes_ = 0;
};

} // namespace quetzal::requests

#endif
