package org.guavahatch.daemon.entry

/**
 * Delays the end of a streamed answer until the answer is known to be complete. In an event stream, only the block with
 * the end marker is delayed; in any other body, the most recent block.
 *
 * @property isEventStream whether the answer is a server-sent event stream
 */
internal class AnswerTailBuffer(private val isEventStream: Boolean) {
    private var delayed = ByteArray(0)

    /** Adds the next block of the body. Returns the bytes that can be written immediately. */
    fun accept(block: ByteArray): ByteArray {
        val previous = delayed
        val mustDelay = !isEventStream || containsEndMarker(block)
        delayed = if (mustDelay) block else ByteArray(0)
        return if (mustDelay) previous else previous + block
    }

    /** Returns the delayed bytes, to be written once the answer is complete. */
    fun remainder(): ByteArray = delayed

    private fun containsEndMarker(block: ByteArray): Boolean {
        val from = maxOf(0, block.size - END_MARKER_SEARCH_BYTES)
        return END_MARKER in block.decodeToString(from, block.size)
    }

    private companion object {
        const val END_MARKER = "[DONE]"

        /** Bytes at the end of a block that are searched for the marker. */
        const val END_MARKER_SEARCH_BYTES = 32
    }
}
