package org.guavahatch.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of change to a block of the prefix cache. */
@Serializable
internal enum class CacheChange {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}

/**
 * A change to one block of the prefix cache.
 *
 * @property sequence sequence number of the change, starting at 1; a gap between two numbers means that events were
 * lost
 * @property change whether the block was stored or evicted
 * @property block hash of the prompt prefix up to and including this block
 */
@Serializable
internal data class CacheEvent(val sequence: Long, val change: CacheChange, val block: Long)

/**
 * Publishes prefix cache changes late and with gaps, to simulate a delayed and lossy event stream.
 *
 * @property lagMilliseconds minimum age of an event before it is returned
 * @property lostEveryNth every event whose sequence number is a multiple of this is dropped
 */
internal class CacheEvents(private val lagMilliseconds: Long, private val lostEveryNth: Int) {
    private data class TimestampedEvent(val atMilliseconds: Long, val event: CacheEvent)

    private val events = ArrayDeque<TimestampedEvent>()
    private var sequence = 0L

    /**
     * Records a change, unless it is one of the dropped ones. Only the latest [MAXIMUM_EVENTS] events are retained.
     */
    @Synchronized
    fun add(nowMilliseconds: Long, change: CacheChange, block: Long) {
        sequence++
        if (sequence % lostEveryNth == 0L) return
        events.addLast(TimestampedEvent(nowMilliseconds, CacheEvent(sequence, change, block)))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    /** Returns retained events with a sequence number above [since] that are at least [lagMilliseconds] old. */
    @Synchronized
    fun eventsAfter(since: Long, nowMilliseconds: Long): List<CacheEvent> = events
        .filter { it.event.sequence > since && it.atMilliseconds + lagMilliseconds <= nowMilliseconds }
        .map { it.event }

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}
