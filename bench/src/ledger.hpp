#ifndef QUETZAL_BENCH_LEDGER_HPP
#define QUETZAL_BENCH_LEDGER_HPP

// Counts what the users would see of a run. It knows the truth about every request and endpoint
// and does not depend on what a policy says.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workload.hpp"
#include <quetzal/base/verdict.hpp>

namespace quetzal::bench {

// Exact token bucket over the whole fleet.
class exact_bucket
{
public:
    exact_bucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

    // Returns the tokens at this time, which must not be earlier than the last one.
    double level(time_point now);

    void take(time_point now);

private:
    double rate_;
    double burst_;
    double level_;
    time_point at_ = start_of_run;
};

// Figures of one stage over all classes.
struct stage_figures
{
    std::uint64_t calls = 0;     // executions begun
    double slot_seconds = 0;     // time of endpoint slots
    std::uint64_t due = 0;       // requests within the rate that have this stage
    std::uint64_t completed = 0; // of these, completed the stage before the deadline
};

// Figures of one run.
struct figures
{
    std::uint64_t arrived = 0;
    std::uint64_t within_rate = 0; // arrivals that an exact bucket over the fleet admits
    std::uint64_t met = 0;         // every target met; at most `within_rate` for each customer
    double attainment = 0;         // met / within_rate
    double worst_customer = 0;     // least attainment of a customer
    std::map<std::string, double> by_class;
    std::map<std::string, stage_figures> stages;
    std::uint64_t wrongful_rate = 0;     // refused for the rate although the customer was within it
    std::uint64_t wrongful_capacity = 0; // refused for capacity although there was some
    std::uint64_t refused = 0;
    std::uint64_t duplicated = 0;      // further executions of non-idempotent stages
    std::uint64_t over_admissions = 0; // admissions beyond burst + rate * window
    std::uint64_t cold_overloads = 0;  // calls above what a cold endpoint bears
    std::uint64_t undetected_overloads = 0; // the same before a load report could show it
    std::uint64_t late_zone_sends = 0; // calls sent to a zone or leaving endpoint after 3 s
    std::uint64_t false_not_run = 0;   // refusals that say "not run" of a request that had run
    double cache_hit_rate = 0;
    std::vector<double> timeline;                   // attainment by tenth of the run
    std::map<std::string, std::uint64_t> endings; // due requests that missed, by how they ended

    std::uint64_t misses() const noexcept { return within_rate - met; }
};

// How a request ended.
enum class outcome
{
    open,
    refused,
    failed,
    abandoned, // its deadline passed
    answered
};

// Life of one request.
struct request_record
{
    arrival what;
    time_point arrived;
    time_point deadline;
    bool within_rate = false;
    bool admitted = false;
    outcome end = outcome::open;
    reason why = reason::internal_error; // of a refusal
    time_point ended;
    time_point first_chunk; // start_of_run: none yet
    time_point last_chunk;
    duration longest_gap{};
    std::uint32_t stages_done = 0;
    std::vector<std::uint32_t> executions; // by stage
};

class ledger
{
public:
    // `installation` must outlive the ledger.
    explicit ledger(const fleet& installation);

    // Records an arrival and returns the index of its request.
    std::uint32_t arrive(const arrival& what, time_point now);

    void admit(std::uint32_t request, time_point now);

    // `capacity_left` says whether the fleet could have borne the request.
    void refuse(std::uint32_t request, verdict run, reason why, bool capacity_left, time_point now);
    void fail(std::uint32_t request, time_point now);
    void abandon(std::uint32_t request, time_point now);
    void answer(std::uint32_t request, time_point now);
    void chunk(std::uint32_t request, time_point now);
    void complete_stage(std::uint32_t request, std::uint32_t stage, time_point now);
    void execute(const call& work);
    void occupy(const call& work, duration slot_time);
    void send_to_removed() { ++result_.late_zone_sends; }

    const request_record& at(std::uint32_t request) const { return requests_[request]; }
    bool open(std::uint32_t request) const { return requests_[request].end == outcome::open; }
    const std::vector<request_record>& requests() const noexcept { return requests_; }

    // Requests within the rate that arrived so far.
    std::uint64_t within_rate() const noexcept { return result_.within_rate; }

    // Sums up the requests that arrived in [from, to) since the start of the run.
    figures sum_up(duration from, duration to) const;

private:
    bool met(const request_record& record) const;
    static std::string ending(const request_record& record);
    void add_timeline(figures& sum, duration from, duration to) const;
    const config::pipeline& line(const request_record& record) const;

    const fleet& fleet_;
    std::vector<request_record> requests_;
    std::vector<exact_bucket> arrivals_;   // by customer; decides `within_rate`
    std::vector<exact_bucket> admissions_; // by customer; finds over-admissions
    struct rate_counts
    {
        std::uint64_t due = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused_with_token = 0;
    };
    std::vector<rate_counts> rates_; // by customer
    figures result_;
};

} // namespace quetzal::bench

#endif
