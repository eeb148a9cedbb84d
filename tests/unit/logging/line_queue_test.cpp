#include "logging/line_queue.h"

#include <array>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace jujubemast::tests {

using logging::line_queue;

/// A pipe with a blocking write end, like the standard output of a process.
class output_pipe {
public:
    output_pipe() {
        BOOST_REQUIRE(pipe(m_ends.data()) == 0);
        BOOST_REQUIRE(fcntl(m_ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~output_pipe() {
        close_reader();
        close(m_ends[1]);
    }
    output_pipe(const output_pipe&) = delete;
    output_pipe& operator=(const output_pipe&) = delete;

    int writer() const { return m_ends[1]; }

    void close_reader() {
        if (m_ends[0] >= 0) {
            close(m_ends[0]);
            m_ends[0] = -1;
        }
    }

    std::string read_all() const {
        std::string all;
        std::array<char, 4096> buffer{};
        for (;;) {
            const auto count = read(m_ends[0], buffer.data(), buffer.size());
            if (count <= 0) {
                return all;
            }
            all.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

struct line_queue_fixture {
    /// Fills the pipe and the queue. Returns the lines that the queue accepted.
    std::string fill() {
        std::string accepted;
        for (int n = 0;; ++n) {
            const auto line = "line " + std::to_string(n) + std::string(200, 'x') + "\n";
            if (!lines.push(line)) {
                return accepted;
            }
            accepted += line;
        }
    }

    static constexpr std::size_t limit = 16384;
    output_pipe output;
    line_queue lines{output.writer(), limit};
};

BOOST_FIXTURE_TEST_SUITE(line_queue_test, line_queue_fixture)

BOOST_AUTO_TEST_CASE(line_queue_when_reader_reads_writes_each_line_at_once) {
    BOOST_TEST(lines.push("first\n"));
    BOOST_TEST(output.read_all() == "first\n");
    BOOST_TEST(lines.pending_bytes() == 0U);
}

// Guards against a process that blocks on a full pipe because nobody reads its logs.
BOOST_AUTO_TEST_CASE(line_queue_when_reader_stops_neither_blocks_nor_grows) {
    fill();
    BOOST_TEST(lines.pending_bytes() <= limit);
    BOOST_TEST(!lines.push(std::string(limit, 'y')));
}

// Guards against truncated or reordered lines after the reader has resumed.
BOOST_AUTO_TEST_CASE(line_queue_when_reader_resumes_delivers_every_accepted_line_in_order) {
    const auto accepted = fill();
    std::string received;
    while (lines.pending_bytes() > 0) {
        received += output.read_all();
        lines.flush();
    }
    received += output.read_all();
    BOOST_TEST((received == accepted));
    BOOST_TEST(lines.push("later\n"));
    BOOST_TEST(output.read_all() == "later\n");
}

// Guards against a write error that keeps the queue full permanently.
BOOST_AUTO_TEST_CASE(line_queue_when_reader_has_closed_discards_the_lines) {
    output.close_reader();
    BOOST_TEST(lines.push("nobody reads this\n"));
    BOOST_TEST(lines.pending_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
