#include <map>
#include <string>

#include <quetzal/gateway/stage_division.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const std::vector<std::string> zones{"a", "b", "c", "d", "e"};

// A fleet with two services of stages.
struct staged_fleet
{
    explicit staged_fleet(std::size_t endpoints_of_service)
    {
        published_configuration configuration;
        configuration.version = 1;
        for (const auto* name : {"lookup", "schedule"}) {
            service_definition service;
            service.name = name;
            service.stage.emplace();
            configuration.services.push_back(service);
            for (std::size_t index = 0; index < endpoints_of_service; ++index) {
                endpoint value;
                value.id = name + std::to_string(index);
                value.service = name;
                value.zone = zones[index % zones.size()];
                view.put_endpoint(value);
            }
        }
        view.apply(std::move(configuration));
    }

    static stage_job job(unsigned number, const std::string& zone = {})
    {
        stage_job made;
        made.request_id = "r" + std::to_string(number);
        made.stages.push_back({"lookup", {}, 0, 2});
        made.stages.push_back({"schedule", {0}, 0, 6});
        made.zone = zone;
        return made;
    }

    // Returns how many of 1,000 jobs of callers in zone "a" each share gets first.
    std::map<std::string, int> first_candidates() const
    {
        std::map<std::string, int> count;
        for (unsigned number = 0; number < 1000; ++number) {
            ++count[division.candidates(job(number), "a").front()];
        }
        return count;
    }

    void remove(const std::string& service, const std::string& zone, std::size_t most)
    {
        std::vector<std::string> removed;
        for (const auto& [id, value] : view.endpoints()) {
            if (value.service == service && value.zone == zone && removed.size() < most) {
                removed.push_back(id);
            }
        }
        for (const auto& id : removed) {
            view.remove_endpoint(id);
        }
    }

    catalog view;
    stage_division division{view};
};

} // namespace

// Guards against small pools that are split up, so that their calls carry few pieces.
Test(stage_division, small_fleet_has_one_coordinator)
{
    const staged_fleet fleet(10);
    check(fleet.division.shares() == std::vector<stage_share>{whole_fleet}, "there is one share");
    check(fleet.division.candidates(fleet.job(1, "b"), "a") ==
              std::vector<stage_share>{whole_fleet},
          "every job goes there");
}

// Guards against one coordinator whose processor limits the stages of hundreds of instances.
Test(stage_division, large_fleet_has_a_coordinator_in_each_zone)
{
    staged_fleet fleet(50);
    check(fleet.division.shares() == zones, "each zone is a share");
    section("jobs stay in a zone", [&] {
        check(fleet.division.candidates(fleet.job(1, "b"), "a").front() == "b",
              "the zone where the results are needed goes first");
        check(fleet.first_candidates() == std::map<std::string, int>{{"a", 1000}},
              "without one, the zone of the instance does");
    });
    section("a refused job is offered once more", [&] {
        std::map<std::string, int> second;
        for (unsigned number = 0; number < 1000; ++number) {
            const auto candidates = fleet.division.candidates(fleet.job(number), "a");
            check(candidates.size() == 2, "there are two candidates");
            ++second[candidates[1]];
        }
        check(second.size() == 4 && !second.contains("a"), "the second one is any other zone");
        for (const auto& [zone, count] : second) {
            check(count > 150, "they are spread evenly: " + zone);
        }
    });
    section("the choice does not change", [&] {
        check(fleet.division.candidates(fleet.job(1), "a") ==
                  fleet.division.candidates(fleet.job(1), "a"),
              "a job that is sent again goes to the same shares");
    });
}

// Guards against a zone that has lost endpoints and gets as much work as the others, so that jobs
// wait or are refused there while endpoints of other zones are idle.
Test(stage_division, depleted_zone_gets_less)
{
    staged_fleet fleet(50);
    section("when half of one service is gone there", [&] {
        fleet.remove("lookup", "a", 5);
        const int kept = fleet.first_candidates()["a"];
        check(kept > 450 && kept < 700, "about half of its jobs stay: " + std::to_string(kept));
    });
    section("when the zone is evacuated", [&] {
        fleet.view.set_evacuated("a", true, time_point{});
        check(!fleet.first_candidates().contains("a"), "no job goes there");
        check(fleet.division.candidates(fleet.job(1, "a"), "a").front() != "a",
              "not even one whose results are needed there");
    });
    section("when no zone has both services", [&] {
        for (const auto* zone : {"b", "c"}) {
            fleet.remove("lookup", zone, 50);
        }
        for (const auto* zone : {"d", "e"}) {
            fleet.remove("schedule", zone, 50);
        }
        check(fleet.division.candidates(fleet.job(1), "a") == std::vector<stage_share>{whole_fleet},
              "one coordinator uses the endpoints of all zones");
    });
}
