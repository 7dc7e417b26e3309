#ifndef QUETZAL_GATEWAY_HEADER_NAMES_HPP
#define QUETZAL_GATEWAY_HEADER_NAMES_HPP

// Names of the HTTP headers by which callers, this system and endpoints exchange what is not part
// of the forwarded message itself. An adapter fills them in; the gateway knows none by itself.

#include <string>
#include <vector>

namespace quetzal::gateway {

struct header_names
{
    // Sent by callers.
    std::string request_id;    // unique for each try of a caller; passed on and echoed
    std::string deadline;      // milliseconds that the caller will wait; rewritten for endpoints
    std::string key;           // the caller's key; never passed on
    std::string last_event_id; // where a stream goes on
    std::string prompt_parts;  // "ID:TOKENS,..." of a prompt
    std::string piece_counts;  // "N,N,..." pieces of each stage
    std::string piece_key;     // input of the first stages

    // Set by this system for endpoints.
    std::string customer;          // name of the customer that holds the key
    std::string expected_endpoint; // id of the endpoint that is meant
    std::string priority;          // 0 to 9, 0 is the most urgent
    std::string inputs;            // handles of the results of the last stages

    // Sent by endpoints.
    std::string signature; // proves that an answer is the endpoint's
    std::string not_run;   // present when the endpoint did not run the request
    std::string load;      // "RUNNING,WAITING,SLOTS"

    // Further headers that only this system may set; they are dropped from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace quetzal::gateway

#endif
