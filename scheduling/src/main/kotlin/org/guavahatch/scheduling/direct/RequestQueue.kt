package org.guavahatch.scheduling.direct

/** The requests of one pool that wait for a free slot. */
public interface RequestQueue {
    /** The highest priority among the waiting requests and the number of its requests, or null if none waits. */
    public val highestPriority: WaitingReport?

    /** The orders of the waiting requests, the highest priority first. */
    public val waitingOrders: Set<Int>

    /** Number of waiting requests. */
    public val size: Int

    /** About the number of the first [limit] requests of the highest priority for which [predicate] holds. */
    public fun countOfHighestPriority(limit: Int, predicate: (WaitingRequest) -> Boolean): Int

    /** The first request of the highest priority if it cannot meet its objective any more at [now], or null. */
    public fun firstLate(now: Long): WaitingRequest?

    /** The first few requests of each rank, in the order of dispatch at [now]. */
    public fun candidates(now: Long): List<WaitingRequest>

    /** Weighted use of the account of [request] by [AccountShares], or null if accounts are not compared. */
    public fun useOf(request: WaitingRequest): Int?

    /** All waiting requests, in the order of dispatch at [now]. */
    public fun inDispatchOrder(now: Long): List<WaitingRequest>

    /** Adds [request]; has no effect if it is already waiting. */
    public fun add(request: WaitingRequest)

    /** Removes [request]; returns false if it was not waiting. */
    public fun remove(request: WaitingRequest): Boolean
}
