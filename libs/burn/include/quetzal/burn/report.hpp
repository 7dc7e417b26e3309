#ifndef QUETZAL_BURN_REPORT_HPP
#define QUETZAL_BURN_REPORT_HPP

// Renders the error budget burn of the fleet for `GET /v1/burn` and `quetzalctl`.

#include <quetzal/burn/snapshot.hpp>
#include <string>

namespace quetzal::burn {

// Returns a table for a terminal, in UTF-8. The first lines name the instances that did not
// respond.
std::string render_text(const fleet_burn& burn);

// Returns a JSON object.
std::string render_json(const fleet_burn& burn);

// Returns a self-contained HTML page with SVG plots: no scripts and no external styles or images.
std::string render_html(const fleet_burn& burn);

} // namespace quetzal::burn

#endif
