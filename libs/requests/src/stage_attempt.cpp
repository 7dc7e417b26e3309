// The table has more rows than MPL's default limit of 20.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <quetzal/requests/stage_attempt.hpp>

#include "reassembly.hpp"

namespace quetzal::requests {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// What the events of the interface come to once frames have been judged.
struct own_frame
{
};
struct answer_whole
{
};
struct answer_unusable
{
    reason why = reason::answer_mismatch;
    std::string detail;
};

// What an attempt says of itself, apart from the state.
struct attempt_record
{
    std::uint64_t offset = 0;
    verdict run = verdict::not_run;
    std::vector<attempt_action>* actions = nullptr; // set while an event is handled

    template <class Action>
    void act(Action action)
    {
        actions->emplace_back(std::move(action));
    }

    void fail(reason why, std::string detail,
              std::optional<std::chrono::milliseconds> retry_after = {})
    {
        act(attempt_failed{failure{run, why, std::move(detail), retry_after}});
    }
};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition>
{
    attempt_record record;

    struct idle : msm::front::state<>
    {
    };
    struct connecting : msm::front::state<>
    {
    };
    struct sent : msm::front::state<>
    {
    };
    struct streaming : msm::front::state<>
    {
    };
    struct finished : msm::front::state<>
    {
    };
    struct failed : msm::front::state<>
    {
    };
    struct cancelled : msm::front::state<>
    {
    };
    using initial_state = idle;

    // Actions of transitions. Where the call was sent, the endpoint is told to stop unless the
    // event shows that it has.

    struct open
    {
        template <class Machine, class Source, class Target>
        void operator()(const attempt_started&, Machine& machine, Source&, Target&) const
        {
            machine.record.act(open_connection{});
        }
    };

    struct check
    {
        template <class Machine, class Source, class Target>
        void operator()(const connected&, Machine& machine, Source&, Target&) const
        {
            machine.record.act(check_finally{});
        }
    };

    struct send
    {
        template <class Machine, class Source, class Target>
        void operator()(const bytes_handed&, Machine& machine, Source&, Target&) const
        {
            machine.record.run = verdict::may_have_run;
            machine.record.act(send_work{machine.record.offset});
        }
    };

    struct complete
    {
        template <class Machine, class Source, class Target>
        void operator()(const answer_whole&, Machine& machine, Source&, Target&) const
        {
            machine.record.run = verdict::ran;
            machine.record.act(leave_connection{true});
            machine.record.act(attempt_finished{});
        }
    };

    // The endpoint refused before it ran anything; only reached while no frame of the call came.
    struct accept_refusal
    {
        template <class Machine, class Source, class Target>
        void operator()(const endpoint_refused& event, Machine& machine, Source&, Target&) const
        {
            machine.record.run = verdict::not_run;
            machine.record.act(leave_connection{true});
            machine.record.fail(reason::overloaded, "the endpoint refused the call before it ran",
                                event.retry_after);
        }
    };

    struct give_up
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            stop(event, machine.record);
        }
    };

    static void stop(const connection_refused&, attempt_record& record)
    {
        record.act(leave_connection{});
        record.fail(reason::endpoint_failed, "no connection to the endpoint could be made");
    }

    static void stop(const check_failed& event, attempt_record& record)
    {
        record.act(leave_connection{true});
        record.fail(event.why, event.detail);
    }

    static void stop(const connection_broken&, attempt_record& record)
    {
        record.act(leave_connection{});
        record.fail(record.run == verdict::not_run ? reason::endpoint_failed
                                                   : reason::answer_truncated,
                    "the answer ended without its end frame");
    }

    static void stop(const endpoint_error& event, attempt_record& record)
    {
        record.act(leave_connection{});
        record.fail(reason::endpoint_failed,
                    "the endpoint answered with status " + std::to_string(event.status));
    }

    // A refusal after frames contradicts itself, so the call counts as run.
    static void stop(const endpoint_refused&, attempt_record& record)
    {
        record.act(leave_connection{});
        record.fail(reason::endpoint_failed, "the endpoint refused a call it had begun to answer");
    }

    static void stop(const answer_unusable& event, attempt_record& record)
    {
        leave_and_cancel(record);
        record.fail(event.why, event.detail);
    }

    static void stop(const attempt_timed_out&, attempt_record& record)
    {
        leave_and_cancel(record);
        record.fail(reason::endpoint_failed, "the endpoint did not answer in time");
    }

    static void stop(const attempt_cancelled&, attempt_record& record)
    {
        leave_and_cancel(record);
        record.fail(reason::cancelled, "the call was cancelled");
    }

    static void leave_and_cancel(attempt_record& record)
    {
        record.act(leave_connection{});
        if (record.run != verdict::not_run) {
            record.act(cancel_at_endpoint{});
        }
    }

    struct transition_table
        : boost::mpl::vector<
              // clang-format off
        //  from        event               to          action
        Row<idle,       attempt_started,    connecting, open>,
        Row<idle,       attempt_cancelled,  cancelled,  give_up>,
        Row<connecting, connected,          none,       check>,
        Row<connecting, bytes_handed,       sent,       send>,
        Row<connecting, connection_refused, failed,     give_up>,
        Row<connecting, check_failed,       failed,     give_up>,
        Row<connecting, connection_broken,  failed,     give_up>,
        Row<connecting, attempt_timed_out,  failed,     give_up>,
        Row<connecting, attempt_cancelled,  cancelled,  give_up>,
        Row<sent,       own_frame,          streaming,  none>,
        Row<sent,       answer_whole,       finished,   complete>,
        Row<sent,       endpoint_refused,   failed,     accept_refusal>,
        Row<sent,       endpoint_error,     failed,     give_up>,
        Row<sent,       answer_unusable,    failed,     give_up>,
        Row<sent,       connection_broken,  failed,     give_up>,
        Row<sent,       attempt_timed_out,  failed,     give_up>,
        Row<sent,       attempt_cancelled,  cancelled,  give_up>,
        Row<streaming,  answer_whole,       finished,   complete>,
        Row<streaming,  endpoint_refused,   failed,     give_up>,
        Row<streaming,  endpoint_error,     failed,     give_up>,
        Row<streaming,  answer_unusable,    failed,     give_up>,
        Row<streaming,  connection_broken,  failed,     give_up>,
        Row<streaming,  attempt_timed_out,  failed,     give_up>,
        Row<streaming,  attempt_cancelled,  cancelled,  give_up>
              // clang-format on
              >
    {
    };

    // Events that do not fit the state change nothing.
    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

