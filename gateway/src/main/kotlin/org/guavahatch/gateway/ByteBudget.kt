package org.guavahatch.gateway

/**
 * Limit of the bytes that a gateway buffers for one purpose, over all requests.
 *
 * @property maximum bytes that may be buffered
 */
class ByteBudget(private val maximum: Long) {
    private var used = 0L

    /** Whether [bytes] more may be buffered. */
    fun hasCapacityFor(bytes: Long): Boolean = used + bytes <= maximum

    /** Adds [bytes] to the buffered bytes; a negative number releases them. */
    fun add(bytes: Long) {
        used += bytes
    }
}
