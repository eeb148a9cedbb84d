#include "support/experiments.h"

namespace jujubemast::tests {

std::string small_experiment() {
    return "seed: 7\n"
           "capacity_per_s: 200\n"
           "pipelines:\n"
           "  lookup: {priority: urgent, deadline_ms: 2000, operations: [encode, generate]}\n"
           "  tagging: {priority: background, deadline_ms: 5000, operations: [encode, generate]}\n"
           "workspaces:\n"
           "  large: {key: a}\n"
           "  small: {key: b}\n"
           "traffic:\n"
           "  lookup: {pipeline: lookup, share: 3, workspaces: {large: 20, small: 1},\n"
           "           input_bytes: [40, 60], max_tokens: [4, 8], distinct_inputs: 10}\n"
           "  tag: {pipeline: tagging, share: 1, workspaces: {small: 1}}\n"
           "phases:\n"
           "  - {name: steady, duration_ms: 60000, load: 0.7}\n"
           "  - {name: flood, duration_ms: 10000, load: 0.5, extra: {tag: {load: 10}},\n"
           "     pattern: burst, burst_size: 50}\n";
}

} // namespace jujubemast::tests
