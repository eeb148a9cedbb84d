#include <string>

#include "load/load_program.h"
#include "standins/stage_content.h"

namespace {

using namespace jujubemast;

/// Compares the output with the one that the stand-ins compute for the request. Stages with the
/// operation "generate" run on an engine, all others on a plain service.
std::string check_against_standins(const load::planned_request& request,
                                   const load::response_content& response) {
    std::string context;
    for (const auto& operation : request.pipeline->operations) {
        context = operation == "generate"
                      ? standins::engine_output(request.input, context, request.max_tokens)
                      : standins::service_output(operation, request.input, context);
    }
    return response.output == context ? "" : "the output is not that of the stand-ins";
}

} // namespace

int main(int argc, char** argv) {
    return load::run_load_program(argc, argv, check_against_standins);
}
