package org.guavahatch.gateway

/**
 * Bytes that a gateway holds for one purpose, over all requests together.
 *
 * @property maximum bytes that may be held
 */
class HeldBytes(private val maximum: Long) {
    private var present = 0L

    /** Whether [bytes] more may be held. */
    fun hasRoom(bytes: Long): Boolean = present + bytes <= maximum

    /** Adds [bytes], which may be negative. */
    fun add(bytes: Long) {
        present += bytes
    }
}
