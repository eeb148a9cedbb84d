#pragma once

namespace jujubemast::policy {

/// What it costs to move bytes from one failure domain to another.
struct transfer_terms {
    /// What a transfer of a gigabyte may cost a caller, in milliseconds of waiting. Zero makes
    /// placement ignore failure domains except where it did so before this estimate.
    double price_ms_per_gb = 25'000;
    /// One way between two domains takes 0.9 ms in the users' deployments.
    double one_way_ms = 0.9;

    [[nodiscard]] bool enabled() const { return price_ms_per_gb > 0; }
};

/// What placing work at an instance requires.
struct placed_work {
    /// Bytes of inputs, results and prompt parts that cross domains.
    double remote_bytes = 0;
    /// One-way passages between domains that the caller waits for.
    unsigned remote_passages = 0;
    /// Time in queues until the work starts.
    double wait_ms = 0;
    /// Time to read prompt parts that the instance does not hold.
    double prompt_ms = 0;
};

/// The cost of a placement.
struct placement_cost {
    /// Time of the caller, without the price of the bytes.
    double time_ms = 0;
    double bytes = 0;
    /// The price of the bytes.
    double price_ms = 0;

    [[nodiscard]] double total_ms() const { return time_ms + price_ms; }
};

/// Returns the price of bytes that cross domains, in milliseconds.
double price_of(const transfer_terms& terms, double bytes);

placement_cost estimate_cost(const transfer_terms& terms, const placed_work& work);

/// Returns the wait, in milliseconds, that counts for instances with this estimated share of their
/// slots in use. Up to 0.7 a free slot is found at once; from there the wait rises with the square,
/// to 120 ms at 0.85.
double queue_wait_ms(double busy_slots_share);

} // namespace jujubemast::policy
