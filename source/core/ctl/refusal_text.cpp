#include "ctl/refusal_text.h"

#include <boost/json.hpp>

namespace jujubemast::ctl {

std::string refusal_text(const std::string& summary, const tickets::change_refusal& refusal) {
    auto text = summary + ":";
    for (const auto& it : refusal.reasons) {
        text += "\n  " + it;
    }
    return text;
}

boost::json::object refusal_data(const tickets::change_refusal& refusal) {
    return {{"reasons", boost::json::value_from(refusal.reasons)}};
}

} // namespace jujubemast::ctl
