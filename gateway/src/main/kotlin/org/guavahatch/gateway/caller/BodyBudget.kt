package org.guavahatch.gateway.caller

/**
 * Limit of the bytes that a gateway buffers of request bodies, over all connections.
 *
 * @property maximum bytes that may be buffered
 */
class BodyBudget(private val maximum: Long) {
    /** Bytes that are buffered. */
    var used: Long = 0L
        private set

    /**
     * Whether [bytes] more of a body of which [held] bytes are buffered may be buffered. A part of the budget is kept
     * for the start of each body, so that small requests are accepted beside large ones.
     */
    fun hasRoomFor(bytes: Long, held: Long): Boolean {
        val limit = if (held + bytes <= SMALL_BODY_BYTES) maximum else maximum - maximum / SMALL_BODY_DIVISOR
        return used + bytes <= limit
    }

    /** Adds [bytes] to the buffered bytes; a negative number releases them. */
    fun add(bytes: Long) {
        used += bytes
    }

    companion object {
        /** Size up to which a body is small. */
        private const val SMALL_BODY_BYTES = 65_536L

        /** Part of the budget that only small bodies may use. */
        private const val SMALL_BODY_DIVISOR = 8
        private const val HEAP_DIVISOR = 3

        /** The budget of [configured] bytes, but at most a third of [heapBytes]: two thirds are left for the rest. */
        fun forHeap(configured: Long, heapBytes: Long): BodyBudget =
            BodyBudget(minOf(configured, heapBytes / HEAP_DIVISOR))
    }
}
