#include "json_scan.hpp"

#include <algorithm>
#include <unordered_set>

namespace quetzal::config::internal {

namespace {

// Traverses valid JSON and reports every member and element with its path. The nesting limit of the
// parser that accepted the text (32) bounds the recursion depth.
template <class OnValue, class OnName>
class scanner
{
public:
    scanner(std::string_view text, OnValue on_value, OnName on_name)
        : text_(text), on_value_(on_value), on_name_(on_name)
    {
    }

    void run()
    {
        skip_space();
        on_value_(path_, at_);
        scan_value();
    }

private:
    char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }

    void skip_space()
    {
        while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) < 4) {
            ++at_;
        }
    }

    // Returns the content of a string without decoding escape sequences and moves past the string.
    std::string_view scan_string()
    {
        const std::size_t first = ++at_;
        while (at_ < text_.size() && text_[at_] != '"') {
            at_ += text_[at_] == '\\' ? 2 : 1;
        }
        const std::size_t last = std::min(at_, text_.size());
        at_ = last + 1;
        return text_.substr(first, last - first);
    }

    void scan_value()
    {
        skip_space();
        switch (peek()) {
        case '{':
            scan_object();
            break;
        case '[':
            scan_array();
            break;
        case '"':
            scan_string();
            break;
        default:
            at_ = std::min(text_.find_first_of(" \t\r\n,]}", at_), text_.size());
        }
        skip_space();
    }

    void scan_object()
    {
        std::unordered_set<std::string_view> names;
        const std::size_t outer = path_.size();
        ++at_;
        skip_space();
        while (at_ < text_.size() && peek() != '}') {
            const std::size_t start = at_;
            const std::string_view name = scan_string();
            if (outer != 0) {
                path_ += '.';
            }
            path_ += name;
            on_value_(path_, start);
            on_name_(path_, name, start, !names.insert(name).second);
            skip_space();
            ++at_; // the colon
            scan_value();
            path_.resize(outer);
            skip_comma();
        }
        ++at_;
    }

    void scan_array()
    {
        const std::size_t outer = path_.size();
        ++at_;
        skip_space();
        for (std::size_t index = 0; at_ < text_.size() && peek() != ']'; ++index) {
            path_ += '[';
            path_ += std::to_string(index);
            path_ += ']';
            on_value_(path_, at_);
            scan_value();
            path_.resize(outer);
            skip_comma();
        }
        ++at_;
    }

    void skip_comma()
    {
        if (peek() == ',') {
            ++at_;
        }
        skip_space();
    }

    std::string_view text_;
    OnValue on_value_;
    OnName on_name_;
    std::size_t at_ = 0;
    std::string path_;
};

// Returns whether `path` denotes the same value as `wanted` or one that encloses it.
bool encloses(std::string_view path, std::string_view wanted)
{
    if (!wanted.starts_with(path)) {
        return false;
    }
    return path.empty() || wanted.size() == path.size() || wanted[path.size()] == '.' ||
           wanted[path.size()] == '[';
}

} // namespace

void set_position(parse_error& error, std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line_end = before.rfind('\n');
    error.line = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
    error.column = before.size() - (line_end == std::string_view::npos ? 0 : line_end + 1) + 1;
}

void locate(parse_error& error, std::string_view text)
{
    std::size_t best_length = 0;
    std::size_t best_offset = 0;
    const auto on_value = [&](std::string_view path, std::size_t offset) {
        if (path.size() >= best_length && encloses(path, error.name)) {
            best_length = path.size();
            best_offset = offset;
        }
    };
    scanner(text, on_value, [](const auto&...) {}).run();
    set_position(error, text, best_offset);
}

std::optional<parse_error> check_names(std::string_view text)
{
    std::optional<parse_error> first;
    const auto on_name = [&](const std::string& path, std::string_view name, std::size_t offset,
                             bool repeated) {
        if (first || (!repeated && name.find('\\') == std::string_view::npos)) {
            return;
        }
        first = parse_error{0, 0, path,
                            repeated ? "each name at most once in an object"
                                     : "a name without escape sequences"};
        set_position(*first, text, offset);
    };
    scanner(
        text, [](const auto&...) {}, on_name)
        .run();
    return first;
}

} // namespace quetzal::config::internal
