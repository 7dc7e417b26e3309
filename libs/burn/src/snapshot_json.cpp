#include <quetzal/burn/snapshot.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>

namespace quetzal::burn {

namespace {

namespace json = boost::json;

json::array counts_to_json(const counts& seen)
{
    json::array numbers{seen.total, seen.bad,        seen.failed,
                        seen.late,  seen.slow_first, seen.slow_between};
    for (const auto stage : seen.by_stage) {
        numbers.push_back(stage);
    }
    return numbers;
}

json::object objective_to_json(const class_objective& value)
{
    json::object object{{"id", value.id.name},
                        {"deadline_ns", value.objective.deadline.count()},
                        {"attainment", value.objective.attainment},
                        {"stages", json::value_from(value.stages)}};
    if (value.objective.first_token) {
        object["first_token_ns"] = value.objective.first_token->count();
    }
    if (value.objective.between_tokens) {
        object["between_tokens_ns"] = value.objective.between_tokens->count();
    }
    return object;
}

// Readers throw std::exception for what does not fit; `parse_snapshot` turns it into a result.

void require(bool condition, const char* what)
{
    if (!condition) {
        throw std::invalid_argument(what);
    }
}

std::string text(const json::value& value)
{
    return json::value_to<std::string>(value);
}

duration nanoseconds(const json::value& value)
{
    return duration(json::value_to<std::int64_t>(value));
}

counts counts_from_json(const json::value& value)
{
    counts seen;
    const auto& numbers = value.as_array();
    require(numbers.size() == 6 + seen.by_stage.size(), "counts have another length");
    std::uint32_t* const first[] = {&seen.total, &seen.bad,        &seen.failed,
                                    &seen.late,  &seen.slow_first, &seen.slow_between};
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        auto& place = index < 6 ? *first[index] : seen.by_stage[index - 6];
        place = json::value_to<std::uint32_t>(numbers[index]);
    }
    require(seen.bad <= seen.total, "more bad requests than requests");
    return seen;
}

class_objective objective_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    class_objective read;
    read.id = class_id(text(object.at("id")));
    read.objective.deadline = nanoseconds(object.at("deadline_ns"));
    read.objective.attainment = json::value_to<double>(object.at("attainment"));
    require(read.objective.attainment > 0 && read.objective.attainment < 1,
            "attainment is not between 0 and 1");
    if (const auto* bound = object.if_contains("first_token_ns")) {
        read.objective.first_token = nanoseconds(*bound);
    }
    if (const auto* bound = object.if_contains("between_tokens_ns")) {
        read.objective.between_tokens = nanoseconds(*bound);
    }
    read.stages = json::value_to<std::vector<std::string>>(object.at("stages"));
    return read;
}

snapshot_row row_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    snapshot_row row;
    row.customer = customer_id(text(object.at("customer")));
    row.work_class = class_id(text(object.at("class")));
    const auto& seen = object.at("windows").as_array();
    require(seen.size() == window_count, "another number of windows");
    for (std::size_t window = 0; window < window_count; ++window) {
        row.seen[window] = counts_from_json(seen[window]);
    }
    return row;
}

snapshot snapshot_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    snapshot read;
    read.instance = instance_id(text(object.at("instance")));
    read.process = incarnation{json::value_to<std::uint64_t>(object.at("incarnation"))};
    read.uptime = nanoseconds(object.at("uptime_ns"));
    read.config_version = json::value_to<std::uint64_t>(object.at("config_version"));
    for (const auto& objective : object.at("classes").as_array()) {
        read.classes.push_back(objective_from_json(objective));
    }
    for (const auto& row : object.at("rows").as_array()) {
        read.rows.push_back(row_from_json(row));
    }
    return read;
}

} // namespace

std::string to_json(const snapshot& value)
{
    json::array classes;
    for (const auto& objective : value.classes) {
        classes.push_back(objective_to_json(objective));
    }
    json::array rows;
    for (const auto& row : value.rows) {
        json::array seen;
        for (const auto& window : row.seen) {
            seen.push_back(counts_to_json(window));
        }
        rows.push_back(json::object{{"customer", row.customer.name},
                                    {"class", row.work_class.name},
                                    {"windows", std::move(seen)}});
    }
    return json::serialize(json::object{{"instance", value.instance.name},
                                        {"incarnation", value.process.value},
                                        {"uptime_ns", value.uptime.count()},
                                        {"config_version", value.config_version},
                                        {"classes", std::move(classes)},
                                        {"rows", std::move(rows)}});
}

tl::expected<snapshot, std::string> parse_snapshot(std::string_view json_text)
{
    try {
        return snapshot_from_json(json::parse({json_text.data(), json_text.size()}));
    } catch (const std::exception& error) {
        return tl::unexpected(std::string("not a burn snapshot: ") + error.what());
    }
}

} // namespace quetzal::burn
