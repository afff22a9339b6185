package org.guavahatch.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happened to a block of the prefix cache. */
@Serializable
internal enum class CacheChange {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}

/**
 * A change of the prefix cache.
 *
 * @property sequence position among all changes; where numbers are missing, events were lost
 * @property change what happened
 * @property block hash of the prefix that the block ends
 */
@Serializable
internal data class CacheEvent(val sequence: Long, val change: CacheChange, val block: Long)

/**
 * Publishes changes of the prefix cache late and with gaps.
 *
 * @property lagMilliseconds age from which events are shown
 * @property lostEveryNth one event in so many is never shown
 */
internal class CacheEvents(private val lagMilliseconds: Long, private val lostEveryNth: Int) {
    private data class Dated(val atMilliseconds: Long, val event: CacheEvent)

    private val events = ArrayDeque<Dated>()
    private var sequence = 0L

    @Synchronized
    fun add(nowMilliseconds: Long, change: CacheChange, block: Long) {
        sequence++
        if (sequence % lostEveryNth == 0L) return
        events.addLast(Dated(nowMilliseconds, CacheEvent(sequence, change, block)))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    /** Events after [since] that are old enough to be shown. */
    @Synchronized
    fun after(since: Long, nowMilliseconds: Long): List<CacheEvent> = events
        .filter { it.event.sequence > since && it.atMilliseconds + lagMilliseconds <= nowMilliseconds }
        .map { it.event }

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}
