#include <string>

#include "load/load_program.h"
#include "standins/stage_content.h"

namespace {

using namespace jujubemast;

/// Computes what the stand-ins give for the request. The last stage of a pipeline is an engine when
/// its operation is "generate".
std::string check_against_standins(const load::planned_request& request,
                                   const load::answer_content& answer) {
    std::string context;
    for (const auto& operation : request.pipeline->operations) {
        context = operation == "generate"
                      ? standins::engine_output(request.input, context, request.max_tokens)
                      : standins::service_output(operation, request.input, context);
    }
    return answer.output == context ? "" : "the output is not that of the stand-ins";
}

} // namespace

int main(int argc, char** argv) {
    return load::run_load_program(argc, argv, check_against_standins);
}
