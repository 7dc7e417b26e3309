#include "admission.hpp"

#include <vector>

namespace quetzal::bench {

namespace {

// Buckets by part of the fleet and customer.
class bucket_admission : public admission
{
public:
    bucket_admission(const fleet& installation, event_queue& events, std::size_t parts)
        : events_(events), parts_(parts), customers_(installation.config.customers.size())
    {
        const auto divisor = static_cast<double>(parts);
        for (std::size_t part = 0; part < parts; ++part) {
            for (const auto& customer : installation.config.customers) {
                buckets_.emplace_back(customer.rate / divisor, customer.burst / divisor);
            }
        }
    }

    rate_answer take(std::uint32_t instance, std::uint32_t, std::uint32_t customer) override
    {
        auto& bucket = buckets_[(instance % parts_) * customers_ + customer];
        if (bucket.level(events_.now()) < 1) {
            return rate_answer::beyond;
        }
        bucket.take(events_.now());
        return rate_answer::taken;
    }

private:
    event_queue& events_;
    std::size_t parts_;
    std::size_t customers_;
    std::vector<exact_bucket> buckets_;
};

} // namespace

std::unique_ptr<admission> make_static_split(const fleet& installation, event_queue& events)
{
    return std::make_unique<bucket_admission>(installation, events, installation.instances.size());
}

std::unique_ptr<admission> make_exact(const fleet& installation, event_queue& events)
{
    return std::make_unique<bucket_admission>(installation, events, 1);
}

} // namespace quetzal::bench
