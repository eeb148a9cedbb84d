#pragma once

namespace jujubemast::tickets {

/// Tables and keys of the platform's table service.
inline constexpr const char* head_table = "head";
/// The head row: revision and digest of the configuration in force.
inline constexpr const char* head_key = "configuration";
/// One row for each object in force, keyed by its name with the slash replaced by a colon.
inline constexpr const char* objects_table = "objects";
/// One row for each ticket, keyed by its number.
inline constexpr const char* tickets_table = "tickets";

} // namespace jujubemast::tickets
