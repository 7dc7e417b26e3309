#ifndef QUETZAL_NODE_RUNNING_REQUEST_HPP
#define QUETZAL_NODE_RUNNING_REQUEST_HPP

// The records of requests that run at this instance. A shard's strand changes them; its lock guards
// what connections read.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <quetzal/burn/recorder.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/node/wakeup.hpp>
#include <quetzal/requests/pipeline_run.hpp>
#include <quetzal/requests/request_table.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::node {

// The dispatcher's number of a stage call: the request's sequence number and the stage.
inline constexpr std::uint64_t stages_per_request = 8;
static_assert(stages_per_request >= config::max_stages);

inline serving::call_key call_key_of(std::uint64_t sequence, std::size_t stage)
{
    return serving::call_key{sequence * stages_per_request + stage};
}

// A checked submission of a caller.
struct caller_request
{
    customer_id customer; // empty for open routes
    digest key{};         // of the key that came with the request; unused for open routes
    bool open = false;
    config::work_class work_class;
    std::string body;
    time_point arrived{};
    std::optional<time_point> deadline; // earlier than the class's own where the caller asks so
    requests::request_identity identity;
    std::string identity_text;
    bool identity_given = false; // the caller sent the identity and can come back with it
};

// One call of a stage to an endpoint. Only the shard's strand uses it.
struct stage_call
{
    requests::call_id id;
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t attempt = 0; // number at the dispatcher
    std::uint32_t priority = 0;
    bool cold = false;
    std::optional<time_point> start_by; // of a call that the endpoint's holder lent
    time_point give_up{};
    time_point started{};
    std::unique_ptr<net::http_connection> connection;
    std::optional<std::uint64_t> send_offset; // set when the work is to be written
    bool check = false;                       // the final checks are due
    bool handed = false;
    bool refused = false; // by the endpoint, before running
    bool left = false;
    bool reusable = false;
    bool reported = false; // to the dispatcher
};

// What the dispatcher decided for the next attempt of a stage.
struct granted_attempt
{
    incarnation process;
    std::uint32_t attempt = 0;
    std::uint32_t priority = 0;
    bool cold = false;
    std::optional<time_point> start_by;
    time_point give_up{};
};

// One request from its admission to its end.
struct running_request
{
    running_request(caller_request from, requests::run_request work,
                    std::shared_ptr<requests::answer_log> into)
        : request(std::move(from)), pipeline(work.pipeline), run(std::move(work)),
          answer(std::move(into))
    {
    }

    caller_request request;
    std::shared_ptr<const config::pipeline> pipeline;
    requests::pipeline_run run;
    std::shared_ptr<requests::answer_log> answer;
    std::map<requests::call_id, std::shared_ptr<stage_call>> calls;
    std::optional<granted_attempt> granting; // while `grant` or `hedge` is being carried out
    std::vector<std::weak_ptr<wakeup>> readers;
    std::shared_ptr<wakeup> producer; // sleeps while the answer log is full
    std::size_t connections = 0;      // of callers that read the answer
    bool abandoned = false;           // no caller has been connected since `abandoned_at`
    time_point abandoned_at{};
    std::uint32_t delivered = 0; // frames of the last stage
    time_point last_frame{};
    std::optional<duration> first_token;
    std::optional<duration> longest_gap;
    std::vector<burn::stage_time> stages;
    std::vector<time_point> stage_started;
    std::optional<std::size_t> failed_stage;
};

// The requests of one shard.
struct request_shard
{
    explicit request_shard(const requests::table_limits& limits) : table(limits) {}

    requests::request_table table;
    std::map<std::uint64_t, std::shared_ptr<running_request>> running; // by sequence number
};

} // namespace quetzal::node

#endif
