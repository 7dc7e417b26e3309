// `quetzalctl check`: settings, published configurations and instance lists, by the parsers of the
// instances.

#include <cstdio>
#include <fstream>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/config/settings.hpp>
#include <quetzal/platform/documents.hpp>
#include <quetzal/platform/front_settings.hpp>

#include "commands.hpp"

namespace quetzal::ctl {

namespace {

using errors = std::vector<std::string>;

template <class Parser>
errors check_settings(Parser parser, const std::string& text, const std::string& file)
{
    errors found;
    if (const auto parsed = parser(text, file); !parsed) {
        for (const auto& error : parsed.error()) {
            found.push_back(error.message());
        }
    }
    return found;
}

template <class Parser>
errors check_json(Parser parser, const std::string& text, const std::string& file)
{
    if (const auto parsed = parser(text); !parsed) {
        return {file + ":" + parsed.error().message()};
    }
    return {};
}

// Returns the kind by the file's ending and, for JSON, by the names that only one kind has.
std::string guess_kind(const std::string& file, const std::string& text)
{
    if (file.ends_with(".toml")) {
        return text.find("[store]") != std::string::npos ? "front-settings" : "settings";
    }
    if (text.find("\"api-keys\"") != std::string::npos) {
        return "platform-config";
    }
    return text.find("\"revision\"") != std::string::npos ? "instances" : "config";
}

errors check_file(const std::string& file, const std::string& kind)
{
    std::ifstream stream(file);
    if (!stream) {
        return {file + ": the file cannot be read"};
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    const std::string text = std::move(buffer).str();
    const std::string chosen = kind.empty() ? guess_kind(file, text) : kind;
    if (chosen == "settings") {
        return check_settings(config::parse_settings, text, file);
    }
    if (chosen == "front-settings") {
        return check_settings(platform::parse_front_settings, text, file);
    }
    if (chosen == "platform-config") {
        const auto decoded = platform::decode_configuration(text);
        return decoded ? errors{} : errors{file + ": " + decoded.error()};
    }
    if (chosen == "instances") {
        return check_json(config::parse_instance_list, text, file);
    }
    if (chosen == "config") {
        return check_json(config::parse_published, text, file);
    }
    return {"unknown kind \"" + chosen +
            "\": expected settings, config, instances, "
            "front-settings or platform-config"};
}

} // namespace

int run_check(const options& chosen)
{
    if (chosen.arguments.empty()) {
        std::fprintf(stderr, "quetzalctl: check needs at least one file\n");
        return exit_invalid;
    }
    bool valid = true;
    boost::json::array all;
    for (const auto& file : chosen.arguments) {
        const auto found = check_file(file, chosen.kind);
        valid = valid && found.empty();
        for (const auto& error : found) {
            all.push_back(boost::json::value(error));
            if (!chosen.json) {
                std::fprintf(stderr, "%s\n", error.c_str());
            }
        }
        if (found.empty() && !chosen.json) {
            std::printf("%s: valid\n", file.c_str());
        }
    }
    if (chosen.json) {
        const boost::json::object object{{"valid", valid}, {"errors", all}};
        std::printf("%s\n", boost::json::serialize(object).c_str());
    }
    return valid ? exit_ok : exit_invalid;
}

} // namespace quetzal::ctl
