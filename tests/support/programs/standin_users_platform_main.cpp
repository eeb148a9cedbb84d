// A stand-in for the users' platform in one process: the store with a configuration and the entries
// of the upstreams, two model engines, two instances of a plain service, and two stage services.
// Control calls at the address of the store:
//   GET /records         requests that the upstreams have received
//   GET /freed           number of results that were released
//   GET /reports         number of reports that the upstreams have sent
//   GET /polls           number of long polls for the upstreams in progress
//   GET /lost            number of calls for the configuration lost while the store was silent
//   GET /lost-upstreams  the same for the upstreams
//   POST /configuration  replaces the configuration by the version in the body; each version has an
//                        API key of its own
//   GET /configuration   the current configuration
//   POST /configuration-bytes  replaces the configuration by the body, which need not be valid
//   POST /upstream       writes the entry of an upstream, or removes it if "entry" is null
//   POST /release        {"id", "version"} replaces an engine by an incarnation with this software
//                        version at the same address, or adds one of the spare engines "e3", "e4"
//   POST /crash          breaks the responses with pauses of the engine in the body, and all later
//                        ones; its entry stays in the store
//   GET /stream-rows     number of rows of streams in the store
//   GET /crashes         number of times that an engine has crashed
//   POST /deadly         the part of prompts that crashes each engine that begins to write an
//   answer
//                        on it; empty for none
//   POST /silence        "1" makes the store leave all calls unanswered, also those in progress;
//                        "0" ends that
//   POST /copy           keeps a copy of the store without the table that the body names
//   POST /restore        replaces the store by the copy; its era rises
//   GET /version         the newest version of the store
//   POST /transaction    performs a transaction, also while the store is silent

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "http/server.h"
#include "logging/logger.h"
#include "runtime/process.h"
#include "support/users_store.h"

namespace jujubemast::tests {

namespace {

struct platform_state {
    explicit platform_state(runtime::executor executor) : loop{executor}, store{loop} {}

