#ifndef QUETZAL_GATEWAY_HEADER_NAMES_HPP
#define QUETZAL_GATEWAY_HEADER_NAMES_HPP

// Names of the HTTP headers that carry metadata between callers, the gateway and endpoints. An
// adapter sets them; the gateway has no defaults.

#include <string>
#include <vector>

namespace quetzal::gateway {

struct header_names
{
    // Sent by callers.
    std::string request_id;    // unique for each attempt of a caller; forwarded and echoed
    std::string deadline;      // milliseconds that the caller waits; rewritten for endpoints
    std::string key;           // the caller's key; never forwarded
    std::string last_event_id; // last event received, to resume a stream
    std::string prompt_parts;  // "ID:TOKENS,...": the parts of the prompt
    std::string piece_counts;  // "N,N,...": number of pieces of each stage
    std::string piece_key;     // key of the input of the first stages

    // Set by the gateway for endpoints.
    std::string customer;          // name of the customer that owns the key
    std::string expected_endpoint; // id of the endpoint that the request is meant for
    std::string priority;          // 0 to 9, 0 is the most urgent
    std::string inputs;            // handles of the results of the final stages

    // Sent by endpoints.
    std::string signature; // authenticates the endpoint's response
    std::string not_run;   // present if the endpoint did not run the request
    std::string load;      // "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE"
    std::string leaving;   // present if the endpoint leaves and wants no further requests

    // Further headers that only the gateway may set; removed from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace quetzal::gateway

#endif
