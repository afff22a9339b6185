package org.guavahatch.scheduling.unread

import org.guavahatch.model.time.Clock

/**
 * Bytes of answers that callers have not read yet, over all connections of a gateway, and what follows from them: whose
 * answer is read on from its endpoint, and which callers are given up.
 *
 * Each caller may hold [ROOM_SHARE] times the room that is left (dynamic threshold: Choudhury and Hahne, "Dynamic queue
 * length thresholds for shared-memory packet switches", 1998), so those that hold most are held back first. A caller
 * can be held back only while the budget is used up.
 *
 * @param C a caller's connection, with identity as equality
 * @property maximumBytes budget in bytes
 */
public class UnreadAnswers<C : Any>(private val clock: Clock, private val maximumBytes: Long) {
    private val behind = LinkedHashMap<C, Backlog>()
    private var checkedAt = clock.monotonicMilliseconds()

    /** Bytes that all callers hold. */
    public var totalBytes: Long = 0
        private set

    /** Whether so little room is left that callers may be held back. */
    public val isUsedUp: Boolean get() = isUsedUpBy(totalBytes)

    /** Whether the bytes exceed the budget so far that callers are given up at once. */
    public val isExceeded: Boolean get() = totalBytes > maximumBytes + maximumBytes / EXCESS_DIVISOR

    /** The callers that have not read all of their answers. */
    public val callers: List<C> get() = behind.keys.toList()

    /**
     * Reports the state of [caller]; to be called before and after each write, and regularly while it holds bytes.
     *
     * @param heldBytes memory that its unread data takes
     * @param unreadBytes bytes that it has not read, which decrease while a large block is read
     * @param isWritable whether its connection is within its own limit
     */
    public fun report(caller: C, heldBytes: Long, unreadBytes: Long, isWritable: Boolean) {
        if (heldBytes == 0L) return remove(caller)
        val now = clock.monotonicMilliseconds()
        val backlog = behind.getOrPut(caller) { Backlog(now) }
        totalBytes += heldBytes - backlog.heldBytes
        backlog.heldBytes = heldBytes
        if (unreadBytes < backlog.unreadBytes) backlog.lastReadAt = now
        backlog.unreadBytes = unreadBytes
        backlog.blockedSince = if (isWritable) null else backlog.blockedSince ?: now
    }

    /** Forgets [caller], which holds nothing more or has gone. */
    public fun remove(caller: C) {
        totalBytes -= behind.remove(caller)?.heldBytes ?: 0
    }

    /**
     * Whether the answer for [caller] is read on from its endpoint. An answer whose caller's connection is full is read
     * on after [READ_ON_MILLISECONDS] while there is room, since its endpoint would cut it off.
     */
    public fun mayReadOn(caller: C): Boolean {
        val backlog = behind[caller] ?: return true
        if (isHeldBack(caller)) return false
        val blockedSince = backlog.blockedSince ?: return true
        return clock.monotonicMilliseconds() - blockedSince >= READ_ON_MILLISECONDS
    }

    /** Whether [caller] holds more than its part of the room that is left. */
    public fun isHeldBack(caller: C): Boolean {
        val backlog = behind[caller] ?: return false
        return backlog.heldBytes > ROOM_SHARE * (maximumBytes - totalBytes)
    }

    /** Milliseconds since [caller] has read something, or null if it holds nothing. */
    public fun millisecondsWithoutRead(caller: C): Long? =
        behind[caller]?.let { clock.monotonicMilliseconds() - it.lastReadAt }

    /** Bytes that [caller] holds. */
    public fun heldBytes(caller: C): Long = behind[caller]?.heldBytes ?: 0

    /**
     * The callers to disconnect now; to be called regularly, at intervals well below [PAUSE_MILLISECONDS]. Longer
     * intervals are pauses of this process, in which no caller could read.
     */
    public fun callersToGiveUp(): List<C> {
        val now = clock.monotonicMilliseconds()
        excludePause(now)
        if (!isUsedUp) return emptyList()
        var total = totalBytes
        val silent = behind.entries.filter { now - it.value.lastReadAt >= GIVE_UP_MILLISECONDS }.sortedByHeld()
            .takeWhile { entry -> isUsedUpBy(total).also { if (it) total -= entry.value.heldBytes } }
            .map { it.key }
        if (!isExceeded || total <= maximumBytes) return silent
        val (idle, reading) = (behind.entries.filter { it.key !in silent })
            .partition { now - it.value.lastReadAt >= READ_ON_MILLISECONDS }
        return silent + (idle.sortedByHeld() + reading.sortedByHeld())
            .takeWhile { entry -> (total > maximumBytes).also { if (it) total -= entry.value.heldBytes } }
            .map { it.key }
    }

    private fun excludePause(now: Long) {
        val interval = now - checkedAt
        checkedAt = now
        if (interval < PAUSE_MILLISECONDS) return
        behind.values.forEach { it.lastReadAt = minOf(now, it.lastReadAt + interval) }
    }

    private fun isUsedUpBy(total: Long) = total > ROOM_SHARE * (maximumBytes - total)

    private fun List<Map.Entry<C, Backlog>>.sortedByHeld() = sortedByDescending { it.value.heldBytes }

    private class Backlog(now: Long) {
        var heldBytes = 0L
        var unreadBytes = 0L
        var lastReadAt = now
        var blockedSince: Long? = null
    }

    public companion object {
        /** A single caller may use 8/9 of the budget; some room is always left for the others. */
        public const val ROOM_SHARE: Long = 8

        /** Endpoints cut off an answer that stays unread for some seconds; one second leaves room for a late check. */
        public const val READ_ON_MILLISECONDS: Long = 1_000

        /** Time without reading after which a caller is given up while others need the room. */
        public const val GIVE_UP_MILLISECONDS: Long = 5_000

        /** Interval between two checks from which on it counts as a pause of this process. */
        public const val PAUSE_MILLISECONDS: Long = 1_000

        /** Data under way when reading pauses may exceed the budget by a quarter. */
        private const val EXCESS_DIVISOR = 4
    }
}
