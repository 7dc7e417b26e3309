#include <quetzal/gateway/catalog.hpp>
#include <quetzal/testing/section.hpp>

using namespace quetzal;
using namespace quetzal::gateway;
using quetzal::testing::check;
using quetzal::testing::section;

namespace {

const time_point now{std::chrono::seconds(50)};

route make_route(std::string name, std::string host, std::string prefix)
{
    route value;
    value.name = std::move(name);
    value.host = std::move(host);
    value.prefix = std::move(prefix);
    value.services.push_back({"s", 1});
    return value;
}

published_configuration make_configuration(std::uint64_t version)
{
    published_configuration value;
    value.version = version;
    value.routes = {make_route("short", "h", "/a/"), make_route("long", "h", "/a/b/"),
                    make_route("other", "g", "/")};
    value.customers.push_back({"c", {"key-1", "key-2"}, 2});
    service_definition service;
    service.name = "s";
    service.cold_period = std::chrono::seconds(3);
    value.services.push_back(service);
    return value;
}

endpoint make_endpoint(std::string id, std::uint64_t started)
{
    endpoint value;
    value.id = std::move(id);
    value.started = started;
    value.service = "s";
    value.zone = "z";
    return value;
}

} // namespace

Test(catalog, configurations)
{
    catalog view;
    section("before any configuration", [&] {
        check(!view.configured(), "none is known");
        check(view.find_route("h", "/a/") == nullptr, "no route matches");
    });
    section("with a configuration", [&] {
        check(view.take(make_configuration(7)), "it is taken");
        check(view.find_route("h", "/a/b/c")->name == "long", "the longest prefix wins");
        check(view.find_route("h", "/a/x")->name == "short", "a shorter one otherwise");
        check(view.find_route("h", "/b/") == nullptr, "nothing matches another path");
        check(view.find_customer("key-2")->customer == "c", "each key finds its customer");
        check(!view.find_customer("key-3"), "others find none");
    });
    section("an older or equal version never replaces a newer one", [&] {
        check(!view.take(make_configuration(6)), "older");
        check(!view.take(make_configuration(7)), "equal");
        check(view.version() == 7, "the newest stays in force");
    });
    section("a route outlives the configuration that it came from", [&] {
        const auto held = view.find_route("h", "/a/x");
        auto next = make_configuration(8);
        next.routes.clear();
        view.take(std::move(next));
        check(held->name == "short" && view.find_route("h", "/a/x") == nullptr,
              "a request in progress keeps it, a new one does not find it");
    });
}

// Guards against work for endpoints that leave, that have been restarted, or whose zone is out.
Test(catalog, endpoints)
{
    catalog view;
    view.take(make_configuration(1));
    view.put_endpoint(make_endpoint("e", 1));
    const endpoint seen = *view.find_endpoint("e");
    check(view.accepts_work(seen), "a listed endpoint accepts work");
    section("a restart under the same id is another incarnation", [&] {
        view.put_endpoint(make_endpoint("e", 2));
        check(!view.accepts_work(seen), "the former one accepts nothing");
        check(view.accepts_work(*view.find_endpoint("e")), "the new one does");
    });
    section("a leaving endpoint accepts nothing", [&] {
        endpoint leaving = make_endpoint("e", 2);
        leaving.leaving = true;
        view.put_endpoint(leaving);
        check(!view.accepts_work(leaving), "although it is listed");
        check(view.usable_endpoints("s").empty(), "it is not offered");
        view.put_endpoint(make_endpoint("e", 2));
    });
    section("a zone that is taken out and returns", [&] {
        const endpoint current = *view.find_endpoint("e");
        view.set_evacuated("z", true, now);
        check(!view.accepts_work(current), "its endpoints accept nothing");
        view.set_evacuated("z", false, now);
        check(view.accepts_work(current), "they do again");
        check(view.find_endpoint("e")->cold_until > now, "and count as cold at first");
    });
}
