// Compares four ways to keep a customer's rate over a fleet, as small models in virtual time:
// static split, one owner by rendezvous hash, majority leases with the owner only, and majority
// leases with credits (the chosen design). The models share arrivals, faults and the exact
// reference. Usage: rights_model [seed]; prints a table and JSON lines.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include <quetzal/base/hash.hpp>
#include <quetzal/base/random.hpp>
#include <quetzal/rights/committee.hpp>

namespace {

using namespace quetzal;

// All times in seconds of virtual time.
constexpr double step = 0.01;
constexpr double length = 40;
constexpr double measured_from = 10;
constexpr double fault_at = 15;
constexpr double heal_at = 25;
constexpr double patience = 1; // how long a caller waits for admission
constexpr double retry = 0.05;
constexpr double requests_per_node = 8; // a second, within the rates
constexpr double lease = 2.5;
constexpr double takeover = lease + 0.3; // lease and the candidate's next request

enum class design
{
    split,
    owner,
    lease_owner,
    lease_credits,
    ideal // one bucket that everybody reaches at all times; gives the refusals that are due
};
constexpr std::array<const char*, 4> design_names{"static split", "one owner", "leases, owner",
                                                  "leases, credits"};
enum class placement
{
    spread,
    one,
    moving
};
constexpr std::array<const char*, 3> placement_names{"spread", "one", "moving"};
enum class fault
{
    none,
    death,
    halves
};
constexpr std::array<const char*, 3> fault_names{"none", "death", "split"};

struct setting
{
    std::size_t nodes;
    std::size_t customers;
    placement callers;
    fault failure;
};

struct bucket
{
    double level = 0;
    double at = -1e9; // full at first use

    void refill(double rate, double cap, double now)
    {
        level = std::max(level, std::min(cap, level + rate * (now - at)));
        at = now;
    }
};

struct wallet
{
    double tokens = 0;
    double until = 0;
    double demand = 0; // expected in 0.2 s
    double used_at = 0;
    double not_before = 0; // of the next request, as the home said
};

struct totals
{
    double requests = 0;
    double refused = 0;
    double over = 0; // admissions beyond burst + rate * window
    double messages = 0;
};

class model
{
public:
    model(const setting& chosen, design kind, std::uint64_t seed)
        : set_(chosen), kind_(kind), random_(seed),
          rate_(requests_per_node * static_cast<double>(chosen.nodes) /
                static_cast<double>(chosen.customers) / 0.8),
          burst_(std::max(10.0, rate_)), reference_(chosen.customers), home_(chosen.customers),
          out_(chosen.customers), ranks_(chosen.customers), holder_(chosen.customers),
          place_(chosen.customers), detects_(chosen.nodes)
    {
        for (std::size_t customer = 0; customer < set_.customers; ++customer) {
            std::vector<std::pair<std::uint64_t, std::size_t>> scored;
            for (std::size_t node = 0; node < set_.nodes; ++node) {
                scored.emplace_back(combine_hash(customer + 1, combine_hash(7, node)), node);
            }
            std::sort(scored.rbegin(), scored.rend());
            for (const auto& [score, node] : scored) {
                ranks_[customer].push_back(node);
            }
            holder_[customer] = ranks_[customer].front();
            place_[customer] = random_.below(set_.nodes);
        }
        dead_ = ranks_[0].front();
        for (auto& delay : detects_) {
            delay = 1 + 2 * random_.unit();
        }
    }

    totals run()
    {
        const double per_step = requests_per_node * static_cast<double>(set_.nodes) * step;
        double due = 0;
        for (now_ = 0; now_ < length; now_ += step) {
            move_rights();
            while (!waiting_.empty() && waiting_.top().at <= now_) {
                const attempt next = waiting_.top();
                waiting_.pop();
                serve(next);
            }
            for (due += per_step; due >= 1; due -= 1) {
                // Customer 0 sends five times its share.
                std::size_t customer = random_.below(set_.customers + 4);
                customer = customer >= set_.customers ? 0 : customer;
                if (set_.callers == placement::moving && random_.unit() < 0.01) {
                    place_[customer] = random_.below(set_.nodes);
                }
                std::size_t node = set_.callers == placement::spread ? random_.below(set_.nodes)
                                                                     : place_[customer];
                if (set_.failure == fault::death && now_ >= fault_at && node == dead_) {
                    node = (node + 1) % set_.nodes;
                    place_[customer] = node;
                }
                if (now_ >= measured_from) {
                    result_.requests += 1;
                }
                serve({now_, now_ + patience, node, customer});
            }
        }
        result_.messages /= static_cast<double>(set_.nodes) * (length - measured_from);
        if (kind_ == design::lease_owner || kind_ == design::lease_credits) {
            result_.messages += lease_messages();
        }
        return result_;
    }

private:
    struct attempt
    {
        double at;
        double until;
        std::size_t node;
        std::size_t customer;
        bool operator<(const attempt& other) const { return at > other.at; }
    };

