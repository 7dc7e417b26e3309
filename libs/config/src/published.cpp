#include <quetzal/config/published.hpp>

#include <algorithm>
#include <cstring>
#include <set>

#include "json_reader.hpp"

namespace quetzal::config {

namespace {

using internal::bounds;
using internal::error_sink;
using internal::json_reader;
using json = boost::json::value;

constexpr duration shortest_deadline = std::chrono::milliseconds(10);
constexpr duration longest_deadline = std::chrono::minutes(10);
constexpr bounds rate_bounds{0.001, 1e6}; // requests per second
constexpr bounds burst_bounds{1, 1e6};    // requests
constexpr bounds concurrency_bounds{1, 4096};
constexpr bounds attainment_bounds{0.5, 0.99999};

// Reports an error for a name that is declared twice in one list.
class unique_names
{
public:
    explicit unique_names(error_sink& errors) : errors_(errors) {}

    void add(const std::string& name, const std::string& path)
    {
        if (!name.empty() && !names_.insert(name).second) {
            errors_.report(path + ".name", "a name that is declared only once");
        }
    }

private:
    error_sink& errors_;
    std::set<std::string> names_;
};

template <class Entity, class Id>
void require_declared(const std::vector<Entity>& declared, const Id& id, json_reader& reader,
                      std::string_view name)
{
    const bool known = std::any_of(declared.begin(), declared.end(),
                                   [&id](const Entity& entry) { return entry.id == id; });
    if (!known && !id.empty()) {
        reader.errors().report(reader.path_of(name), "a declared name, not \"" + id.name + "\"");
    }
}

zone read_zone(const published& config, const json& value, const std::string& path,
               error_sink& errors)
{
    json_reader reader(value, path, errors);
    zone entry;
    entry.id = zone_id(reader.name("name"));
    entry.region = region_id(reader.name("region"));
    entry.state =
        reader.choice_or_first("state", {"in", "out"}) == 0 ? zone_state::in : zone_state::out;
    const auto& regions = config.regions;
    if (!entry.region.empty() &&
        std::find(regions.begin(), regions.end(), entry.region) == regions.end())
    {
        errors.report(reader.path_of("region"), "a declared region");
    }
    reader.finish();
    return entry;
}

pool read_pool(const json& value, const std::string& path, error_sink& errors)
{
    json_reader reader(value, path, errors);
    pool entry;
    entry.id = pool_id(reader.name("name"));
    entry.kind = reader.choice_or_first("kind", {"service", "model_engine"}) == 0
                     ? pool_kind::service
                     : pool_kind::model_engine;
    entry.concurrency =
        static_cast<std::uint32_t>(reader.integer_or("concurrency", concurrency_bounds, 8));
    entry.cold_concurrency =
        static_cast<std::uint32_t>(reader.integer_or("cold_concurrency", concurrency_bounds, 1));
    entry.checks_fence = reader.bool_or("checks_fence", false);
    entry.resumes_streams = reader.bool_or("resumes_streams", false);
    if (auto model = reader.text_or("model", ""); !model.empty()) {
        entry.model = std::move(model);
    }
    if (entry.cold_concurrency > entry.concurrency) {
        errors.report(reader.path_of("cold_concurrency"), "a number no greater than concurrency");
    }
    reader.finish();
    return entry;
}

stage read_stage(const published& config, const pipeline& owner, const json& value,
                 const std::string& path, error_sink& errors)
{
    json_reader reader(value, path, errors);
    stage entry;
    entry.id = stage_id(reader.name("name"));
    entry.pool = pool_id(reader.name("pool"));
    require_declared(config.pools, entry.pool, reader, "pool");
    entry.idempotent = reader.bool_or("idempotent", true);
    reader.for_each_element(
        "after", false, [&](const json& element, const std::string& element_path) {
            const auto* name = element.if_string();
            const auto& earlier = owner.stages;
            const auto found =
                std::find_if(earlier.begin(), earlier.end(), [&](const stage& other) {
                    return name != nullptr &&
                           std::string_view(other.id.name) == std::string_view(*name);
                });
            if (found == earlier.end()) {
                errors.report(element_path, "the name of an earlier stage of this pipeline");
                return;
            }
            const auto position = static_cast<std::size_t>(found - earlier.begin());
            if (std::find(entry.after.begin(), entry.after.end(), position) != entry.after.end()) {
                errors.report(element_path, "each stage once");
                return;
            }
            entry.after.push_back(position);
        });
    reader.finish();
    return entry;
}

pipeline read_pipeline(const published& config, const json& value, const std::string& path,
                       error_sink& errors)
{
    json_reader reader(value, path, errors);
    pipeline entry;
    entry.id = pipeline_id(reader.name("name"));
    unique_names names(errors);
    reader.for_each_element(
        "stages", true, [&](const json& element, const std::string& element_path) {
            entry.stages.push_back(read_stage(config, entry, element, element_path, errors));
            names.add(entry.stages.back().id.name, element_path);
        });
    if (entry.stages.empty() || entry.stages.size() > max_stages) {
        errors.report(reader.path_of("stages"), "1 to 6 stages");
    }
    reader.finish();
    return entry;
}

target read_target(json_reader& owner, const json& value, error_sink& errors)
{
    json_reader reader(value, owner.path_of("target"), errors);
    target entry;
    entry.deadline = reader.time("deadline", shortest_deadline, longest_deadline);
    entry.attainment = reader.number_or("attainment", attainment_bounds, entry.attainment);
    entry.first_token =
        reader.optional_time("first_token", std::chrono::milliseconds(1), longest_deadline);
    entry.between_tokens =
        reader.optional_time("between_tokens", std::chrono::milliseconds(1), longest_deadline);
    if (entry.first_token > entry.deadline) {
        errors.report(reader.path_of("first_token"), "a duration no longer than the deadline");
    }
    if (entry.between_tokens > entry.deadline) {
        errors.report(reader.path_of("between_tokens"), "a duration no longer than the deadline");
    }
    reader.finish();
    return entry;
}

void check_idempotence(const published& config, const work_class& entry, json_reader& reader)
{
    const auto found =
        std::find_if(config.pipelines.begin(), config.pipelines.end(),
                     [&](const pipeline& other) { return other.id == entry.pipeline; });
    if (found == config.pipelines.end() || !entry.idempotent) {
        return;
    }
    const bool all_idempotent = std::all_of(found->stages.begin(), found->stages.end(),
                                            [](const stage& step) { return step.idempotent; });
    if (!all_idempotent) {
        reader.errors().report(reader.path_of("idempotent"),
                               "false, because the pipeline has a stage that is not idempotent");
    }
}

work_class read_class(const published& config, const json& value, const std::string& path,
                      error_sink& errors)
{
    json_reader reader(value, path, errors);
    work_class entry;
    entry.id = class_id(reader.name("name"));
    entry.pipeline = pipeline_id(reader.name("pipeline"));
    require_declared(config.pipelines, entry.pipeline, reader, "pipeline");
    entry.idempotent = reader.bool_or("idempotent", true);
    entry.late = reader.choice_or_first("late", {"refuse", "finish"}) == 0 ? late_policy::refuse
                                                                           : late_policy::finish;
    entry.open = reader.bool_or("open", false);
    if (entry.open) {
        entry.open_rate = reader.number("open_rate", rate_bounds);
        entry.open_burst = reader.number("open_burst", burst_bounds);
    }
    if (const json* objective = reader.value("target")) {
        entry.objective = read_target(reader, *objective, errors);
    }
    check_idempotence(config, entry, reader);
    reader.finish();
    return entry;
}

customer read_customer(const json& value, const std::string& path, error_sink& errors)
{
    json_reader reader(value, path, errors);
    customer entry;
    entry.id = customer_id(reader.name("name"));
    entry.rate = reader.number("rate", rate_bounds);
    entry.burst = reader.number("burst", burst_bounds);
    reader.for_each_element(
        "keys", true, [&](const json& element, const std::string& element_path) {
            const auto* hex = element.if_string();
            const auto key = hex == nullptr ? std::nullopt : parse_digest(std::string_view(*hex));
            if (!key) {
                errors.report(element_path, "the SHA-256 digest of a key in 64 hexadecimal digits");
                return;
            }
            entry.keys.push_back(*key);
        });
    reader.finish();
    return entry;
}

void check_keys_unique(const published& config, error_sink& errors)
{
    std::set<digest> seen;
    for (std::size_t index = 0; index < config.customers.size(); ++index) {
        for (const auto& key : config.customers[index].keys) {
            if (!seen.insert(key).second) {
                errors.report("customers[" + std::to_string(index) + "].keys",
                              "a key digest that occurs only once");
            }
        }
    }
}

published read_published(const json& value, error_sink& errors)
{
    json_reader reader(value, "", errors);
    published config;
    config.version = reader.integer("version", {1, 9e15});
    unique_names zones(errors);
    unique_names pools(errors);
    unique_names pipelines(errors);
    unique_names classes(errors);
    unique_names customers(errors);
    reader.for_each_element("regions", true, [&](const json& element, const std::string& path) {
        const auto* name = element.if_string();
        if (name == nullptr || !internal::is_valid_name(std::string_view(*name))) {
            errors.report(path, "the name of a region, " + std::string(internal::name_rule));
            return;
        }
        region_id id(std::string(name->data(), name->size()));
        if (std::find(config.regions.begin(), config.regions.end(), id) != config.regions.end()) {
            errors.report(path, "a name that is declared only once");
        }
        config.regions.push_back(std::move(id));
    });
    reader.for_each_element("zones", true, [&](const json& element, const std::string& path) {
        config.zones.push_back(read_zone(config, element, path, errors));
        zones.add(config.zones.back().id.name, path);
    });
    reader.for_each_element("pools", true, [&](const json& element, const std::string& path) {
        config.pools.push_back(read_pool(element, path, errors));
        pools.add(config.pools.back().id.name, path);
    });
    reader.for_each_element("pipelines", true, [&](const json& element, const std::string& path) {
        config.pipelines.push_back(read_pipeline(config, element, path, errors));
        pipelines.add(config.pipelines.back().id.name, path);
    });
    reader.for_each_element("classes", true, [&](const json& element, const std::string& path) {
        config.classes.push_back(read_class(config, element, path, errors));
        classes.add(config.classes.back().id.name, path);
    });
    reader.for_each_element("customers", true, [&](const json& element, const std::string& path) {
        config.customers.push_back(read_customer(element, path, errors));
        customers.add(config.customers.back().id.name, path);
    });
    check_keys_unique(config, errors);
    if (config.regions.empty() || config.zones.empty()) {
        errors.report(config.regions.empty() ? "regions" : "zones", "at least one element");
    }
    reader.finish();
    return config;
}

template <class Entity>
const Entity* find_by_name(const std::unordered_map<std::string, std::size_t>& index,
                           const std::vector<Entity>& entries, const std::string& name) noexcept
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : &entries[found->second];
}

template <class Entity>
void build_index(std::unordered_map<std::string, std::size_t>& index,
                 const std::vector<Entity>& entries)
{
    index.clear();
    for (std::size_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].id.name, position);
    }
}