using lifecycle = msm::back::state_machine<lifecycle_definition>;

// Numbers of the states as the back end assigns them: sources in the order of the table, then
// targets. `stage_attempt_test` walks through every state and checks the names.
constexpr attempt_state states_by_number[] = {attempt_state::idle,      attempt_state::connecting,
                                              attempt_state::sent,      attempt_state::streaming,
                                              attempt_state::cancelled, attempt_state::failed,
                                              attempt_state::finished};

} // namespace

class stage_attempt::machine
{
public:
    machine(const call_id& id, std::uint64_t offset)
        : id_(id), text_(to_string(id)), frames_(offset)
    {
        lifecycle_.record.offset = offset;
        lifecycle_.start();
    }

    void handle(const attempt_event& event, std::vector<attempt_action>& actions)
    {
        lifecycle_.record.actions = &actions;
        std::visit([this](const auto& value) { take(value); }, event);
        lifecycle_.record.actions = nullptr;
    }

    attempt_state state() const noexcept { return states_by_number[lifecycle_.current_state()[0]]; }

    verdict run() const noexcept { return lifecycle_.record.run; }
    std::uint64_t next_sequence() const noexcept { return frames_.next_sequence(); }
    const frame_counts& counts() const noexcept { return counts_; }
    const call_id& id() const noexcept { return id_; }
    const std::string& call_text() const noexcept { return text_; }

private:
    template <class Event>
    void take(const Event& event)
    {
        lifecycle_.process_event(event);
    }

    void take(const connection_broken& event)
    {
        const auto before = state();
        counts_.truncated +=
            before == attempt_state::sent || before == attempt_state::streaming ? 1 : 0;
        lifecycle_.process_event(event);
    }

