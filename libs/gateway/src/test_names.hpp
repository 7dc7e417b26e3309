#ifndef QUETZAL_GATEWAY_TEST_NAMES_HPP
#define QUETZAL_GATEWAY_TEST_NAMES_HPP

// Short header names for the gateway tests.

#include <quetzal/gateway/header_names.hpp>

namespace quetzal::gateway::testing {

inline header_names test_names()
{
    header_names names;
    names.request_id = "Id";
    names.deadline = "Deadline";
    names.key = "Key";
    names.last_event_id = "Last-Event-Id";
    names.prompt_parts = "Prompt";
    names.piece_counts = "Pieces";
    names.piece_key = "Piece-Key";
    names.customer = "Customer";
    names.expected_endpoint = "Expect-Endpoint";
    names.priority = "Priority";
    names.inputs = "Inputs";
    names.signature = "Sign";
    names.not_run = "Not-Run";
    names.load = "Load";
    names.leaving = "Leaving";
    names.reserved = {"Hold", "Kv-From"};
    return names;
}

} // namespace quetzal::gateway::testing

#endif
