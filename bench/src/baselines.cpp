// Baselines: the usual policies of proxies, kept simple. All of them honour the published zones and
// the instance list, and cancel the work of a request whose caller has gone.

#include <algorithm>
#include <unordered_map>

#include "router.hpp"

namespace quetzal::bench {

namespace {

constexpr unsigned max_attempts = 3; // of one stage

// Runs the stages of a request one after the other; subclasses choose endpoints and retries.
class baseline : public router
{
public:
    baseline(const fleet& installation, port& actions)
        : fleet_(installation), port_(actions), outstanding_(installation.endpoints.size()),
          members_(installation.config.pools.size())
    {
        for (std::uint32_t index = 0; index < installation.endpoints.size(); ++index) {
            members_[installation.endpoints[index].pool].push_back(index);
        }
    }

    void update(const platform_view& view) override { view_ = view; }

    void start(std::uint32_t request, const arrival& what, time_point) override
    {
        if (port_.take_token(request) != rate_answer::taken) {
            port_.refuse(request, verdict::not_run, reason::rate_exceeded);
            return;
        }
        active_[request].what = what;
        attempt(request);
    }

    void give_up(std::uint32_t request) override
    {
        if (const auto found = active_.find(request); found != active_.end()) {
            --outstanding_[found->second.current.endpoint];
            port_.cancel(found->second.current);
            active_.erase(found);
        }
    }

    void on_call(const call& work, call_event event) override
    {
        const auto found = active_.find(work.request);
        if (found == active_.end() || found->second.current.id != work.id) {
            return;
        }
        auto& progress = found->second;
        const auto& stages = fleet_.config.pipelines[progress.what.work].stages;
        const bool last = work.stage + 1 == stages.size();
        switch (event) {
        case call_event::first_chunk:
        case call_event::chunk:
            // A stream that was restarted repeats chunks that the caller has already.
            if (last && ++progress.received > progress.relayed) {
                progress.relayed = progress.received;
                port_.relay_chunk(work.request);
            }
            return;
        case call_event::finished:
            --outstanding_[work.endpoint];
            port_.complete_stage(work.request, work.stage);
            if (last) {
                port_.answer(work.request);
                active_.erase(found);
                return;
            }
            ++progress.stage;
            progress.tried.clear();
            attempt(work.request);
            return;
        case call_event::refused:
        case call_event::failed:
            --outstanding_[work.endpoint];
            if (progress.tried.size() < max_attempts &&
                (event == call_event::refused || retries(stages[work.stage].idempotent)))
            {
                attempt(work.request);
                return;
            }
            port_.fail(work.request);
            active_.erase(found);
            return;
        }
    }

protected:
    // Whether a call that may have run is sent again.
    virtual bool retries(bool idempotent) const = 0;

    // Chooses one of at least one candidates.
    virtual std::uint32_t choose(std::size_t pool, const std::vector<std::uint32_t>& candidates) = 0;

    unsigned outstanding(std::uint32_t endpoint) const { return outstanding_[endpoint]; }

private:
    struct progress
    {
        arrival what;
        std::uint32_t stage = 0;
        std::vector<std::uint32_t> tried; // endpoints, for this stage
        call current;
        std::uint32_t received = 0; // chunks of the current attempt
        std::uint32_t relayed = 0;
    };

    bool usable(std::uint32_t endpoint) const
    {
        return view_.endpoints[endpoint] == endpoint_status::live &&
               view_.zones[fleet_.endpoints[endpoint].zone] == config::zone_state::in;
    }

    void attempt(std::uint32_t request)
    {
        auto& progress = active_[request];
        const auto& stage = fleet_.config.pipelines[progress.what.work].stages[progress.stage];
        const auto pool =
            static_cast<std::size_t>(fleet_.config.find(stage.pool) - fleet_.config.pools.data());
        std::vector<std::uint32_t> candidates;
        for (const auto endpoint : members_[pool]) {
            if (usable(endpoint) && std::find(progress.tried.begin(), progress.tried.end(),
                                              endpoint) == progress.tried.end())
            {
                candidates.push_back(endpoint);
            }
        }
        if (candidates.empty()) {
            port_.fail(request);
            active_.erase(request);
            return;
        }
        const auto chosen = choose(pool, candidates);
        progress.tried.push_back(chosen);
        progress.received = 0;
        progress.current = port_.make_call(request, progress.stage, chosen);
        ++outstanding_[chosen];
        port_.send(progress.current);
    }

    const fleet& fleet_;
    port& port_;
    platform_view view_;
    std::vector<unsigned> outstanding_; // calls of this instance, by endpoint
    std::vector<std::vector<std::uint32_t>> members_;
    std::unordered_map<std::uint32_t, progress> active_;
};

class round_robin : public baseline
{
public:
    round_robin(const fleet& installation, port& actions, std::uint64_t seed)
        : baseline(installation, actions), next_(installation.config.pools.size(), seed % 1000)
    {
    }

private:
    bool retries(bool) const override { return false; }

    std::uint32_t choose(std::size_t pool, const std::vector<std::uint32_t>& candidates) override
    {
        return candidates[next_[pool]++ % candidates.size()];
    }

    std::vector<std::uint64_t> next_; // by pool
};

class least_outstanding : public baseline
{
public:
    least_outstanding(const fleet& installation, port& actions, std::uint64_t seed)
        : baseline(installation, actions), random_(seed)
    {
    }

private:
    bool retries(bool) const override { return true; }

    std::uint32_t choose(std::size_t, const std::vector<std::uint32_t>& candidates) override
    {
        // Starts at a random place, so that ties don't always go to the same endpoint.
        const auto offset = random_.below(candidates.size());
        auto best = candidates[offset];
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            const auto other = candidates[(offset + index) % candidates.size()];
            if (outstanding(other) < outstanding(best)) {
                best = other;
            }
        }
        return best;
    }

    random_source random_;
};

class two_choices : public baseline
{
public:
    two_choices(const fleet& installation, port& actions, std::uint64_t seed)
        : baseline(installation, actions), random_(seed), reported_(installation.endpoints.size())
    {
    }

    void on_load(std::uint32_t endpoint, const load_report& report) override
    {
        reported_[endpoint] = report.running + report.waiting;
    }

private:
    bool retries(bool idempotent) const override { return idempotent; }

    std::uint32_t choose(std::size_t, const std::vector<std::uint32_t>& candidates) override
    {
        const auto first = candidates[random_.below(candidates.size())];
        const auto second = candidates[random_.below(candidates.size())];
        return load(second) < load(first) ? second : first;
    }

    unsigned load(std::uint32_t endpoint) const
    {
        return reported_[endpoint] + outstanding(endpoint);
    }

    random_source random_;
    std::vector<unsigned> reported_; // by endpoint
};

} // namespace

std::string to_string(policy value)
{
    switch (value) {
    case policy::round_robin:
        return "round_robin";
    case policy::least_outstanding:
        return "least_outstanding";
    case policy::two_choices:
        return "two_choices";
    case policy::quetzallever:
        return "quetzallever";
    }
    return "unknown";
}

std::unique_ptr<router> make_baseline(policy which, const fleet& installation, port& actions,
                                      std::uint64_t seed)
{
    if (which == policy::round_robin) {
        return std::make_unique<round_robin>(installation, actions, seed);
    }
    if (which == policy::least_outstanding) {
        return std::make_unique<least_outstanding>(installation, actions, seed);
    }
    return std::make_unique<two_choices>(installation, actions, seed);
}

} // namespace quetzal::bench
