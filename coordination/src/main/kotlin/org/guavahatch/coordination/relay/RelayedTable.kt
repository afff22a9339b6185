package org.guavahatch.coordination.relay

import org.guavahatch.model.time.Clock

/**
 * Time up to which rows are known to be current.
 *
 * @property at monotonic time in ms
 * @property clockGaps number of clock gaps detected before
 */
public data class RelayConfirmation(public val at: Long, public val clockGaps: Int)

/** What a reader responds to a follower. */
public sealed interface RelayAnswer<out R> {
    /**
     * The changes that the follower lacks.
     *
     * @property rows changed rows and deletions in order
     * @property version version up to which the follower then has all changes
     * @property confirmedAfterRequestMilliseconds time from the arrival of the request to the time up to which the
     * rows are confirmed; may be negative
     * @property confirmations number of confirmations by the store so far
     */
    public data class Changes<R>(
        public val rows: List<R>,
        public val version: Long,
        public val confirmedAfterRequestMilliseconds: Long,
        public val confirmations: Long,
    ) : RelayAnswer<R>

    /** The log is younger than the version that the follower has. */
    public data object Gone : RelayAnswer<Nothing>

    /**
     * The table cannot be relayed now.
     *
     * @property reason why
     */
    public data class Unavailable(public val reason: String) : RelayAnswer<Nothing>
}

/**
 * A table as a reader relays it. Only rows that come from the store itself are relayed, so that confirmations cannot
 * go round between gateways.
 *
 * @param R type of a row
 * @property clock clock of confirmations
 * @property overdueMilliseconds time after a response of the store at which the next one is overdue
 */
public class RelayedTable<R>(
    private val clock: Clock,
    private val overdueMilliseconds: Long,
    private val key: (R) -> String,
    private val versionOf: (R) -> Long?,
    private val log: RelayLog<R> = RelayLog(),
) {
    private var confirmation: RelayConfirmation? = null
    private var respondedAt = 0L
    private var confirmations = 0L
    private var hasBegun = false

    /** Version up to which this gateway follows the table, or null before the first read. */
    public val version: Long? get() = log.version.takeIf { hasBegun }

    /** Whether the latest rows come from the store, by this gateway's own poll. */
    public val isFromStore: Boolean get() = confirmation != null

    /** The store was read as a whole at [version]. */
    public fun onRead(version: Long, confirmedBy: RelayConfirmation) {
        log.begin(version)
        hasBegun = true
        onConfirmed(confirmedBy)
    }

    /** The store has responded with all changes up to [version]. */
    public fun onStoreChanges(rows: List<R>, version: Long, confirmedBy: RelayConfirmation) {
        log.append(rows, version, key, versionOf)
        onConfirmed(confirmedBy)
    }

    private fun onConfirmed(confirmedBy: RelayConfirmation) {
        confirmation = confirmedBy
        respondedAt = clock.monotonicMilliseconds()
        confirmations++
    }

    /** Another reader has responded with all changes up to [version]; this gateway is a follower now. */
    public fun onReaderChanges(rows: List<R>, version: Long) {
        log.append(rows, version, key, versionOf)
        confirmation = null
    }

    /** The store does not respond, or this gateway no longer asks it. */
    public fun onUnavailable() {
        confirmation = null
    }

    /** Why the table cannot be relayed now, or null if it can; [clockGaps] is the number of clock gaps until now. */
    public fun unavailability(clockGaps: Int): String? {
        val last = confirmation
        return when {
            last == null -> "not read from the store"
            last.clockGaps != clockGaps -> "not confirmed since a clock gap"
            clock.monotonicMilliseconds() - respondedAt > overdueMilliseconds -> "the store is overdue"
            else -> null
        }
    }

    /** Answer to a request for the changes after version [after], which arrived at monotonic time [arrivedAt]. */
    public fun answer(after: Long, arrivedAt: Long, clockGaps: Int): RelayAnswer<R> {
        unavailability(clockGaps)?.let { return RelayAnswer.Unavailable(it) }
        if (log.version < after) return RelayAnswer.Unavailable("behind version $after")
        val rows = log.changesAfter(after) ?: return RelayAnswer.Gone
        val last = checkNotNull(confirmation)
        return RelayAnswer.Changes(rows, log.version, last.at - arrivedAt, confirmations)
    }
}
