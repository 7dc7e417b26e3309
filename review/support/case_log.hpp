#ifndef QUETZAL_REVIEW_CASE_LOG_HPP
#define QUETZAL_REVIEW_CASE_LOG_HPP

// What the programs of the cases share: the record of a run, and its exit codes.

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <quetzal/base/time.hpp>

namespace quetzal::review {

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

// The record of a run: one line for each step, with the milliseconds since the start.
class case_log
{
public:
    explicit case_log(const char* path) : file_(std::fopen(path, "w")), started_(boot_clock::now())
    {
        if (file_ == nullptr) {
            std::perror(path);
            std::exit(not_run);
        }
    }

    case_log(const case_log&) = delete;
    case_log& operator=(const case_log&) = delete;
    ~case_log() { std::fclose(file_); }

    void line(const std::string& text)
    {
        const auto now = static_cast<long long>(whole_milliseconds(boot_clock::now() - started_));
        std::fprintf(file_, "%7lld ms  %s\n", now, text.c_str());
        std::fflush(file_);
    }

    time_point started() const { return started_; }

private:
    std::FILE* file_;
    time_point started_;
};

// Whether the run has its disruption: not with TROUBLE=0.
inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace quetzal::review

#endif
