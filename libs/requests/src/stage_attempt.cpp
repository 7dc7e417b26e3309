// The transition table has more rows than MPL's default limit of 20.
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

// Internal events: the results of checking the frames.
struct frame_accepted
{
};
struct answer_complete
{
};
struct answer_rejected
{
    reason why = reason::answer_mismatch;
    std::string detail;
};

// The data of an attempt apart from its state.
struct attempt_context
{
    std::uint64_t offset = 0;
    verdict run = verdict::not_run;
    std::vector<attempt_action>* actions = nullptr; // not null while an event is handled

    template <class Action>
    void emit(Action action)
    {
        actions->emplace_back(std::move(action));
    }

    void fail(reason why, std::string detail,
              std::optional<std::chrono::milliseconds> retry_after = {})
    {
        emit(attempt_failed{failure{run, why, std::move(detail), retry_after}});
    }
};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition>
{
    attempt_context context;

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

    // Transition actions. If the call was sent, the endpoint is told to stop unless the event shows
    // that it already has.

    struct open
    {
        template <class Machine, class Source, class Target>
        void operator()(const attempt_started&, Machine& machine, Source&, Target&) const
        {
            machine.context.emit(open_connection{});
        }
    };

    struct check
    {
        template <class Machine, class Source, class Target>
        void operator()(const connected&, Machine& machine, Source&, Target&) const
        {
            machine.context.emit(run_final_checks{});
        }
    };

    struct send
    {
        template <class Machine, class Source, class Target>
        void operator()(const checks_passed&, Machine& machine, Source&, Target&) const
        {
            machine.context.run = verdict::may_have_run;
            machine.context.emit(send_work{machine.context.offset});
        }
    };

    struct complete
    {
        template <class Machine, class Source, class Target>
        void operator()(const answer_complete&, Machine& machine, Source&, Target&) const
        {
            machine.context.run = verdict::ran;
            machine.context.emit(release_connection{true});
            machine.context.emit(attempt_finished{});
        }
    };

    // The endpoint refused the call before running it. Reached only if no frame of the call has
    // been received.
    struct accept_refusal
    {
        template <class Machine, class Source, class Target>
        void operator()(const endpoint_refused& event, Machine& machine, Source&, Target&) const
        {
            machine.context.run = verdict::not_run;
            machine.context.emit(release_connection{true});
            machine.context.fail(reason::overloaded, "the endpoint refused the call before it ran",
                                 event.retry_after);
        }
    };

    struct abort_attempt
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            abort(event, machine.context);
        }
    };

    static void abort(const connection_refused&, attempt_context& context)
    {
        context.emit(release_connection{});
        context.fail(reason::endpoint_failed, "could not connect to the endpoint");
    }

    static void abort(const check_failed& event, attempt_context& context)
    {
        context.emit(release_connection{true});
        context.fail(event.why, event.detail);
    }

    static void abort(const response_ended&, attempt_context& context)
    {
        context.emit(release_connection{});
        context.fail(context.run == verdict::not_run ? reason::endpoint_failed
                                                     : reason::answer_truncated,
                     "the answer ended without its end frame");
    }

    static void abort(const endpoint_error& event, attempt_context& context)
    {
        context.emit(release_connection{});
        context.fail(reason::endpoint_failed,
                     "the endpoint answered with status " + std::to_string(event.status));
    }

    // A refusal after frames of the call is contradictory, so the call counts as possibly run.
    static void abort(const endpoint_refused&, attempt_context& context)
    {
        context.emit(release_connection{});
        context.fail(reason::endpoint_failed, "the endpoint refused a call it had begun to answer");
    }

    static void abort(const answer_rejected& event, attempt_context& context)
    {
        release_and_cancel(context);
        context.fail(event.why, event.detail);
    }

    static void abort(const attempt_timed_out&, attempt_context& context)
    {
        release_and_cancel(context);
        context.fail(reason::endpoint_failed, "the endpoint did not answer in time");
    }

    static void abort(const attempt_cancelled&, attempt_context& context)
    {
        release_and_cancel(context);
        context.fail(reason::cancelled, "the call was cancelled");
    }

    static void release_and_cancel(attempt_context& context)
    {
        context.emit(release_connection{});
        if (context.run != verdict::not_run) {
            context.emit(cancel_at_endpoint{});
        }
    }

    struct transition_table
        : boost::mpl::vector<
              // clang-format off
        //  from        event               to          action
        Row<idle,       attempt_started,    connecting, open>,
        Row<idle,       attempt_cancelled,  cancelled,  abort_attempt>,
        Row<connecting, connected,          none,       check>,
        Row<connecting, checks_passed,       sent,       send>,
        Row<connecting, connection_refused, failed,     abort_attempt>,
        Row<connecting, check_failed,       failed,     abort_attempt>,
        Row<connecting, response_ended,  failed,     abort_attempt>,
        Row<connecting, attempt_timed_out,  failed,     abort_attempt>,
        Row<connecting, attempt_cancelled,  cancelled,  abort_attempt>,
        Row<sent,       frame_accepted,     streaming,  none>,
        Row<sent,       answer_complete,    finished,   complete>,
        Row<sent,       endpoint_refused,   failed,     accept_refusal>,
        Row<sent,       endpoint_error,     failed,     abort_attempt>,
        Row<sent,       answer_rejected,    failed,     abort_attempt>,
        Row<sent,       response_ended,  failed,     abort_attempt>,
        Row<sent,       attempt_timed_out,  failed,     abort_attempt>,
        Row<sent,       attempt_cancelled,  cancelled,  abort_attempt>,
        Row<streaming,  answer_complete,    finished,   complete>,
        Row<streaming,  endpoint_refused,   failed,     abort_attempt>,
        Row<streaming,  endpoint_error,     failed,     abort_attempt>,
        Row<streaming,  answer_rejected,    failed,     abort_attempt>,
        Row<streaming,  response_ended,  failed,     abort_attempt>,
        Row<streaming,  attempt_timed_out,  failed,     abort_attempt>,
        Row<streaming,  attempt_cancelled,  cancelled,  abort_attempt>
              // clang-format on
              >
    {
    };

    // Events that are not valid in the current state change nothing.
    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

