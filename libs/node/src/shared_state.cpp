#include <quetzal/node/shared_state.hpp>

#include <quetzal/base/digest.hpp>

namespace quetzal::node {

incarnation shared_state::new_incarnation()
{
    constexpr unsigned random_bits = 20;
    const auto started = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    return {(started << random_bits) | (secure_random() & ((1u << random_bits) - 1))};
}

} // namespace quetzal::node