// Makes a member name suitable for a log line: shortens it and replaces bytes that are not
// printable ASCII. Member names can contain any bytes.
std::string to_printable(std::string_view name)
{
    constexpr std::size_t max_length = 200;
    std::string text(name.substr(0, max_length));
    std::replace_if(
        text.begin(), text.end(), [](char letter) { return letter < ' ' || letter > '~'; }, '?');
    return name.size() > max_length ? text + "..." : text;
}

std::uint64_t key_bucket(const digest& key) noexcept
{
    std::uint64_t bucket = 0;
    std::memcpy(&bucket, key.data(), sizeof bucket);
    return bucket;
}

} // namespace

const zone* published::find(const zone_id& id) const noexcept
{
    return find_by_name(zone_index_, zones, id.name);
}

const pool* published::find(const pool_id& id) const noexcept
{
    return find_by_name(pool_index_, pools, id.name);
}

const pipeline* published::find(const pipeline_id& id) const noexcept
{
    return find_by_name(pipeline_index_, pipelines, id.name);
}

const work_class* published::find(const class_id& id) const noexcept
{
    return find_by_name(class_index_, classes, id.name);
}

const customer* published::find(const customer_id& id) const noexcept
{
    return find_by_name(customer_index_, customers, id.name);
}

const customer* published::authenticate(const digest& key) const noexcept
{
    const customer* owner = nullptr;
    const auto [first, last] = key_index_.equal_range(key_bucket(key));
    for (auto entry = first; entry != last; ++entry) {
        if (const auto& [known, position] = entry->second; equal_constant_time(known, key)) {
            owner = &customers[position];
        }
    }
    return owner;
}

