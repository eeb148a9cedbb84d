#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::gateway::instances {

/// What follows for a long prompt that looks for an engine which reads no other one.
enum class reading_step {
    /// Ask the owner of the next engine, the refused ones aside.
    ask,
    /// Send the request to the engine that was asked for.
    send_there,
    /// Send the request without a grant, to an engine that was not refused if there is one.
    send_anywhere,
    /// The response belongs to an earlier question. Nothing follows.
    none
};

struct reading_search_limits {
    /// A response comes within about 2 ms on the links between failure domains. Longer than this
    /// the search delays no request.
    common::duration time = std::chrono::milliseconds{20};
    /// With the shares of engines that read a prompt today (a sixth), one search in 1,000 asks for
    /// this many in vain.
    std::size_t max_questions = 4;
};

/// The search of one request for an engine that may read its prompt. Asks for one engine after the
/// other; each question and each response is one message. Lost and late responses end the search,
/// and the request is sent without a grant. Reads no clock.
class reading_search {
public:
    explicit reading_search(common::time_point now, const reading_search_limits& limits = {})
        : m_limits{limits}, m_ends{now + limits.time} {}

    /// Records that the owner of an engine is asked under a number.
    void asked(std::uint64_t number, std::string engine);

    /// Applies a response. If refused, `free_in` is the expected time until the engine has read its
    /// current prompt.
    reading_step answered(std::uint64_t number, bool granted, common::duration free_in,
                          common::time_point now);

    /// The time of the search is over.
    reading_step time_over();

    [[nodiscard]] common::time_point ends() const { return m_ends; }
    /// The engine that was asked for last.
    [[nodiscard]] const std::string& engine() const { return m_engine; }
    /// Engines that read another prompt. The first one is expected to end its reading first.
    [[nodiscard]] const std::vector<std::string>& refused() const { return m_refused; }

private:
    reading_search_limits m_limits;
    common::time_point m_ends;
    std::optional<std::uint64_t> m_number;
    std::string m_engine;
    std::vector<std::string> m_refused;
    common::time_point m_first_free_at;
};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::reading_step> {
    static constexpr std::array<std::string_view, 4> table{"ask", "send_there", "send_anywhere",
                                                           "none"};
};

} // namespace jujubemast::common
