#ifndef QUETZAL_SERVING_SRC_DISPATCHER_HARNESS_HPP
#define QUETZAL_SERVING_SRC_DISPATCHER_HARNESS_HPP

// A dispatcher with simulated endpoints in virtual time, for tests and benchmarks only.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <quetzal/serving/dispatcher.hpp>

namespace quetzal::serving::testing {

using namespace std::chrono_literals;

struct ended_request
{
    customer_id customer;
    bool completed = false;
    duration took{};
    std::optional<failure> why;
};

// Returns a configuration of two classes with the pipeline encode -> rank -> generate: "ask" is
// idempotent and refuses late work; "book" finishes late work, and its stage "rank" is not
// idempotent.
inline std::shared_ptr<config::published> make_configuration(std::uint32_t concurrency = 4)
{
    auto published = std::make_shared<config::published>();
    published->version = 1;
    published->regions = {region_id("r")};
    for (const auto* name : {"a", "b", "c"}) {
        published->zones.push_back({zone_id(name), region_id("r"), config::zone_state::in});
    }
    for (const auto* name : {"encode", "rank", "generate"}) {
        config::pool pool;
        pool.id = pool_id(name);
        pool.concurrency = concurrency;
        published->pools.push_back(pool);
    }
    for (const bool idempotent : {true, false}) {
        config::pipeline pipeline;
        pipeline.id = pipeline_id(idempotent ? "ask" : "book");
        pipeline.stages = {{stage_id("encode"), pool_id("encode"), {}, true},
                           {stage_id("rank"), pool_id("rank"), {0}, idempotent},
                           {stage_id("generate"), pool_id("generate"), {1}, true}};
        published->pipelines.push_back(pipeline);
        config::work_class work_class;
        work_class.id = class_id(pipeline.id.name);
        work_class.pipeline = pipeline.id;
        work_class.objective.deadline = 2s;
        work_class.late = idempotent ? config::late_policy::refuse : config::late_policy::finish;
        published->classes.push_back(work_class);
    }
    published->index();
    return published;
}

class harness
{
public:
    struct served
    {
        std::string endpoint;
        start_attempt attempt;
        time_point at;
    };

    // How an endpoint handles an attempt: it answers, or fails, after `takes`. Without a value, it
    // never answers.
    struct behaviour
    {
        duration takes = 20ms;
        std::optional<verdict> fails;
        bool refuses = false;
    };
    using service = std::function<std::optional<behaviour>(const start_attempt&)>;

    explicit harness(std::size_t endpoints_per_pool = 6, dispatcher_options options = {},
                     dispatch_gate gate = {}, std::uint32_t concurrency = 4)
        : published(make_configuration(concurrency)), endpoints_per_pool_(endpoints_per_pool)
    {
        options.self = instance_id("i");
        options.zone = zone_id("a");
        subject = std::make_unique<dispatcher>(std::move(options), std::move(gate));
        apply(subject->configure(published, now));
        list.instances.push_back(
            {instance_id("i"), "10.0.0.1", 80, 81, zone_id("a"), config::listed_state::live});
        for (const auto& pool : published->pools) {
            for (std::size_t index = 0; index < endpoints_per_pool; ++index) {
                config::listed_endpoint endpoint;
                endpoint.id = endpoint_id(pool.id.name + "-" + std::to_string(index));
                endpoint.pool = pool.id;
                endpoint.zone = published->zones[index % 3].id;
                list.endpoints.push_back(endpoint);
            }
        }
        apply(subject->update(list, now));
        for (const auto& endpoint : list.endpoints) {
            apply(subject->connection_changed(endpoint.id, incarnation{1}, now));
            apply(subject->declared(endpoint.id, {incarnation{1}, true, 1, 1}, now));
        }
    }

    void apply(const actions& all)
    {
        for (const action& item : all) {
            std::visit([&](const auto& value) { on(value); }, item);
        }
    }

    request_key submit(const std::string& customer, const std::string& work_class = "ask")
    {
        const auto key = static_cast<request_key>(++last_);
        requests_[key] = {customer_id(customer), work_class, now};
        apply(subject->submit_request({key, class_id(work_class), customer_id(customer), now, {}},
                                      now));
        return key;
    }

    void at(time_point when, std::function<void()> what) { events_.emplace(when, std::move(what)); }

    // Runs the events until `end`, with a tick at least every 10 ms.
    void run_until(time_point end)
    {
        while (now < end) {
            time_point next = std::min(end, now + 10ms);
            if (!events_.empty()) {
                next = std::min(next, events_.begin()->first);
            }
            now = std::max(now, next);
            while (!events_.empty() && events_.begin()->first <= now) {
                const auto what = std::move(events_.extract(events_.begin()).mapped());
                what();
            }
            apply(subject->tick(now));
        }
    }