using lifecycle = msm::back::state_machine<lifecycle_definition>;

// The states by the number that the MSM back end assigns: source states in the order of the table,
// then the remaining target states. `stage_attempt_test` visits every state and checks its name.
constexpr attempt_state states_by_number[] = {attempt_state::idle,      attempt_state::connecting,
                                              attempt_state::sent,      attempt_state::streaming,
                                              attempt_state::cancelled, attempt_state::failed,
                                              attempt_state::finished};

} // namespace

class stage_attempt::machine
{
public:
    machine(const call_id& id, std::uint64_t offset)
        : id_(id), call_text_(to_string(id)), frames_(offset)
    {
        lifecycle_.context.offset = offset;
        lifecycle_.start();
    }

    void handle(const attempt_event& event, std::vector<attempt_action>& actions)
    {
        lifecycle_.context.actions = &actions;
        std::visit([this](const auto& value) { on_event(value); }, event);
        lifecycle_.context.actions = nullptr;
    }

    attempt_state state() const noexcept { return states_by_number[lifecycle_.current_state()[0]]; }

    verdict run() const noexcept { return lifecycle_.context.run; }
    std::uint64_t next_sequence() const noexcept { return frames_.next_sequence(); }
    const frame_counts& counts() const noexcept { return counts_; }
    const call_id& id() const noexcept { return id_; }
    const std::string& call_text() const noexcept { return call_text_; }

private:
    template <class Event>
    void on_event(const Event& event)
    {
        lifecycle_.process_event(event);
    }

    void on_event(const response_ended& event)
    {
        const auto before = state();
        counts_.truncated +=
            before == attempt_state::sent || before == attempt_state::streaming ? 1 : 0;
        lifecycle_.process_event(event);
    }

    void on_event(const data_frame& event)
    {
        if (!accept_frame(event.call)) {
            return;
        }
        start_stream();
        switch (frames_.add(event.sequence, event.data)) {
        case internal::frame_position::next:
            deliver_in_order(event.data);
            break;
        case internal::frame_position::early:
            ++counts_.reordered;
            break;
        case internal::frame_position::duplicate:
            ++counts_.duplicated;
            count_unusable();
            break;
        case internal::frame_position::beyond_end:
            ++counts_.malformed;
            count_unusable();
            break;
        case internal::frame_position::buffer_full:
            ++counts_.reordered;
            reject_answer(reason::answer_truncated, "frames of the answer are missing");
            break;
        }
    }

    void on_event(const end_frame& event)
    {
        if (!accept_frame(event.call)) {
            return;
        }
        start_stream();
        if (!frames_.set_frame_count(event.frames)) {
            reject_answer(reason::answer_truncated,
                          "the end frame contradicts the frames before it");
            return;
        }
        finish_if_complete();
    }

    void on_event(const bad_frame& event)
    {
        if (!expects_frames()) {
            ++counts_.late;
            return;
        }
        ++counts_.malformed;
        if (event.why == bad_frame::cause::oversized) {
            reject_answer(reason::answer_truncated, "a frame exceeds the maximum size");
            return;
        }
        count_unusable();
    }

    bool expects_frames() const noexcept
    {
        const auto now = state();
        return now == attempt_state::sent || now == attempt_state::streaming;
    }

    // Returns whether a frame belongs to this call and arrives while a response is expected. Counts
    // the frame if not.
    bool accept_frame(std::string_view call)
    {
        if (call != call_text_) {
            ++counts_.foreign;
            if (expects_frames()) {
                count_unusable();
            }
            return false;
        }
        if (!expects_frames()) {
            ++counts_.late;
            return false;
        }
        return true;
    }

    void start_stream()
    {
        if (state() == attempt_state::sent) {
            lifecycle_.process_event(frame_accepted{});
        }
    }

    void deliver_in_order(const chunk& data)
    {
        lifecycle_.context.emit(deliver{data});
        while (auto held = frames_.take_held()) {
            lifecycle_.context.emit(deliver{std::move(*held)});
        }
        finish_if_complete();
    }

    void finish_if_complete()
    {
        if (frames_.is_complete()) {
            lifecycle_.process_event(answer_complete{});
        }
    }

    void count_unusable()
    {
        if (++unusable_frames_ > max_unusable_frames) {
            reject_answer(reason::answer_mismatch, "the endpoint sent too many unusable frames");
        }
    }

    void reject_answer(reason why, std::string detail)
    {
        counts_.truncated += why == reason::answer_truncated ? 1 : 0;
        lifecycle_.process_event(answer_rejected{why, std::move(detail)});
    }

    call_id id_;
    std::string call_text_;
    lifecycle lifecycle_;
    internal::reassembly frames_;
    frame_counts counts_;
    std::size_t unusable_frames_ = 0;
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
