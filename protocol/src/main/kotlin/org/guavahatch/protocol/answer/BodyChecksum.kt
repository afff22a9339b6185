package org.guavahatch.protocol.answer

import java.util.zip.CRC32C

/** Computes the length and CRC-32C of a body that arrives in parts. Not thread-safe. */
public class BodyChecksum {
    private val checksum = CRC32C()

    /** Number of bytes added so far. */
    public var length: Long = 0
        private set

    /** CRC-32C of the bytes added so far. */
    public val value: Long get() = checksum.value

    /** Appends [bytes] to the body. */
    public fun add(bytes: ByteArray) {
        checksum.update(bytes)
        length += bytes.size
    }
}
