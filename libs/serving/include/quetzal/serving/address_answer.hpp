#ifndef QUETZAL_SERVING_ADDRESS_ANSWER_HPP
#define QUETZAL_SERVING_ADDRESS_ANSWER_HPP

// Which entry instance a caller should connect to. There is no load balancer: any instance answers
// this question, and the caller keeps the answer for a while.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>

namespace quetzal::serving {

// An entry instance as the answering instance sees it.
struct address_candidate
{
    instance_id id;
    std::string address; // "ip:port" for callers
    zone_id zone;
    bool leaving = false;
    bool suspected = false;
    bool zone_out = false;
    double weight = 1.0; // relative capacity, > 0
};

// The question.
struct address_question
{
    customer_id customer;
    std::uint64_t caller = 0;        // hash of the caller's address or name
    std::optional<instance_id> home; // holder of the customer's partition, where known
    double rate = 0;                 // of the customer, requests/s
};

// Constants of the answer.
struct address_options
{
    double rate_per_instance = 50; // requests/s of one customer that one instance takes
    duration keep = std::chrono::seconds(30);
    double keep_jitter = 0.2; // share by which `keep` varies by caller, against bursts of questions
};

struct address_answer
{
    std::string address;
    instance_id instance;
    std::optional<std::string> fallback; // in another availability zone, where there is one
    duration keep{};
};

// Returns the answer, or nothing when no instance may be named. A customer whose rate fits one
// instance gets its home; the callers of a larger one spread over as many instances as it needs by
// weighted rendezvous hash, first those in the home's zone. Never names a leaving or suspected
// instance, or one whose zone is out of service.
std::optional<address_answer> answer_address(const address_question& question,
                                             const std::vector<address_candidate>& candidates,
                                             const address_options& options = {});

} // namespace quetzal::serving

#endif
