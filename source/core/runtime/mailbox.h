#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "runtime/executor.h"

namespace jujubemast::runtime {

/// A bounded queue of typed messages to one task. It outlives restarts of the task, so addresses
/// stay valid. Messages that are still queued when a task instance fails are dropped.
template <typename Message>
class mailbox : public std::enable_shared_from_this<mailbox<Message>> {
public:
    using receiver = std::function<void(Message)>;

    mailbox(executor loop, std::size_t capacity) : m_loop{loop}, m_capacity{capacity} {}

    /// Queues the message. Returns false when the mailbox is full or no task receives from it.
    bool post(Message message) {
        if (!m_receiver || m_messages.size() >= m_capacity) {
            ++m_rejected;
            return false;
        }
        m_messages.push_back(std::move(message));
        schedule();
        return true;
    }

    /// Delivers messages to the handler, which must come from `task_context::wrap`.
    void attach(receiver handler) {
        m_messages.clear();
        m_receiver = std::make_shared<receiver>(std::move(handler));
    }

    /// Stops delivery and drops the queued messages.
    void detach() noexcept {
        m_messages.clear();
        m_receiver.reset();
    }

    [[nodiscard]] std::size_t size() const { return m_messages.size(); }

    /// Number of messages that were not accepted since the process started.
    [[nodiscard]] std::uint64_t rejected() const { return m_rejected; }

private:
    // One iteration of the event loop delivers at most this many messages, so that a busy mailbox
    // does not starve timers and sockets.
    static constexpr std::size_t batch_size = 64;

    void schedule() {
        if (m_scheduled) {
            return;
        }
        m_scheduled = true;
        m_loop.post([self = this->shared_from_this()] { self->deliver(); });
    }

    void deliver() {
        m_scheduled = false;
        for (std::size_t n = 0; n < batch_size && m_receiver && !m_messages.empty(); ++n) {
            Message message = std::move(m_messages.front());
            m_messages.pop_front();
            // The handler may detach the mailbox while it runs.
            const auto handler = m_receiver;
            (*handler)(std::move(message));
        }
        if (!m_messages.empty()) {
            schedule();
        }
    }

    executor m_loop;
    std::size_t m_capacity;
    std::deque<Message> m_messages;
    std::shared_ptr<receiver> m_receiver;
    std::uint64_t m_rejected = 0;
    bool m_scheduled = false;
};

/// The sending side of a mailbox. Copies refer to the same mailbox.
template <typename Message>
class address {
public:
    address() = default;
    explicit address(std::shared_ptr<mailbox<Message>> target) : m_target{std::move(target)} {}

    /// Sends the message. Returns false when the mailbox did not accept it; the sender must handle
    /// that case.
    bool send(Message message) const { return m_target && m_target->post(std::move(message)); }

    explicit operator bool() const { return m_target != nullptr; }

private:
    std::shared_ptr<mailbox<Message>> m_target;
};

/// The receiving side, owned by a task and detached when the task ends.
template <typename Message>
class inbox {
public:
    explicit inbox(std::shared_ptr<mailbox<Message>> source) : m_source{std::move(source)} {}

    void receive(typename mailbox<Message>::receiver handler) {
        m_source->attach(std::move(handler));
    }

    void close() noexcept { m_source->detach(); }

    [[nodiscard]] std::size_t size() const { return m_source->size(); }
    [[nodiscard]] std::uint64_t rejected() const { return m_source->rejected(); }
    [[nodiscard]] runtime::address<Message> address() const {
        return runtime::address<Message>{m_source};
    }

private:
    std::shared_ptr<mailbox<Message>> m_source;
};

/// Creates a mailbox with room for `capacity` messages.
template <typename Message>
std::shared_ptr<mailbox<Message>> make_mailbox(const executor& loop, std::size_t capacity) {
    return std::make_shared<mailbox<Message>>(loop, capacity);
}

} // namespace jujubemast::runtime
