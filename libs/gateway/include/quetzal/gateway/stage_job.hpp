#ifndef QUETZAL_GATEWAY_STAGE_JOB_HPP
#define QUETZAL_GATEWAY_STAGE_JOB_HPP

// The stages of one request, as the instances of the fleet send them to each other.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace quetzal::gateway {

// Identifies one submission of a job to the instance that schedules it. Neither a restart of the
// submitting instance nor a further submission of the job yields an identifier a second time, so
// that a late message about another submission is recognized.
struct submission_id
{
    std::uint64_t process = 0; // that serves the request, see `member_record`
    std::uint64_t ticket = 0;  // identifies the job in that process
    std::uint32_t attempt = 0; // number of this submission of the job, from 1

    friend bool operator==(const submission_id&, const submission_id&) = default;

    friend bool operator<(const submission_id& left, const submission_id& right)
    {
        return std::tie(left.process, left.ticket, left.attempt) <
               std::tie(right.process, right.ticket, right.attempt);
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process, ticket, attempt);
    }
};

// One stage of a job.
struct job_stage
{
    std::string service;
    std::vector<std::uint32_t> after; // indexes of the stages whose results this stage needs
    std::uint64_t result_size = 0;    // bytes, approximate
    std::uint32_t pieces = 0;         // 0: the stage is skipped

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, after, result_size, pieces);
    }
};

// All stages of one request. Times are relative to the moment when the job is sent.
struct stage_job
{
    std::string request_id;
    std::string piece_key;
    std::vector<job_stage> stages;
    std::int32_t priority = 0;          // 0 is the most urgent
    std::int32_t latency_budget_ms = 0; // until the results are too late for the latency target
    std::uint32_t remaining_ms = 0;     // until the deadline
    std::string zone;                   // where the results are needed; empty: any zone
    std::string customer;               // of the request; may be empty

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request_id, piece_key, stages, priority, latency_budget_ms, remaining_ms, zone,
                customer);
    }
};

enum class job_status : std::uint8_t
{
    done,
    refused,           // cannot finish in time at the current load; no piece was run
    deadline_exceeded, // was admitted and can no longer finish in time
    failed,            // a piece could not be run
    handed_back        // another instance schedules the stages now; no piece was run
};

// Outcome of a job.
struct job_outcome
{
    job_status status = job_status::failed;
    std::vector<std::string> results; // handles of the results that the request needs
    std::uint32_t retry_after_ms = 0; // after which a retry may succeed
    std::uint32_t expected_ms = 0;    // expected time of the stages, if refused
    std::int32_t allowed_ms = 0;      // longest time that was allowed for the stages, if refused

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, results, retry_after_ms, expected_ms, allowed_ms);
    }
};

} // namespace quetzal::gateway

#endif
