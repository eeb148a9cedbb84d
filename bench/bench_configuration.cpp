#include <string>

#include <benchmark/benchmark.h>
#include <boost/json.hpp>

#include "common/digest.h"
#include "tickets/configuration.h"

namespace {

using namespace jujubemast;

/// The objects of a configuration with 13 pipelines of four stages and this many workspaces.
tickets::object_states make_objects(std::int64_t workspaces) {
    tickets::object_states objects;
    boost::json::array stages;
    for (const auto* name : {"encode", "retrieve", "rerank", "generate"}) {
        objects["pool/" + std::string{name}] = boost::json::object{{"kind", "service"}};
        stages.push_back(boost::json::object{{"name", name}, {"pool", name}, {"operation", name}});
    }
    for (int n = 0; n < 13; ++n) {
        objects["pipeline/p" + std::to_string(n)] = boost::json::object{
            {"priority", "standard"}, {"deadline_ms", 5000}, {"stages", stages}};
    }
    for (std::int64_t n = 0; n < workspaces; ++n) {
        const auto name = std::to_string(n);
        objects["workspace/w" + name] =
            boost::json::object{{"weight", 1}, {"key_sha256", common::sha256_hex("key-" + name)}};
    }
    return objects;
}

void parse_configuration(benchmark::State& state) {
    const auto objects = make_objects(state.range(0));
    std::size_t bytes = 0;
    for (const auto& [name, value] : objects) {
        bytes += name.size() + boost::json::serialize(value).size();
    }
    for (auto iteration : state) {
        benchmark::DoNotOptimize(tickets::parse_configuration(1, objects));
    }
    state.counters["document_bytes"] = static_cast<double>(bytes);
}

void authenticate(benchmark::State& state) {
    const auto configuration = tickets::parse_configuration(1, make_objects(state.range(0)));
    for (auto iteration : state) {
        benchmark::DoNotOptimize(configuration.authenticate("key-3"));
    }
}

} // namespace

BENCHMARK(parse_configuration)->Arg(10)->Arg(330)->Arg(3300)->Unit(benchmark::kMillisecond);
BENCHMARK(authenticate)->Arg(10)->Arg(330)->Arg(3300);
