#include "support/deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <boost/json.hpp>

#include "common/digest.h"
#include "support/http_call.h"

namespace jujubemast::tests {

namespace {

constexpr const char* workspace_key = "demo-key";

std::string make_temporary_directory() {
    auto pattern = (std::filesystem::temp_directory_path() / "jujubemast-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return pattern;
}

std::string four_stages() {
    return "[{name: encode, pool: encoders, operation: encode}, "
           "{name: retrieve, pool: retrievers, operation: retrieve}, "
           "{name: rerank, pool: rerankers, operation: rerank}, "
           "{name: generate, pool: jujube-pool, operation: generate, model: base}]";
}

} // namespace

std::string standard_ticket() {
    const auto pipeline = [](const std::string& name, const std::string& priority) {
        return "  " + name + ": {priority: " + priority +
               ", deadline_ms: 20000, stages: " + four_stages() + "}\n";
    };
    return "pools:\n"
           "  encoders: {kind: service}\n"
           "  retrievers: {kind: service}\n"
           "  rerankers: {kind: service}\n"
           "  jujube-pool: {kind: engine}\n"
           "pipelines:\n" +
           pipeline("draft", "standard") + pipeline("lookup", "urgent") +
           pipeline("voice", "urgent") + pipeline("tag", "background") +
           "workspaces:\n"
           "  demo: {weight: 1, key_sha256: \"" +
           common::sha256_hex(workspace_key) + "\"}\n";
}

std::string failure_ticket() {
    return "pools:\n"
           "  encoders: {kind: service}\n"
           "  ledger: {kind: service}\n"
           "  jujube-pool: {kind: engine}\n"
           "pipelines:\n"
           "  answer: {priority: standard, deadline_ms: 20000, stages: ["
           "{name: encode, pool: encoders, operation: encode}, "
           "{name: generate, pool: jujube-pool, operation: generate, model: base}]}\n"
           "  read: {priority: urgent, deadline_ms: 20000, stages: ["
           "{name: read, pool: ledger, operation: read}]}\n"
           "  post: {priority: standard, deadline_ms: 20000, stages: ["
           "{name: encode, pool: encoders, operation: encode}, "
           "{name: post, pool: ledger, operation: post, idempotent: false}]}\n"
           "workspaces:\n"
           "  demo: {weight: 1, key_sha256: \"" +
           common::sha256_hex(workspace_key) + "\"}\n";
}

deployment::deployment(deployment_hooks hooks)
    : m_hooks{std::move(hooks)}, m_directory{make_temporary_directory()} {
    m_platform = std::make_unique<child_process>("standin-platform", std::vector<std::string>{},
                                                 log_path("platform"));
    m_platform_address = m_platform->listening_address("standin-platform/server-0/listener");
}

deployment::~deployment() {
    m_entries.clear();
    m_upstreams.clear();
    m_platform.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

std::string deployment::write_file(const std::string& name, const std::string& text) const {
    auto path = m_directory + "/" + name;
    std::ofstream{path} << text;
    return path;
}

void deployment::add_pool(const std::string& pool, const std::string& kind, int count,
                          const std::vector<std::string>& flags) {
    const auto program = "standin-" + kind;
    std::vector<std::string> arguments{"--count=" + std::to_string(count)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    const auto host = std::make_shared<child_process>(
        program, arguments, log_path("host-" + std::to_string(m_next_file_number++)));
    const auto first = std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                     [&](const auto& it) { return it.pool == pool; });
    for (int n = 0; n < count; ++n) {
        auto& added = m_upstreams.emplace_back();
        added.name = pool + "-" + std::to_string(first + n);
        added.pool = pool;
        added.host = host;
        added.host_program = program;
        added.host_arguments = arguments;
        added.upstream_address =
            host->listening_address(program + "/server-" + std::to_string(n) + "/listener");
        const auto address = m_hooks.redirect_upstream
                                 ? m_hooks.redirect_upstream(added.name, added.upstream_address)
                                 : added.upstream_address;
        std::string text = "instance: {name: " + added.name;
        text += ", pool: " + pool + ", failure_domain: fd-" + std::to_string(n % 3);
        text += "}\nupstream: {address: \"" + address;
        text += "\", kind: " + kind + "}\n";
        text += "orders: {interval_ms: 100, spread_ms: 200}\n";
        added.settings_path = write_file(added.name + ".yaml", text);
        start_sidecar(added);
    }
}

void deployment::start_sidecar(upstream_instance& instance) {
    auto arguments = m_hooks.sidecar_flags;
    arguments.push_back("--settings=" + instance.settings_path);
    instance.sidecar = std::make_unique<child_process>(
        m_hooks.sidecar_program, arguments,
        log_path(instance.name + "-" + std::to_string(m_next_file_number++)));
    instance.sidecar_address =
        instance.sidecar->listening_address(m_hooks.sidecar_program + "/link");
    instance.admin_address =
        instance.sidecar->listening_address(m_hooks.sidecar_program + "/admin/listener");
    instance.link_address = m_hooks.redirect_link
                                ? m_hooks.redirect_link(instance.name, instance.sidecar_address)
                                : instance.sidecar_address;
}

void deployment::restart_upstream(upstream_instance& instance) {
    auto arguments = instance.host_arguments;
    arguments.push_back("--listen=" + instance.upstream_address);
    instance.host = std::make_shared<child_process>(
        instance.host_program, arguments, log_path("host-" + std::to_string(m_next_file_number++)));
    // The address is already known. The call waits until the process listens on it.
    static_cast<void>(
        instance.host->listening_address(instance.host_program + "/server-0/listener"));
}

void deployment::add_entry(const std::string& extra_settings) {
    m_extra_entry_settings.push_back(extra_settings);
    m_entries.emplace_back();
    m_entry_addresses.emplace_back();
    m_entry_admin_addresses.emplace_back();
    start_entry(m_entries.size() - 1);
}

void deployment::restart_entry(std::size_t n) {
    start_entry(n);
}

void deployment::start_entry(std::size_t n) {
    const auto name = "entry-" + std::to_string(n);
    const auto path =
        write_file(name + ".yaml", "instance: {name: " + name +
                                       ", failure_domain: fd-0}\napi: {listen: \"127.0.0.1:0\", "
                                       "stop_grace_ms: 500}\n"
                                       "platform: {address: \"" +
                                       m_platform_address +
                                       "\", poll_interval_ms: 100}\n"
                                       "membership: {poll_interval_ms: 100}\n" +
                                       m_extra_entry_settings[n]);
    m_entries[n] = std::make_unique<child_process>(
        "jujubemast-entry", std::vector<std::string>{"--settings=" + path},
        log_path(name + "-" + std::to_string(m_next_file_number++)));
    m_entry_addresses[n] = m_entries[n]->listening_address("jujubemast-entry/api/listener");
    m_entry_admin_addresses[n] = m_entries[n]->listening_address("jujubemast-entry/admin/listener");
}

boost::json::value deployment::dump(const std::string& admin_address) {
    return boost::json::parse(call(admin_address, {"GET", "/dump", {}, {}}).body);
}

upstream_instance& deployment::upstream(const std::string& name) {
    return *std::find_if(m_upstreams.begin(), m_upstreams.end(),
                         [&](const auto& it) { return it.name == name; });
}

int deployment::run_ctl(const std::vector<std::string>& arguments, std::string& output) {
    std::vector<std::string> all_arguments{"--platform=" + m_platform_address};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    child_process ctl{"jujubemast-ctl", all_arguments,
                      log_path("ctl-" + std::to_string(m_next_file_number++))};
    const int code = ctl.wait();
    output += ctl.log();
    return code;
}

void deployment::accept_ticket(const std::string& yaml) {
    const auto path = write_file("ticket-" + std::to_string(m_next_file_number) + ".yaml", yaml);
    std::string output;
    if (run_ctl({"ticket", "create", path}, output) != 0) {
        throw std::runtime_error{"ticket not created: " + output};
    }
    const auto number = output.substr(output.find_last_of(' ') + 1);
    if (run_ctl({"ticket", "accept", number.substr(0, number.find('\n'))}, output) != 0) {
        throw std::runtime_error{"ticket not accepted: " + output};
    }
}

void deployment::publish_membership(const std::vector<std::string>& leaving) const {
    boost::json::array instances;
    for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
        const auto& it = m_upstreams[n];
        const bool leaves = std::find(leaving.begin(), leaving.end(), it.name) != leaving.end();
        instances.push_back(boost::json::object{{"name", it.name},
                                                {"pool", it.pool},
                                                {"failure_domain", "fd-" + std::to_string(n % 3)},
                                                {"address", it.link_address},
                                                {"state", leaves ? "leaving" : "live"}});
    }
    call(m_platform_address,
         {"PUT",
          "/control/membership",
          {},
          boost::json::serialize(boost::json::object{{"instances", std::move(instances)}})});
}

void deployment::wait_until_ready() {
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        wait_until("entry is ready", [&] {
            return call(m_entry_addresses[n], {"GET", "/readyz", {}, {}}).status == 200;
        });
        wait_until("entry has all links", [&] {
            const auto state = dump(m_entry_admin_addresses[n]);
            const auto& upstreams =
                state.at("children").at("coordinator").at("detail").at("upstreams").as_object();
            std::size_t up = 0;
            for (const auto& it : upstreams) {
                up += it.value().at("up").as_bool() ? 1 : 0;
            }
            return up == m_upstreams.size();
        });
    }
}

http::response deployment::submit(std::size_t entry, const std::string& pipeline,
                                  const std::string& body, const http::headers& extra) const {
    http::request request{"POST", "/v1/pipelines/" + pipeline + "/requests", extra, body};
    request.fields.push_back({"Authorization", std::string{"Bearer "} + workspace_key});
    request.fields.push_back({"Content-Type", "application/json"});
    return call(m_entry_addresses.at(entry), request);
}

} // namespace jujubemast::tests
