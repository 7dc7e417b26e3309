#ifndef QUETZAL_BURN_REPORT_HPP
#define QUETZAL_BURN_REPORT_HPP

// Renderings of the fleet's burn for `GET /v1/burn` and `quetzalctl`.

#include <quetzal/burn/snapshot.hpp>
#include <string>

namespace quetzal::burn {

// Returns a table for a terminal, in UTF-8. The first lines name instances that did not answer.
std::string render_text(const fleet_burn& burn);

// Returns a JSON object.
std::string render_json(const fleet_burn& burn);

// Returns a page with SVG plots and without scripts, styles or images from elsewhere.
std::string render_html(const fleet_burn& burn);

} // namespace quetzal::burn

#endif