    runtime::executor loop;
    users_store store;
    boost::json::array records;
    std::map<std::string, int> stage_results;
    int next_result = 1;
    int reports = 0;
    std::size_t released_results = 0;
    /// Requests that never get a response.
    std::vector<http::responder> unanswered;
    std::string deadly_part;
    int crashes = 0;
    /// Instances that are down after a crash.
    std::set<std::string> down;
    /// Entries of the upstreams by id, also of those that are not in the store.
    std::map<std::string, boost::json::object> entries;
};

using state_pointer = std::shared_ptr<platform_state>;

boost::json::object route(const char* prefix, const char* kind, const char* service,
                          const char* host) {
    return {{"name", prefix},  {"host", host},       {"prefix", prefix},
            {"kind", kind},    {"service", service}, {"timeout_ms", 5000},
            {"goal_ms", 1000}, {"priority", 0},      {"max_attempts", 2},
            {"public", false}, {"resumable", true},  {"gap_target_ms", 600}};
}

boost::json::object make_configuration(std::uint64_t version) {
    auto draft = route("/draft/", "streaming", "engines", "a.example");
    draft["stages"] = boost::json::array{
        boost::json::object{
            {"service", "stages"}, {"after", boost::json::array{}}, {"byte_count", 100}},
        boost::json::object{
            {"service", "stages"}, {"after", boost::json::array{0}}, {"byte_count", 100}}};
    auto slow = route("/slow/", "streaming", "engines", "a.example");
    slow["goal_ms"] = 5000;
    slow["stages"] = boost::json::array{boost::json::object{
        {"service", "slow-stages"}, {"after", boost::json::array{}}, {"byte_count", 100}}};
    // May be neither repeated nor resumed.
    auto talk = route("/talk/", "streaming", "engines", "a.example");
    talk["resumable"] = false;
    const auto pieces = [](double call_ms) {
        return boost::json::object{{"slots", 1},         {"queue", 2},     {"batch", 4},
                                   {"call_ms", call_ms}, {"item_ms", 1.0}, {"headroom_mb", 1.0},
                                   {"handle_s", 4.0}};
    };
    return {{"version", version},
            {"routes", boost::json::array{draft, slow, talk,
                                          route("/stream/", "streaming", "engines", "a.example"),
                                          route("/post/", "unsafe", "desk", "a.example"),
                                          route("/fragile/", "safe", "fragile", "a.example"),
                                          // Tests copy the last route.
                                          route("/read/", "safe", "desk", "a.example")}},
            {"services",
             boost::json::array{
                 boost::json::object{{"name", "engines"}, {"engine", boost::json::object{}}},
                 boost::json::object{{"name", "desk"}},
                 // A cold instance tolerates 5 requests in a second. The service has no instance.
                 boost::json::object{{"name", "fragile"}, {"cold_s", 3}, {"cold_per_s", 0.01}},
                 boost::json::object{{"name", "stages"}, {"pieces", pieces(20)}},
                 boost::json::object{{"name", "slow-stages"}, {"pieces", pieces(600)}}}},
            {"limits", boost::json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", 4194304},
                                           {"header_timeout_ms", 3000},
                                           {"idle_timeout_ms", 15000}}},
            {"tenants",
             boost::json::array{boost::json::object{
                 {"name", "w"},
                 {"api_keys",
                  boost::json::array{"key-1", "key-of-version-" + std::to_string(version)}}}}}};
}

http::disconnect_hook serve_store(const state_pointer& state, const http::request& message,
                                  const http::responder& reply) {
    const auto path = http::split_target(message.target).path;
    if (state->store.serve(message, reply)) {
        return {};
    }
    if (path == "/lost") {
        reply.respond(http::json_response(200, std::to_string(state->store.lost_calls("op"))));
    } else if (path == "/lost-upstreams") {
        reply.respond(http::json_response(200, std::to_string(state->store.lost_calls("servers"))));
    } else if (path == "/polls") {
        reply.respond(
            http::json_response(200, std::to_string(state->store.count_polls("servers"))));
    } else if (path == "/release") {
        const auto row = boost::json::parse(message.body);
        const std::string id{row.at("id").as_string()};
        auto& entry = state->entries.at(id);
        entry["version"] = row.at("version").as_string();
        entry["born"] = entry.at("born").as_int64() + 1;
        state->store.put("servers", id, entry);
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/crash") {
        state->down.insert(message.body);
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/stream-rows") {
        reply.respond(
            http::json_response(200, std::to_string(state->store.keys_of("streams").size())));
    } else if (path == "/crashes") {
        reply.respond(http::json_response(200, std::to_string(state->crashes)));
    } else if (path == "/deadly") {
        state->deadly_part = message.body;
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/silence") {
        state->store.set_silent(message.body == "1");
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/copy") {
        state->store.take_copy(message.body);
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/restore") {
        state->store.restore();
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/transaction") {
        reply.respond(state->store.commit(message.body));
    } else if (path == "/version") {
        reply.respond(http::json_response(200, std::to_string(state->store.version())));
    } else if (path == "/records") {
        reply.respond(http::json_response(200, boost::json::serialize(state->records)));
    } else if (path == "/freed") {
        reply.respond(http::json_response(200, std::to_string(state->released_results)));
    } else if (path == "/reports") {
        reply.respond(http::json_response(200, std::to_string(state->reports)));
    } else if (path == "/upstream") {
        const auto row = boost::json::parse(message.body);
        const std::string id{row.at("id").as_string()};
        if (const auto* bytes = row.as_object().if_contains("bytes")) {
            state->store.put_bytes("servers", id, std::string{bytes->as_string()});
        } else if (row.at("entry").is_null()) {
            state->store.remove("servers", id);
        } else {
            state->store.put("servers", id, row.at("entry"));
        }
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/configuration" && message.method == "GET") {
        reply.respond(http::json_response(200, state->store.bytes_of("op", "config")));
    } else if (path == "/configuration-bytes") {
        state->store.put_bytes("op", "config", message.body);
        reply.respond(http::json_response(200, "{}"));
    } else if (path == "/configuration") {
        state->store.put("op", "config", make_configuration(std::stoull(message.body)));
        reply.respond(http::json_response(200, "{}"));
    } else {
        reply.respond(http::json_response(200, R"({"row_version":1,"now_ms":1})"));
    }
    return {};
}

std::string header(const http::request& message, const char* name) {
    return std::string{http::find_header(message.fields, name)};
}

http::response signed_response(const http::request& message, unsigned status,
                               const std::string& body) {
    return {status,
            {{"X-Attempt-Id", header(message, "X-Attempt-Id")}, {"X-Response-Seal", "seal"}},
            body};
}

/// Calls the handler after this time.
void call_later(const state_pointer& state, std::chrono::milliseconds delay,
                const std::function<void()>& handler) {
    const auto timer = std::make_shared<runtime::timer>(state->loop);
    // The handler owns the timer, which keeps it alive until it fires.
    timer->start(delay, [timer, handler] { handler(); });
}

std::string event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

/// Sends the events from `id` to number 5, 300 ms apart. Breaks the response if the engine has
/// crashed meanwhile.
void stream_paced_events(const state_pointer& state, const std::string& engine,
                         const http::responder& reply, int id, const std::string& data) {
    constexpr std::chrono::milliseconds pause{300};
    reply.write(event(id, data));
    call_later(state, pause, [=] {
        if (state->down.contains(engine)) {
            reply.abort();
        } else if (id == 5) {
            reply.end();
        } else {
            stream_paced_events(state, engine, reply, id + 1, data);
        }
    });
}

/// Sends the events up to number 5 that follow the caller's last one. If the path contains "break",
/// the first attempt is aborted within event 3; if it contains "head-only", no event follows the
/// head; if it contains "paced", there is a pause after each event. The data of an event is the
/// software version of the engine if the path contains "version", otherwise "x".
void stream_events(const state_pointer& state, const std::string& engine,
                   const http::request& message, const http::responder& reply) {
    if (message.target.find("head-only") != std::string::npos) {
        reply.begin(signed_response(message, 200, ""));
        state->unanswered.push_back(reply);
        return;
    }
    const auto last_event_id = header(message, "Last-Event-Id");
    const int first = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
    const std::string data = message.target.find("version") != std::string::npos
                                 ? std::string{state->entries.at(engine).at("version").as_string()}
                                 : "x";
    if (message.target.find("paced") != std::string::npos) {
        reply.begin(signed_response(message, 200, ""));
        stream_paced_events(state, engine, reply, first, data);
        return;
    }
    const bool aborts = message.target.find("break") != std::string::npos && last_event_id.empty();
    reply.begin(signed_response(message, 200, ""));
    for (int id = first; id <= 5; ++id) {
        if (aborts && id == 3) {
            reply.write("id: 3\nda");
            reply.abort();
            return;
        }
        reply.write(event(id, data));
    }
    reply.end();
}

/// Returns whether the request is refused: any whose path contains "shed", but "resume-shed" only
/// if the request resumes a stream.
bool refuses_work(const http::request& message) {
    if (message.target.find("resume-shed") != std::string::npos) {
        return !header(message, "Last-Event-Id").empty();
    }
    return message.target.find("shed") != std::string::npos;
}

/// Makes all pieces of a call. The call takes a second if any key begins with "slow", and never
/// ends if one begins with "stuck".
void make_pieces(const state_pointer& state, const http::request& message,
                 const http::responder& reply) {
    boost::json::array results;
    const auto call = boost::json::parse(message.body);
    bool slow = false;
    bool stuck = false;
    for (const auto& entry : call.at("entries").as_array()) {
        const auto* key = entry.as_object().if_contains("key");
        slow = slow || (key != nullptr && key->as_string().starts_with("slow"));
        stuck = stuck || (key != nullptr && key->as_string().starts_with("stuck"));
        results.emplace_back(boost::json::object{
            {"handle", header(message, "Host") + "/" + std::to_string(state->next_result++)}});
    }
    const auto response =
        http::json_response(200, boost::json::serialize(boost::json::object{{"entries", results}}));
    if (stuck) {
        state->unanswered.push_back(reply);
        return;
    }
    if (!slow) {
        reply.respond(response);
        return;
    }
    call_later(state, std::chrono::seconds{1}, [reply, response] { reply.respond(response); });
}

/// Whether the prompt has the part that crashes engines.
bool is_deadly(const platform_state& state, const http::request& message) {
    return !state.deadly_part.empty() &&
           header(message, "X-Prompt-Prefix").find(state.deadly_part + ":") != std::string::npos;
}

/// Breaks the response after its head, and takes the instance away until it comes back as a new
/// incarnation.
void crash(const state_pointer& state, const std::string& id, const http::request& message,
           const http::responder& reply) {
    ++state->crashes;
    reply.begin(signed_response(message, 200, ""));
    reply.abort();
    auto entry = boost::json::parse(state->store.bytes_of("servers", id));
    entry.as_object()["born"] = 1 + state->crashes;
    state->down.insert(id);
    state->store.remove("servers", id);
    const auto restart = std::make_shared<runtime::timer>(state->loop);
    // The handler owns the timer, which keeps it alive until it fires.
    restart->start(std::chrono::milliseconds{300}, [restart, state, id, entry] {
        state->down.erase(id);
        state->store.put("servers", id, entry);
    });
}

http::disconnect_hook serve_upstream(const state_pointer& state, const std::string& id,
                                     const http::request& message, const http::responder& reply) {
    if (state->down.contains(id)) {
        reply.abort();
        return {};
    }
    if (header(message, "X-Expect-Instance") != id) {
        reply.respond(
            {421, {{"X-Instance-Id", id}, {"X-Attempt-Id", header(message, "X-Attempt-Id")}}, ""});
        return {};
    }
    if (message.target == "/report") {
        ++state->reports;
        const boost::json::object report{{"stage", "both"},
                                         {"busy", 0},
                                         {"queued", 0},
                                         {"free_mb", 1.0},
                                         {"born", state->entries.at(id).at("born")}};
        reply.respond(http::json_response(200, boost::json::serialize(report)));
        return {};
    }
    if (message.target == "/stage-free") {
        state->released_results += boost::json::parse(message.body).at("handles").as_array().size();
        reply.respond(http::json_response(200, "{}"));
        return {};
    }
    state->records.emplace_back(
        boost::json::object{{"upstream", id},
                            {"target", message.target},
                            {"attempt", header(message, "X-Attempt-Id")},
                            {"tenant", header(message, "X-Tenant")},
                            {"authorization", header(message, "Authorization")},
                            {"inputs", header(message, "X-Inputs")},
                            {"last_event", header(message, "Last-Event-Id")},
                            {"body", message.body}});
    if (is_deadly(*state, message)) {
        crash(state, id, message, reply);
    } else if (message.target == "/stage-run") {
        make_pieces(state, message, reply);
    } else if (message.target.find("mute") != std::string::npos) {
        state->unanswered.push_back(reply);
    } else if (refuses_work(message)) {
        reply.respond(
            {503, {{"X-Not-Run", "1"}, {"X-Attempt-Id", header(message, "X-Attempt-Id")}}, ""});
    } else if (!header(message, "X-Model").empty()) {
        stream_events(state, id, message, reply);
    } else if (message.target.find("break") != std::string::npos) {
        reply.abort();
    } else if (message.target.find("delayed") != std::string::npos) {
        const auto response = signed_response(message, 200, "answer of " + id);
        call_later(state, std::chrono::milliseconds{600},
                   [reply, response] { reply.respond(response); });
    } else {
        reply.respond(signed_response(message, 200, "answer of " + id));
    }
    return {};
}

/// A spare engine is not in the store until it is released.
enum class upstream_role { in_service, spare };

void add_upstream(std::vector<runtime::child_spec>& children, const state_pointer& state,
                  const std::string& id, const std::string& service,
                  upstream_role role = upstream_role::in_service) {
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    options.on_listening = [=](const http::endpoint& bound) {
        const boost::json::object entry{{"service", service}, {"address", http::to_string(bound)},
                                        {"zone", "z"},        {"version", "v1"},
                                        {"slots", 4},         {"state", "ready"},
                                        {"cold_left_ms", 0},  {"seq", 1},
                                        {"born", 1}};
        state->entries[id] = entry;
        if (role == upstream_role::in_service) {
            state->store.put("servers", id, entry);
        }
    };
    children.push_back(http::make_server(
        "upstream-" + id, options, [=](const http::request& message, const http::responder& reply) {
            return serve_upstream(state, id, message, reply);
        }));
}

std::vector<runtime::child_spec> make_tree(const runtime::executor& loop) {
    const auto state = std::make_shared<platform_state>(loop);
    state->store.put("op", "config", make_configuration(1));
    // The list of a system that has served for some time, so it is complete from the start.
    state->store.put("versions", "engines",
                     boost::json::object{{"versions", boost::json::array{"v1"}},
                                         {"era", 1},
                                         {"complete_since_ms", 0}});
    // An entry of another application, which is not a valid upstream.
    state->store.put("servers", "foreign", boost::json::object{{"service", 7}});
    std::vector<runtime::child_spec> children;
    add_upstream(children, state, "e1", "engines");
    add_upstream(children, state, "e2", "engines");
    add_upstream(children, state, "e3", "engines", upstream_role::spare);
    add_upstream(children, state, "e4", "engines", upstream_role::spare);
    add_upstream(children, state, "d1", "desk");
    add_upstream(children, state, "d2", "desk");
    add_upstream(children, state, "s1", "stages");
    add_upstream(children, state, "s2", "slow-stages");
    children.push_back(
        http::make_server("store", {.listen = {"127.0.0.1", 0}},
                          [state](const http::request& message, const http::responder& reply) {
                              return serve_store(state, message, reply);
                          }));
    return children;
}

} // namespace

} // namespace jujubemast::tests

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace jujubemast;
    logging::initialize("info");
    return runtime::run_process(
        "standin-users-platform",
        [](const runtime::executor& loop, const runtime::process_hooks& /*process*/) {
            return tests::make_tree(loop);
        });
}
