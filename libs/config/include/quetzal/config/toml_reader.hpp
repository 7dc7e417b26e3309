#ifndef QUETZAL_CONFIG_TOML_READER_HPP
#define QUETZAL_CONFIG_TOML_READER_HPP

// Strict reading of TOML tables. Unlike the JSON reader it collects all errors with their
// positions, because people edit settings files by hand.

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/config/settings.hpp>

// toml++ 3.3 asserts that a key follows the "[" of a table header and reports the other case as an
// error right behind the assertion, so a file with "[=]" would end the process. With NDEBUG the
// assertion becomes undefined behaviour; both are turned off here.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(condition) static_assert(true)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace quetzal::config {

// All errors of one file.
class settings_errors
{
public:
    explicit settings_errors(std::string file) : file_(std::move(file)) {}

    void report(const toml::source_position& where, std::string name, std::string expected);

    bool empty() const noexcept { return errors_.empty(); }

    // Returns the errors in the order of their positions.
    std::vector<settings_error> sorted() const;

private:
    std::string file_;
    std::vector<settings_error> errors_;
};

// Reads the members of one table. A reader on an absent table gives the defaults.
class toml_reader
{
public:
    // `table` may be null; `around` is the position for errors about missing names.
    toml_reader(const toml::table* table, std::string path, toml::source_position around,
                settings_errors& errors);

    // Required members; a missing or wrong one is an error and gives an empty or low value.
    std::string text(std::string_view name);
    std::string name(std::string_view member_name); // meets the rule for names of entities
    std::uint64_t whole(std::string_view name, std::uint64_t low, std::uint64_t high);

    // Optional members, with the value when absent.
    std::uint64_t whole_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                           std::uint64_t fallback);
    std::uint64_t bytes_or(std::string_view name, std::uint64_t low, std::uint64_t high,
                           std::uint64_t fallback);
    // A number with or without a fraction.
    double number_or(std::string_view name, double low, double high, double fallback);
    duration time_or(std::string_view name, duration low, duration high, duration fallback);
    // Texts of an array; empty when absent.
    std::vector<std::string> texts(std::string_view name);
    std::size_t choice_or(std::string_view name, std::initializer_list<std::string_view> choices,
                          std::size_t fallback);

    // Returns a reader of a table in this one.
    toml_reader section(std::string_view name, bool required);

    // Makes an optional member known that is only read when it is there.
    void allow(std::string_view name) { read_.emplace(name); }

    // Whether the member is there.
    bool has(std::string_view name) const { return table_ != nullptr && table_->contains(name); }

    // Reports a fault of a member that was read.
    void report(std::string_view name, std::string expected);

    // Reports every member that was not read.
    void finish();

private:
    const toml::node* member(std::string_view name, bool required);
    std::string path_of(std::string_view name) const;

    const toml::table* table_;
    std::string path_;
    toml::source_position around_;
    settings_errors& errors_;
    std::set<std::string, std::less<>> read_;
};

} // namespace quetzal::config

#endif
