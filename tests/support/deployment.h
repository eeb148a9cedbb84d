#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "http/message.h"
#include "support/child_process.h"

namespace jujubemast::tests {

/// A stand-in upstream with its sidecar.
struct upstream_instance {
    std::string name;
    std::string pool;
    /// Address of the stand-in itself, for its control calls, without a proxy.
    std::string upstream_address;
    std::string sidecar_address;
    /// Address in the membership list.
    std::string link_address;
    std::string admin_address;
    std::string settings_path;
    std::unique_ptr<child_process> sidecar;
    /// Process of the stand-in. Instances added by the same call share it.
    std::shared_ptr<child_process> host;
    /// Program and arguments with which to restart that process at the same address.
    std::string host_program;
    std::vector<std::string> host_arguments;
};

/// Returns the address to use in place of the given one, for example that of a proxy.
using address_override =
    std::function<std::string(const std::string& instance, const std::string& address)>;

struct deployment_hooks {
    /// Address at which a sidecar reaches its upstream.
    address_override redirect_upstream;
    /// Address at which the entries reach a sidecar.
    address_override redirect_link;
    /// Program and additional flags of the sidecars.
    std::string sidecar_program = "jujubemast-sidecar";
    std::vector<std::string> sidecar_flags;
};

/// A small deployment of real processes on loopback: the stand-in platform, pools of stand-in
/// upstreams with a sidecar each, and entries. The destructor ends all processes.
class deployment {
public:
    explicit deployment(deployment_hooks hooks = {});
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts `count` upstreams of a pool in one process, and a sidecar for each. `flags` are
    /// passed to the stand-in.
    void add_pool(const std::string& pool, const std::string& kind, int count,
                  const std::vector<std::string>& flags = {});

    /// Starts an entry, which becomes ready once a ticket is in force. `extra_settings` are lines
    /// appended to its settings file.
    void add_entry(const std::string& extra_settings = {});

    /// Creates and accepts a ticket from YAML. Throws std::runtime_error if either command fails.
    void accept_ticket(const std::string& yaml);

    /// Publishes all upstream instances in the membership list, those in `leaving` as leaving.
    void publish_membership(const std::vector<std::string>& leaving = {}) const;

    /// Waits until every entry is ready and has a link to every sidecar.
    void wait_until_ready();

    /// Sends a request to an entry with the key of the workspace "demo".
    http::response submit(std::size_t entry, const std::string& pipeline, const std::string& body,
                          const http::headers& extra = {}) const;

    /// Runs jujubemast-ctl, appends its output to `output` and returns its exit code.
    int run_ctl(const std::vector<std::string>& arguments, std::string& output);

    /// Writes a file into the directory of the deployment and returns its path.
    std::string write_file(const std::string& name, const std::string& text) const;

    /// Restarts a killed stand-in at its former address. The process must host no other stand-in.
    void restart_upstream(upstream_instance& instance);

    /// Restarts an entry at new addresses.
    void restart_entry(std::size_t n);

    /// Returns the state dump of a process from its admin address.
    [[nodiscard]] static boost::json::value dump(const std::string& admin_address);

    [[nodiscard]] upstream_instance& upstream(const std::string& name);
    [[nodiscard]] std::size_t entry_count() const { return m_entries.size(); }
    [[nodiscard]] child_process& entry(std::size_t n) { return *m_entries.at(n); }
    [[nodiscard]] const std::string& entry_address(std::size_t n) const {
        return m_entry_addresses.at(n);
    }
    [[nodiscard]] const std::string& entry_admin_address(std::size_t n) const {
        return m_entry_admin_addresses.at(n);
    }
    [[nodiscard]] std::vector<upstream_instance>& upstreams() { return m_upstreams; }
    [[nodiscard]] const std::string& platform_address() const { return m_platform_address; }
    [[nodiscard]] std::string log_path(const std::string& name) const {
        return m_directory + "/" + name + ".log";
    }

    /// Starts or restarts the sidecar of an upstream.
    void start_sidecar(upstream_instance& instance);

private:
    void start_entry(std::size_t n);

    deployment_hooks m_hooks;
    std::string m_directory;
    std::unique_ptr<child_process> m_platform;
    std::string m_platform_address;
    std::vector<upstream_instance> m_upstreams;
    std::vector<std::unique_ptr<child_process>> m_entries;
    std::vector<std::string> m_entry_addresses;
    /// Lines appended to the settings file of each entry.
    std::vector<std::string> m_extra_entry_settings;
    std::vector<std::string> m_entry_admin_addresses;
    int m_next_file_number = 1;
};

/// Returns the ticket that most tests use: four pools, the pipelines "draft", "lookup", "voice" and
/// "tag", and the workspace "demo".
std::string standard_ticket();

/// Returns the ticket of the failure tests, with three pools. The pipeline "answer" encodes and
/// generates, "read" makes one idempotent call to the ledger, and "post" encodes and then makes a
/// non-idempotent call to the ledger.
std::string failure_ticket();

} // namespace jujubemast::tests