    void take(const data_frame& event)
    {
        if (!admit(event.call)) {
            return;
        }
        start_stream();
        switch (frames_.add(event.sequence, event.data)) {
        case internal::frame_place::next:
            pass_on(event.data);
            break;
        case internal::frame_place::early:
            ++counts_.reordered;
            break;
        case internal::frame_place::seen:
            ++counts_.duplicated;
            count_unusable();
            break;
        case internal::frame_place::beyond_end:
            ++counts_.malformed;
            count_unusable();
            break;
        case internal::frame_place::no_room:
            ++counts_.reordered;
            give_up(reason::answer_truncated, "frames of the answer are missing");
            break;
        }
    }

    void take(const end_frame& event)
    {
        if (!admit(event.call)) {
            return;
        }
        start_stream();
        if (!frames_.end(event.frames)) {
            give_up(reason::answer_truncated, "the end frame contradicts the frames before it");
            return;
        }
        finish_if_whole();
    }

    void take(const bad_frame& event)
    {
        if (!answering()) {
            ++counts_.late;
            return;
        }
        ++counts_.malformed;
        if (event.why == bad_frame::cause::oversized) {
            give_up(reason::answer_truncated, "a frame exceeds the greatest size");
            return;
        }
        count_unusable();
    }

    bool answering() const noexcept
    {
        const auto now = state();
        return now == attempt_state::sent || now == attempt_state::streaming;
    }

    // Whether a frame belongs to this call and comes while an answer is expected.
    bool admit(std::string_view call)
    {
        if (call != text_) {
            ++counts_.foreign;
            if (answering()) {
                count_unusable();
            }
            return false;
        }
        if (!answering()) {
            ++counts_.late;
            return false;
        }
        return true;
    }

    void start_stream()
    {
        if (state() == attempt_state::sent) {
            lifecycle_.process_event(own_frame{});
        }
    }

    void pass_on(const chunk& data)
    {
        lifecycle_.record.act(deliver{data});
        while (auto held = frames_.take_held()) {
            lifecycle_.record.act(deliver{std::move(*held)});
        }
        finish_if_whole();
    }

    void finish_if_whole()
    {
        if (frames_.whole()) {
            lifecycle_.process_event(answer_whole{});
        }
    }

    void count_unusable()
    {
        if (++unusable_ > max_unusable_frames) {
            give_up(reason::answer_mismatch, "the endpoint sent too many frames of no use");
        }
    }

    void give_up(reason why, std::string detail)
    {
        counts_.truncated += why == reason::answer_truncated ? 1 : 0;
        lifecycle_.process_event(answer_unusable{why, std::move(detail)});
    }

    call_id id_;
    std::string text_;
    lifecycle lifecycle_;
    internal::reassembly frames_;
    frame_counts counts_;
    std::size_t unusable_ = 0;
};

stage_attempt::stage_attempt(const call_id& id, std::uint64_t offset)
    : machine_(std::make_unique<machine>(id, offset))
{
}

stage_attempt::~stage_attempt() = default;
stage_attempt::stage_attempt(stage_attempt&&) noexcept = default;
stage_attempt& stage_attempt::operator=(stage_attempt&&) noexcept = default;

void stage_attempt::handle(const attempt_event& event, std::vector<attempt_action>& actions)
{
    machine_->handle(event, actions);
}

attempt_state stage_attempt::state() const noexcept
{
    return machine_->state();
}

verdict stage_attempt::run() const noexcept
{
    return machine_->run();
}

std::uint64_t stage_attempt::next_sequence() const noexcept
{
    return machine_->next_sequence();
}

const frame_counts& stage_attempt::counts() const noexcept
{
    return machine_->counts();
}

const call_id& stage_attempt::id() const noexcept
{
    return machine_->id();
}

const std::string& stage_attempt::call_text() const noexcept
{
    return machine_->call_text();
}

frame_counts& frame_counts::operator+=(const frame_counts& other) noexcept
{
    foreign += other.foreign;
    late += other.late;
    duplicated += other.duplicated;
    reordered += other.reordered;
    truncated += other.truncated;
    malformed += other.malformed;
    return *this;
}

} // namespace quetzal::requests
