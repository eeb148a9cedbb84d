#include "standins/host.h"

#include <iostream>

#include <gflags/gflags.h>

#include "common/error.h"
#include "logging/logger.h"
#include "program/command_line.h"

DEFINE_string(listen, "127.0.0.1:0", "address of the first stand-in");
DEFINE_int32(count, 1, "number of stand-ins in this process");
DEFINE_string(log_level, "info", "debug, info, warn or error");

namespace jujubemast::standins {

namespace {

constexpr std::size_t mailbox_capacity = 65536;

std::vector<runtime::child_spec> make_tree(const runtime::executor& loop,
                                           const http::endpoint& first_endpoint,
                                           const service_factory& make_service) {
    std::vector<runtime::child_spec> children;
    for (int n = 0; n < FLAGS_count; ++n) {
        const auto inbox = runtime::make_mailbox<service_message>(loop, mailbox_capacity);
        const auto suffix = "-" + std::to_string(n);
        children.push_back(
            {"service" + suffix, [make_service, inbox](runtime::task_context context) {
                 return make_service(std::move(context), inbox);
             }});
        auto listen = first_endpoint;
        listen.port =
            static_cast<unsigned short>(first_endpoint.port == 0 ? 0 : first_endpoint.port + n);
        children.push_back(make_forwarding_server("server" + suffix, listen,
                                                  runtime::address<service_message>{inbox}));
    }
    return children;
}

} // namespace

int run_host(int argc, char** argv, const std::string& name, const service_factory& make_service) {
    if (const auto code = program::parse_command_line(argc, argv, {name, "a stand-in for tests"})) {
        return *code;
    }
    try {
        logging::initialize(FLAGS_log_level);
        const auto first_endpoint = http::parse_endpoint(FLAGS_listen);
        return runtime::run_process(
            name, [&](const runtime::executor& loop, const runtime::process_hooks& /*process*/) {
                return make_tree(loop, first_endpoint, make_service);
            });
    } catch (const common::error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(runtime::exit_code::usage);
    }
}

} // namespace jujubemast::standins
