#include "load/response_document.h"

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::load {

namespace json = boost::json;

namespace {

// Values of RFC 9218 in the order of the priorities; the default of the protocol is 3.
constexpr std::array<const char*, 3> urgencies{"u=1", "u=3", "u=5"};

request_result result_of(std::string_view execution) {
    const auto value = common::from_name<common::execution>(execution);
    switch (value.value_or(common::execution::unknown)) {
    case common::execution::not_run:
        return request_result::not_run;
    case common::execution::ran:
        return request_result::ran;
    case common::execution::unknown:
        return request_result::unknown;
    }
    return request_result::unknown;
}

stage_outcome decode_stage(const json::object& stage) {
    stage_outcome result;
    result.name = std::string{stage.at("name").as_string()};
    result.upstream = std::string{stage.at("upstream").as_string()};
    result.attempts = stage.at("attempts").to_number<std::uint32_t>();
    const std::chrono::duration<double, std::milli> elapsed{
        stage.at("elapsed_ms").to_number<double>()};
    result.elapsed = std::chrono::duration_cast<common::duration>(elapsed);
    result.queue = std::chrono::microseconds{stage.at("queue_us").to_number<std::int64_t>()};
    result.service = std::chrono::microseconds{stage.at("service_us").to_number<std::int64_t>()};
    return result;
}

} // namespace

http::request encode_request(const planned_request& request, const std::string& run_id) {
    http::request message{"POST",
                          "/v1/pipelines/" + request.pipeline->name + "/requests",
                          {{"Content-Type", "application/json"},
                           {"Authorization", "Bearer " + request.workspace->key}},
                          json::serialize(json::object{{"input", request.input},
                                                       {"max_tokens", request.max_tokens},
                                                       {"stream", request.traffic->stream}})};
    if (request.priority != request.pipeline->priority) {
        message.fields.push_back(
            {"Priority", urgencies.at(static_cast<std::size_t>(request.priority))});
    }
    if (!request.pipeline->idempotent) {
        message.fields.push_back(
            {"Idempotency-Key", run_id + "-" + std::to_string(request.number)});
    }
    return message;
}

response_content decode_response(std::string_view text) {
    try {
        const auto document = json::parse(text).as_object();
        response_content result;
        result.request_id = std::string{document.at("request_id").as_string()};
        result.output = std::string{document.at("output").as_string()};
        for (const auto& it : document.at("stages").as_array()) {
            result.stages.push_back(decode_stage(it.as_object()));
        }
        return result;
    } catch (const std::exception& e) {
        throw common::format_error{std::string{"not a response document: "} + e.what()};
    }
}

problem_content decode_problem(std::string_view text, unsigned status) {
    try {
        const auto document = json::parse(text).as_object();
        const std::string type{document.at("type").as_string()};
        return {type.substr(type.rfind(':') + 1), result_of(document.at("execution").as_string())};
    } catch (const std::exception&) {
        return {"status_" + std::to_string(status), request_result::unknown};
    }
}

} // namespace jujubemast::load
