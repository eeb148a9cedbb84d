#include <string>

#include <benchmark/benchmark.h>

#include "wire/codec.h"

namespace {

using namespace jujubemast;

protocol::work_identity make_identity() {
    return {"0123456789abcdef0123456789abcdef", 3, 0, 0x0123456789abcdefU};
}

/// A load report with ten models, the number in steady use at the target deployment.
protocol::load_report make_load_report() {
    protocol::load_report report{12, 8, 8, {1500, 20000, 400000}, 1000000, 1000, {}};
    for (int n = 0; n < 10; ++n) {
        report.models.push_back("model-" + std::to_string(n));
    }
    return report;
}

protocol::message ping() {
    protocol::ping message;
    message.entry = "entry-123";
    message.nonce = 1000000;
    message.revision = 100000;
    return message;
}

protocol::message pong() {
    protocol::pong message;
    message.nonce = 1000000;
    message.incarnation = 0x0123456789abcdefU;
    message.clock_us = 86400000000;
    message.revision = 100000;
    message.load = make_load_report();
    return message;
}

protocol::message dispatch() {
    protocol::dispatch message;
    message.identity = make_identity();
    message.deadline_us = 86400000000;
    message.revision = 100000;
    message.workspace = "workspace-1234";
    message.operation = "generate";
    message.model = "model-1";
    message.body = std::string(1024, 'x');
    message.trace_parent = std::string(55, '0');
    return message;
}

protocol::message result_chunk() {
    return protocol::result_chunk{make_identity(), 100, R"({"offset":100,"tokens":["abcdef "]})"};
}

protocol::message result_end() {
    protocol::result_end message;
    message.identity = make_identity();
    message.chunk_count = 200;
    message.digest = 0x0123456789abcdefU;
    message.queue_us = 1000;
    message.service_us = 1000000;
    return message;
}

/// Encodes and decodes a message; the counter reports its encoded size.
void encode_and_decode(benchmark::State& state, const protocol::message& message) {
    for (auto iteration : state) {
        benchmark::DoNotOptimize(wire::decode(wire::encode(message)));
    }
    state.counters["bytes"] = static_cast<double>(wire::encode(message).size());
}

} // namespace

BENCHMARK_CAPTURE(encode_and_decode, ping, ping());
BENCHMARK_CAPTURE(encode_and_decode, pong, pong());
BENCHMARK_CAPTURE(encode_and_decode, dispatch, dispatch());
BENCHMARK_CAPTURE(encode_and_decode, result_chunk, result_chunk());
BENCHMARK_CAPTURE(encode_and_decode, result_end, result_end());
