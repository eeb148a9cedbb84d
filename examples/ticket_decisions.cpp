// Uses the ticket decisions: reads a ticket file, checks it as "ticket create" does, and builds the
// configuration that the ticket would put into force on an empty store.
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/creation.h"
#include "tickets/snapshot.h"
#include "tickets/ticket.h"

int main(int argc, char** argv) {
    using namespace jujubemast;
    std::ifstream file{argc > 1 ? argv[1] : "first-ticket.yaml"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    try {
        const auto objects = tickets::parse_ticket_file(text);
        const auto decision = tickets::plan_creation({}, objects, "token of this attempt");
        if (const auto* refusal = std::get_if<tickets::change_refusal>(&decision)) {
            for (const auto& reason : refusal->reasons) {
                std::cout << "refused: " << reason << "\n";
            }
            return 1;
        }
        tickets::ticket change;
        change.objects = objects;
        const auto states = tickets::states_of(tickets::apply_ticket({}, change));
        const auto snapshot = tickets::make_snapshot(1, states);
        for (const auto& [name, pipeline] : snapshot->content->pipelines) {
            std::cout << name << ": " << pipeline.stages.size() << " stages, "
                      << common::to_name(pipeline.priority) << "\n";
        }
    } catch (const common::format_error& error) {
        std::cout << "refused: " << error.what() << "\n";
        return 1;
    }
}
