#ifndef QUETZAL_GATEWAY_STAGE_JOB_HPP
#define QUETZAL_GATEWAY_STAGE_JOB_HPP

// The stages of one request as the instances of the fleet hand them to each other.

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::gateway {

// One stage of a job.
struct job_stage
{
    std::string service;
    std::vector<std::uint32_t> after; // indexes of the stages whose results it needs
    std::uint64_t result_size = 0;    // bytes, approximate
    std::uint32_t pieces = 0;         // 0: left out

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, after, result_size, pieces);
    }
};

// All stages of one request. Times are what is left when the job is sent.
struct stage_job
{
    std::string request_id;
    std::string piece_key;
    std::vector<job_stage> stages;
    std::int32_t priority = 0;      // 0 is the most urgent
    std::int32_t useful_ms = 0;     // until the results are too late for the latency target
    std::uint32_t remaining_ms = 0; // until the deadline
    std::string zone;               // where the results are wanted; empty: anywhere

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request_id, piece_key, stages, priority, useful_ms, remaining_ms, zone);
    }
};

enum class job_fate : std::uint8_t
{
    done,
    refused, // cannot be in time at the present load; nothing was made
    late,    // was admitted and can no longer be in time
    failed,  // a piece could not be made
    moved    // another instance conducts now; nothing was made
};

// What became of a job.
struct job_outcome
{
    job_fate fate = job_fate::failed;
    std::vector<std::string> results; // handles that the request itself needs
    std::uint32_t retry_after_ms = 0; // when another try has a chance
    std::uint32_t expected_ms = 0;    // time that the stages would have taken, if refused
    std::int32_t allowed_ms = 0;      // time that they were allowed, if refused

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(fate, results, retry_after_ms, expected_ms, allowed_ms);
    }
};

} // namespace quetzal::gateway

#endif
