#include "load/experiment.h"

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "common/error.h"

namespace jujubemast::load {

namespace {

// With more requests the client would become the bottleneck instead of the system it measures.
constexpr double max_requests = 2e6;

class experiment_reader {
public:
    explicit experiment_reader(std::string source) : m_source{std::move(source)} {}

    experiment read(const YAML::Node& root) const {
        check_keys(root, {"seed", "capacity_per_s", "max_in_progress", "pipelines", "workspaces",
                          "traffic", "phases"});
        experiment result;
        result.seed = optional<std::uint64_t>(root, "seed", 1);
        result.capacity_per_s = optional(root, "capacity_per_s", 0.0);
        result.max_in_progress =
            optional<std::size_t>(root, "max_in_progress", result.max_in_progress);
        for (const auto& it : required_section(root, "pipelines")) {
            const auto pipeline = read_pipeline(it.first.Scalar(), it.second);
            result.pipelines.emplace(pipeline.name, pipeline);
        }
        for (const auto& it : required_section(root, "workspaces")) {
            check_keys(it.second, {"key"});
            const auto name = it.first.Scalar();
            result.workspaces.emplace(
                name, workspace_credential{name, required<std::string>(it.second, "key")});
        }
        for (const auto& it : required_section(root, "traffic")) {
            result.traffic.push_back(read_traffic(it.first.Scalar(), it.second, result));
        }
        for (const auto& it : required_section(root, "phases")) {
            result.phases.push_back(read_phase(it, result));
        }
        check_request_count(root, result);
        return result;
    }

private:
    [[noreturn]] void fail(const YAML::Node& node, const std::string& key,
                           const std::string& error) const {
        throw common::settings_error{m_source + ":" + std::to_string(node.Mark().line + 1) + ": " +
                                     key + ": " + error};
    }

    void check_keys(const YAML::Node& node, std::initializer_list<std::string_view> allowed) const {
        if (!node.IsMap()) {
            fail(node, "document", "must be a map");
        }
        for (const auto& it : node) {
            const auto& key = it.first.Scalar();
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
                fail(it.first, key, "unknown key");
            }
        }
    }

    YAML::Node required_section(const YAML::Node& node, const std::string& key) const {
        const auto result = node[key];
        if (!result || result.size() == 0) {
            fail(node, key, "must not be empty");
        }
        return result;
    }

    template <typename Value>
    Value convert(const YAML::Node& node, const std::string& key) const {
        try {
            return node.as<Value>();
        } catch (const YAML::Exception&) {
            fail(node, key, "has the wrong type");
        }
    }

    template <typename Value>
    Value required(const YAML::Node& node, const std::string& key) const {
        if (!node[key]) {
            fail(node, key, "is required");
        }
        return convert<Value>(node[key], key);
    }

    template <typename Value>
    Value optional(const YAML::Node& node, const std::string& key, Value fallback) const {
        return node[key] ? convert<Value>(node[key], key) : fallback;
    }

    double not_negative(const YAML::Node& node, const std::string& key, double fallback) const {
        const auto value = optional(node, key, fallback);
        if (!(value >= 0.0)) {
            fail(node[key], key, "must not be negative");
        }
        return value;
    }

    template <typename Enum>
    Enum enum_value(const YAML::Node& node, const std::string& key, Enum fallback) const {
        if (!node[key]) {
            return fallback;
        }
        const auto value = common::from_name<Enum>(convert<std::string>(node[key], key));
        if (!value) {
            fail(node[key], key, "is not one of the known names");
        }
        return *value;
    }

    std::chrono::milliseconds duration(const YAML::Node& node, const std::string& key) const {
        const auto value = required<std::int64_t>(node, key);
        if (value <= 0) {
            fail(node[key], key, "must be positive");
        }
        return std::chrono::milliseconds{value};
    }

    number_range range(const YAML::Node& node, const std::string& key,
                       number_range fallback) const {
        if (!node[key]) {
            return fallback;
        }
        const auto values = convert<std::vector<std::uint64_t>>(node[key], key);
        if (values.size() != 2 || values[0] > values[1]) {
            fail(node[key], key, "must be two numbers, the lower one first");
        }
        return {values[0], values[1]};
    }

    pipeline_target read_pipeline(const std::string& name, const YAML::Node& node) const {
        check_keys(node, {"priority", "deadline_ms", "operations", "repeatable"});
        pipeline_target result;
        result.name = name;
        result.priority = enum_value(node, "priority", result.priority);
        result.deadline = duration(node, "deadline_ms");
        result.operations =
            convert<std::vector<std::string>>(required_section(node, "operations"), "operations");
        result.idempotent = optional(node, "repeatable", true);
        return result;
    }

