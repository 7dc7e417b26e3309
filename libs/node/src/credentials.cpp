#include <quetzal/node/credentials.hpp>

namespace quetzal::node {

bool is_valid(const credential& value, const config::published& config)
{
    if (value.open) {
        const auto* work_class = config.find(value.work_class);
        return work_class != nullptr && work_class->open;
    }
    const auto* owner = config.authenticate(value.key);
    return owner != nullptr && owner->id == value.customer;
}

} // namespace quetzal::node
