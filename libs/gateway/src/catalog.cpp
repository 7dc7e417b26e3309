#include <quetzal/gateway/catalog.hpp>

#include <algorithm>
#include <utility>

namespace quetzal::gateway {

namespace {

// How long an announcement is kept of an endpoint that is not listed. Its entry may be missing for
// some time while the platform's store has an outage.
constexpr duration announcement_retention = std::chrono::minutes(5);

} // namespace

bool catalog::apply(published_configuration configuration)
{
    if (configured() && configuration.version <= configuration_->version) {
        return false;
    }
    routes_by_host_.clear();
    customers_by_key_.clear();
    services_.clear();
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        routes_by_host_[configuration.routes[index].host].push_back(index);
    }
    for (std::size_t index = 0; index < configuration.customers.size(); ++index) {
        for (const auto& key : configuration.customers[index].keys) {
            customers_by_key_.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        services_.emplace(configuration.services[index].name, index);
    }
    configuration_ = std::make_shared<const published_configuration>(std::move(configuration));
    return true;
}

void catalog::put_endpoint(endpoint value)
{
    const std::string id = value.id;
    endpoints_.insert_or_assign(id, std::move(value));
}

void catalog::remove_endpoint(const std::string& id)
{
    endpoints_.erase(id);
}

void catalog::set_evacuated(const std::string& zone, bool evacuated, time_point now)
{
    if (evacuated) {
        evacuated_.insert(zone);
        return;
    }
    if (evacuated_.erase(zone) == 0) {
        return;
    }
    // The endpoints of a returning zone have usually been restarted, and their catalog entries may
    // not show that yet.
    for (auto& [id, value] : endpoints_) {
        if (const auto* service = find_service(value.service);
            service != nullptr && value.zone == zone) {
            value.cold_until = std::max(value.cold_until, now + service->cold_period);
        }
    }
}

const caller_limits& catalog::limits() const noexcept
{
    static const caller_limits defaults;
    return configured() ? configuration_->limits : defaults;
}

std::shared_ptr<const route> catalog::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(std::string(host));
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    const route* best = nullptr;
    for (const std::size_t index : found->second) {
        const route& candidate = configuration_->routes[index];
        if (path.starts_with(candidate.prefix) &&
            (best == nullptr || candidate.prefix.size() > best->prefix.size()))
        {
            best = &candidate;
        }
    }
    return best == nullptr ? nullptr : std::shared_ptr<const route>(configuration_, best);
}

std::optional<caller_identity> catalog::find_customer(std::string_view key) const
{
    const auto found = customers_by_key_.find(std::string(key));
    if (found == customers_by_key_.end()) {
        return std::nullopt;
    }
    const customer& owner = configuration_->customers[found->second];
    return caller_identity{owner.name, owner.priority};
}

const service_definition* catalog::find_service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &configuration_->services[found->second];
}

const endpoint* catalog::find_endpoint(const std::string& id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

catalog::announcement* catalog::announcement_of(const endpoint& value, time_point now)
{
    const endpoint* current = find_endpoint(value.id);
    if (current == nullptr || !current->same_incarnation(value)) {
        return nullptr;
    }
    announcement& known = announcements_[value.id];
    if (!known.source.same_incarnation(value)) {
        known = {};
        known.source = value;
    }
    known.received = now;
    return &known;
}

void catalog::record_leaving(const endpoint& value, time_point now)
{
    if (announcement* known = announcement_of(value, now)) {
        known->leaving = true;
    }
}

void catalog::record_pause(const endpoint& value, time_point until, time_point now)
{
    if (announcement* known = announcement_of(value, now)) {
        known->paused_until = std::max(known->paused_until.value_or(until), until);
    }
}

bool catalog::end_pauses(time_point now)
{
    bool ended = false;
    for (auto& entry : announcements_) {
        auto& until = entry.second.paused_until;
        if (until && *until <= now) {
            until.reset();
            ended = true;
        }
    }
    std::erase_if(announcements_, [&](const auto& entry) {
        const announcement& known = entry.second;
        const endpoint* current = find_endpoint(entry.first);
        const bool listed = current != nullptr && current->same_incarnation(known.source);
        const bool empty = !known.leaving && !known.paused_until;
        return empty || (!listed && now - known.received > announcement_retention);
    });
    return ended;
}

std::optional<time_point> catalog::next_pause_end(const std::string& service) const
{
    std::optional<time_point> first;
    for (const auto& entry : announcements_) {
        const announcement& known = entry.second;
        if (known.source.service == service && !known.leaving && known.paused_until &&
            is_listed_for_work(known.source) && (!first || *known.paused_until < *first))
        {
            first = known.paused_until;
        }
    }
    return first;
}

bool catalog::accepts_work(const endpoint& value) const
{
    if (const auto found = announcements_.find(value.id); found != announcements_.end()) {
        const announcement& known = found->second;
        if (known.source.same_incarnation(value) && (known.leaving || known.paused_until)) {
            return false;
        }
    }
    return is_listed_for_work(value);
}

bool catalog::is_listed_for_work(const endpoint& value) const
{
    const endpoint* current = find_endpoint(value.id);
    return current != nullptr && current->same_incarnation(value) && !current->leaving &&
           !evacuated_.contains(current->zone);
}

std::vector<const endpoint*> catalog::usable_endpoints(const std::string& service,
                                                       std::string_view zone) const
{
    std::vector<const endpoint*> usable;
    for (const auto& [id, value] : endpoints_) {
        if (value.service == service && (zone.empty() || value.zone == zone) && accepts_work(value))
        {
            usable.push_back(&value);
        }
    }
    return usable;
}

} // namespace quetzal::gateway