bool published::accepts_work(const zone_id& id) const noexcept
{
    const zone* found = find(id);
    return found != nullptr && found->state == zone_state::in;
}

void published::index()
{
    build_index(zone_index_, zones);
    build_index(pool_index_, pools);
    build_index(pipeline_index_, pipelines);
    build_index(class_index_, classes);
    build_index(customer_index_, customers);
    key_index_.clear();
    for (std::size_t position = 0; position < customers.size(); ++position) {
        for (const auto& key : customers[position].keys) {
            key_index_.emplace(key_bucket(key), std::pair(key, position));
        }
    }
}

std::string parse_error::message() const
{
    std::string text;
    if (line != 0) {
        text = std::to_string(line) + ":" + std::to_string(column) + ": ";
    }
    return text + to_printable(name) + ": expected " + expected;
}

tl::expected<published, parse_error> parse_published(std::string_view text)
{
    error_sink errors;
    if (text.size() > max_published_size) {
        errors.report("JSON", "at most 1 MiB");
        return tl::unexpected(*errors.first);
    }
    const auto value = internal::parse_json(text, errors);
    if (!value) {
        return tl::unexpected(*errors.first);
    }
    published config = read_published(*value, errors);
    if (errors.first) {
        return tl::unexpected(internal::with_position(*errors.first, text));
    }
    config.index();
    return config;
}

} // namespace quetzal::config