    bool split_now() const
    {
        return set_.failure == fault::halves && now_ >= fault_at && now_ < heal_at;
    }
    // Three of eight instances are on the smaller side.
    bool side(std::size_t node) const { return node % 8 < 3; }
    bool alive(std::size_t node) const
    {
        return set_.failure != fault::death || now_ < fault_at || node != dead_;
    }
    bool reach(std::size_t from, std::size_t to) const
    {
        return alive(from) && alive(to) && (!split_now() || side(from) == side(to));
    }
    // Whether a node believes that another is alive: faults are noticed 1 to 3 s later.
    bool believes(std::size_t node, std::size_t other) const
    {
        if (set_.failure == fault::death && other == dead_) {
            return now_ < fault_at + detects_[node];
        }
        if (set_.failure == fault::halves && side(node) != side(other)) {
            return now_ < fault_at + detects_[node] || now_ >= heal_at + detects_[node];
        }
        return true;
    }

    std::size_t believed_owner(std::size_t node, std::size_t customer) const
    {
        for (const auto candidate : ranks_[customer]) {
            if (believes(node, candidate)) {
                return candidate;
            }
        }
        return node;
    }

    // Whether a quorum of the customer's committee is on the candidate's side.
    bool has_quorum(std::size_t candidate, std::size_t customer) const
    {
        const auto size = rights::committee_size(set_.nodes, 3);
        std::size_t votes = 0;
        for (std::size_t member = 0; member < size; ++member) {
            votes += reach(candidate, ranks_[customer][set_.nodes - 1 - member]) ? 1 : 0;
        }
        return votes >= rights::quorum_of(size);
    }

    void move_rights()
    {
        if (kind_ != design::lease_owner && kind_ != design::lease_credits) {
            return;
        }
        const bool lost = set_.failure != fault::none && now_ >= fault_at + takeover &&
                          now_ < fault_at + takeover + step;
        if (!lost) {
            return;
        }
        for (std::size_t customer = 0; customer < set_.customers; ++customer) {
            if (alive(holder_[customer]) && has_quorum(holder_[customer], customer)) {
                continue;
            }
            for (const auto candidate : ranks_[customer]) {
                if (alive(candidate) && has_quorum(candidate, customer)) {
                    holder_[customer] = candidate;
                    home_[customer] = {0, now_};
                    out_[customer] = 0;
                    break;
                }
            }
        }
    }

    // Whether the holder's lease runs and the node can reach it.
    bool holder_serves(std::size_t node, std::size_t customer) const
    {
        const auto holder = holder_[customer];
        if (!reach(node, holder)) {
            return false;
        }
        return !split_now() || now_ < fault_at + lease || has_quorum(holder, customer);
    }

    bool take(bucket& tokens, double rate, double cap)
    {
        tokens.refill(rate, cap, now_);
        if (tokens.level < 1) {
            return false;
        }
        tokens.level -= 1;
        return true;
    }

    void count(double messages) { result_.messages += now_ >= measured_from ? messages : 0; }

    bool admit(const attempt& request)
    {
        const auto [at, until, node, customer] = request;
        const double nodes = static_cast<double>(set_.nodes);
        switch (kind_) {
        case design::split:
            return take(local_[node * set_.customers + customer], rate_ / nodes, burst_ / nodes);
        case design::owner: {
            const auto owner = believed_owner(node, customer);
            if (!reach(node, owner)) {
                return false;
            }
            count(owner == node ? 0 : 2);
            return take(local_[owner * set_.customers + customer], rate_, burst_);
        }
        case design::lease_owner:
            if (!holder_serves(node, customer)) {
                return false;
            }
            count(holder_[customer] == node ? 0 : 2);
            return take(home_[customer], rate_, burst_);
        case design::lease_credits:
            return admit_with_credit(node, customer);
        case design::ideal:
            return take(home_[customer], rate_, burst_);
        }
        return false;
    }

