#include "entry/response_document.h"

#include <boost/json.hpp>

namespace jujubemast::entry {

std::string to_document(const std::string& request_id, const deliver_response& response) {
    boost::json::array stages;
    for (const auto& it : response.stages) {
        stages.push_back(boost::json::object{{"name", it.name},
                                             {"upstream", it.upstream},
                                             {"attempts", it.attempts},
                                             {"elapsed_ms", common::to_milliseconds(it.elapsed)},
                                             {"queue_us", it.queue_us},
                                             {"service_us", it.service_us}});
    }
    return boost::json::serialize(boost::json::object{
        {"request_id", request_id}, {"output", response.output}, {"stages", std::move(stages)}});
}

std::string to_document(const deliver_chunk& chunk) {
    return boost::json::serialize(boost::json::object{{"text", chunk.text}});
}

} // namespace jujubemast::entry
