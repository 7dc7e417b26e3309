#include "dispatcher_harness.hpp"

#include <set>

#include <quetzal/base/random.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::serving;
using namespace quetzal::serving::testing;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

// A run of random load and faults from a seed. Checks the guarantees of the dispatcher at each
// attempt.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : random_(seed), seed_(seed)
    {
        fleet_.serve = [this](const start_attempt& attempt) { return serve(attempt); };
        for (const auto* customer : {"rugs", "flags", "maps"}) {
            for (const auto* work_class : {"ask", "book"}) {
                fleet_.load(customer, 20 + static_cast<double>(random_.below(200)), 4s, work_class);
            }
        }
        for (int fault = 0; fault < 40; ++fault) {
            fleet_.at(fleet_.now + std::chrono::milliseconds(random_.below(4000)),
                      [this] { inject_fault(); });
        }
    }

    void run()
    {
        fleet_.run_until(fleet_.now + 5s);
        for (const auto* zone : {"a", "b", "c"}) {
            fleet_.set_zone(zone, config::zone_state::in);
        }
        fleet_.run_until(fleet_.now + 10s); // longer than any request lives
        expect(fleet_.ended.size() == fleet_.submitted(), "every request ends");
        expect(fleet_.ends == fleet_.submitted(), "every request ends only once");
        for (const auto& pool : fleet_.published->pools) {
            const auto figures = fleet_.subject->figures(pool.id);
            expect(figures.running == 0 && figures.waiting_calls == 0 &&
                       figures.waiting_requests == 0,
                   "no work is left in the pool");
        }
        for (const call_failed& failed : fleet_.failed_calls) {
            expect(failed.why.run != verdict::not_run || !ran_calls_.contains(failed.call),
                   "a call reported as not run did not run");
        }
    }

private:
    void expect(bool condition, const std::string& what) const
    {
        check(condition, what + ", seed " + std::to_string(seed_));
    }

    std::optional<harness::behaviour> serve(const start_attempt& attempt)
    {
        const auto& name = attempt.endpoint.name;
        const std::string zone(1, static_cast<char>('a' + (name.back() - '0') % 3));
        expect(fleet_.published->accepts_work(zone_id(zone)), "the zone is in service");
        expect(!leaving_.contains(name), "the endpoint is not leaving");
        expect(!disconnected_.contains(name), "the endpoint is connected");
        expect(attempt.process.value == restarts_[name] + 1,
               "the attempt is for the current process");
        const bool restarted = restarts_[name] > 0 || evacuated_.contains(name);
        expect(!restarted || held_.contains(name) || warm_.contains(name),
               "the endpoint is warm or its exclusive right is held");
        expect(fleet_.in_flight[name] <= 4, "the concurrency limit is kept");
        expect(fleet_.now < attempt.give_up, "the attempt starts before its deadline");
        // The stage "rank" of "book" is not idempotent.
        const bool must_run_once =
            name.starts_with("rank") && fleet_.class_of(attempt.request) == "book";
        expect(!must_run_once || !ran_calls_.contains(attempt.call),
               "work that is not idempotent runs once");
        const auto draw = random_.below(20);
        const auto takes = std::chrono::milliseconds(5 + random_.below(60));
        if (draw == 0) { // refused before running
            return harness::behaviour{takes, verdict::not_run, true};
        }
        ran_calls_.insert(attempt.call);
        if (draw == 1) {
            return std::nullopt; // never answers
        }
        const bool fails = draw < 4;
        return harness::behaviour{
            takes, fails ? std::optional(verdict::may_have_run) : std::nullopt, false};
    }

    void inject_fault()
    {
        const auto& listed = fleet_.list.endpoints[random_.below(fleet_.list.endpoints.size())];
        const endpoint_id id = listed.id;
        const std::string name = id.name;
        const auto now = fleet_.now;
        apply_own_declarations();
        switch (random_.below(6)) {
        case 0: {
            const bool out = random_.below(2) == 0;
            const std::string zone(1, static_cast<char>('a' + random_.below(3)));
            for (const auto& endpoint : fleet_.list.endpoints) {
                const bool was_out = !fleet_.published->accepts_work(endpoint.zone);
                if (endpoint.zone.name == zone && out != was_out) {
                    evacuated_.insert(endpoint.id.name);
                    warm_.erase(endpoint.id.name);
                }
            }
            fleet_.set_zone(zone, out ? config::zone_state::out : config::zone_state::in);
            break;
        }
        case 1:
            ++restarts_[name];
            warm_.erase(name);
            disconnected_.erase(name);
            fleet_.apply(
                fleet_.subject->connection_changed(id, incarnation{restarts_[name] + 1}, now));
            break;
        case 2:
            disconnected_.insert(name);
            fleet_.apply(fleet_.subject->connection_changed(id, {}, now));
            break;
        case 3:
            if (!held_.insert(name).second) {
                held_.erase(name);
            }
            fleet_.apply(fleet_.subject->exclusive_right_changed(
                id, held_.contains(name) ? std::optional(++fence_) : std::nullopt, now));
            break;
        case 4:
            leaving_.insert(name);
            for (auto& endpoint : fleet_.list.endpoints) {
                endpoint.state = leaving_.contains(endpoint.id.name) ? config::listed_state::leaving
                                                                     : config::listed_state::live;
            }
            fleet_.apply(fleet_.subject->update(fleet_.list, now));
            break;
        default:
            warm_.insert(name);
            fleet_.apply(fleet_.subject->declared(
                id, {incarnation{restarts_[name] + 1}, true, ++fence_, 1}, now));
        }
    }

    // Applies the declarations that this instance made as the holder since the last fault.
    void apply_own_declarations()
    {
        for (; applied_declarations_ < fleet_.declarations.size(); ++applied_declarations_) {
            const auto& [endpoint, declaration] = fleet_.declarations[applied_declarations_];
            if (declaration.warm) {
                warm_.insert(endpoint.name);
            } else {
                warm_.erase(endpoint.name);
            }
        }
    }

    harness fleet_;
    random_source random_;
    std::uint64_t seed_;
    std::uint64_t fence_ = 10;
    std::size_t applied_declarations_ = 0;          // declarations already applied
    std::map<std::string, std::uint64_t> restarts_; // number of restarts
    std::set<std::string> leaving_;
    std::set<std::string> disconnected_;
    std::set<std::string> held_;
    std::set<std::string> warm_;
    std::set<std::string> evacuated_; // endpoints whose zone was evacuated
    std::set<call_key> ran_calls_;
};

} // namespace

// Guards against combinations of faults under load: zones evacuated and returned, restarts, lost
// connections, moved exclusive rights, leaving endpoints, refusals, failures and calls that are
// never answered.
Test(dispatcher_random, keeps_its_guarantees_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_run(seed).run();
    }
}