    traffic_class read_traffic(const std::string& name, const YAML::Node& node,
                               const experiment& parsed) const {
        check_keys(node, {"pipeline", "share", "workspaces", "input_bytes", "max_tokens",
                          "distinct_inputs", "stream", "priority"});
        traffic_class result;
        result.name = name;
        result.pipeline = required<std::string>(node, "pipeline");
        if (!parsed.pipelines.contains(result.pipeline)) {
            fail(node["pipeline"], "pipeline", "is not listed under pipelines");
        }
        result.share = not_negative(node, "share", 0.0);
        double weights = 0.0;
        for (const auto& it : required_section(node, "workspaces")) {
            const auto workspace = it.first.Scalar();
            if (!parsed.workspaces.contains(workspace)) {
                fail(it.first, workspace, "is not listed under workspaces");
            }
            const auto weight = convert<double>(it.second, workspace);
            if (!(weight >= 0.0)) {
                fail(it.first, workspace, "must not be negative");
            }
            weights += weight;
            result.workspaces.push_back({workspace, weight});
        }
        if (weights <= 0.0) {
            fail(node["workspaces"], "workspaces", "one weight must be positive");
        }
        result.input_bytes = range(node, "input_bytes", result.input_bytes);
        result.max_tokens = range(node, "max_tokens", result.max_tokens);
        result.distinct_inputs =
            std::max<std::uint64_t>(1, optional(node, "distinct_inputs", result.distinct_inputs));
        result.stream = optional(node, "stream", false);
        if (node["priority"]) {
            result.priority = enum_value(node, "priority", common::priority::background);
        }
        return result;
    }

    /// Reads a rate, given in requests per second, as a multiple of the capacity, or as the sum of
    /// both.
    double rate(const YAML::Node& node, const std::string& multiple_key,
                const std::string& rate_key, const experiment& parsed) const {
        const auto multiple = not_negative(node, multiple_key, 0.0);
        if (multiple > 0.0 && parsed.capacity_per_s <= 0.0) {
            fail(node[multiple_key], multiple_key, "needs capacity_per_s");
        }
        return not_negative(node, rate_key, 0.0) + multiple * parsed.capacity_per_s;
    }

    load_phase read_phase(const YAML::Node& node, const experiment& parsed) const {
        check_keys(node, {"name", "duration_ms", "load", "rate_per_s", "extra", "pattern",
                          "burst_size", "measured"});
        load_phase result;
        result.name = required<std::string>(node, "name");
        result.duration = duration(node, "duration_ms");
        result.rate_per_s = rate(node, "load", "rate_per_s", parsed);
        if (node["extra"]) {
            for (const auto& it : node["extra"]) {
                const auto name = it.first.Scalar();
                const auto is_named = [&](const traffic_class& candidate) {
                    return candidate.name == name;
                };
                if (std::none_of(parsed.traffic.begin(), parsed.traffic.end(), is_named)) {
                    fail(it.first, name, "is not listed under traffic");
                }
                check_keys(it.second, {"load", "rate_per_s"});
                result.extra_per_s[name] = rate(it.second, "load", "rate_per_s", parsed);
            }
        }
        result.pattern = enum_value(node, "pattern", result.pattern);
        result.burst_size =
            std::max<std::uint64_t>(1, optional(node, "burst_size", result.burst_size));
        result.measured = optional(node, "measured", true);
        return result;
    }

    void check_request_count(const YAML::Node& root, const experiment& parsed) const {
        double shares = 0.0;
        for (const auto& it : parsed.traffic) {
            shares += it.share;
        }
        double requests = 0.0;
        for (const auto& it : parsed.phases) {
            double rate = it.rate_per_s;
            for (const auto& [name, extra] : it.extra_per_s) {
                rate += extra;
            }
            requests += rate * std::chrono::duration<double>(it.duration).count();
            if (it.rate_per_s > 0.0 && shares <= 0.0) {
                fail(root["traffic"], "share", "one share must be positive");
            }
        }
        if (requests > max_requests) {
            fail(root["phases"], "phases", "more than two million requests");
        }
    }

    std::string m_source;
};

} // namespace

experiment parse_experiment(const std::string& text, const std::string& source) {
    try {
        return experiment_reader{source}.read(YAML::Load(text));
    } catch (const YAML::Exception& e) {
        throw common::settings_error{source + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg};
    }
}

experiment load_experiment(const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        throw common::settings_error{path + ": cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_experiment(text.str(), path);
}

} // namespace jujubemast::load
