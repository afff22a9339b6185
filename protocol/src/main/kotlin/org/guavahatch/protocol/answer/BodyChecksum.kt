package org.guavahatch.protocol.answer

import java.util.zip.CRC32C

/** Length and CRC-32C of a body that arrives in parts. Not safe for use by several threads. */
public class BodyChecksum {
    private val checksum = CRC32C()

    /** Bytes so far. */
    public var length: Long = 0
        private set

    /** Checksum of the bytes so far. */
    public val value: Long get() = checksum.value

    /** Adds [bytes]. */
    public fun add(bytes: ByteArray) {
        checksum.update(bytes)
        length += bytes.size
    }
}
