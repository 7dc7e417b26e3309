#include <quetzal/gateway/endpoints/load_header.hpp>

#include <quetzal/testing/section.hpp>

using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

// Guards against a pace that is not read, and against a malformed one that hides the rest of the
// report or counts as a pace.
Test(load_header, reads_the_load_and_the_pace)
{
    section("given a report without a pace", [] {
        const auto load = read_load("3,2,8");
        check(load && load->running == 3 && load->waiting == 2, "the load is read");
        check(load && !load->pace, "there is no pace");
    });
    section("given a report with a pace, it is a factor", [] {
        const auto load = read_load("3, 2, 8, 250");
        check(load && load->waiting == 2 && load->pace == 2.5, "250 percent are 2.5");
    });
    for (const char* malformed : {"3,2,8,", "3,2,8,x", "3,2,8,-100", "3,2,8,0", "3,2,8,100x",
                                  "3,2,8,1e2", "3,2,8,99999999999", "3,2"})
    {
        section("given a malformed pace, the rest counts", [malformed] {
            const auto load = read_load(malformed);
            check(load && load->running == 3 && load->waiting == 2 && !load->pace, malformed);
        });
    }
    section("given no load, there is no report", [] {
        check(!read_load("") && !read_load("3") && !read_load("x,2,8") && !read_load(",,,100"),
              "nothing is read");
    });
}
