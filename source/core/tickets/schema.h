#pragma once

#include <cstdint>
#include <string>

namespace jujubemast::tickets {

// Tables and row keys in the platform's table service.

/// The table of the head row and of the row with the number of the last ticket.
inline constexpr const char* head_table = "head";
/// Key of the head row, which holds the revision and the digest of the configuration in force.
inline constexpr const char* head_key = "configuration";
/// Key of the row with the number of the last ticket. It is separate from the head row, so that
/// creating a ticket does not conflict with accepting another one.
inline constexpr const char* last_number_key = "last_ticket";
/// Table with one row for each object that a ticket has touched. The key is the object's name with
/// a colon in place of the slash.
inline constexpr const char* objects_table = "objects";
/// Table with one row for each ticket, keyed by its number.
inline constexpr const char* tickets_table = "tickets";
/// Table that maps the content of a ticket to its number, so that a repeated creation finds the
/// existing ticket.
inline constexpr const char* contents_table = "ticket_contents";

/// Returns the key of a ticket's row. Numbers are padded with zeros, so that the rows sort by
/// number.
std::string ticket_row_key(std::uint64_t number);

} // namespace jujubemast::tickets
