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

// The functions below throw a std::exception on invalid input; `parse_snapshot` converts it into an
// error result.

void require(bool condition, const char* what)
{
    if (!condition) {
        throw std::invalid_argument(what);
    }
}

std::string parse_string(const json::value& value)
{
    return json::value_to<std::string>(value);
}

duration parse_nanoseconds(const json::value& value)
{
    return duration(json::value_to<std::int64_t>(value));
}

counts counts_from_json(const json::value& value)
{
    counts seen;
    const auto& numbers = value.as_array();
    require(numbers.size() == 6 + seen.by_stage.size(), "counts array has the wrong length");
    std::uint32_t* const fields[] = {&seen.total, &seen.bad,        &seen.failed,
                                     &seen.late,  &seen.slow_first, &seen.slow_between};
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        auto& field = index < 6 ? *fields[index] : seen.by_stage[index - 6];
        field = json::value_to<std::uint32_t>(numbers[index]);
    }
    require(seen.bad <= seen.total, "number of bad requests exceeds the total");
    return seen;
}

class_objective objective_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    class_objective result;
    result.id = class_id(parse_string(object.at("id")));
    result.objective.deadline = parse_nanoseconds(object.at("deadline_ns"));
    result.objective.attainment = json::value_to<double>(object.at("attainment"));
    require(result.objective.attainment > 0 && result.objective.attainment < 1,
            "attainment is not between 0 and 1");
    if (const auto* bound = object.if_contains("first_token_ns")) {
        result.objective.first_token = parse_nanoseconds(*bound);
    }
    if (const auto* bound = object.if_contains("between_tokens_ns")) {
        result.objective.between_tokens = parse_nanoseconds(*bound);
    }
    result.stages = json::value_to<std::vector<std::string>>(object.at("stages"));
    return result;
}

snapshot_row row_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    snapshot_row row;
    row.customer = customer_id(parse_string(object.at("customer")));
    row.work_class = class_id(parse_string(object.at("class")));
    const auto& seen = object.at("windows").as_array();
    require(seen.size() == window_count, "wrong number of windows");
    for (std::size_t window = 0; window < window_count; ++window) {
        row.seen[window] = counts_from_json(seen[window]);
    }
    return row;
}

snapshot snapshot_from_json(const json::value& value)
{
    const auto& object = value.as_object();
    snapshot result;
    result.instance = instance_id(parse_string(object.at("instance")));
    result.process = incarnation{json::value_to<std::uint64_t>(object.at("incarnation"))};
    result.uptime = parse_nanoseconds(object.at("uptime_ns"));
    result.config_version = json::value_to<std::uint64_t>(object.at("config_version"));
    for (const auto& objective : object.at("classes").as_array()) {
        result.classes.push_back(objective_from_json(objective));
    }
    for (const auto& row : object.at("rows").as_array()) {
        result.rows.push_back(row_from_json(row));
    }
    return result;
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