    // Schedules requests at a constant rate, from now on for the duration `lasts`.
    void load(const std::string& customer, double per_second, duration lasts,
              const std::string& work_class = "ask")
    {
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / per_second));
        for (duration offset{}; offset < lasts; offset += interval) {
            at(now + offset, [this, customer, work_class] { submit(customer, work_class); });
        }
    }

    std::size_t attempts_on(const std::string& endpoint, time_point since = {}) const
    {
        return static_cast<std::size_t>(
            std::count_if(log.begin(), log.end(), [&](const served& entry) {
                return entry.endpoint == endpoint && entry.at >= since;
            }));
    }

    void set_zone(const std::string& zone, config::zone_state state)
    {
        auto next = std::make_shared<config::published>(*published);
        ++next->version;
        for (auto& declared : next->zones) {
            declared.state = declared.id.name == zone ? state : declared.state;
        }
        next->index();
        published = next;
        apply(subject->configure(published, now));
    }

    const ended_request* result(request_key key) const
    {
        const auto found = ended.find(key);
        return found == ended.end() ? nullptr : &found->second;
    }

    std::size_t submitted() const { return requests_.size(); }
    const std::string& class_of(request_key key) const { return requests_.at(key).work_class; }

    std::size_t completed() const
    {
        return static_cast<std::size_t>(std::count_if(
            ended.begin(), ended.end(), [](const auto& entry) { return entry.second.completed; }));
    }

    time_point now{1h};
    std::shared_ptr<config::published> published;
    config::instance_list list;
    std::unique_ptr<dispatcher> subject;
    service serve = [](const start_attempt&) { return behaviour{}; };
    std::vector<served> log;
    std::map<std::string, int> in_flight;
    std::map<std::string, int> most_in_flight;
    std::map<request_key, ended_request> ended;
    std::vector<declare_endpoint> declarations;
    std::vector<notify_endpoint_holder> told;
    std::vector<request_cold_slot> asked;
    std::vector<grant_cold_slot> granted;
    std::vector<return_cold_slot> returned;
    std::vector<call_failed> failed_calls;
    std::size_t ends = 0;
    std::size_t cancelled = 0;
    std::size_t probes = 0;

private:
    struct open_request
    {
        customer_id customer;
        std::string work_class;
        time_point since;
        std::size_t stage = 0;
    };

    void on(const request_admitted& item) { submit_stage(item.request); }
    void on(const request_refused& item) { end(item.request, item.why); }
    void on(const select_attempt&) {}
    void on(const declare_endpoint& item) { declarations.push_back(item); }
    void on(const notify_endpoint_holder& item) { told.push_back(item); }
    void on(const request_cold_slot& item) { asked.push_back(item); }
    void on(const grant_cold_slot& item) { granted.push_back(item); }
    void on(const return_cold_slot& item) { returned.push_back(item); }
    void on(const probe_endpoint& item)
    {
        ++probes;
        at(now + 1ms, [this, item] { apply(subject->probe_finished(item.endpoint, true, now)); });
    }

    void on(const call_failed& item)
    {
        failed_calls.push_back(item);
        end(item.request, item.why);
        apply(subject->finish_request(item.request, false, now));
    }

    void on(const call_done& item)
    {
        if (++requests_.at(item.request).stage < 3) {
            submit_stage(item.request);
            return;
        }
        end(item.request, {});
        apply(subject->finish_request(item.request, true, now));
    }

    void on(const cancel_attempt& item)
    {
        ++cancelled;
        --in_flight[item.endpoint.name];
        running_.erase({item.call, item.attempt});
    }

    void on(const start_attempt& item)
    {
        log.push_back({item.endpoint.name, item, now});
        int& count = in_flight[item.endpoint.name];
        most_in_flight[item.endpoint.name] = std::max(most_in_flight[item.endpoint.name], ++count);
        running_[{item.call, item.attempt}] = true;
        const auto answer = serve(item);
        if (answer) {
            at(now + answer->takes, [this, item, answer] { finish(item, *answer); });
        }
    }

    void finish(const start_attempt& item, const behaviour& answer)
    {
        if (running_.erase({item.call, item.attempt}) == 0) {
            return;
        }
        --in_flight[item.endpoint.name];
        if (answer.fails) {
            const failure why{*answer.fails, reason::endpoint_failed, "simulated", {}};
            apply(subject->attempt_failed({item.call, item.attempt, why, 0, answer.refuses}, now));
        } else {
            apply(subject->attempt_succeeded({item.call, item.attempt, {}}, now));
        }
    }

    void submit_stage(request_key key)
    {
        const std::size_t stage = requests_.at(key).stage;
        const auto call = static_cast<call_key>(static_cast<std::uint64_t>(key) * 10 + stage);
        apply(subject->submit_call({key, call, stage, {}, {}}, now));
    }

    void end(request_key key, std::optional<failure> why)
    {
        const open_request& request = requests_.at(key);
        ++ends;
        ended[key] = {request.customer, !why, now - request.since, std::move(why)};
    }

    std::size_t endpoints_per_pool_;
    std::uint64_t last_ = 0;
    std::map<request_key, open_request> requests_;
    std::map<std::pair<call_key, std::uint32_t>, bool> running_;
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace quetzal::serving::testing

#endif
