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

// Guards against requests that are sent to an endpoint after it has announced that it leaves, or
// while it has asked for a pause.
Test(catalog, announcements_of_endpoints)
{
    const time_point start{std::chrono::seconds(100)};
    const auto make = [](std::uint64_t started) {
        endpoint value;
        value.id = "e";
        value.service = "s";
        value.zone = "z";
        value.started = started;
        return value;
    };
    catalog view;
    view.put_endpoint(make(1));
    section("given an endpoint that announces that it leaves", [=]() mutable {
        view.record_leaving(make(1), start);
        check(!view.accepts_work(make(1)), "it gets no more work");
        view.put_endpoint(make(1));
        check(!view.accepts_work(make(1)), "also when it is listed again without the announcement");
        view.remove_endpoint("e");
        view.put_endpoint(make(1));
        check(!view.accepts_work(make(1)), "or after its entry was missing for some time");
        view.put_endpoint(make(2));
        check(view.accepts_work(make(2)), "its next incarnation gets work");
    });
    section("given the announcement of a former incarnation", [=]() mutable {
        view.put_endpoint(make(2));
        view.record_leaving(make(1), start);
        check(view.accepts_work(make(2)), "it does not concern the current one");
    });
    section("given an endpoint that asks for a pause", [=]() mutable {
        view.record_pause(make(1), start + std::chrono::seconds(2), start);
        check(!view.accepts_work(make(1)) && view.usable_endpoints("s").empty(), "it gets no work");
        check(view.next_pause_end("s") == start + std::chrono::seconds(2),
              "the end of the pause is known");
        check(!view.end_pauses(start + std::chrono::seconds(1)), "the pause lasts");
        check(view.end_pauses(start + std::chrono::seconds(2)), "and ends");
        check(view.accepts_work(make(1)) && !view.next_pause_end("s"), "it gets work again");
    });
    section("given many announcements of endpoints that are gone", [=]() mutable {
        view.record_leaving(make(1), start);
        view.remove_endpoint("e");
        view.end_pauses(start + std::chrono::minutes(10));
        view.put_endpoint(make(1));
        check(view.accepts_work(make(1)), "they are dropped in the end");
    });
}

Test(catalog, applies_newer_configurations)
{
    catalog view;
    section("without a configuration", [&] {
        check(!view.configured(), "the catalog is not configured");
        check(view.find_route("h", "/a/") == nullptr, "no route matches");
    });
    section("with a configuration", [&] {
        check(view.apply(make_configuration(7)), "the configuration is applied");
        check(view.find_route("h", "/a/b/c")->name == "long",
              "the route with the longest prefix matches");
        check(view.find_route("h", "/a/x")->name == "short",
              "a shorter prefix matches other paths");
        check(view.find_route("h", "/b/") == nullptr, "no route matches an unknown path");
        check(view.find_customer("key-2")->customer == "c", "each key identifies its customer");
        check(!view.find_customer("key-3"), "an unknown key identifies no customer");
    });
    section("an older or equal version never replaces a newer one", [&] {
        check(!view.apply(make_configuration(6)), "an older version is ignored");
        check(!view.apply(make_configuration(7)), "an equal version is ignored");
        check(view.version() == 7, "the newest version stays in effect");
    });
    section("a route outlives its configuration", [&] {
        const auto matched = view.find_route("h", "/a/x");
        auto next = make_configuration(8);
        next.routes.clear();
        view.apply(std::move(next));
        check(matched->name == "short" && view.find_route("h", "/a/x") == nullptr,
              "a request in progress keeps the route; new requests do not match it");
    });
}

// Guards against sending work to endpoints that are leaving, that have been restarted, or whose
// availability zone is evacuated.
Test(catalog, offers_only_endpoints_that_accept_work)
{
    catalog view;
    view.apply(make_configuration(1));
    view.put_endpoint(make_endpoint("e", 1));
    const endpoint seen = *view.find_endpoint("e");
    check(view.accepts_work(seen), "a listed endpoint accepts work");
    section("a restart under the same id is another incarnation", [&] {
        view.put_endpoint(make_endpoint("e", 2));
        check(!view.accepts_work(seen), "the former incarnation accepts no work");
        check(view.accepts_work(*view.find_endpoint("e")), "the new incarnation accepts work");
    });
    section("a leaving endpoint accepts no work", [&] {
        endpoint leaving = make_endpoint("e", 2);
        leaving.leaving = true;
        view.put_endpoint(leaving);
        check(!view.accepts_work(leaving), "it accepts no work although it is listed");
        check(view.usable_endpoints("s").empty(), "it is not usable");
        view.put_endpoint(make_endpoint("e", 2));
    });
    section("a zone is evacuated and returned", [&] {
        const endpoint current = *view.find_endpoint("e");
        view.set_evacuated("z", true, now);
        check(!view.accepts_work(current), "its endpoints accept no work");
        view.set_evacuated("z", false, now);
        check(view.accepts_work(current), "its endpoints accept work again");
        check(view.find_endpoint("e")->cold_until > now, "its endpoints count as cold at first");
    });
}
