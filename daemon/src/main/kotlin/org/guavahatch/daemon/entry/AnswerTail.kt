package org.guavahatch.daemon.entry

/**
 * Holds back the end of an answer that is handed on while it arrives, until the answer is known to be whole. Events are
 * handed on at once, but for the block that ends the stream; of other bodies the last block is always held.
 *
 * @property isEventStream whether the answer is a stream of events
 */
internal class AnswerTail(private val isEventStream: Boolean) {
    private var held = ByteArray(0)

    /** Takes the next block of the body; returns what is to be written now. */
    fun accept(block: ByteArray): ByteArray {
        val before = held
        val mustWait = !isEventStream || endsStream(block)
        held = if (mustWait) block else ByteArray(0)
        return if (mustWait) before else before + block
    }

    /** What is to be written when the answer is whole. */
    fun rest(): ByteArray = held

    private fun endsStream(block: ByteArray): Boolean {
        val from = maxOf(0, block.size - LONGEST_END_BYTES)
        return END in block.decodeToString(from, block.size)
    }

    private companion object {
        const val END = "[DONE]"
        const val LONGEST_END_BYTES = 32
    }
}
