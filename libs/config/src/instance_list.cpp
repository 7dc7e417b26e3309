#include <quetzal/config/instance_list.hpp>

#include <algorithm>
#include <unordered_set>

#include <quetzal/config/settings.hpp>

#include "json_reader.hpp"

namespace quetzal::config {

namespace {

using internal::error_sink;
using internal::json_reader;
using json = boost::json::value;

std::uint16_t read_port(json_reader& reader, std::string_view name)
{
    return static_cast<std::uint16_t>(reader.integer(name, {1, 65535}));
}

std::string read_address(json_reader& reader)
{
    std::string address = reader.text("address");
    if (!address.empty() && !is_numeric_address(address)) {
        reader.errors().report(reader.path_of("address"), "a numeric IP address");
    }
    return address;
}

// Reports an error for a name that is listed twice.
class unique_names
{
public:
    explicit unique_names(error_sink& errors) : errors_(errors) {}

    void add(const std::string& name, const std::string& path)
    {
        if (!name.empty() && !names_.insert(name).second) {
            errors_.report(path + ".name", "a name that is listed only once");
        }
    }

private:
    error_sink& errors_;
    std::unordered_set<std::string> names_;
};

listed_state read_state(json_reader& reader)
{
    return reader.choice_or_first("state", {"live", "leaving"}) == 0 ? listed_state::live
                                                                     : listed_state::leaving;
}

listed_instance read_instance(const json& value, const std::string& path, error_sink& errors)
{
    json_reader reader(value, path, errors);
    listed_instance entry;
    entry.id = instance_id(reader.name("name"));
    entry.address = read_address(reader);
    entry.caller_port = read_port(reader, "caller_port");
    entry.peer_port = read_port(reader, "peer_port");
    entry.zone = zone_id(reader.name("zone"));
    entry.state = read_state(reader);
    reader.finish();
    return entry;
}

listed_endpoint read_endpoint(const json& value, const std::string& path, error_sink& errors)
{
    json_reader reader(value, path, errors);
    listed_endpoint entry;
    entry.id = endpoint_id(reader.name("name"));
    entry.pool = pool_id(reader.name("pool"));
    entry.address = read_address(reader);
    entry.port = read_port(reader, "port");
    entry.zone = zone_id(reader.name("zone"));
    entry.state = read_state(reader);
    reader.finish();
    return entry;
}

template <class Entity, class Id>
const Entity* find_by_id(const std::vector<Entity>& entries, const Id& id) noexcept
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&id](const Entity& entry) { return entry.id == id; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

const listed_instance* instance_list::find(const instance_id& id) const noexcept
{
    return find_by_id(instances, id);
}

const listed_endpoint* instance_list::find(const endpoint_id& id) const noexcept
{
    return find_by_id(endpoints, id);
}

tl::expected<instance_list, parse_error> parse_instance_list(std::string_view text)
{
    error_sink errors;
    if (text.size() > max_instance_list_size) {
        return tl::unexpected(parse_error{0, 0, "JSON", "at most 1 MiB"});
    }
    const auto value = internal::parse_json(text, errors);
    if (!value) {
        return tl::unexpected(*errors.first);
    }
    instance_list list;
    json_reader reader(*value, "", errors);
    unique_names instances(errors);
    unique_names endpoints(errors);
    list.revision = reader.integer("revision", {1, 9e15});
    reader.for_each_element("instances", true, [&](const json& element, const std::string& path) {
        list.instances.push_back(read_instance(element, path, errors));
        instances.add(list.instances.back().id.name, path);
    });
    reader.for_each_element("endpoints", true, [&](const json& element, const std::string& path) {
        list.endpoints.push_back(read_endpoint(element, path, errors));
        endpoints.add(list.endpoints.back().id.name, path);
    });
    reader.finish();
    if (errors.first) {
        return tl::unexpected(internal::with_position(*errors.first, text));
    }
    return list;
}

} // namespace quetzal::config
