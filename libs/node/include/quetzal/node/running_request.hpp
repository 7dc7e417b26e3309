#ifndef QUETZAL_NODE_RUNNING_REQUEST_HPP
#define QUETZAL_NODE_RUNNING_REQUEST_HPP

// The state of the requests that run on this instance. It is changed only on the strand of its
// shard. The lock of the shard guards the parts that connections read.

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

// The dispatcher's key of a stage call combines the sequence number of the request and the stage.
inline constexpr std::uint64_t stages_per_request = 8;
static_assert(stages_per_request >= config::max_stages);

inline serving::call_key call_key_of(std::uint64_t sequence, std::size_t stage)
{
    return serving::call_key{sequence * stages_per_request + stage};
}

// A validated submission of a caller.
struct caller_request
{
    customer_id customer; // empty for open routes
    digest key{};         // of the key in the request; unused for open routes
    bool open = false;
    config::work_class work_class;
    std::string body;
    time_point arrived{};
    std::optional<time_point> deadline; // requested by the caller, earlier than the class's
    requests::request_identity identity;
    std::string identity_text;
    bool identity_given = false; // the caller sent the identity and can reconnect with it
};

// One call of a stage to an endpoint. Used only on the strand of the shard.
struct stage_call
{
    requests::call_id id;
    endpoint_id endpoint;
    incarnation process;
    std::uint32_t attempt = 0; // attempt number assigned by the dispatcher
    std::uint32_t priority = 0;
    bool cold = false;
    std::optional<time_point> start_by; // latest start; set when the holder granted the slot
    time_point give_up{};
    time_point started{};
    std::unique_ptr<net::http_connection> connection;
    std::optional<std::uint64_t> send_offset; // set when the request is to be sent
    bool checks_due = false;                  // the final checks are due
    bool send_started = false;                // bytes may have reached the endpoint
    bool refused = false;                     // rejected by the endpoint before it ran
    bool released = false;                    // the pipeline run no longer needs the call
    bool reusable = false;                    // the connection can be kept for later calls
    bool reported = false;                    // the dispatcher knows the result
};

// The parameters that the dispatcher chose for the next attempt of a stage.
struct granted_attempt
{
    incarnation process;
    std::uint32_t attempt = 0;
    std::uint32_t priority = 0;
    bool cold = false;
    std::optional<time_point> start_by;
    time_point give_up{};
};

// One request from its submission to its end.
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
    std::optional<granted_attempt> pending_grant; // set while the run handles `grant` or `hedge`
    std::vector<std::weak_ptr<wakeup>> readers;
    std::shared_ptr<wakeup> producer; // waits while the answer log is full
    std::size_t connections = 0;      // number of connections that read the answer
    bool abandoned = false;           // no caller has been connected since `abandoned_at`
    time_point abandoned_at{};
    std::uint32_t delivered_frames = 0; // number of frames of the last stage
    time_point last_frame{};
    std::optional<duration> first_token;
    std::optional<duration> longest_gap;
    std::vector<burn::stage_time> stages;
    std::vector<time_point> stage_start_times;
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