    bool admit_with_credit(std::size_t node, std::size_t customer)
    {
        bucket& home = home_[customer];
        if (holder_[customer] == node) {
            return holder_serves(node, customer) && take(home, rate_, burst_ - out_[customer]);
        }
        wallet& own = wallets_[node * set_.customers + customer];
        own.demand = own.demand * std::exp(-(now_ - own.used_at) / 0.2) + 1;
        const bool idle = now_ > own.used_at + 0.4;
        own.used_at = now_;
        if (own.until <= now_ || idle) { // expired, or returned by a report
            if (own.tokens > 0 && own.until > now_) {
                home.level += own.tokens;
                count(1);
            }
            out_[customer] = std::max(0.0, out_[customer] - own.tokens);
            own.tokens = 0;
        }
        if (own.tokens < 1) {
            if (now_ < own.not_before || !holder_serves(node, customer)) {
                return false;
            }
            count(2);
            home.refill(rate_, burst_ - out_[customer], now_);
            const double granted = std::floor(
                std::min({std::ceil(own.demand), home.level, burst_ / 2 - out_[customer]}));
            if (granted < 1) {
                own.not_before = now_ + std::clamp((1 - home.level) / rate_, 0.02, 1.0);
                return false;
            }
            home.level -= granted;
            out_[customer] += granted;
            own.tokens = granted;
            own.until = now_ + 2;
        }
        own.tokens -= 1;
        out_[customer] -= 1; // the reference counts at the same moment
        return true;
    }

    void serve(const attempt& request)
    {
        bucket& exact = reference_[request.customer];
        exact.refill(rate_, burst_, now_);
        if (admit(request)) {
            exact.level -= 1;
            if (exact.level < -1e-6) {
                exact.level = 0;
                result_.over += now_ >= measured_from ? 1 : 0;
            }
            return;
        }
        if (now_ + retry < request.until) {
            waiting_.push({now_ + retry, request.until, request.node, request.customer});
        } else if (now_ >= measured_from) {
            result_.refused += 1;
        }
    }

    // Renewals and their answers, by a node a second: the peers of all its partitions, or of its
    // own name when it holds none.
    double lease_messages() const
    {
        const double others = static_cast<double>(set_.nodes) - 1;
        const double seats =
            static_cast<double>(rights::committee_size(set_.nodes, 3)) * others / (others + 1);
        const double held = 256 / (others + 1);
        const double none = std::exp(-held);
        const double peers = others * (1 - std::exp(-held * seats / others));
        return 2 * (peers + none * seats) / 0.8;
    }

    setting set_;
    design kind_;
    random_source random_;
    double rate_;
    double burst_;
    double now_ = 0;
    totals result_;
    std::vector<bucket> reference_;
    std::vector<bucket> home_;
    std::vector<double> out_;
    std::vector<std::vector<std::size_t>> ranks_;
    std::vector<std::size_t> holder_;
    std::vector<std::size_t> place_;
    std::vector<double> detects_;
    std::size_t dead_ = 0;
    std::unordered_map<std::size_t, bucket> local_;
    std::unordered_map<std::size_t, wallet> wallets_;
    std::priority_queue<attempt> waiting_;
};

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::string json;
    std::printf("%5s %9s %-7s %-6s %-16s | %9s %9s %9s %10s\n", "nodes", "customers", "callers",
                "fault", "design", "refused %", "wrongful %", "over %", "messages/s");
    for (const std::size_t nodes : {8, 330}) {
        for (const std::size_t customers : {5, 3200}) {
            for (const auto callers : {placement::spread, placement::one, placement::moving}) {
                for (const auto failure : {fault::none, fault::death, fault::halves}) {
                    const setting chosen{nodes, customers, callers, failure};
                    const auto due = model(chosen, design::ideal, seed).run().refused;
                    for (std::size_t kind = 0; kind < design_names.size(); ++kind) {
                        const auto sum = model(chosen, static_cast<design>(kind), seed).run();
                        const double wrongful = std::max(0.0, sum.refused - due);
                        const double share = 100 / sum.requests;
                        const auto* place = placement_names[static_cast<std::size_t>(callers)];
                        const auto* broken = fault_names[static_cast<std::size_t>(failure)];
                        std::printf("%5zu %9zu %-7s %-6s %-16s | %9.2f %10.2f %9.2f %10.1f\n",
                                    nodes, customers, place, broken, design_names[kind],
                                    sum.refused * share, wrongful * share, sum.over * share,
                                    sum.messages);
                        char line[256];
                        std::snprintf(line, sizeof line,
                                      "{\"nodes\":%zu,\"customers\":%zu,\"callers\":\"%s\","
                                      "\"fault\":\"%s\",\"design\":\"%s\",\"refused\":%.4f,"
                                      "\"wrongful\":%.4f,\"over\":%.4f,\"messages\":%.2f}\n",
                                      nodes, customers, place, broken, design_names[kind],
                                      sum.refused / sum.requests, wrongful / sum.requests,
                                      sum.over / sum.requests, sum.messages);
                        json += line;
                    }
                }
            }
        }
    }
    std::printf("\n%s", json.c_str());
}
