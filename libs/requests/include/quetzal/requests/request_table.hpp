#ifndef QUETZAL_REQUESTS_REQUEST_TABLE_HPP
#define QUETZAL_REQUESTS_REQUEST_TABLE_HPP

// The requests of this incarnation by identity: at most one run for non-idempotent work, and one
// answer that every submission of the same identity shares.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <quetzal/base/digest.hpp>
#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/requests/answer_log.hpp>
#include <quetzal/requests/request_identity.hpp>
#include <unordered_map>
#include <variant>

namespace quetzal::requests {

// Time for which a finished answer is kept.
inline constexpr duration answer_retention = std::chrono::minutes(10);

// Bounds of one table (one shard). The sum over the shards is the bound of the instance.
struct table_limits
{
    std::size_t entries = 8192;       // running and finished; idempotent work may use twice as many
    std::size_t bytes = 96u << 20;    // answers kept, and `reserve` for each running request
    std::size_t reserve = 320u << 10; // one full answer log and two receive blocks
    std::size_t closed = 65536;       // identities refused as `not_run`, about 64 bytes each
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

enum class request_state
{
    unseen,
    running,
    finished,
    forgotten // refused as `not_run`, or its answer dropped; never runs under this identity
};

// Not thread-safe; shard it by `request_identity::sequence`. All identities in it are of the own
// incarnation. The answers must be used under the same lock as the table.
class request_table
{
public:
    explicit request_table(table_limits limits = {}) : limits_(limits) {}

    // Decides a submission. Failures:
    // - `not_found`: the identity was first used by another customer; nothing more is said, verdict
    //   `may_have_run`, the same as for an unknown expired identity
    // - `invalid_request`: the body differs from the first submission's
    // - `identity_expired`, `may_have_run`: older than `identity_validity` and not in the table
    // - `overloaded`, `not_run`: the table is full. The identity of non-idempotent work is closed,
    //   so that a delayed copy of the submission cannot run after this answer. Where even the list
    //   of closed identities is full, the verdict is `may_have_run`.
    // - `not_run`: the identity was refused before; the caller takes a new one
    submit_action submit(const submission& request, time_point now);

    // Ends the request's answer and starts its retention. Non-idempotent work that did not run is
    // forgotten at once and its identity closed; idempotent work that did not run may be submitted
    // again. Unknown sequence numbers are ignored.
    void finish(std::uint64_t sequence, answer_end how, time_point now);

    // Returns the answer of a request for a customer that resumes it by identity alone. Failures as
    // for `submit`, and `not_found` for identities without a request.
    result<std::shared_ptr<answer_log>> find(const request_identity& identity,
                                             const customer_id& customer, time_point now) const;

    request_state state(std::uint64_t sequence) const;

    // Drops answers and closed identities that are past their time. Call at least once a second.
    void expire(time_point now);

    std::size_t size() const noexcept { return entries_.size(); }
    std::size_t closed() const noexcept { return closed_.size(); }

    // Bytes counted against the limit: finished answers and reserves of running requests.
    std::size_t memory() const noexcept { return bytes_; }

private:
    struct entry
    {
        customer_id customer;
        digest body{};
        bool idempotent = true;
        bool running = true;
        bool kept = true; // false: admitted beyond the limits, dropped when it finishes
        std::size_t charge = 0;
        time_point issued{};
        time_point drop_at{}; // when finished
        std::shared_ptr<answer_log> answer;
    };

    // A closed identity and whose it was.
    struct closed_identity
    {
        std::uint64_t customer_hash = 0;
        time_point until{};
    };

    submit_action admit(const submission& request, time_point now);
    submit_action revisit(const entry& known, const submission& request) const;
    bool has_room() const noexcept;
    void make_room();
    bool close(std::uint64_t sequence, const customer_id& customer, time_point issued,
               time_point now);
    void drop(std::uint64_t sequence);

    table_limits limits_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::unordered_map<std::uint64_t, closed_identity> closed_;
    std::deque<std::uint64_t> finished_;            // in the order of their ends
    std::deque<std::uint64_t> finished_idempotent_; // the part that may be dropped early
    std::size_t bytes_ = 0;
};

} // namespace quetzal::requests

#endif
