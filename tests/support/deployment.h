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
    /// Address of the stand-in itself, for its control calls.
    std::string upstream_address;
    std::string sidecar_address;
    /// Address in the membership list.
    std::string link_address;
    std::string admin_address;
    std::string settings_path;
    std::unique_ptr<child_process> sidecar;
    /// The process of the stand-in, shared by the instances that were added together.
    std::shared_ptr<child_process> host;
    /// How to start that process again at the same address.
    std::string host_program;
    std::vector<std::string> host_arguments;
};

/// Returns the address to use instead of the given one, for example that of a proxy in between.
using address_override =
    std::function<std::string(const std::string& instance, const std::string& address)>;

struct deployment_hooks {
    /// Between a sidecar and its upstream.
    address_override redirect_upstream;
    /// Between the entries and a sidecar.
    address_override redirect_link;
    /// Program and further flags of the sidecars.
    std::string sidecar_program = "jujubemast-sidecar";
    std::vector<std::string> sidecar_flags;
};

/// A small deployment of real processes on loopback: the stand-in platform, pools of stand-in
/// upstreams with a sidecar each, and entries. Everything ends with this object.
class deployment {
public:
    explicit deployment(deployment_hooks hooks = {});
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts the upstreams of a pool in one process, and a sidecar for each. Further flags go to
    /// the stand-in.
    void add_pool(const std::string& pool, const std::string& kind, int count,
                  const std::vector<std::string>& flags = {});

    /// Starts an entry; it becomes ready once a ticket is in force. Further lines go to its
    /// settings.
    void add_entry(const std::string& extra_settings = {});

    /// Creates and accepts a ticket from YAML. Throws when the program does not report success.
    void accept_ticket(const std::string& yaml);

    /// Publishes all upstream instances in the membership list, with these marked as leaving.
    void publish_membership(const std::vector<std::string>& leaving = {}) const;

    /// Waits until every entry is ready and has a link to every sidecar.
    void wait_until_ready();

    /// Sends a request to an entry with the key of the workspace "demo".
    http::response submit(std::size_t entry, const std::string& pipeline, const std::string& body,
                          const http::headers& extra = {}) const;

    /// Runs jujubemast-ctl and returns its exit code; its output is appended to `output`.
    int run_ctl(const std::vector<std::string>& arguments, std::string& output);

    /// Writes a settings file and returns its path.
    std::string write_file(const std::string& name, const std::string& text) const;

    /// Starts a killed stand-in again at its address; only for stand-ins with their own process.
    void restart_upstream(upstream_instance& instance);

    /// Starts an entry again, at new addresses.
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

    /// Starts the sidecar of an upstream, again after it has ended.
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
    /// Further lines of the settings of each entry.
    std::vector<std::string> m_extra_entry_settings;
    std::vector<std::string> m_entry_admin_addresses;
    int m_next_file_number = 1;
};

/// The ticket that most tests use: four pools, pipelines "draft", "lookup", "voice" and "tag", and
/// the workspace "demo".
std::string standard_ticket();

/// The ticket of the failure tests: three pools. Pipeline
/// "answer" encodes and generates, "read" is one idempotent call to the ledger, "post" encodes and
/// then makes a non-idempotent call to the ledger.
std::string failure_ticket();

} // namespace jujubemast::tests
