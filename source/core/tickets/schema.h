#pragma once

#include <cstdint>
#include <string>

namespace jujubemast::tickets {

/// Tables and keys of the platform's table service.
inline constexpr const char* head_table = "head";
/// The head row: revision and digest of the configuration in force.
inline constexpr const char* head_key = "configuration";
/// The row with the number of the last ticket. Apart from the head row, so that the creation of a
/// ticket does not disturb the acceptance of another.
inline constexpr const char* last_number_key = "last_ticket";
/// One row for each object that a ticket has touched, keyed by its name with the slash replaced by
/// a colon.
inline constexpr const char* objects_table = "objects";
/// One row for each ticket, keyed by its number.
inline constexpr const char* tickets_table = "tickets";
/// One row for each content of a ticket, which leads to its number, so that a repeated creation
/// finds the ticket that it made.
inline constexpr const char* contents_table = "ticket_contents";

/// Returns the key of a ticket's row. Numbers are padded, so that rows are in their order.
std::string ticket_row_key(std::uint64_t number);

} // namespace jujubemast::tickets
