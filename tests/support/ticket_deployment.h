#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "support/deployment.h"

namespace jujubemast::tests {

/// Exit code and output of a run of jujubemast-ctl.
struct ctl_outcome {
    int code = 0;
    std::string text;
};

/// An entry outside the deployment, started and ended by a test.
struct separate_entry {
    std::unique_ptr<child_process> process;
    std::string api;
    std::string admin;
};

/// A deployment with the helpers for ticket tests: operator commands, faults of the store and the
/// revision that each process serves.
class ticket_deployment : public deployment {
public:
    /// Sets the faults of the stand-in platform, given as the members of a JSON object.
    void set_faults(const std::string& faults) const;

    ctl_outcome ctl(const std::vector<std::string>& arguments);

    /// Starts a run of jujubemast-ctl without waiting for it.
    std::unique_ptr<child_process> start_ctl(const std::vector<std::string>& arguments);

    /// Creates a ticket and returns its number.
    std::string create_ticket(const std::string& yaml);

    /// Runs "ticket status N --wait" against all entries of the deployment.
    ctl_outcome wait_until_in_force(const std::string& number);

    /// Starts an entry outside the deployment. `settings` are lines appended to its settings file.
    separate_entry start_entry(const std::string& name, const std::string& settings);

    /// Returns the state of the replica from the state dump of the process with this admin address.
    static boost::json::value replica_state(const std::string& admin);
    static std::uint64_t served_revision(const std::string& admin);

    /// Returns the admin addresses of all sidecars, which must be running.
    std::vector<std::string> sidecar_admins();

    [[nodiscard]] std::uint64_t store_revision() const;
    [[nodiscard]] std::uint64_t store_reads() const;

private:
    int m_next_file_number = 1;
};

/// Returns a ticket that sets the weight of the workspace "other".
std::string weight_ticket(int weight);

} // namespace jujubemast::tests
