#include "support/ticket_deployment.h"

#include <stdexcept>

#include <boost/json.hpp>

#include "common/digest.h"
#include "support/http_call.h"

namespace jujubemast::tests {

std::string weight_ticket(int weight) {
    return "workspaces: {other: {weight: " + std::to_string(weight) + ", key_sha256: \"" +
           common::sha256_hex("other-key") + "\"}}\n";
}

void ticket_deployment::set_faults(const std::string& faults) const {
    call(platform_address(), {"PUT", "/control/faults", {}, "{" + faults + "}"});
}

std::unique_ptr<child_process>
ticket_deployment::start_ctl(const std::vector<std::string>& arguments) {
    std::vector<std::string> all_arguments{"--platform=" + platform_address()};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    return std::make_unique<child_process>(
        "jujubemast-ctl", all_arguments,
        log_path("operator-" + std::to_string(m_next_file_number++)));
}

ctl_outcome ticket_deployment::ctl(const std::vector<std::string>& arguments) {
    const auto process = start_ctl(arguments);
    ctl_outcome outcome;
    outcome.code = process->wait();
    outcome.text = process->log();
    return outcome;
}

std::string ticket_deployment::create_ticket(const std::string& yaml) {
    const auto path =
        write_file("operator-" + std::to_string(m_next_file_number++) + ".yaml", yaml);
    const auto outcome = ctl({"ticket", "create", path, "--output=json"});
    if (outcome.code != 0) {
        throw std::runtime_error{"ticket not created: " + outcome.text};
    }
    return std::to_string(boost::json::parse(outcome.text).at("ticket").to_number<std::uint64_t>());
}

ctl_outcome ticket_deployment::wait_until_in_force(const std::string& number) {
    std::string entries;
    for (std::size_t n = 0; n < entry_count(); ++n) {
        entries += (entries.empty() ? "" : ",") + entry_admin_address(n);
    }
    return ctl({"ticket", "status", number, "--wait", "--entries=" + entries});
}

separate_entry ticket_deployment::start_entry(const std::string& name,
                                              const std::string& settings) {
    const auto path = write_file(
        name + ".yaml", "instance: {name: " + name +
                            ", failure_domain: fd-0}\napi: {listen: \"127.0.0.1:0\"}\nplatform: "
                            "{address: \"" +
                            platform_address() + "\", poll_interval_ms: 100}\n" + settings);
    separate_entry added;
    added.process = std::make_unique<child_process>(
        "jujubemast-entry", std::vector<std::string>{"--settings=" + path}, log_path(name));
    added.api = added.process->listening_address("jujubemast-entry/api/listener");
    added.admin = added.process->listening_address("jujubemast-entry/admin/listener");
    return added;
}

boost::json::value ticket_deployment::replica_state(const std::string& admin) {
    const auto dump = boost::json::parse(call(admin, {"GET", "/dump", {}, {}}).body);
    return dump.at("children").at("replica").at("detail");
}

std::uint64_t ticket_deployment::served_revision(const std::string& admin) {
    return replica_state(admin).at("served_revision").to_number<std::uint64_t>();
}

std::vector<std::string> ticket_deployment::sidecar_admins() {
    std::vector<std::string> admins;
    for (auto& it : upstreams()) {
        admins.push_back(it.sidecar->listening_address("jujubemast-sidecar/admin/listener"));
    }
    return admins;
}

std::uint64_t ticket_deployment::store_revision() const {
    const auto row = boost::json::parse(
        call(platform_address(), {"GET", "/v1/tables/head/rows/configuration", {}, {}}).body);
    const auto* head = row.at("value").if_object();
    return head == nullptr ? 0 : head->at("revision").to_number<std::uint64_t>();
}

std::uint64_t ticket_deployment::store_reads() const {
    const auto counters = call(platform_address(), {"GET", "/control/counters", {}, {}});
    return boost::json::parse(counters.body).at("reads").to_number<std::uint64_t>();
}

} // namespace jujubemast::tests
