#include "ledger.hpp"

#include <algorithm>
#include <array>

namespace quetzal::bench {

namespace {

constexpr double rounding = 1e-6; // tokens

bool is_rate_reason(reason why) noexcept
{
    return why == reason::rate_exceeded || why == reason::no_credit;
}

double share(std::uint64_t part, std::uint64_t whole) noexcept
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

double exact_bucket::level(time_point now)
{
    const auto passed = std::chrono::duration<double>(now - at_).count();
    level_ = std::min(burst_, level_ + rate_ * passed);
    at_ = now;
    return level_;
}

void exact_bucket::take(time_point now)
{
    level(now);
    level_ -= 1;
}

ledger::ledger(const fleet& installation) : fleet_(installation)
{
    for (const auto& customer : installation.config.customers) {
        arrivals_.emplace_back(customer.rate, customer.burst);
        admissions_.emplace_back(customer.rate, customer.burst);
    }
    rates_.resize(installation.config.customers.size());
}

const config::pipeline& ledger::line(const request_record& record) const
{
    return fleet_.config.pipelines[record.what.work];
}

std::uint32_t ledger::arrive(const arrival& what, time_point now)
{
    request_record record;
    record.what = what;
    record.arrived = now;
    record.deadline = now + fleet_.config.classes[what.work].objective.deadline;
    record.first_chunk = record.last_chunk = start_of_run;
    record.executions.resize(line(record).stages.size());
    auto& bucket = arrivals_[what.customer];
    record.within_rate = bucket.level(now) >= 1 - rounding;
    if (record.within_rate) {
        bucket.take(now);
        ++result_.within_rate;
        ++rates_[what.customer].due;
    }
    requests_.push_back(std::move(record));
    return static_cast<std::uint32_t>(requests_.size() - 1);
}

void ledger::admit(std::uint32_t request, time_point now)
{
    auto& record = requests_[request];
    record.admitted = true;
    ++rates_[record.what.customer].admitted;
    auto& bucket = admissions_[record.what.customer];
    if (bucket.level(now) < 1 - rounding) {
        ++result_.over_admissions;
    }
    bucket.take(now);
}

void ledger::refuse(std::uint32_t request, verdict run, reason why, bool capacity_left,
                    time_point now)
{
    auto& record = requests_[request];
    record.end = outcome::refused;
    record.why = why;
    record.ended = now;
    ++result_.refused;
    const bool has_run = std::any_of(record.executions.begin(), record.executions.end(),
                                     [](std::uint32_t count) { return count > 0; });
    if (run == verdict::not_run && has_run) {
        ++result_.false_not_run;
    }
    if (!record.within_rate) {
        return;
    }
    // Without a token the request could not have run, whatever the reason given.
    const bool token = admissions_[record.what.customer].level(now) >= 1;
    if (is_rate_reason(why)) {
        rates_[record.what.customer].refused_with_token += token ? 1 : 0;
    } else {
        result_.wrongful_capacity += token && capacity_left ? 1 : 0;
    }
}

void ledger::fail(std::uint32_t request, time_point now)
{
    requests_[request].end = outcome::failed;
    requests_[request].ended = now;
}

void ledger::abandon(std::uint32_t request, time_point now)
{
    requests_[request].end = outcome::abandoned;
    requests_[request].ended = now;
}

void ledger::answer(std::uint32_t request, time_point now)
{
    requests_[request].end = outcome::answered;
    requests_[request].ended = now;
}

void ledger::chunk(std::uint32_t request, time_point now)
{
    auto& record = requests_[request];
    if (record.first_chunk == start_of_run) {
        record.first_chunk = now;
    } else {
        record.longest_gap = std::max(record.longest_gap, now - record.last_chunk);
    }
    record.last_chunk = now;
}

void ledger::complete_stage(std::uint32_t request, std::uint32_t stage, time_point now)
{
    auto& record = requests_[request];
    if (now <= record.deadline) {
        record.stages_done = std::max(record.stages_done, stage + 1);
    }
}

void ledger::execute(const call& work)
{
    auto& record = requests_[work.request];
    const auto& stage = line(record).stages[work.stage];
    ++result_.stages[stage.id.name].calls;
    if (++record.executions[work.stage] > 1 && !stage.idempotent) {
        ++result_.duplicated;
    }
}

void ledger::occupy(const call& work, duration slot_time)
{
    const auto& stage = line(requests_[work.request]).stages[work.stage];
    result_.stages[stage.id.name].slot_seconds +=
        std::chrono::duration<double>(slot_time).count();
}

// A request whose non-idempotent stage ran twice has not met its target, however fast it was.
bool ledger::met(const request_record& record) const
{
    if (record.end != outcome::answered || record.ended > record.deadline) {
        return false;
    }
    const auto& stages = line(record).stages;
    for (std::size_t index = 0; index < stages.size(); ++index) {
        if (!stages[index].idempotent && record.executions[index] > 1) {
            return false;
        }
    }
    const auto& objective = fleet_.config.classes[record.what.work].objective;
    if (objective.first_token && record.first_chunk - record.arrived > *objective.first_token) {
        return false;
    }
    return !objective.between_tokens || record.longest_gap <= *objective.between_tokens;
}

figures ledger::sum_up(duration from, duration to) const
{
    figures sum = result_;
    struct counts
    {
        std::uint64_t due = 0;
        std::uint64_t met = 0;
    };
    std::vector<counts> customers(fleet_.config.customers.size());
    std::vector<counts> classes(fleet_.config.classes.size());
    sum.within_rate = 0;
    for (const auto& record : requests_) {
        if (record.what.at < from || record.what.at >= to) {
            continue;
        }
        ++sum.arrived;
        const bool good = met(record);
        customers[record.what.customer].met += good ? 1 : 0;
        if (!record.within_rate) {
            continue;
        }
        ++sum.within_rate;
        ++customers[record.what.customer].due;
        ++classes[record.what.work].due;
        classes[record.what.work].met += good ? 1 : 0;
        if (!good) {
            ++sum.endings[ending(record)];
        }
        const auto& stages = line(record).stages;
        for (std::size_t index = 0; index < stages.size(); ++index) {
            auto& stage = sum.stages[stages[index].id.name];
            ++stage.due;
            stage.completed += index < record.stages_done ? 1 : 0;
        }
    }
    // Which requests of a customer beyond its rate are refused is open; how many are not.
    for (const auto& [rightful, admitted, refused] : rates_) {
        sum.wrongful_rate += std::min(refused, rightful - std::min(rightful, admitted));
    }
    sum.worst_customer = 1;
    for (const auto& [due, done] : customers) {
        const auto counted = std::min(due, done);
        sum.met += counted;
        sum.worst_customer = std::min(sum.worst_customer, share(counted, due));
    }
    for (std::size_t index = 0; index < classes.size(); ++index) {
        sum.by_class[fleet_.config.classes[index].id.name] =
            share(classes[index].met, classes[index].due);
    }
    sum.attainment = share(sum.met, sum.within_rate);
    add_timeline(sum, from, to);
    return sum;
}

std::string ledger::ending(const request_record& record)
{
    switch (record.end) {
    case outcome::open:
        return "open";
    case outcome::refused:
        return "refused_" + std::string(to_string(record.why));
    case outcome::failed:
        return "failed";
    case outcome::abandoned:
        return record.admitted ? "abandoned" : "abandoned_before_admission";
    case outcome::answered:
        return "answered_late";
    }
    return "unknown";
}

void ledger::add_timeline(figures& sum, duration from, duration to) const
{
    constexpr std::size_t parts = 10;
    std::array<std::uint64_t, parts> due{};
    std::array<std::uint64_t, parts> done{};
    for (const auto& record : requests_) {
        if (record.within_rate && record.what.at >= from && record.what.at < to) {
            const auto part =
                static_cast<std::size_t>((record.what.at - from) * parts / (to - from));
            ++due[part];
            done[part] += met(record) ? 1 : 0;
        }
    }
    for (std::size_t part = 0; part < parts; ++part) {
        sum.timeline.push_back(share(done[part], due[part]));
    }
}

} // namespace quetzal::bench
