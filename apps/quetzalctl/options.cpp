#include "options.hpp"

#include <cstdio>
#include <set>

#include <popt.h>

namespace quetzal::ctl {

namespace {

constexpr const char* usage = R"(COMMAND [options]

Commands:
  check FILE...             check settings (.toml), a published configuration or an instance list (.json)
  status                    state of the instances named by --instance (operator ports)
  documents                 era and revision of the documents of the instances named by --instance
                            (metrics ports of the users' platform)
  explain REQUEST           why a request was routed, refused or delayed, from --instance
  explain REQUEST FILE...   the same from the log files of all instances
  send [BODY]               send one request, or those of --orders, through the callers' interface
  drain                     start the planned stop of the instances named by --instance
  report burn               service-level burn gathered from all instances named by --instance

Options:)";

enum option_value
{
    instance_option = 1
};

std::string text_or_empty(const char* value)
{
    return value == nullptr ? "" : value;
}

bool is_known(const std::string& command)
{
    static const std::set<std::string> commands{"check", "status", "documents", "explain",
                                                "send",  "drain",  "report"};
    return commands.contains(command);
}

} // namespace

bool parse_options(int argc, const char** argv, options& parsed)
{
    int json = 0;
    int html = 0;
    char* kind = nullptr;
    char* work_class = nullptr;
    char* keys = nullptr;
    char* orders = nullptr;
    char* deadline = nullptr;
    char* identity = nullptr;
    const poptOption table[] = {
        {"instance", 'i', POPT_ARG_STRING, nullptr, instance_option,
         "address of an instance; may be given several times", "ADDRESS:PORT"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        {"html", 0, POPT_ARG_NONE, &html, 0, "print a page with plots (report burn)", nullptr},
        {"kind", 0, POPT_ARG_STRING, &kind, 0,
         "what the files are: settings, config, instances, front-settings or platform-config",
         "KIND"},
        {"class", 'c', POPT_ARG_STRING, &work_class, 0, "class of the request (send)", "CLASS"},
        {"key-file", 'k', POPT_ARG_STRING, &keys, 0,
         "file with the key, or with a JSON object of keys by customer (send)", "FILE"},
        {"orders", 'o', POPT_ARG_STRING, &orders, 0, "JSON lines {class, customer, body} (send)",
         "FILE"},
        {"deadline", 'd', POPT_ARG_STRING, &deadline, 0, "deadline of the request, e.g. 8s (send)",
         "TIME"},
        {"id", 0, POPT_ARG_STRING, &identity, 0, "request identity to send again (send)",
         "IDENTITY"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("quetzalctl", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, usage);
    int code = 0;
    while ((code = poptGetNextOpt(context)) > 0) {
        if (char* value = poptGetOptArg(context)) {
            parsed.instances.emplace_back(value);
            free(value);
        }
    }
    parsed.json = json != 0;
    parsed.html = html != 0;
    parsed.kind = text_or_empty(kind);
    parsed.work_class = text_or_empty(work_class);
    parsed.key_file = text_or_empty(keys);
    parsed.orders_file = text_or_empty(orders);
    parsed.deadline = text_or_empty(deadline);
    parsed.identity = text_or_empty(identity);
    parsed.command = text_or_empty(poptGetArg(context));
    while (const char* argument = poptGetArg(context)) {
        parsed.arguments.emplace_back(argument);
    }
    const bool valid = code == -1 && is_known(parsed.command);
    if (code < -1) {
        std::fprintf(stderr, "quetzalctl: %s: %s\n", poptBadOption(context, POPT_BADOPTION_NOALIAS),
                     poptStrerror(code));
    } else if (!valid) {
        poptPrintHelp(context, stderr, 0);
    }
    poptFreeContext(context);
    return valid;
}

} // namespace quetzal::ctl
