#include "ctl/dump_command.h"

#include <utility>

#include <boost/json.hpp>

#include "ctl/yaml_output.h"
#include "http/client.h"

namespace jujubemast::ctl {

namespace {

class dump_command final : public runtime::task {
public:
    dump_command(runtime::task_context context, const invocation& call, report_hook report)
        : m_client{std::move(context),
                   http::parse_endpoint(call.arguments.front()),
                   {.total_timeout = std::chrono::seconds{15}}},
          m_report{std::move(report)} {}

    void start() override {
        m_client.send({"GET", "/dump", {}, {}},
                      [this](const http::call_result& result) { print(result); });
    }

    void close() noexcept override { m_client.close(); }

private:
    void print(const http::call_result& result) {
        const auto* response = std::get_if<http::response>(&result);
        boost::system::error_code ec;
        const auto value = response != nullptr && response->status == 200
                               ? boost::json::parse(response->body, ec)
                               : boost::json::value{};
        if (!value.is_object()) {
            m_report({command_result::unavailable, "the process did not return a state dump",
                      boost::json::object{{"result", "unavailable"}}});
            return;
        }
        m_report({command_result::done, to_yaml(value), value});
    }

    http::client m_client;
    report_hook m_report;
};

} // namespace

std::shared_ptr<runtime::task> make_dump_command(runtime::task_context context,
                                                 const invocation& call, report_hook report) {
    return std::make_shared<dump_command>(std::move(context), call, std::move(report));
}

} // namespace jujubemast::ctl
