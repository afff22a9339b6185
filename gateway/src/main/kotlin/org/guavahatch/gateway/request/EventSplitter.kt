package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets

/**
 * Splits the bytes of an event stream (`text/event-stream`) into complete events, so that an interrupted stream ends
 * after a complete event and can be resumed.
 *
 * Comments are passed on with the next event, so that a stream that sends only comments makes no progress.
 */
class EventSplitter {
    private var remainder: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Appends [data] and passes each completed event to [onEvent], which takes ownership of its bytes. */
    fun feed(data: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        val bytes = if (remainder.isReadable) {
            Unpooled.wrappedBuffer(
                remainder,
                data.retainedSlice(),
            )
        } else {
            data.retainedSlice()
        }
        remainder = Unpooled.EMPTY_BUFFER
        while (true) {
            val length = endOfEvent(bytes)
            if (length < 0) break
            val event = bytes.readRetainedSlice(length)
            onEvent(StreamEvent(event, idOf(event)))
        }
        if (bytes.isReadable) remainder = Unpooled.copiedBuffer(bytes)
        bytes.release()
    }

    /** Number of buffered bytes of an incomplete event. */
    val remainderBytes: Int get() = remainder.readableBytes()

    /** Whether the buffered bytes belong to an event, not only to comments after the last one. */
    val isInsideEvent: Boolean get() = remainder.toString(StandardCharsets.ISO_8859_1).lineSequence()
        .any { line -> line.isNotBlank() && line[0] != COLON.toInt().toChar() }

    /** Removes and returns the buffered bytes of an incomplete event. */
    fun takeRemainder(): ByteBuf = remainder.also { remainder = Unpooled.EMPTY_BUFFER }

    private fun endOfEvent(bytes: ByteBuf): Int {
        val start = bytes.readerIndex()
        var lineStart = start
        var hasField = false
        while (lineStart < bytes.writerIndex()) {
            val lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), LINE_FEED)
            if (lineEnd < 0) return -1
            val lineLength = lineEnd - lineStart
            val isBlank = lineLength == 0 || (lineLength == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN)
            if (isBlank && hasField) return lineEnd + 1 - start
            if (!isBlank && bytes.getByte(lineStart) != COLON) hasField = true
            lineStart = lineEnd + 1
        }
        return -1
    }

    private fun idOf(event: ByteBuf): Long? = event.toString(StandardCharsets.ISO_8859_1).lineSequence()
        .firstOrNull { it.startsWith("id:") }?.substring(ID_FIELD_LENGTH)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED: Byte = 10
        const val CARRIAGE_RETURN: Byte = 13
        const val COLON: Byte = 58
        const val ID_FIELD_LENGTH = 3
    }
}

/**
 * One event of a stream.
 *
 * @property bytes the event, including the blank line that ends it
 * @property id its id, or null if it has none
 */
class StreamEvent(val bytes: ByteBuf, val id: Long?)
